//! The site under test: the stand-in of the platform, the daemons, and a relay
//! on each path from callers to hosts and from hosts to members and the store.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use standin::managed::{AnswerRepeat, ManagedSite, RouteLimits};
use standin::relay::TcpRelay;
use state::entry::{EntrySettings, StoreSettings};

use crate::daemon::DaemonProcess;
use crate::faults::FaultKind;
use crate::findings::MemberEvidence;

/// Number of hosts of a site.
pub(crate) const HOSTS: usize = 3;
/// Number of members of the site's group.
pub(crate) const MEMBERS: usize = 3;
/// Time between the signal to stop and the kill of a daemon (`grace_s`).
const GRACE_PERIOD: Duration = Duration::from_secs(3);
/// Time beyond [`GRACE_PERIOD`] after which a daemon that still runs is a finding.
const EXIT_MARGIN: Duration = Duration::from_secs(1);
/// Staleness that the routes of planned work tolerate. It is longer than a run, so that only
/// a session's own commits require a replica to be recent.
const OWN_STALENESS_MS: u64 = 60_000;
/// Delay of answers by [`FaultKind::DelayMember`]: above the usual answer time of
/// a member, below the statement timeout.
const SLOW_ANSWER_DELAY: Duration = Duration::from_millis(300);

/// Number of sites that this process has started. It gives each site its own
/// addresses.
static SITE_COUNT: AtomicU8 = AtomicU8::new(0);

/// Result of an operation on the site.
pub(crate) type Result<T> = io::Result<T>;

/// A host: its process and the relays on the paths to and from it.
#[derive(Debug)]
struct SoakHost {
    settings: EntrySettings,
    settings_file: PathBuf,
    log: PathBuf,
    process: Option<DaemonProcess>,
    /// When the process received its first signal to stop.
    stopping_since: Option<Instant>,
    caller_relay: TcpRelay,
    store_relay: TcpRelay,
    member_relays: Vec<TcpRelay>,
}

/// A stand-in of the platform and the hosts that use it.
#[derive(Debug)]
pub(crate) struct SoakSite {
    /// Number of the site, unique in this process.
    number: u8,
    platform: ManagedSite,
    program: PathBuf,
    hosts: Vec<SoakHost>,
    /// Descriptions of processes that ended unasked, failed on exit or did not
    /// stop in time.
    exit_failures: Vec<String>,
}

impl SoakSite {
    /// Starts the stand-in and the daemons. Their settings and logs are written to
    /// `folder`.
    pub(crate) async fn start(program: &Path, folder: &Path) -> Result<Self> {
        let mut site = Self {
            number: SITE_COUNT.fetch_add(1, Ordering::Relaxed),
            platform: ManagedSite::start(MEMBERS).await?,
            program: program.to_owned(),
            hosts: Vec::new(),
            exit_failures: Vec::new(),
        };
        for index in 0..HOSTS {
            let host = site.prepare_host(index, folder).await?;
            site.hosts.push(host);
            site.start_daemon(index)?;
        }
        Ok(site)
    }

    async fn prepare_host(&mut self, index: usize, folder: &Path) -> Result<SoakHost> {
        let mut member_relays = Vec::new();
        for member in 0..MEMBERS {
            member_relays.push(TcpRelay::start(self.platform.member_address(member)).await?);
        }
        let endpoints: Vec<SocketAddr> = member_relays.iter().map(TcpRelay::address).collect();
        let store_relay = TcpRelay::start(self.platform.add_view(&endpoints).await?).await?;
        let settings = settings(self.number, index, store_relay.address());
        let caller_relay = TcpRelay::start(settings.caller_address).await?;
        let settings_file = folder.join(format!("host-{index}.toml"));
        write_settings(&settings_file, &settings)?;
        Ok(SoakHost {
            settings,
            settings_file,
            log: folder.join(format!("host-{index}.log")),
            process: None,
            stopping_since: None,
            caller_relay,
            store_relay,
            member_relays,
        })
    }

    fn start_daemon(&mut self, index: usize) -> Result<()> {
        let host = &mut self.hosts[index];
        let process = DaemonProcess::start(&self.program, &host.settings_file, &host.log)?;
        host.process = Some(process);
        host.stopping_since = None;
        Ok(())
    }

    /// Returns the addresses at which callers reach the hosts through the relays.
    pub(crate) fn caller_addresses(&self) -> Vec<SocketAddr> {
        let hosts = self.hosts.iter();
        hosts.map(|host| host.caller_relay.address()).collect()
    }

    /// Returns the paths of the hosts' log files.
    pub(crate) fn logs(&self) -> Vec<PathBuf> {
        self.hosts.iter().map(|host| host.log.clone()).collect()
    }

    /// Returns descriptions of processes that ended unasked, failed on exit or did
    /// not stop in time.
    pub(crate) fn exit_failures(&self) -> &[String] {
        &self.exit_failures
    }

