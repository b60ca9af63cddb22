//! The stand-in of the platform, a relay on each path, and the daemons.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use standin::managed::ManagedSite;
use standin::relay::TcpRelay;
use state::entry::{EntrySettings, StoreSettings};

use crate::daemon::DaemonProcess;
use crate::faults::FaultKind;

/// Hosts of a site.
pub(crate) const HOSTS: usize = 3;
/// Members of its group.
pub(crate) const MEMBERS: usize = 3;
/// Grace of the daemons.
const GRACE: Duration = Duration::from_secs(3);
/// Slack beyond the grace until a daemon counts as one that does not stop.
const EXIT_SLACK: Duration = Duration::from_secs(1);
/// Delay of a slow path: above the time that a member normally takes, below the
/// statement timeout.
const SLOW_PATH: Duration = Duration::from_millis(300);

/// Counts the sites of this process, so that each has addresses of its own.
static SITES: AtomicU8 = AtomicU8::new(0);

/// Result of an operation on the site.
pub(crate) type Result<T> = io::Result<T>;

/// One host: its process and the paths to and from it.
#[derive(Debug)]
struct SoakHost {
    settings: EntrySettings,
    settings_file: PathBuf,
    log: PathBuf,
    process: Option<DaemonProcess>,
    callers: TcpRelay,
    store: TcpRelay,
    members: Vec<TcpRelay>,
}

/// A site under test.
#[derive(Debug)]
pub(crate) struct SoakSite {
    /// Number of the site in this process.
    number: u8,
    platform: ManagedSite,
    program: PathBuf,
    hosts: Vec<SoakHost>,
    /// Processes that ended by themselves or did not stop in time.
    bad_ends: Vec<String>,
}

impl SoakSite {
    /// Starts a stand-in and the daemons, whose logs lie in `folder`.
    pub(crate) async fn start(program: &Path, folder: &Path) -> Result<Self> {
        let mut site = Self {
            number: SITES.fetch_add(1, Ordering::Relaxed),
            platform: ManagedSite::start(MEMBERS).await?,
            program: program.to_owned(),
            hosts: Vec::new(),
            bad_ends: Vec::new(),
        };
        for index in 0..HOSTS {
            let host = site.prepare_host(index, folder).await?;
            site.hosts.push(host);
            site.start_daemon(index)?;
        }
        Ok(site)
    }

    async fn prepare_host(&mut self, index: usize, folder: &Path) -> Result<SoakHost> {
        let mut members = Vec::new();
        for member in 0..MEMBERS {
            members.push(TcpRelay::start(self.platform.member_address(member)).await?);
        }
        let endpoints: Vec<SocketAddr> = members.iter().map(TcpRelay::address).collect();
        let store = TcpRelay::start(self.platform.add_view(&endpoints).await?).await?;
        let settings = settings(self.number, index, store.address());
        let callers = TcpRelay::start(settings.caller_address).await?;
        let settings_file = folder.join(format!("host-{index}.toml"));
        write_settings(&settings_file, &settings)?;
        Ok(SoakHost {
            settings,
            settings_file,
            log: folder.join(format!("host-{index}.log")),
            process: None,
            callers,
            store,
            members,
        })
    }

    fn start_daemon(&mut self, index: usize) -> Result<()> {
        let host = &mut self.hosts[index];
        let process = DaemonProcess::start(&self.program, &host.settings_file, &host.log)?;
        host.process = Some(process);
        Ok(())
    }

    /// Returns the addresses at which callers reach the hosts.
    pub(crate) fn caller_addresses(&self) -> Vec<SocketAddr> {
        let hosts = self.hosts.iter();
        hosts.map(|host| host.callers.address()).collect()
    }

    /// Returns the log files of the hosts.
    pub(crate) fn logs(&self) -> Vec<PathBuf> {
        self.hosts.iter().map(|host| host.log.clone()).collect()
    }

    /// Returns what is known of processes that did not end as told.
    pub(crate) fn bad_ends(&self) -> &[String] {
        &self.bad_ends
    }

    /// Returns the peak memory of the processes in KiB.
    pub(crate) fn peak_memory_kib(&self) -> Result<u64> {
        let processes = self.hosts.iter().filter_map(|host| host.process.as_ref());
        let mut highest = 0;
        for process in processes {
            highest = highest.max(process.peak_memory_kib()?);
        }
        Ok(highest)
    }

