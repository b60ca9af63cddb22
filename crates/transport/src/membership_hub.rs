//! The membership table of one daemon, shared by the tasks that feed it and
//! those that use it.

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

/// The table, with the set of leaving names as a watched value.
#[derive(Clone, Debug)]
pub struct MembershipHub {
    shared: Arc<SharedMembership>,
}

#[derive(Debug)]
struct SharedMembership {
    own_host: String,
    own_data_centre: String,
    table: Mutex<NamedTable>,
    leaving: watch::Sender<BTreeSet<String>>,
}

#[derive(Debug)]
struct NamedTable {
    table: MembershipTable,
    /// Names of the document's backend servers.
    servers: Vec<String>,
    /// Last digest of each known peer.
    digests: BTreeMap<String, HeardDigest>,
}

#[derive(Debug)]
struct HeardDigest {
    digest: PeerDigest,
    heard_at: Instant,
}

/// Live peers by data centre, as owned names.
#[derive(Clone, Debug, Default)]
pub struct LivePeers {
    /// Hosts of the own data centre, without the daemon's own.
    pub own: Vec<String>,
    /// Name and hosts of each other data centre.
    pub others: Vec<(String, Vec<String>)>,
    /// Whether this daemon is a configuration reader.
    pub reader: bool,
    /// Hosts ahead of this daemon in the order of readers.
    pub watched: Vec<String>,
}

impl MembershipHub {
    /// Builds the hub of the daemon on `own_host`.
    pub fn new(own_host: &str, own_data_centre: &str) -> Self {
        let table = NamedTable {
            table: MembershipTable::new(own_host),
            servers: Vec::new(),
            digests: BTreeMap::new(),
        };
        Self {
            shared: Arc::new(SharedMembership {
                own_host: own_host.to_owned(),
                own_data_centre: own_data_centre.to_owned(),
                table: Mutex::new(table),
                leaving: watch::Sender::new(BTreeSet::new()),
            }),
        }
    }

    /// Returns the names of the backend servers that are leaving.
    pub fn leaving(&self) -> watch::Receiver<BTreeSet<String>> {
        self.shared.leaving.subscribe()
    }

    /// Takes over the names of an adopted document.
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
        let mut table = self.lock();
        table.table.apply_document(&known);
        table.servers = members.map(|member| member.name.clone()).collect();
        let is_entry = |name: &String| document.entry_host.iter().any(|host| host.name == *name);
        table.digests.retain(|name, _| is_entry(name));
        drop(table);
        self.refresh(now);
    }

    /// Takes over a list that the platform sent.
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

    /// Takes over what a peer says of itself and of backend servers.
    pub fn apply_digest(&self, digest: &PeerDigest, now: Instant) {
        let statement = PeerReport {
            host: &digest.host,
            incarnation: digest.incarnation,
            leaving: digest.leaving,
            leaving_servers: &digest.leaving_servers,
        };
        let mut table = self.lock();
        table.table.apply_peer_report(&statement, now);
        // A host that the document does not name is not kept, so that faulty
        // digests cannot fill the memory.
        if table.table.state(&digest.host, now) != MembershipState::Absent {
            let heard = HeardDigest {
                digest: digest.clone(),
                heard_at: now,
            };
            table.digests.insert(digest.host.clone(), heard);
        }
        drop(table);
        self.refresh(now);
    }

    /// Notes that an exchange with a host failed.
    pub fn note_failure(&self, host: &str, error: &ServiceError, now: Instant) {
        let observation = match error {
            ServiceError::Unreachable(_) => HostObservation::Refused,
            ServiceError::NoAnswer(_) => HostObservation::TimedOut,
            ServiceError::Refused(_) | ServiceError::BadAnswer(_) => HostObservation::Answered,
        };
        self.lock().table.observe(host, observation, now);
    }

    /// Publishes the leaving names anew, since statements of peers expire.
    pub fn refresh(&self, now: Instant) {
        let table = self.lock();
        let is_leaving = |name: &&String| table.table.state(name, now) == MembershipState::Leaving;
        let leaving: BTreeSet<String> = table.servers.iter().filter(is_leaving).cloned().collect();
        drop(table);
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

    /// Returns the last digest of each peer with its age.
    pub fn peers(&self, now: Instant) -> Vec<PeerStatus> {
        let table = self.lock();
        let status = |heard: &HeardDigest| PeerStatus {
            digest: heard.digest.clone(),
            age_ms: now.saturating_duration_since(heard.heard_at).as_millis() as u64,
        };
        table.digests.values().map(status).collect()
    }

    /// Returns the state of a host.
    pub fn state(&self, name: &str, now: Instant) -> MembershipState {
        self.lock().table.state(name, now)
    }

    /// Returns the live peers.
    pub fn live_peers(&self, now: Instant) -> LivePeers {
        let table = self.lock();
        let table = &table.table;
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

    fn lock(&self) -> MutexGuard<'_, NamedTable> {
        self.shared
            .table
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
