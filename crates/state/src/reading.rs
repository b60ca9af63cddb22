//! Readings of the platform's store, each with the store's steady clock.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::listing::ListedServer;
use crate::plan::RoutePlan;

/// A row as the store returned it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct StoredRow {
    /// Key.
    pub key: String,
    /// Revision; rises with each write.
    pub revision: u64,
    /// Value.
    pub value: Vec<u8>,
}

/// Rows of a table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct TableReading {
    /// The rows, in order of their keys.
    pub rows: Vec<StoredRow>,
    /// Newest revision of the store.
    pub revision: u64,
    /// The store's steady clock.
    pub store_time: Duration,
}

/// The list of backend servers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct ListingReading {
    /// Entries that could be understood.
    pub servers: Vec<ListedServer>,
    /// The others.
    pub rejected: Vec<RejectedEntry>,
}

/// An entry of the list that could not be understood.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct RejectedEntry {
    /// Its key.
    pub key: String,
    /// What is wrong with it.
    pub reason: String,
}

/// The operators' routes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct PlanReading {
    /// The newest plan, if the reading holds one.
    pub plan: Option<RoutePlan>,
    /// Newest revision of the store.
    pub revision: u64,
    /// The store's steady clock.
    pub store_time: Duration,
}
