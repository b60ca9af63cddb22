//! Which hosts and backend servers are live, suspected or leaving.
//!
//! The table combines three sources. Whether a host is dead is decided by the
//! daemon's own observations, because the platform's list lags. A host or backend
//! server counts as leaving if the list, a peer that has read the list, or the
//! host itself says so. While the list cannot be read, as in a data centre that
//! is cut off, the last list received stays in force.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::rendezvous;

/// Number of consecutive timeouts after which a host is suspected. A single
/// timeout is common when a host restarts or a packet is lost.
pub const SUSPECT_TIMEOUTS: u32 = 2;
/// Time after which a suspicion ends unless it is renewed, so that a host that
/// has returned is tried again.
pub const SUSPICION_DURATION: Duration = Duration::from_secs(10);
/// Time after an answer for which an unlisted host counts as live, because new
/// hosts appear in the list late.
pub const UNLISTED_GRACE: Duration = Duration::from_secs(10);
/// Time for which a peer's report that a backend server is leaving is valid.
/// Peers that can read the list repeat the report every second.
pub const PEER_REPORT_DURATION: Duration = Duration::from_secs(10);
/// Number of configuration readers per data centre.
pub const READERS_PER_DATA_CENTRE: usize = 2;
/// Number of hosts next in the reader order that monitor the readers, so that one
/// of them replaces a dead reader within seconds.
pub const READER_WATCHERS: usize = 2;

/// State of a host or backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MembershipState {
    /// Is in service.
    Live,
    /// Does not answer this daemon.
    Suspected,
    /// Is shutting down or being removed, and gets no new work.
    Leaving,
    /// Is not listed and has not answered recently.
    Absent,
}

/// Result of an exchange with a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostObservation {
    /// The host answered.
    Answered,
    /// The host refused the connection, so its process is not running.
    Refused,
    /// The host did not answer in time.
    TimedOut,
}

/// An entry of the platform's list of hosts and backend servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedHost {
    /// Name of the host or backend server.
    pub name: String,
    /// Whether the list shows it as leaving.
    pub leaving: bool,
}

/// A host or backend server that the intent document names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownHost {
    /// Name of the host or backend server.
    pub name: String,
    /// Name of its data centre.
    pub data_centre: String,
    /// Whether it is an entry host and not a backend server.
    pub entry: bool,
}

/// Membership information from a peer's digest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerReport<'a> {
    /// Name of the peer's host.
    pub host: &'a str,
    /// Random number that identifies the peer's process.
    pub incarnation: u64,
    /// Whether the peer is shutting down.
    pub leaving: bool,
    /// Backend servers that the peer's own list shows as leaving.
    pub leaving_servers: &'a [String],
}

#[derive(Clone, Debug)]
struct HostRecord {
    data_centre: String,
    entry: bool,
    listed: bool,
    listed_leaving: bool,
    /// Expiry of the last peer report that this server is leaving.
    reported_leaving_until: Option<Instant>,
    /// Incarnation of the process that reported its own shutdown.
    leaving_incarnation: Option<u64>,
    timeouts: u32,
    suspected_until: Option<Instant>,
    answered_at: Option<Instant>,
}

/// One daemon's combined view of all hosts and backend servers.
#[derive(Clone, Debug)]
pub struct MembershipTable {
    own_host: String,
    hosts: BTreeMap<String, HostRecord>,
    /// For each name on the last list that was read, whether it is leaving. The
    /// list is kept for hosts that a later document names, because the next read
    /// may fail.
    list: Option<BTreeMap<String, bool>>,
}

impl MembershipTable {
    /// Creates an empty table for the daemon on `own_host`.
    pub fn new(own_host: &str) -> Self {
        Self {
            own_host: own_host.to_owned(),
            hosts: BTreeMap::new(),
            list: None,
        }
    }

    /// Sets the names from a newly adopted document and removes all others.
    pub fn apply_document(&mut self, known: &[KnownHost]) {
        let names: BTreeSet<&str> = known.iter().map(|host| host.name.as_str()).collect();
        self.hosts.retain(|name, _| names.contains(name.as_str()));
        for host in known {
            let record = self.hosts.entry(host.name.clone()).or_insert(HostRecord {
                data_centre: String::new(),
                entry: host.entry,
                listed: false,
                listed_leaving: false,
                reported_leaving_until: None,
                leaving_incarnation: None,
                timeouts: 0,
                suspected_until: None,
                answered_at: None,
            });
            record.data_centre.clone_from(&host.data_centre);
            record.entry = host.entry;
        }
        self.mark_listed();
    }

    /// Applies a list that this daemon read. It must not be called after a failed
    /// read: the last list stays in force.
    pub fn apply_list(&mut self, list: &[ListedHost]) {
        let entry = |listed: &ListedHost| (listed.name.clone(), listed.leaving);
        self.list = Some(list.iter().map(entry).collect());
        self.mark_listed();
    }

    fn mark_listed(&mut self) {
        let Some(list) = &self.list else {
            return;
        };
        for (name, record) in &mut self.hosts {
            let leaving = list.get(name);
            record.listed = leaving.is_some();
            record.listed_leaving = leaving.copied().unwrap_or(false);
        }
    }