    /// Returns the highest peak memory of the running processes in KiB.
    pub(crate) fn peak_memory_kib(&self) -> Result<u64> {
        let processes = self.hosts.iter().filter_map(|host| host.process.as_ref());
        let mut highest = 0;
        for process in processes {
            highest = highest.max(process.peak_memory_kib()?);
        }
        Ok(highest)
    }

    /// Returns what the members stored and ran.
    pub(crate) fn evidence(&self) -> MemberEvidence {
        let primary = self.platform.primary();
        let mut evidence = MemberEvidence {
            rolled_back: self.platform.rolled_back(),
            ..MemberEvidence::default()
        };
        for index in 0..MEMBERS {
            let member = self.platform.member(index);
            evidence.ran.extend(member.statements);
            match index == primary {
                true => evidence.log = member.data,
                false => evidence.other_logs.push(member.data),
            }
        }
        evidence
    }

    /// Returns the number of promotions.
    pub(crate) fn promotions(&self) -> usize {
        self.platform.promotions().len()
    }

    /// Records processes that ended unasked as exit failures and restarts them.
    pub(crate) fn restart_ended_processes(&mut self) -> Result<()> {
        for index in 0..HOSTS {
            let process = &mut self.hosts[index].process;
            if let Some(process) = process {
                if process.has_ended()? {
                    self.exit_failures
                        .push(format!("host {index} ended without a request"));
                    self.start_daemon(index)?;
                }
            }
        }
        Ok(())
    }

    fn with_host(&self, host: usize, act: impl Fn(&SoakHost)) {
        act(&self.hosts[host]);
    }

    fn process(&mut self, host: usize) -> Option<&mut DaemonProcess> {
        self.hosts[host].process.as_mut()
    }