    /// Returns the log of the last primary and what promotions rolled back.
    pub(crate) fn truth(&self) -> (Vec<String>, Vec<String>) {
        let primary = self.platform.member(self.platform.primary());
        (primary.data, self.platform.rolled_back())
    }

    /// Returns the number of promotions.
    pub(crate) fn promotions(&self) -> usize {
        self.platform.promotions().len()
    }

    /// Enters processes that ended by themselves and starts them again.
    pub(crate) fn watch_processes(&mut self) -> Result<()> {
        for index in 0..HOSTS {
            let process = &mut self.hosts[index].process;
            if let Some(process) = process {
                if process.has_ended()? {
                    self.bad_ends.push(format!("host {index} ended by itself"));
                    self.start_daemon(index)?;
                }
            }
        }
        Ok(())
    }

    fn on_host(&self, host: usize, act: impl Fn(&SoakHost)) {
        act(&self.hosts[host]);
    }

    fn process(&mut self, host: usize) -> Option<&mut DaemonProcess> {
        self.hosts[host].process.as_mut()
    }

    /// Begins a fault; returns the member that it hits, if it hits one.
    pub(crate) async fn begin(&mut self, kind: FaultKind) -> Result<Option<usize>> {
        let primary = self.platform.primary();
        match kind {
            FaultKind::CutMember { host, member } => {
                self.on_host(host, |one| one.members[member].set_cut(true));
            }
            FaultKind::StallMember { host, member } => {
                self.on_host(host, |one| one.members[member].set_stalled(true));
            }
            FaultKind::SilenceMember { host, member } => {
                self.on_host(host, |one| one.members[member].silence());
            }
            FaultKind::DelayMember { host, member } => self.on_host(host, |one| {
                one.members[member].set_delay(Duration::ZERO, SLOW_PATH);
            }),
            FaultKind::SplitPrimary { host } => {
                for (index, one) in self.hosts.iter().enumerate() {
                    one.members[primary].set_stalled(index != host);
                }
                self.on_host(host, |one| one.store.set_stalled(true));
                return Ok(Some(primary));
            }
            FaultKind::CutStore { host } => self.on_host(host, |one| one.store.set_cut(true)),
            FaultKind::StallStore { host } => self.on_host(host, |one| one.store.set_stalled(true)),
            FaultKind::StoreDown => self.platform.set_store_down(true),
            FaultKind::CutCallers { host } => self.on_host(host, |one| one.callers.set_cut(true)),
            FaultKind::HoldReplication => self.platform.hold_replication(true),
            FaultKind::KillMember { member } => return Ok(self.kill_member(member)),
            FaultKind::KillPrimary => return Ok(self.kill_member(primary)),
            FaultKind::DrainPrimary => {
                self.platform.drain(primary);
                return Ok(Some(primary));
            }
            FaultKind::Pause { .. }
            | FaultKind::PauseAll
            | FaultKind::Kill { .. }
            | FaultKind::KillAll
            | FaultKind::Terminate { .. }
            | FaultKind::Reload { .. } => self.begin_process_fault(kind).await?,
        }
        Ok(None)
    }

    /// Kills a member, unless it is down already.
    fn kill_member(&mut self, member: usize) -> Option<usize> {
        if !self.platform.is_alive(member) {
            return None;
        }
        self.platform.kill(member);
        Some(member)
    }

    async fn begin_process_fault(&mut self, kind: FaultKind) -> Result<()> {
        match kind {
            FaultKind::Pause { host } => {
                if let Some(process) = self.process(host) {
                    process.pause()?;
                }
            }
            FaultKind::PauseAll => {
                for host in &mut self.hosts {
                    if let Some(process) = &mut host.process {
                        process.pause()?;
                    }
                }
            }
            FaultKind::Kill { host } => self.kill_host(host)?,
            FaultKind::KillAll => {
                for host in 0..HOSTS {
                    self.kill_host(host)?;
                }
            }
            FaultKind::Terminate { host } => {
                if let Some(mut process) = self.hosts[host].process.take() {
                    if !process.terminate(GRACE + EXIT_SLACK).await? {
                        let end = format!("host {host} did not stop in order and in time");
                        self.bad_ends.push(end);
                    }
                }
            }
            FaultKind::Reload { host } => self.reload(host)?,
            _ => {}
        }
        Ok(())
    }

