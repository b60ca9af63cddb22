//! The routes that operators allow: which database name leads to which group,
//! how fresh its reads must be, and how long a statement may take.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How fresh the reads of a route must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReadFreshness {
    /// A read sees every write that was acknowledged before it began.
    Current,
    /// A read sees every write that was acknowledged this long before it began.
    Bounded {
        /// Tolerated age.
        max_staleness: Duration,
    },
    /// As `Bounded`, and a session sees all its own writes.
    OwnWrites {
        /// Tolerated age of the writes of others.
        max_staleness: Duration,
    },
}

impl ReadFreshness {
    /// Returns the tolerated age of the writes of other sessions.
    pub const fn max_staleness(self) -> Duration {
        match self {
            Self::Current => Duration::ZERO,
            Self::Bounded { max_staleness } | Self::OwnWrites { max_staleness } => max_staleness,
        }
    }

    /// Returns the name that logs and metrics use.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Current => "current",
            Self::Bounded { .. } => "bounded",
            Self::OwnWrites { .. } => "own_writes",
        }
    }
}

/// What is allowed for one database name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct AccessRoute {
    /// Name of the database, as callers give it.
    pub database: String,
    /// Group that serves it.
    pub group: String,
    /// Freshness of its reads.
    pub freshness: ReadFreshness,
    /// Longest time of one statement.
    pub statement_timeout: Duration,
    /// Time within which an operation should be answered.
    pub latency_target: Duration,
    /// Priority; 0 is the highest, 9 the lowest.
    pub priority: u8,
}

/// What operators say of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct GroupPlan {
    /// Name of the group.
    pub name: String,
    /// Connections that a member accepts from all entry hosts together.
    pub connection_limit: u32,
    /// Replicas that hold a commit before the primary acknowledges it.
    pub sync_replicas: u32,
}

/// One version of the routes and groups.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct RoutePlan {
    /// Version; later versions have higher numbers.
    pub version: u64,
    /// Routes by database name.
    pub routes: HashMap<String, AccessRoute>,
    /// Groups by name.
    pub groups: BTreeMap<String, GroupPlan>,
    /// Time after which an idle transaction may be ended.
    pub transaction_idle: Duration,
}

impl RoutePlan {
    /// Returns the route of a database.
    pub fn route(&self, database: &str) -> Option<&AccessRoute> {
        self.routes.get(database)
    }
}