    /// Begins a fault. For faults of the primary and kills of a member, returns
    /// the affected member.
    pub(crate) async fn begin_fault(&mut self, kind: FaultKind) -> Result<Option<usize>> {
        let primary = self.platform.primary();
        match kind {
            FaultKind::CutMember { host, member } => {
                self.with_host(host, |target| target.member_relays[member].set_cut(true));
            }
            FaultKind::StallMember { host, member } => {
                self.with_host(host, |target| {
                    target.member_relays[member].set_stalled(true)
                });
            }
            FaultKind::SilenceMember { host, member } => {
                self.with_host(host, |target| target.member_relays[member].silence());
            }
            FaultKind::DelayMember { host, member } => self.with_host(host, |target| {
                target.member_relays[member].set_delay(Duration::ZERO, SLOW_ANSWER_DELAY);
            }),
            FaultKind::SplitPrimary { host } => {
                for (index, target) in self.hosts.iter().enumerate() {
                    target.member_relays[primary].set_stalled(index != host);
                }
                self.with_host(host, |target| target.store_relay.set_stalled(true));
                return Ok(Some(primary));
            }
            FaultKind::CutStore { host } => {
                self.with_host(host, |target| target.store_relay.set_cut(true))
            }
            FaultKind::StallStore { host } => {
                self.with_host(host, |target| target.store_relay.set_stalled(true))
            }
            FaultKind::StoreDown => self.platform.set_store_down(true),
            FaultKind::StoreReturns { lost_ms } => {
                self.platform.set_store_down(true);
                let lost = Duration::from_millis(lost_ms);
                self.platform.restore_store(lost);
            }
            FaultKind::CutCallers { host } => {
                self.with_host(host, |target| target.caller_relay.set_cut(true))
            }
            FaultKind::HoldReplication => self.platform.hold_replication(true),
            FaultKind::RepeatAnswers {
                only_refusals,
                delay_ms,
            } => {
                let delay = Duration::from_millis(delay_ms);
                let repeat = match only_refusals {
                    true => AnswerRepeat::Refusals(delay),
                    false => AnswerRepeat::All(delay),
                };
                self.platform.repeat_answers(Some(repeat));
            }
            FaultKind::RefuseAsBusy { count } => self.platform.refuse_as_busy(count),
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

    /// Kills a member and returns it, or returns `None` if it is down already.
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
                    if !process.terminate(GRACE_PERIOD + EXIT_MARGIN).await? {
                        let failure = format!("host {host} did not stop successfully and in time");
                        self.exit_failures.push(failure);
                    }
                }
            }
            FaultKind::Reload { host } => self.reload(host)?,
            _ => {}
        }
        Ok(())
    }

    /// Changes the settings file of a host and requests a reload.
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

    /// Ends a fault. `member` is the member that `begin_fault` returned.
    pub(crate) fn end_fault(&mut self, kind: FaultKind, member: Option<usize>) -> Result<()> {
        match kind {
            FaultKind::CutMember { host, member } => {
                self.with_host(host, |target| target.member_relays[member].set_cut(false));
            }
            FaultKind::StallMember { host, member } => {
                self.with_host(host, |target| {
                    target.member_relays[member].set_stalled(false)
                });
            }
            FaultKind::DelayMember { host, member } => self.with_host(host, |target| {
                target.member_relays[member].set_delay(Duration::ZERO, Duration::ZERO);
            }),
            FaultKind::SplitPrimary { host } => {
                if let Some(member) = member {
                    for target in &self.hosts {
                        target.member_relays[member].set_stalled(false);
                    }
                }
                self.with_host(host, |target| target.store_relay.set_stalled(false));
            }
            FaultKind::CutStore { host } => {
                self.with_host(host, |target| target.store_relay.set_cut(false))
            }
            FaultKind::StallStore { host } => {
                self.with_host(host, |target| target.store_relay.set_stalled(false))
            }
            FaultKind::StoreDown | FaultKind::StoreReturns { .. } => {
                self.platform.set_store_down(false);
            }
            FaultKind::CutCallers { host } => {
                self.with_host(host, |target| target.caller_relay.set_cut(false))
            }
            FaultKind::HoldReplication => self.platform.hold_replication(false),
            FaultKind::RepeatAnswers { .. } => self.platform.repeat_answers(None),
            FaultKind::RefuseAsBusy { .. } => self.platform.refuse_as_busy(0),
            FaultKind::DrainPrimary => {
                // The drained member stops, and a new one starts at its address.
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

    /// Starts the processes that are down and resumes the paused ones.
    fn restore_processes(&mut self) -> Result<()> {
        for index in 0..HOSTS {
            match self.process(index) {
                Some(process) => process.resume()?,
                None => self.start_daemon(index)?,
            }
        }
        Ok(())
    }

    /// Starts a second group.
    pub(crate) async fn add_group(&mut self, name: &str) -> Result<()> {
        self.platform.add_group(name, MEMBERS).await.map(drop)
    }

    /// Writes a version of the configuration with the given routes and their groups.
    pub(crate) fn configure(&self, version: u64, routes: &[(&str, &str)], timeout_ms: u64) {
        let limits = RouteLimits {
            timeout_ms,
            max_staleness_ms: OWN_STALENESS_MS,
        };
        self.platform.configure_limits(version, routes, limits);
    }

    /// Sets the time that members take for a statement, and their slots.
    pub(crate) fn set_work(&self, work_time: Duration, slots: u32) {
        self.platform.set_work(work_time, slots);
    }

    /// Stops replication to the replicas of a group, or lets them catch up.
    pub(crate) fn hold_replicas(&self, group: usize, hold: bool) {
        self.platform.hold_replication_in(group, hold);
    }

    /// Returns the number of the group whose members ran each statement.
    pub(crate) fn groups_by_statement(&self) -> HashMap<String, usize> {
        let mut groups = HashMap::new();
        for group in 0..2 {
            for index in 0..MEMBERS {
                let statements = self.platform.member_of(group, index).statements;
                groups.extend(statements.into_iter().map(|one| (one.id, group)));
            }
        }
        groups
    }

    /// Sends SIGTERM to a host, which may be stopping already.
    pub(crate) fn request_stop(&mut self, host: usize) -> Result<()> {
        let host = &mut self.hosts[host];
        host.stopping_since.get_or_insert_with(Instant::now);
        host.process
            .as_ref()
            .map_or(Ok(()), DaemonProcess::request_stop)
    }

    /// Changes the settings file of a host and sends SIGHUP.
    pub(crate) fn request_reload(&mut self, host: usize) -> Result<()> {
        self.reload(host)
    }

    /// Returns whether a host is stopping.
    pub(crate) fn is_stopping(&self) -> bool {
        self.hosts.iter().any(|host| host.stopping_since.is_some())
    }

    /// Starts the hosts again that have stopped, and returns their number. A host that did not
    /// stop successfully and in time, or ended unasked, becomes an exit failure.
    pub(crate) fn restart_stopped(&mut self) -> Result<usize> {
        let mut stopped = 0;
        for index in 0..HOSTS {
            let host = &mut self.hosts[index];
            let since = host.stopping_since;
            let Some(process) = &mut host.process else {
                continue;
            };
            let is_late = since.is_some_and(|since| since.elapsed() > GRACE_PERIOD);
            let succeeded = process.has_succeeded()?;
            match (succeeded, since) {
                (None, _) if !is_late => continue,
                (None, _) => process.kill()?,
                _ => {}
            }
            if succeeded != Some(true) || since.is_none() {
                let failure = format!("host {index} ended unasked, failed or stopped too late");
                self.exit_failures.push(failure);
            }
            stopped += 1;
            self.start_daemon(index)?;
        }
        Ok(stopped)
    }

    /// Stops all daemons, one after the other.
    pub(crate) async fn stop_all(&mut self) -> Result<()> {
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

/// Returns the settings of a host. Each host has its own loopback address, so
/// that no outgoing connection occupies its ports while the host is down.
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
        grace_s: GRACE_PERIOD.as_secs_f64(),
        descriptor_limit: 1_024,
    }
}
