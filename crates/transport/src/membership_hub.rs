//! Membership table of one daemon, shared by the tasks that update it and the
//! tasks that read it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use coordination::membership::{
    HostObservation, KnownHost, ListedHost, MembershipState, MembershipTable, PeerReport,
};
use protocol::peer::{PeerDigest, PeerStatus};
use state::document::IntentDocument;
use tokio::sync::watch;

use crate::services::{HostEntry, HostState, ServiceError};

/// Shared membership table, which also publishes the set of leaving backend
/// servers. Clones share the table.
#[derive(Clone, Debug)]
pub struct MembershipHub {
    shared: Arc<SharedMembership>,
}

#[derive(Debug)]
struct SharedMembership {
    own_host: String,
    own_data_centre: String,
    records: Mutex<MembershipRecords>,
    leaving: watch::Sender<BTreeSet<String>>,
}

#[derive(Debug)]
struct MembershipRecords {
    table: MembershipTable,
    /// Names of the document's backend servers.
    servers: Vec<String>,
    /// Last digest of each peer that the document names.
    digests: BTreeMap<String, ReceivedDigest>,
}

#[derive(Debug)]
struct ReceivedDigest {
    digest: PeerDigest,
    received_at: Instant,
}

/// Names of the live peers by data centre.
#[derive(Clone, Debug, Default)]
pub struct LivePeers {
    /// Peers in the data centre of this daemon, without this daemon's host.
    pub own: Vec<String>,
    /// Name of each other data centre with the peers in it.
    pub others: Vec<(String, Vec<String>)>,
    /// Whether this daemon reads the configuration store for its data centre.
    pub reader: bool,
    /// Hosts that precede this daemon in the order of configuration readers.
    pub watched: Vec<String>,
}

impl MembershipHub {
    /// Returns an empty table for the daemon on `own_host`.
    pub fn new(own_host: &str, own_data_centre: &str) -> Self {
        let records = MembershipRecords {
            table: MembershipTable::new(own_host),
            servers: Vec::new(),
            digests: BTreeMap::new(),
        };
        Self {
            shared: Arc::new(SharedMembership {
                own_host: own_host.to_owned(),
                own_data_centre: own_data_centre.to_owned(),
                records: Mutex::new(records),
                leaving: watch::Sender::new(BTreeSet::new()),
            }),
        }
    }

    /// Returns a channel with the names of the leaving backend servers.
    pub fn leaving(&self) -> watch::Receiver<BTreeSet<String>> {
        self.shared.leaving.subscribe()
    }

    /// Replaces the known names by those of an adopted document.
    pub fn apply_document(&self, document: &IntentDocument, now: Instant) {
        let entries = document.entry_host.iter().map(|host| KnownHost {
            name: host.name.clone(),
            data_centre: host.data_centre.clone(),
            entry: true,
        });
        let members = document.group.iter().flat_map(|group| &group.member);
        let servers = members.clone().map(|member| KnownHost {
            name: member.name.clone(),
            data_centre: member.data_centre.clone(),
            entry: false,
        });
        let known: Vec<KnownHost> = entries.chain(servers).collect();
        let mut records = self.lock();
        records.table.apply_document(&known);
        records.servers = members.map(|member| member.name.clone()).collect();
        let is_entry = |name: &String| document.entry_host.iter().any(|host| host.name == *name);
        records.digests.retain(|name, _| is_entry(name));
        drop(records);
        self.refresh(now);
    }

    /// Applies the platform's list of hosts.
    pub fn apply_list(&self, list: &[HostEntry], now: Instant) {
        let listed: Vec<ListedHost> = list
            .iter()
            .map(|entry| ListedHost {
                name: entry.name.clone(),
                leaving: entry.state == HostState::Leaving,
            })
            .collect();
        self.lock().table.apply_list(&listed);
        self.refresh(now);
    }

    /// Applies a peer's digest: its own state, and the backend servers that it
    /// reports as leaving.
    pub fn apply_digest(&self, digest: &PeerDigest, now: Instant) {
        let report = PeerReport {
            host: &digest.host,
            incarnation: digest.incarnation,
            leaving: digest.leaving,
            leaving_servers: &digest.leaving_servers,
        };
        let mut records = self.lock();
        records.table.apply_peer_report(&report, now);
        // Digests of hosts that the document does not name are dropped, so that
        // faulty digests cannot fill the memory.
        if records.table.state(&digest.host, now) != MembershipState::Absent {
            let received = ReceivedDigest {
                digest: digest.clone(),
                received_at: now,
            };
            records.digests.insert(digest.host.clone(), received);
        }
        drop(records);
        self.refresh(now);
    }

    /// Records a failed exchange with a host.
    pub fn record_failure(&self, host: &str, error: &ServiceError, now: Instant) {
        let observation = match error {
            ServiceError::Unreachable(_) => HostObservation::Refused,
            ServiceError::NoAnswer(_) => HostObservation::TimedOut,
            ServiceError::Refused(_) | ServiceError::BadAnswer(_) => HostObservation::Answered,
        };
        self.lock().table.observe(host, observation, now);
    }

    /// Recomputes and publishes the leaving names. Reports of peers expire, so
    /// the set changes with time alone.
    pub fn refresh(&self, now: Instant) {
        let records = self.lock();
        let is_leaving =
            |name: &&String| records.table.state(name, now) == MembershipState::Leaving;
        let leaving: BTreeSet<String> =
            records.servers.iter().filter(is_leaving).cloned().collect();
        drop(records);
        self.shared.leaving.send_if_modified(|known| {
            let differs = *known != leaving;
            *known = leaving;
            differs
        });
    }

    /// Returns the backend servers that the platform lists as leaving, for the
    /// daemon's own digest.
    pub fn listed_leaving(&self) -> Vec<String> {
        self.lock().table.leaving_servers()
    }

    /// Returns the last digest of each peer with its age in milliseconds.
    pub fn peers(&self, now: Instant) -> Vec<PeerStatus> {
        let records = self.lock();
        let status = |received: &ReceivedDigest| PeerStatus {
            digest: received.digest.clone(),
            age_ms: now
                .saturating_duration_since(received.received_at)
                .as_millis() as u64,
        };
        records.digests.values().map(status).collect()
    }

    /// Returns the membership state of a host or backend server.
    pub fn state(&self, name: &str, now: Instant) -> MembershipState {
        self.lock().table.state(name, now)
    }

    /// Returns the live peers and this daemon's part in reading the store.
    pub fn live_peers(&self, now: Instant) -> LivePeers {
        let records = self.lock();
        let table = &records.table;
        let owned = |names: Vec<&str>| -> Vec<String> {
            let others = names
                .into_iter()
                .filter(|name| *name != self.shared.own_host);
            others.map(str::to_owned).collect()
        };
        let own_centre = self.shared.own_data_centre.as_str();
        let others = table.data_centres().into_iter();
        LivePeers {
            own: owned(table.live_hosts(own_centre, now)),
            others: others
                .filter(|centre| *centre != own_centre)
                .map(|centre| (centre.to_owned(), owned(table.live_hosts(centre, now))))
                .collect(),
            reader: table.is_reader(now),
            watched: table.watched_readers(now),
        }
    }

    fn lock(&self) -> MutexGuard<'_, MembershipRecords> {
        self.shared
            .records
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
