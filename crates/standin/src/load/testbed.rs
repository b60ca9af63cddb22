//! A site behind relays with the network delays of a user's site.

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

/// Longest wait until all members of all groups have caught up with their
/// primaries.
const SETTLE_LIMIT: Duration = Duration::from_secs(15);
/// Interval at which the state of the groups is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Numbers of reads that the daemons counted, by role of the serving member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadCounts {
    /// Reads that replicas served.
    pub replica: u64,
    /// Reads that primaries served.
    pub primary: u64,
}

/// A running site with relays in front of members and entry hosts.
#[derive(Debug)]
pub struct LoadTestbed {
    /// The site behind the relays.
    pub site: Site,
    /// Relays between callers and entry hosts.
    pub entry_relays: Vec<TcpRelay>,
    /// Addresses and stop signal for the callers.
    pub targets: Arc<CallTargets>,
    stopped_reads: ReadCounts,
}

impl LoadTestbed {
    /// Starts a site whose members hold a slot for `service_time` per
    /// statement, and creates the table of the workload in each group.
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
        let site = Site::start(settings, |document| adapt_document(document, profile)).await?;
        let mut entry_relays = Vec::with_capacity(ENTRY_HOSTS);
        for entry_host in 0..ENTRY_HOSTS {
            entry_relays.push(TcpRelay::start(site.caller_address(entry_host)).await?);
        }
        let entry_hosts = entry_relays.iter().map(TcpRelay::address).collect();
        let testbed = Self {
            targets: Arc::new(CallTargets {
                entry_hosts,
                primaries: Mutex::new(Vec::new()),
                stopped: watch::Sender::new(false),
            }),
            site,
            entry_relays,
            stopped_reads: ReadCounts::default(),
        };
        testbed.settle().await?;
        testbed.create_tables().await?;
        testbed.set_delays(profile);
        testbed.set_service_time(service_time);
        testbed.update_primaries();
        Ok(testbed)
    }

    /// Returns the addresses of all members of all groups.
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

    /// Updates the addresses of the primaries for direct connections.
    pub fn update_primaries(&self) {
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

    /// Signals the callers to end.
    pub fn stop_callers(&self) {
        self.targets.stopped.send_replace(true);
    }

    /// Clears the stop signal, so that callers started from now on can run.
    pub fn restart_callers(&self) {
        self.targets.stopped.send_replace(false);
    }

    /// Stops a daemon. [`Self::reads`] still includes the reads that it counted.
    pub fn stop_daemon(&mut self, entry_host: usize) {
        self.stopped_reads = self.reads();
        self.site.stop_daemon(entry_host);
    }

    /// Returns the numbers of reads since the start of the daemons.
    pub fn reads(&self) -> ReadCounts {
        let mut counts = self.stopped_reads;
        let running = self.site.daemons.iter().flatten();
        for daemon in running {
            let text = daemon.metrics().render();
            counts.replica += counter_value(&text, "cassia_reads_total{role=\"replica\"}");
            counts.primary += counter_value(&text, "cassia_reads_total{role=\"primary\"}");
        }
        counts
    }

    /// Waits until all members of all groups have caught up with their
    /// primaries. Fails if that takes more than 15 s.
    pub async fn settle(&self) -> Result<()> {
        let limit = Instant::now() + SETTLE_LIMIT;
        for group in 0..GROUPS {
            while !self.has_caught_up(group) {
                if Instant::now() >= limit {
                    let reason =
                        format!("the members of group {group} did not catch up with a primary");
                    return Err(SiteError::Check(reason));
                }
                sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Returns whether all members of a group run and have the primary's whole
    /// log.
    pub fn has_caught_up(&self, group: usize) -> bool {
        let Some(target) = self.primary_log(group) else {
            return false;
        };
        self.members_reach(group, target)
    }

    /// Returns the end of the log of a group's primary.
    pub fn primary_log(&self, group: usize) -> Option<LogPosition> {
        let cluster = &self.site.cluster;
        let primary = cluster.server(cluster.primary(group)?)?;
        Some(primary.report().log)
    }

    /// Returns whether all members of a group run, have promised the term of its
    /// primary and have logs that reach `target`.
    pub fn members_reach(&self, group: usize, target: LogPosition) -> bool {
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

    /// Counts the stored rows for each write of a group, with a direct query at
    /// its primary.
    pub async fn stored(&self, group: usize) -> Result<StoredCounts> {
        let client = self.connect_to_primary(group).await?;
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

    async fn connect_to_primary(&self, group: usize) -> Result<tokio_postgres::Client> {
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

/// Puts the site's read classes into the document, and spreads the initial
/// primaries over the data centres.
fn adapt_document(document: &mut IntentDocument, profile: SiteProfile) {
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

fn counter_value(text: &str, name: &str) -> u64 {
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|value| value.trim().parse::<f64>().ok())
        .unwrap_or(0.0) as u64
}
