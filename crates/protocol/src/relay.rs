//! The `tarpc` service with which the entry hosts of a data centre share the
//! results of reading the platform's store: one host reads the store and relays
//! its readings to the others.

use serde::{Deserialize, Serialize};
use state::reading::{PlanReading, ServerListReading, TableReading};

/// Identifies the newest readings that a host received from the reading host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct KnownReadings {
    /// Random number of the reading host's process. The other numbers are valid
    /// only for this process.
    pub incarnation: u64,
    /// Number of the newest reading of the rows of the groups.
    pub reigns: u64,
    /// Number of the newest reading of the list of backend servers.
    pub listing: u64,
    /// Number of the newest reading of the route plan.
    pub plan: u64,
}

/// Readings that are newer than those the receiver has. A reading that is not
/// newer is `None`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct RelayedReadings {
    /// Identifies the readings that the receiver has after this answer.
    pub known: KnownReadings,
    /// Rows of the groups.
    pub reigns: Option<TableReading>,
    /// List of backend servers.
    pub listing: Option<ServerListReading>,
    /// Reading of the route plan, with the newest plan that the reading host
    /// knows.
    pub plan: Option<PlanReading>,
}

/// Calls from an entry host to the reading host.
#[tarpc::service]
pub trait RelayService {
    /// Waits for up to one second for readings that are newer than `known`.
    async fn next_readings(known: KnownReadings) -> RelayedReadings;
}
