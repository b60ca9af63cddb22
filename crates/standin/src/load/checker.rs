//! Compares the outcomes that callers received with the data that the groups
//! store.

use std::collections::HashMap;

use serde::Serialize;

/// Final outcome of a write, as its caller knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write was acknowledged, or its outcome was reported as committed.
    Accepted,
    /// The write was reported as not run.
    NotRun,
    /// No answer gave the outcome.
    Unknown,
}

/// One write of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WriteRecord {
    /// Number of the caller.
    pub writer: i64,
    /// Number of the write, which increases per caller.
    pub sequence: i64,
    /// Outcome as the caller knows it.
    pub outcome: WriteOutcome,
}

/// Number of stored copies of each write, by writer and sequence.
pub type StoredCounts = HashMap<(i64, i64), u64>;

/// Result of the check. All counts except `accepted`, `not_run` and `unknown`
/// must be 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct CheckCounts {
    /// Accepted writes.
    pub accepted: u64,
    /// Writes that were reported as not run.
    pub not_run: u64,
    /// Writes without a known outcome.
    pub unknown: u64,
    /// Accepted writes that are not stored.
    pub lost: u64,
    /// Writes that are stored more than once.
    pub doubled: u64,
    /// Reads that missed an accepted write of the same caller.
    pub stale: u64,
    /// Writes that were reported as not run and are stored.
    pub refused_but_ran: u64,
    /// Stored writes that no caller sent.
    pub foreign: u64,
}

impl CheckCounts {
    /// Compares the writes of one group with the copies that it stores. `stale`
    /// is taken over as it is.
    pub fn compare(writes: &[WriteRecord], stored: &StoredCounts, stale: u64) -> Self {
        let mut counts = Self {
            stale,
            ..Self::default()
        };
        for write in writes {
            let key = (write.writer, write.sequence);
            let copies = stored.get(&key).copied().unwrap_or(0);
            counts.count_write(write.outcome, copies);
        }
        let sent = writes
            .iter()
            .filter(|write| stored.contains_key(&(write.writer, write.sequence)));
        counts.foreign = (stored.len() - sent.count()) as u64;
        counts
    }

    /// Adds the counts of another group.
    pub fn merge(&mut self, other: &Self) {
        self.accepted += other.accepted;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.lost += other.lost;
        self.doubled += other.doubled;
        self.stale += other.stale;
        self.refused_but_ran += other.refused_but_ran;
        self.foreign += other.foreign;
    }

    /// Returns whether the check found no broken guarantee.
    pub fn is_clean(&self) -> bool {
        let broken = self.lost + self.doubled + self.stale + self.refused_but_ran + self.foreign;
        broken == 0
    }

    fn count_write(&mut self, outcome: WriteOutcome, copies: u64) {
        self.doubled += u64::from(copies > 1);
        match outcome {
            WriteOutcome::Accepted => {
                self.accepted += 1;
                self.lost += u64::from(copies == 0);
            }
            WriteOutcome::NotRun => {
                self.not_run += 1;
                self.refused_but_ran += u64::from(copies > 0);
            }
            WriteOutcome::Unknown => self.unknown += 1,
        }
    }
}
