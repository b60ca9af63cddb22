//! Judges the failover lease from the rows that the table service returns.
//!
//! The row names its holder but no instant, since clocks of different hosts are
//! not compared. Each write of the row raises its revision. An observer counts
//! the lease's duration from the instant at which it first asked and saw the
//! revision, which is at or after the holder's write; the lease has then lapsed
//! for the holder too.

use std::time::{Duration, Instant};

/// Holder of the lease as the row names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseHolder {
    /// The row is absent or was released.
    Nobody,
    /// This machine.
    Us,
    /// Another one.
    Other,
}

/// What to do after the row was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Write this machine's name if the row still has this revision.
    Write {
        /// Revision that the row must have.
        expected_revision: u64,
    },
    /// Another daemon holds the lease.
    HeldByOther {
        /// Instant at which it can be taken over.
        until: Instant,
    },
}

#[derive(Clone, Copy, Debug)]
struct SeenRevision {
    revision: u64,
    at: Instant,
}

/// Memory of the newest revision of one lease row.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaseObserver {
    seen: Option<SeenRevision>,
}

impl LeaseObserver {
    /// Judges a row that was read at `now`.
    pub fn observe(
        &mut self,
        revision: u64,
        holder: LeaseHolder,
        now: Instant,
        lease: Duration,
    ) -> LeaseStep {
        let seen = match self.seen {
            Some(seen) if seen.revision >= revision => seen,
            _ => SeenRevision { revision, at: now },
        };
        self.seen = Some(seen);
        let until = seen.at + lease;
        if holder == LeaseHolder::Other && now < until {
            return LeaseStep::HeldByOther { until };
        }
        LeaseStep::Write {
            expected_revision: revision,
        }
    }
}
