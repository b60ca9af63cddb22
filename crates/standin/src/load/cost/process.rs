//! A daemon in a separate process.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use state::settings::{DaemonSettings, PlatformSettings, UserCredential};

use crate::cluster::Cluster;
use crate::site::{PASSWORD, USER};

/// Clock ticks per second of the times in `/proc/PID/stat`. Linux fixes this
/// value for user space, independently of the kernel's internal tick rate.
const TICKS_PER_SECOND: f64 = 100.0;
/// Index of the user time among the fields of `/proc/PID/stat` after the process
/// name. The system time follows.
const USER_TIME_FIELD: usize = 11;
/// Timeout of platform requests in milliseconds.
const PLATFORM_TIMEOUT_MS: u64 = 500;
/// Interval in milliseconds at which the daemon reads the host list.
const HOST_LIST_INTERVAL_MS: u64 = 1_000;

/// A running daemon. Dropping it kills the process and deletes its settings
/// file.
#[derive(Debug)]
pub(super) struct DaemonProcess {
    child: Child,
    settings_path: PathBuf,
    caller_address: SocketAddr,
}

/// Returns a loopback address whose port is free at the moment.
pub(super) fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()
}

impl DaemonProcess {
    /// Starts the daemon of a cluster's first entry host, with `peer` as its
    /// peer address.
    pub(super) fn start(program: &Path, cluster: &Cluster, peer: SocketAddr) -> io::Result<Self> {
        let document = cluster.document();
        let host = &document.entry_host[0];
        let settings = DaemonSettings {
            host: host.name.clone(),
            data_centre: host.data_centre.clone(),
            caller_address: free_address()?,
            peer_address: peer,
            metrics_address: free_address()?,
            seed_peer: Vec::new(),
            platform: PlatformSettings {
                address: cluster.platform().address(),
                timeout_ms: PLATFORM_TIMEOUT_MS,
                host_list_interval_ms: HOST_LIST_INTERVAL_MS,
            },
            credential: vec![UserCredential {
                user: USER.to_owned(),
                password: PASSWORD.to_owned(),
            }],
            caller_limit: 10_000,
        };
        let settings_path = cluster.data_directory().join("cassiad.toml");
        let text = toml::to_string(&settings).map_err(io::Error::other)?;
        std::fs::write(&settings_path, text)?;
        let child = Command::new(program)
            .arg("--settings")
            .arg(&settings_path)
            .args(["--log-level", "warn"])
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .map_err(|error| {
                io::Error::new(
                    error.kind(),
                    format!("cannot start {}: {error}", program.display()),
                )
            })?;
        Ok(Self {
            child,
            settings_path,
            caller_address: settings.caller_address,
        })
    }

    /// Returns the address that callers connect to.
    pub(super) fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the user and system time of the process.
    pub(super) fn cpu_time(&self) -> io::Result<Duration> {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        let (_, fields) = text.rsplit_once(')').unwrap_or_default();
        let times = fields.split_whitespace().skip(USER_TIME_FIELD).take(2);
        let ticks: u64 = times.filter_map(|field| field.parse::<u64>().ok()).sum();
        Ok(Duration::from_secs_f64(ticks as f64 / TICKS_PER_SECOND))
    }

    /// Returns the resident memory of the process in KiB.
    pub(super) fn resident_kib(&self) -> io::Result<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let value = line.and_then(|rest| rest.split_whitespace().next());
        value.and_then(|number| number.parse().ok()).ok_or_else(|| {
            io::Error::other("no VmRSS line in the status file of the daemon process")
        })
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings_path);
    }
}
