//! One daemon as a separate process.

use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{kill_process, Pid, Signal};
use tokio::time::sleep;

/// Interval at which the end of a process is looked for.
const EXIT_POLL: Duration = Duration::from_millis(20);

/// Result of an operation on a process.
pub(crate) type Result<T> = io::Result<T>;

/// A daemon that is killed when it is dropped.
#[derive(Debug)]
pub(crate) struct DaemonProcess {
    child: Child,
    is_paused: bool,
}

impl DaemonProcess {
    /// Starts a daemon that appends its log to a file.
    pub(crate) fn start(program: &Path, settings: &Path, log: &Path) -> Result<Self> {
        let output = File::options().create(true).append(true).open(log)?;
        let child = Command::new(program)
            .arg("--managed")
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stderr(output.try_clone()?)
            .stdout(output)
            .spawn()?;
        Ok(Self {
            child,
            is_paused: false,
        })
    }

    fn signal(&self, signal: Signal) -> Result<()> {
        let id = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let id = id.ok_or_else(|| io::Error::other("the process has no id"))?;
        Ok(kill_process(id, signal)?)
    }

    /// Stops the process until it is resumed.
    pub(crate) fn pause(&mut self) -> Result<()> {
        self.is_paused = true;
        self.signal(Signal::STOP)
    }

    /// Lets a paused process go on.
    pub(crate) fn resume(&mut self) -> Result<()> {
        self.is_paused = false;
        self.signal(Signal::CONT)
    }

    /// Asks for a reload of the settings.
    pub(crate) fn reload(&self) -> Result<()> {
        self.signal(Signal::HUP)
    }

    /// Kills the process.
    pub(crate) fn kill(&mut self) -> Result<()> {
        self.child.kill()?;
        self.child.wait().map(drop)
    }

    /// Asks the process to stop and waits for its end; tells whether it ended
    /// with success within `patience`. A later one is killed.
    pub(crate) async fn terminate(&mut self, patience: Duration) -> Result<bool> {
        if self.is_paused {
            self.resume()?;
        }
        self.signal(Signal::TERM)?;
        let deadline = Instant::now() + patience;
        while Instant::now() < deadline {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status.success());
            }
            sleep(EXIT_POLL).await;
        }
        self.kill()?;
        Ok(false)
    }

    /// Tells whether the process has ended by itself.
    pub(crate) fn has_ended(&mut self) -> Result<bool> {
        Ok(self.child.try_wait()?.is_some())
    }

    /// Returns the peak of the resident memory in KiB.
    pub(crate) fn peak_memory_kib(&self) -> Result<u64> {
        let path = PathBuf::from(format!("/proc/{}/status", self.child.id()));
        let text = std::fs::read_to_string(path)?;
        let line = text.lines().find(|line| line.starts_with("VmHWM:"));
        let value = line.and_then(|line| line.split_whitespace().nth(1));
        let peak = value.and_then(|value| value.parse().ok());
        peak.ok_or_else(|| io::Error::other("the status of the process has no VmHWM"))
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // A process that has ended already cannot be killed; there is nobody to
        // report other failures to.
        let _killed = self.kill();
    }
}
