//! Which hosts and backend servers are live, suspected or leaving.
//!
//! Three sources are combined. The daemon's own observations take precedence
//! for death, because the platform's list lags. The list takes precedence for
//! leaving, and a peer that has read the list, or that leaves itself, counts as
//! well. While the list cannot be read, as in a data centre that is cut off,
//! the last one received stays in force.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::rendezvous;

/// Timeouts in a row after which a host is suspected. One timeout is common
/// when a host restarts or a packet is lost.
pub const SUSPECT_TIMEOUTS: u32 = 2;
/// Time after which a suspicion ends unless it is renewed, so that a host that
/// came back is tried again.
pub const SUSPICION_DURATION: Duration = Duration::from_secs(10);
/// Time for which a host that answered counts as live although it is not
/// listed: a new host is listed late.
pub const UNLISTED_GRACE: Duration = Duration::from_secs(10);
/// Time for which a peer's statement that a backend server is leaving counts.
/// Peers that read the list repeat it every second.
pub const HEARSAY_DURATION: Duration = Duration::from_secs(10);
/// Configuration readers per data centre.
pub const READERS_PER_DATA_CENTRE: usize = 2;
/// Hosts next in order that watch the readers, so that one of them takes over
/// within seconds.
pub const READER_WATCHERS: usize = 2;

/// State of a host or backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MembershipState {
    /// Takes part.
    Live,
    /// Listed, but does not answer this daemon.
    Suspected,
    /// Leaving: gets no new work.
    Leaving,
    /// Neither listed nor heard of lately.
    Absent,
}

/// What an exchange with a host showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostObservation {
    /// It answered.
    Answered,
    /// It refused the connection: its process is gone.
    Refused,
    /// It did not answer in time.
    TimedOut,
}

/// An entry of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedHost {
    /// Name of the host or backend server.
    pub name: String,
    /// Whether it is listed as leaving.
    pub leaving: bool,
}

/// A name that the intent document knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownHost {
    /// Name of the host or backend server.
    pub name: String,
    /// Name of its data centre.
    pub data_centre: String,
    /// Whether it is an entry host; otherwise it is a backend server.
    pub entry: bool,
}

/// What a peer says in its digest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerStatement<'a> {
    /// Name of the peer's host.
    pub host: &'a str,
    /// Random number of its process.
    pub incarnation: u64,
    /// Whether it is shutting down.
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
    /// Until when a peer's statement that this server leaves counts.
    hearsay_until: Option<Instant>,
    /// Incarnation that announced its own leaving.
    announced: Option<u64>,
    timeouts: u32,
    suspected_until: Option<Instant>,
    answered_at: Option<Instant>,
}

/// The combined table of one daemon.
#[derive(Clone, Debug)]
pub struct MembershipTable {
    own_host: String,
    hosts: BTreeMap<String, HostRecord>,
    /// The last list that was read: whether each name is leaving. It is kept
    /// for hosts that a later document names, since the next read may fail.
    list: Option<BTreeMap<String, bool>>,
}

impl MembershipTable {
    /// Builds an empty table for the daemon on `own_host`.
    pub fn new(own_host: &str) -> Self {
        Self {
            own_host: own_host.to_owned(),
            hosts: BTreeMap::new(),
            list: None,
        }
    }

    /// Takes over the names of a newly adopted document and forgets others.
    pub fn apply_document(&mut self, known: &[KnownHost]) {
        let names: BTreeSet<&str> = known.iter().map(|host| host.name.as_str()).collect();
        self.hosts.retain(|name, _| names.contains(name.as_str()));
        for host in known {
            let record = self.hosts.entry(host.name.clone()).or_insert(HostRecord {
                data_centre: String::new(),
                entry: host.entry,
                listed: false,
                listed_leaving: false,
                hearsay_until: None,
                announced: None,
                timeouts: 0,
                suspected_until: None,
                answered_at: None,
            });
            record.data_centre.clone_from(&host.data_centre);
            record.entry = host.entry;
        }
        self.mark_listed();
    }

    /// Takes over a list that this daemon read. A failed read changes nothing:
    /// the last list stays in force.
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

    /// Notes what an exchange with a host showed.
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

    /// Notes a digest that came directly from a peer.
    pub fn apply_statement(&mut self, statement: &PeerStatement<'_>, now: Instant) {
        self.observe(statement.host, HostObservation::Answered, now);
        if let Some(record) = self.hosts.get_mut(statement.host) {
            // A restarted process has a new incarnation and is not leaving.
            record.announced = statement.leaving.then_some(statement.incarnation);
        }
        for server in statement.leaving_servers {
            if let Some(record) = self.hosts.get_mut(server) {
                record.hearsay_until = Some(now + HEARSAY_DURATION);
            }
        }
    }

    /// Returns the backend servers that this daemon's own list shows as
    /// leaving, for its digest. What peers said is not repeated, or a server
    /// that returned would be passed around as leaving for ever.
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
        // Without any list the document's names are tried, so that a daemon
        // that starts while the platform is down finds its peers.
        let heard = record
            .answered_at
            .is_some_and(|at| now.saturating_duration_since(at) < UNLISTED_GRACE);
        match record.listed || heard || self.list.is_none() {
            true => MembershipState::Live,
            false => MembershipState::Absent,
        }
    }

    /// Returns the live entry hosts of a data centre in order of name.
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

    /// Returns the configuration readers of a data centre: the first live
    /// hosts in rendezvous order, so the next in order takes over when a
    /// reader is suspected or leaves.
    pub fn readers(&self, data_centre: &str, now: Instant) -> Vec<&str> {
        rendezvous::choose(
            &reader_key(data_centre),
            self.live_hosts(data_centre, now),
            READERS_PER_DATA_CENTRE,
        )
    }

    /// Tells whether this daemon reads the configuration.
    pub fn is_reader(&self, now: Instant) -> bool {
        let Some(record) = self.hosts.get(&self.own_host) else {
            return false;
        };
        let readers = self.readers(&record.data_centre, now);
        readers.contains(&self.own_host.as_str())
    }

    /// Returns the hosts ahead of this daemon in the reader order if it is
    /// itself a reader or one of the next [`READER_WATCHERS`]; it exchanges
    /// with them every second so that a dead reader is noticed.
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
        let hearsay = self.hearsay_until.is_some_and(|until| now < until);
        self.listed_leaving || hearsay || self.announced.is_some()
    }
}

fn reader_key(data_centre: &str) -> String {
    format!("configuration-readers/{data_centre}")
}
