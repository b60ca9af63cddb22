//! The `tarpc` service with which the entry hosts share the results of reading the
//! platform's store: one host reads the store and relays its readings to the
//! others, which relay them in turn.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use state::allotment::{AllotmentReply, AllotmentRequest};
use state::reading::{
    GroupDigest, HostReport, LiveHost, PlanReading, ServerListReading, StoreEra, StoreRevision,
    TableReading,
};

use crate::forward::{ForwardReply, ForwardRequest, TransactionEnd};

/// Identifies the newest readings that a host received from its reader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct KnownReadings {
    /// Random number of the reader's process. The other numbers are valid only for
    /// this process.
    pub incarnation: u64,
    /// Number of the newest reading of the rows of the groups.
    pub group_rows: u64,
    /// Number of the newest reading of the list of backend servers.
    pub server_list: u64,
    /// Number of the newest reading of the route plan.
    pub plan: u64,
    /// Number of the newest list of live hosts.
    pub hosts: u64,
    /// Number of the newest digests that are worth an answer of their own.
    pub digests: u64,
}

/// A host's request for readings.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct ReadingsRequest {
    /// The readings that the host has.
    pub known: KnownReadings,
    /// Newest era of the store that the host knows.
    pub era: Option<StoreEra>,
    /// Reports of the host and of those that fetch readings from it.
    pub reports: Vec<HostReport>,
}

/// A relayed reading of a table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RelayedTable {
    /// The whole reading.
    Whole(TableReading),
    /// The rows are those that the receiver has.
    SameRows {
        /// Newest revision of the store at the time of the read.
        revision: StoreRevision,
        /// The store's monotonic clock at the time of the read.
        store_time: Duration,
    },
}

/// Readings that are newer than those the receiver has. A reading that is not
/// newer is `None`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct RelayedReadings {
    /// Identifies the readings that the receiver has after this answer.
    pub known: KnownReadings,
    /// Newest era of the store that the sender knows. The times and the digests are
    /// of this era.
    pub era: Option<StoreEra>,
    /// A time that the store's clock had not passed when the request arrived;
    /// `None` if the sender does not know one.
    pub latest_time: Option<Duration>,
    /// A time that the store's clock had reached when the answer was sent; `None` if
    /// the sender does not know one.
    pub earliest_time: Option<Duration>,
    /// What the sender knows of the groups' primaries.
    pub digests: Vec<GroupDigest>,
    /// Rows of the groups.
    pub group_rows: Option<RelayedTable>,
    /// List of backend servers.
    pub server_list: Option<ServerListReading>,
    /// Reading of the route plan, with the newest plan that the sender knows.
    pub plan: Option<PlanReading>,
    /// Live entry hosts of all data centres.
    pub hosts: Option<Vec<LiveHost>>,
}

/// Calls between entry hosts. New methods are added at the end, because the encoding
/// identifies a method by its position.
#[tarpc::service]
pub trait RelayService {
    /// Waits for up to one second for readings that are newer than those of the
    /// request.
    async fn next_readings(request: ReadingsRequest) -> RelayedReadings;
    /// Runs a statement at a member on a connection of this host.
    async fn forward_statement(request: ForwardRequest) -> ForwardReply;
    /// Rolls an open transaction of this RPC connection back, if it still exists, and
    /// returns the version of the forwarding messages that this host understands.
    async fn end_transaction(request: TransactionEnd) -> u32;
    /// Grants operations of client accounts.
    async fn request_allotments(request: AllotmentRequest) -> AllotmentReply;
}
