//! Results of reading the platform's store.
//!
//! Times are those of the store's monotonic clock, which all hosts that read
//! the store have in common.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::log::{LogPosition, Term};
use crate::plan::RoutePlan;
use crate::server_list::ListedServer;

/// Number of the store's history, which rises each time the store returns from an
/// older copy. What was written after that copy is lost, and its revisions are given
/// out again.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreEra(pub u64);

/// A revision of the store and the history that it belongs to.
///
/// # Invariants
///
/// The order is by era first: numbers of different eras say nothing about each other.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct StoreRevision {
    /// The history in which the number was given out.
    pub era: StoreEra,
    /// Number of the revision; 0 if the row does not exist.
    pub number: u64,
}

impl StoreRevision {
    /// Creates the revision `number` of `era`.
    pub const fn new(era: StoreEra, number: u64) -> Self {
        Self { era, number }
    }
}

/// A row of a table in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct StoredRow {
    /// Key of the row in its table.
    pub key: String,
    /// Revision at which the row was last written, in the era of the reading.
    pub revision: u64,
    /// Encoded value.
    pub value: Vec<u8>,
}

/// Rows that one read of a table returned: all rows, or those that were written
/// after a given revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct TableReading {
    /// The rows. A read of the whole table returns them sorted by key, a read of
    /// changes in the order in which they were written.
    pub rows: Vec<StoredRow>,
    /// Newest revision of the store at the time of the read.
    pub revision: StoreRevision,
    /// The store's monotonic clock at the time of the read.
    pub store_time: Duration,
}

/// The platform's list of backend servers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct ServerListReading {
    /// Era in which the list was read.
    pub era: StoreEra,
    /// The store's monotonic clock at the time of the read.
    pub store_time: Duration,
    /// Entries that were decoded.
    pub servers: Vec<ListedServer>,
    /// Entries that could not be decoded.
    pub rejected: Vec<RejectedEntry>,
}

/// An entry of the server list or of the plan that could not be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct RejectedEntry {
    /// Key of the entry.
    pub key: String,
    /// Why it could not be decoded.
    pub reason: String,
}

/// The route plan that operators published.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct PlanReading {
    /// The newest plan that the sender knows; `None` if the read returned none.
    pub plan: Option<RoutePlan>,
    /// Version of the plan that the store has; `None` if the read does not show it. A
    /// host that passes the reading on may know a newer plan, which the store lost.
    pub stored_version: Option<u64>,
    /// Entries of the plan that are not served. Empty in a reading that is passed on to
    /// other hosts, so that only the host that read the store reports them.
    pub rejected: Vec<RejectedEntry>,
    /// Newest revision of the store at the time of the read.
    pub revision: StoreRevision,
    /// The store's monotonic clock at the time of the read.
    pub store_time: Duration,
}

/// A live entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct LiveHost {
    /// Name, unique among the entry hosts.
    pub name: String,
    /// Data centre of the host.
    pub data_centre: String,
    /// Address at which the host passes readings on.
    pub relay_address: SocketAddr,
    /// Time on the store's clock, in milliseconds, at which the host joined.
    pub joined_ms: u64,
}

impl LiveHost {
    /// Returns the key by which hosts are ranked: those that joined first come first.
    pub fn seniority(&self) -> (u64, &str) {
        (self.joined_ms, &self.name)
    }
}

/// A host's report that it is live.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct HostReport {
    /// Name of the host.
    pub host: String,
    /// Data centre of the host.
    pub data_centre: String,
    /// Random number of the host's process.
    pub incarnation: u64,
    /// Address at which the host passes readings on.
    pub relay_address: SocketAddr,
}

/// What a host knows about the primary of a group, for hosts that did not ask the
/// members themselves. Times are on the store's clock and never too late.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct GroupDigest {
    /// Name of the group.
    pub group: String,
    /// Identity of the primary.
    pub primary: String,
    /// Term of the primary.
    pub term: Term,
    /// Time up to which the primary is assured to be the only one.
    pub assured_until: Option<Duration>,
    /// The newest watermark.
    pub watermark: Option<WatermarkDigest>,
}

/// A log position that covers every commit that was acknowledged before a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct WatermarkDigest {
    /// Time before which the covered commits were acknowledged.
    pub asked_at: Duration,
    /// The log position.
    pub position: LogPosition,
}