    /// Records the result of an exchange with a host.
    pub fn observe(&mut self, name: &str, observation: HostObservation, now: Instant) {
        let Some(record) = self.hosts.get_mut(name) else {
            return;
        };
        match observation {
            HostObservation::Answered => {
                record.timeouts = 0;
                record.suspected_until = None;
                record.answered_at = Some(now);
            }
            HostObservation::Refused => record.suspected_until = Some(now + SUSPICION_DURATION),
            HostObservation::TimedOut => {
                record.timeouts += 1;
                if record.timeouts >= SUSPECT_TIMEOUTS {
                    record.suspected_until = Some(now + SUSPICION_DURATION);
                }
            }
        }
    }

    /// Applies a digest that was received directly from the peer it describes.
    pub fn apply_peer_report(&mut self, report: &PeerReport<'_>, now: Instant) {
        self.observe(report.host, HostObservation::Answered, now);
        if let Some(record) = self.hosts.get_mut(report.host) {
            // A restarted process has a new incarnation and is not leaving.
            record.leaving_incarnation = report.leaving.then_some(report.incarnation);
        }
        for server in report.leaving_servers {
            if let Some(record) = self.hosts.get_mut(server) {
                record.reported_leaving_until = Some(now + PEER_REPORT_DURATION);
            }
        }
    }

    /// Returns the backend servers that this daemon's own list shows as leaving,
    /// for its digest. Reports from peers are not repeated: otherwise daemons
    /// would keep reporting a server as leaving after it has returned.
    pub fn leaving_servers(&self) -> Vec<String> {
        self.hosts
            .iter()
            .filter(|(_, record)| !record.entry && record.listed_leaving)
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Returns the state of a host or backend server.
    pub fn state(&self, name: &str, now: Instant) -> MembershipState {
        let Some(record) = self.hosts.get(name) else {
            return MembershipState::Absent;
        };
        if record.is_leaving(now) {
            return MembershipState::Leaving;
        }
        if name == self.own_host {
            return MembershipState::Live;
        }
        if record.suspected_until.is_some_and(|until| now < until) {
            return MembershipState::Suspected;
        }
        // Without a list, all names of the document count as live, so that a
        // daemon that starts while the platform is down finds its peers.
        let answered_recently = record
            .answered_at
            .is_some_and(|at| now.saturating_duration_since(at) < UNLISTED_GRACE);
        match record.listed || answered_recently || self.list.is_none() {
            true => MembershipState::Live,
            false => MembershipState::Absent,
        }
    }

    /// Returns the names of the live entry hosts of a data centre in order.
    pub fn live_hosts(&self, data_centre: &str, now: Instant) -> Vec<&str> {
        self.hosts
            .iter()
            .filter(|(_, record)| record.entry && record.data_centre == data_centre)
            .map(|(name, _)| name.as_str())
            .filter(|name| self.state(name, now) == MembershipState::Live)
            .collect()
    }

    /// Returns the names of all data centres with entry hosts.
    pub fn data_centres(&self) -> BTreeSet<&str> {
        self.hosts
            .values()
            .filter(|record| record.entry)
            .map(|record| record.data_centre.as_str())
            .collect()
    }

    /// Returns the configuration readers of a data centre. These are the first
    /// live hosts in rendezvous order, so that the next host in order becomes a
    /// reader when a reader is suspected or leaves.
    pub fn readers(&self, data_centre: &str, now: Instant) -> Vec<&str> {
        rendezvous::choose(
            &reader_key(data_centre),
            self.live_hosts(data_centre, now),
            READERS_PER_DATA_CENTRE,
        )
    }

    /// Returns whether this daemon is a configuration reader.
    pub fn is_reader(&self, now: Instant) -> bool {
        let Some(record) = self.hosts.get(&self.own_host) else {
            return false;
        };
        let readers = self.readers(&record.data_centre, now);
        readers.contains(&self.own_host.as_str())
    }

    /// Returns the hosts that precede this daemon in the reader order, if the
    /// daemon is a reader or one of the next [`READER_WATCHERS`] hosts. The daemon
    /// exchanges digests with them every second, so that it detects a dead
    /// reader.
    pub fn watched_readers(&self, now: Instant) -> Vec<String> {
        let Some(record) = self.hosts.get(&self.own_host) else {
            return Vec::new();
        };
        let data_centre = record.data_centre.as_str();
        let ranked = rendezvous::choose(
            &reader_key(data_centre),
            self.live_hosts(data_centre, now),
            READERS_PER_DATA_CENTRE + READER_WATCHERS,
        );
        let Some(rank) = ranked.iter().position(|name| *name == self.own_host) else {
            return Vec::new();
        };
        ranked[..rank]
            .iter()
            .map(|name| (*name).to_owned())
            .collect()
    }
}

impl HostRecord {
    fn is_leaving(&self, now: Instant) -> bool {
        let reported_leaving = self.reported_leaving_until.is_some_and(|until| now < until);
        self.listed_leaving || reported_leaving || self.leaving_incarnation.is_some()
    }
}

fn reader_key(data_centre: &str) -> String {
    format!("configuration-readers/{data_centre}")
}
