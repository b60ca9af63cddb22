//! What a backend server reports about itself.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::log::{LogPosition, Term};

/// Role of a member in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberRole {
    /// Accepts writes at its promised term.
    Primary,
    /// Accepts reads and the replication stream.
    Replica,
}

/// One atomic reading of a member's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct MemberReport {
    /// Highest term that the member was fenced at or follows.
    pub promised_term: Term,
    /// Role at the promised term.
    pub role: MemberRole,
    /// Last entry of the log. INVARIANT: `log.term <= promised_term`.
    pub log: LogPosition,
    /// Last entry that reads see. INVARIANT: `applied <= log`, and it never
    /// falls below an accepted entry while connections to the member live.
    pub applied: LogPosition,
    /// Age of the last heartbeat from the primary of the promised term.
    pub primary_heard: Option<Duration>,
}

impl MemberReport {
    /// Checks the invariants of the fields.
    pub fn is_consistent(&self) -> bool {
        self.log.term <= self.promised_term && self.applied <= self.log
    }

    /// Tells whether this report counts towards the confirmation of a commit
    /// at `position`: same term, and the log contains the entry.
    pub fn confirms(&self, position: LogPosition) -> bool {
        self.promised_term == position.term
            && self.log.term == position.term
            && self.log.reaches(position)
    }
}

/// Returns how many of `members` make a majority.
pub const fn majority(members: usize) -> usize {
    members / 2 + 1
}
