//! A site with the latencies of its user.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use state::document::IntentDocument;
use state::log::LogPosition;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio_postgres::NoTls;

use super::caller::CallTargets;
use super::checker::StoredCounts;
use super::profile::{SiteProfile, ENTRY_HOSTS, GROUPS, MEMBERS};
use crate::backend::{BackendServer, BackendSettings};
use crate::cluster::{Cluster, ClusterSettings, MemberAddress};
use crate::relay::TcpRelay;
use crate::site::{Result, Site, SiteError, SiteSettings, USER};

/// Longest wait for a group to have a primary that its replicas follow.
const SETTLE_LIMIT: Duration = Duration::from_secs(15);
/// Interval at which the state of the groups is looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// Reads that the daemons counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadCounts {
    /// Reads at replicas.
    pub replica: u64,
    /// Reads at primaries.
    pub primary: u64,
}

/// A running site with relays in front of members and entry hosts.
#[derive(Debug)]
pub struct LoadBed {
    /// The site.
    pub site: Site,
    /// Relays between callers and entry hosts.
    pub entry_relays: Vec<TcpRelay>,
    /// What callers need.
    pub targets: Arc<CallTargets>,
    retired: ReadCounts,
}

impl LoadBed {
    /// Starts a site whose members take `service_time` for a statement, and
    /// creates the table.
    pub async fn start(profile: SiteProfile, service_time: Duration) -> Result<Self> {
        let settings = SiteSettings {
            cluster: ClusterSettings {
                groups: GROUPS,
                members: MEMBERS,
                member: BackendSettings {
                    slots: profile.slots(),
                    connection_limit: profile.connection_limit(),
                    ..BackendSettings::default()
                },
                use_relays: true,
                ..ClusterSettings::default()
            },
            entry_hosts: ENTRY_HOSTS,
            ..SiteSettings::default()
        };
        let site = Site::start(settings, |document| shape(document, profile)).await?;
        let mut entry_relays = Vec::with_capacity(ENTRY_HOSTS);
        for entry_host in 0..ENTRY_HOSTS {
            entry_relays.push(TcpRelay::start(site.caller_address(entry_host)).await?);
        }
        let entry_hosts = entry_relays.iter().map(TcpRelay::address).collect();
        let bed = Self {
            targets: Arc::new(CallTargets {
                entry_hosts,
                primaries: Mutex::new(Vec::new()),
                stopped: watch::Sender::new(false),
            }),
            site,
            entry_relays,
            retired: ReadCounts::default(),
        };
        bed.settle().await?;
        bed.create_tables().await?;
        bed.set_delays(profile);
        bed.set_service_time(service_time);
        bed.note_primaries();
        Ok(bed)
    }

    /// Returns all members.
    pub fn members() -> impl Iterator<Item = MemberAddress> {
        (0..GROUPS)
            .flat_map(|group| (0..MEMBERS).map(move |member| MemberAddress { group, member }))
    }

    /// Sets the time that each statement holds its slot.
    pub fn set_service_time(&self, time: Duration) {
        for address in Self::members() {
            if let Some(server) = self.site.cluster.server(address) {
                server.set_service_time(time);
            }
        }
    }

    /// Enters the current primaries for direct connections.
    pub fn note_primaries(&self) {
        let cluster = &self.site.cluster;
        let primaries = &self.targets.primaries;
        let mut known = primaries.lock().unwrap_or_else(PoisonError::into_inner);
        known.resize(GROUPS, SocketAddr::from(([127, 0, 0, 1], 1)));
        for (group, address) in known.iter_mut().enumerate() {
            let relays = cluster.primary(group).and_then(|one| cluster.relays(one));
            if let Some(relays) = relays {
                *address = relays.statements.address();
            }
        }
    }

    /// Tells the callers to end.
    pub fn stop_callers(&self) {
        self.targets.stopped.send_replace(true);
    }

    /// Lets callers run again that are started after this.
    pub fn restart_callers(&self) {
        self.targets.stopped.send_replace(false);
    }

    /// Stops a daemon, and keeps what it counted.
    pub fn stop_daemon(&mut self, entry_host: usize) {
        self.retired = self.reads();
        self.site.stop_daemon(entry_host);
    }