    /// Changes the settings of a host and tells its process.
    fn reload(&mut self, host: usize) -> Result<()> {
        let host = &mut self.hosts[host];
        host.settings.descriptor_limit += 1;
        write_settings(&host.settings_file, &host.settings)?;
        match &host.process {
            Some(process) => process.reload(),
            None => Ok(()),
        }
    }

    fn kill_host(&mut self, host: usize) -> Result<()> {
        match self.hosts[host].process.take() {
            Some(mut process) => process.kill(),
            None => Ok(()),
        }
    }

    /// Ends a fault that hit `member`.
    pub(crate) fn end(&mut self, kind: FaultKind, member: Option<usize>) -> Result<()> {
        match kind {
            FaultKind::CutMember { host, member } => {
                self.on_host(host, |one| one.members[member].set_cut(false));
            }
            FaultKind::StallMember { host, member } => {
                self.on_host(host, |one| one.members[member].set_stalled(false));
            }
            FaultKind::DelayMember { host, member } => self.on_host(host, |one| {
                one.members[member].set_delay(Duration::ZERO, Duration::ZERO);
            }),
            FaultKind::SplitPrimary { host } => {
                if let Some(member) = member {
                    for one in &self.hosts {
                        one.members[member].set_stalled(false);
                    }
                }
                self.on_host(host, |one| one.store.set_stalled(false));
            }
            FaultKind::CutStore { host } => self.on_host(host, |one| one.store.set_cut(false)),
            FaultKind::StallStore { host } => {
                self.on_host(host, |one| one.store.set_stalled(false))
            }
            FaultKind::StoreDown => self.platform.set_store_down(false),
            FaultKind::CutCallers { host } => self.on_host(host, |one| one.callers.set_cut(false)),
            FaultKind::HoldReplication => self.platform.hold_replication(false),
            FaultKind::DrainPrimary => {
                // The member leaves and another one starts at its address.
                if let Some(member) = member.and_then(|member| self.kill_member(member)) {
                    self.platform.restart(member);
                }
            }
            FaultKind::KillMember { .. } | FaultKind::KillPrimary => {
                if let Some(member) = member {
                    self.platform.restart(member);
                }
            }
            FaultKind::SilenceMember { .. } | FaultKind::Reload { .. } => {}
            FaultKind::Pause { .. }
            | FaultKind::PauseAll
            | FaultKind::Kill { .. }
            | FaultKind::KillAll
            | FaultKind::Terminate { .. } => self.restore_processes()?,
        }
        Ok(())
    }

    /// Starts the processes that are down and resumes those that are paused.
    fn restore_processes(&mut self) -> Result<()> {
        for index in 0..HOSTS {
            match self.process(index) {
                Some(process) => process.resume()?,
                None => self.start_daemon(index)?,
            }
        }
        Ok(())
    }

    /// Stops all daemons in order.
    pub(crate) async fn stop(&mut self) -> Result<()> {
        for host in 0..HOSTS {
            self.begin_process_fault(FaultKind::Terminate { host })
                .await?;
        }
        Ok(())
    }
}

fn write_settings(file: &Path, settings: &EntrySettings) -> Result<()> {
    let text = toml::to_string(settings).map_err(io::Error::other)?;
    std::fs::write(file, text)
}

/// Returns the settings of a host. Each host has a loopback address of its own,
/// so that no connection takes its ports while it is down.
fn settings(site: u8, index: usize, store: SocketAddr) -> EntrySettings {
    let host = u8::try_from(index + 1).expect("a site has a few hosts");
    let process = (std::process::id() % 250) as u8;
    let ip = Ipv4Addr::new(127, 100 + process / 5, site, (process % 5) * 50 + host);
    let address = |port| SocketAddr::from((ip, port));
    let data_centre = format!("zone-{index}");
    EntrySettings {
        host: format!("edge-{index}"),
        regions: BTreeMap::from([(data_centre.clone(), "region-1".to_owned())]),
        data_centre,
        caller_address: address(6_432),
        readiness_address: address(6_433),
        metrics_address: address(6_434),
        relay_address: address(6_435),
        store: StoreSettings { address: store },
        promotion_address: Some(store),
        grace_s: GRACE.as_secs_f64(),
        descriptor_limit: 1_024,
    }
}
