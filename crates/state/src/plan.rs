//! The route plan that operators publish: which group serves each database
//! name, how fresh its reads must be and how long a statement may take.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::account::AccountTable;

/// How fresh the reads of a route must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReadFreshness {
    /// A read sees every write that was acknowledged before it began.
    Current,
    /// A read sees every write that was acknowledged at least `max_staleness`
    /// before it began.
    Bounded {
        /// Longest time for which a read may miss an acknowledged write.
        max_staleness: Duration,
    },
    /// Like `Bounded`, and a session also sees all its own writes.
    OwnWrites {
        /// Longest time for which a read may miss an acknowledged write of
        /// another session.
        max_staleness: Duration,
    },
}

impl ReadFreshness {
    /// Returns the longest time for which a read may miss an acknowledged write
    /// of another session.
    pub const fn max_staleness(self) -> Duration {
        match self {
            Self::Current => Duration::ZERO,
            Self::Bounded { max_staleness } | Self::OwnWrites { max_staleness } => max_staleness,
        }
    }

    /// Returns the name used in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Current => "current",
            Self::Bounded { .. } => "bounded",
            Self::OwnWrites { .. } => "own_writes",
        }
    }
}

/// Route and limits of one database name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct AccessRoute {
    /// Database name that callers connect to.
    pub database: String,
    /// Name of the group that serves the database.
    pub group: String,
    /// Required freshness of reads.
    pub freshness: ReadFreshness,
    /// Longest execution time of one statement.
    pub statement_timeout: Duration,
    /// Time within which an operation should be answered.
    pub latency_target: Duration,
    /// Priority; 0 is the highest, 9 the lowest.
    pub priority: u8,
    /// Whether callers need no key although the plan has accounts.
    pub is_public: bool,
}

/// Settings of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct GroupPlan {
    /// Name of the group.
    pub name: String,
    /// Connections that each member accepts from all entry hosts together.
    pub connection_limit: u32,
    /// Number of replicas that must hold a commit before the primary acknowledges
    /// it.
    pub sync_replicas: u32,
}

/// One version of the operators' routes and groups.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct RoutePlan {
    /// Version number; later plans have higher numbers.
    pub version: u64,
    /// Routes by database name.
    pub routes: HashMap<String, AccessRoute>,
    /// Groups by name.
    pub groups: BTreeMap<String, GroupPlan>,
    /// Client accounts with their keys and caps.
    pub accounts: AccountTable,
    /// Idle time after which an open transaction may be ended.
    pub transaction_idle: Duration,
}

impl RoutePlan {
    /// Returns the route of a database; `None` if the plan has none.
    pub fn route(&self, database: &str) -> Option<&AccessRoute> {
        self.routes.get(database)
    }
}
