//! Reports of group members about their own state.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::log::{LogPosition, Term};

/// Role of a member in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberRole {
    /// Accepts writes at the promised term.
    Primary,
    /// Accepts reads and the replication stream.
    Replica,
}

impl MemberRole {
    /// Returns the name used in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Primary => "primary",
            Self::Replica => "replica",
        }
    }
}

/// Atomic snapshot of a member's state.
///
/// # Invariants
///
/// `log.term <= promised_term` and `applied <= log`. While connections to the
/// member are open, `applied` never falls below an accepted entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct MemberReport {
    /// Highest term at which the member was fenced or which it follows.
    pub promised_term: Term,
    /// Role at the promised term.
    pub role: MemberRole,
    /// Position of the last entry of the log.
    pub log: LogPosition,
    /// Position of the last entry that reads see.
    pub applied: LogPosition,
    /// Time since the last heartbeat from the primary of the promised term.
    #[serde(rename = "primary_heard")]
    pub primary_heartbeat_age: Option<Duration>,
}

impl MemberReport {
    /// Returns whether `log.term <= promised_term` and `applied <= log` hold.
    pub fn is_consistent(&self) -> bool {
        self.log.term <= self.promised_term && self.applied <= self.log
    }

    /// Returns whether this report counts towards the confirmation of a commit
    /// at `position`: the member is at the same term and its log contains the
    /// entry.
    pub fn confirms(&self, position: LogPosition) -> bool {
        self.promised_term == position.term
            && self.log.term == position.term
            && self.log.reaches(position)
    }
}

/// Returns the number of members that form a majority of `members`.
pub const fn majority(members: usize) -> usize {
    members / 2 + 1
}