    /// Returns the reads that the daemons counted since their start.
    pub fn reads(&self) -> ReadCounts {
        let mut counts = self.retired;
        let running = self.site.daemons.iter().flatten();
        for daemon in running {
            let text = daemon.metrics().render();
            counts.replica += counter(&text, "cassia_reads_total{role=\"replica\"}");
            counts.primary += counter(&text, "cassia_reads_total{role=\"primary\"}");
        }
        counts
    }

    /// Waits until each group has a primary that all running members follow.
    pub async fn settle(&self) -> Result<()> {
        let limit = Instant::now() + SETTLE_LIMIT;
        for group in 0..GROUPS {
            while !self.follows(group) {
                if Instant::now() >= limit {
                    let reason = format!("group {group} has no primary that all follow");
                    return Err(SiteError::Check(reason));
                }
                sleep(LOOK_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Tells whether all members of a group run and have the primary's log.
    pub fn follows(&self, group: usize) -> bool {
        let Some(target) = self.primary_log(group) else {
            return false;
        };
        self.reaches(group, target)
    }

    /// Returns the newest position of a group's primary.
    pub fn primary_log(&self, group: usize) -> Option<LogPosition> {
        let cluster = &self.site.cluster;
        let primary = cluster.server(cluster.primary(group)?)?;
        Some(primary.report().log)
    }

    /// Tells whether all members of a group run at the term of its primary and
    /// have the position.
    pub fn reaches(&self, group: usize, target: LogPosition) -> bool {
        let cluster = &self.site.cluster;
        let Some(primary) = cluster.primary(group).and_then(|one| cluster.server(one)) else {
            return false;
        };
        let term = primary.report().promised_term;
        (0..MEMBERS).all(|member| {
            let server = cluster.server(MemberAddress { group, member });
            server
                .map(BackendServer::report)
                .is_some_and(|report| report.promised_term == term && report.log.reaches(target))
        })
    }

    /// Counts the stored writes of a group at its primary, without the proxy.
    pub async fn stored(&self, group: usize) -> Result<StoredCounts> {
        let client = self.direct(group).await?;
        let rows = client
            .query("SELECT writer, seq FROM load_writes", &[])
            .await?;
        let mut counts = StoredCounts::new();
        for row in rows {
            *counts.entry((row.get(0), row.get(1))).or_default() += 1;
        }
        Ok(counts)
    }

    fn set_delays(&self, profile: SiteProfile) {
        let client = profile.client_delay();
        for relay in &self.entry_relays {
            relay.set_delay(client, client);
        }
        let member = profile.member_delay();
        let replication = profile.replication_delay();
        for address in Self::members() {
            if let Some(relays) = self.site.cluster.relays(address) {
                relays.statements.set_delay(member, member);
                relays.control.set_delay(member, member);
                relays.replication.set_delay(replication, replication);
            }
        }
    }

    async fn create_tables(&self) -> Result<()> {
        for group in 0..GROUPS {
            let client = self
                .site
                .connect(0, &Cluster::group_name(group), None)
                .await?;
            client
                .batch_execute("CREATE TABLE load_writes (writer int8, seq int8)")
                .await?;
            client
                .batch_execute("CREATE INDEX load_writes_key ON load_writes (writer, seq)")
                .await?;
        }
        Ok(())
    }

    async fn direct(&self, group: usize) -> Result<tokio_postgres::Client> {
        let cluster = &self.site.cluster;
        let primary = cluster.primary(group);
        let primary = primary.ok_or_else(|| SiteError::Io(io::ErrorKind::NotFound.into()))?;
        let address = cluster.statement_address(primary);
        let mut config = tokio_postgres::Config::new();
        config
            .host(address.ip().to_string())
            .port(address.port())
            .user(USER)
            .dbname(Cluster::group_name(group));
        let (client, connection) = config.connect(NoTls).await?;
        tokio::spawn(connection);
        Ok(client)
    }
}

/// Gives the document the classes of the site, and spreads the first primaries
/// over the data centres.
fn shape(document: &mut IntentDocument, profile: SiteProfile) {
    document.read_class = profile.read_classes();
    let centres: Vec<String> = document
        .data_centre
        .iter()
        .map(|centre| centre.name.clone())
        .collect();
    for (group, entry) in document.group.iter_mut().enumerate() {
        for (member, server) in entry.member.iter_mut().enumerate() {
            server
                .data_centre
                .clone_from(&centres[(group + member) % centres.len()]);
        }
    }
}

fn counter(text: &str, name: &str) -> u64 {
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|value| value.trim().parse::<f64>().ok())
        .unwrap_or(0.0) as u64
}
