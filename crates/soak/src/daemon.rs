//! A daemon that runs as a separate process.

use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{kill_process, Pid, Signal};
use tokio::time::sleep;

/// Interval between checks whether a process has ended.
const EXIT_POLL: Duration = Duration::from_millis(20);

/// Result of an operation on a process.
pub(crate) type Result<T> = io::Result<T>;

/// A running or paused daemon. Dropping the value kills the process.
#[derive(Debug)]
pub(crate) struct DaemonProcess {
    child: Child,
    is_paused: bool,
}

impl DaemonProcess {
    /// Starts `program` with the settings file `settings` and appends its output
    /// to the file `log`.
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
        let id = id.ok_or_else(|| io::Error::other("the process id is out of range"))?;
        Ok(kill_process(id, signal)?)
    }

    /// Pauses the process with SIGSTOP until it is resumed.
    pub(crate) fn pause(&mut self) -> Result<()> {
        self.is_paused = true;
        self.signal(Signal::STOP)
    }

    /// Resumes a paused process with SIGCONT.
    pub(crate) fn resume(&mut self) -> Result<()> {
        self.is_paused = false;
        self.signal(Signal::CONT)
    }

    /// Requests a reload of the settings with SIGHUP.
    pub(crate) fn reload(&self) -> Result<()> {
        self.signal(Signal::HUP)
    }

    /// Sends SIGTERM without waiting for the end of the process.
    pub(crate) fn request_stop(&self) -> Result<()> {
        self.signal(Signal::TERM)
    }

    /// Returns whether the process has ended successfully; `None` if it runs.
    pub(crate) fn has_succeeded(&mut self) -> Result<Option<bool>> {
        let status = self.child.try_wait()?;
        Ok(status.map(|status| status.success()))
    }

    /// Kills the process and waits for its end.
    pub(crate) fn kill(&mut self) -> Result<()> {
        self.child.kill()?;
        self.child.wait().map(drop)
    }

    /// Sends SIGTERM and waits for the end of the process; returns whether it
    /// exited successfully within `limit`. Kills the process after `limit`.
    pub(crate) async fn terminate(&mut self, limit: Duration) -> Result<bool> {
        if self.is_paused {
            self.resume()?;
        }
        self.signal(Signal::TERM)?;
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status.success());
            }
            sleep(EXIT_POLL).await;
        }
        self.kill()?;
        Ok(false)
    }

    /// Returns whether the process has ended.
    pub(crate) fn has_ended(&mut self) -> Result<bool> {
        Ok(self.child.try_wait()?.is_some())
    }

    /// Returns the peak resident memory of the process in KiB.
    pub(crate) fn peak_memory_kib(&self) -> Result<u64> {
        let path = PathBuf::from(format!("/proc/{}/status", self.child.id()));
        let text = std::fs::read_to_string(path)?;
        let line = text.lines().find(|line| line.starts_with("VmHWM:"));
        let value = line.and_then(|line| line.split_whitespace().nth(1));
        let peak = value.and_then(|value| value.parse().ok());
        peak.ok_or_else(|| io::Error::other("the process status has no valid VmHWM line"))
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // The process may have ended already, and `drop` cannot report other
        // failures.
        let _result = self.kill();
    }
}
