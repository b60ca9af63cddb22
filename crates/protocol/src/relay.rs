//! Between entry hosts of one data centre: one of them reads the platform's
//! store, the others get its readings.

use serde::{Deserialize, Serialize};
use state::reading::{ListingReading, PlanReading, TableReading};

/// The newest readings that a host has of another one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct KnownReadings {
    /// Random number of the reading host's process; the numbers below belong
    /// to it.
    pub incarnation: u64,
    /// Number of the reading of the groups' rows.
    pub reigns: u64,
    /// Number of the reading of the list of backend servers.
    pub listing: u64,
    /// Number of the reading of the plan.
    pub plan: u64,
}

/// Readings that are newer than the known ones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct RelayedReadings {
    /// What the receiver knows after this answer.
    pub known: KnownReadings,
    /// The groups' rows.
    pub reigns: Option<TableReading>,
    /// The list of backend servers.
    pub listing: Option<ListingReading>,
    /// The plan; one that the receiver has is given without its routes.
    pub plan: Option<PlanReading>,
}

/// Calls between entry hosts.
#[tarpc::service]
pub trait RelayService {
    /// Waits for readings newer than the known ones, up to a second.
    async fn next_readings(known: KnownReadings) -> RelayedReadings;
}
