//! The failover lease in a revisioned row of the table service.
//!
//! The lease saves needless concurrent failovers; safety rests on terms alone.
//! Expiry is counted from the instant at which an observer first saw the row's
//! revision, on the observer's monotonic clock. Clocks of different hosts are
//! therefore never compared, and an observer can only be late, never early.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use state::log::Term;

/// Value of the lease row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct LeaseValue {
    /// Name of the holding host; empty after a release.
    pub holder: String,
    /// Random number of the holder's process, so that a restarted daemon does
    /// not take its predecessor's lease for its own.
    pub incarnation: u64,
    /// Term for which the holder wants to promote a member.
    pub term: Term,
    /// Duration of the lease in milliseconds.
    pub duration_ms: u64,
}

/// The row as it was read. Revision 0 means that it does not exist.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRow {
    /// Revision.
    pub revision: u64,
    /// Value; `None` when the row does not exist or cannot be understood.
    pub value: Option<LeaseValue>,
}

/// What to do to get the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseDecision {
    /// This daemon holds the lease until the instant.
    Mine {
        /// End of the lease, counted from before the write was sent.
        until: Instant,
    },
    /// Write the value if the row still has this revision. The lease was free,
    /// released, or expired.
    Write {
        /// Expected revision.
        expected_revision: u64,
        /// New value.
        value: LeaseValue,
        /// Whether an expired lease of another holder is taken over.
        steals: bool,
    },
    /// Another daemon holds the lease; ask again at the instant.
    Wait {
        /// Instant at which the lease expires for this observer.
        until: Instant,
    },
}

#[derive(Clone, Debug)]
struct SeenRow {
    row: LeaseRow,
    first_seen: Instant,
}

/// One daemon's view of a group's lease.
///
/// # Invariants
///
/// `seen` has the highest revision read, and `first_seen` is the instant after
/// the first read that showed it.
#[derive(Clone, Debug)]
pub struct LeaseView {
    host: String,
    incarnation: u64,
    duration: Duration,
    seen: Option<SeenRow>,
    /// Revision that this daemon wrote, with the instant before it was sent.
    written: Option<WrittenRow>,
}

#[derive(Clone, Copy, Debug)]
struct WrittenRow {
    revision: u64,
    sent_at: Instant,
}

impl LeaseView {
    /// Builds the view of a daemon that has read nothing.
    pub fn new(host: &str, incarnation: u64, duration: Duration) -> Self {
        Self {
            host: host.to_owned(),
            incarnation,
            duration,
            seen: None,
            written: None,
        }
    }

    /// Notes a row that was read, or that a conflicting write returned.
    pub fn observe(&mut self, row: LeaseRow, now: Instant) {
        let newest = self.seen.as_ref().map(|seen| seen.row.revision);
        if newest.is_some_and(|revision| row.revision <= revision) {
            return;
        }
        self.seen = Some(SeenRow {
            row,
            first_seen: now,
        });
    }

    /// Notes that this daemon's write took effect. `sent_at` is the instant
    /// before it was sent. A write whose answer is lost is not noted: when it
    /// took effect, this daemon sees its own value as held until it expires.
    pub fn note_written(&mut self, revision: u64, value: LeaseValue, sent_at: Instant) {
        assert!(
            value.holder.is_empty() || value.incarnation == self.incarnation,
            "only own leases are written"
        );
        let holds = !value.holder.is_empty();
        let row = LeaseRow {
            revision,
            value: Some(value),
        };
        self.observe(row, sent_at);
        self.written = holds.then_some(WrittenRow { revision, sent_at });
    }

    /// Decides how to get the lease for a failover to `term`. Before the first
    /// read it writes at revision 0, which conflicts unless the row is missing
    /// and then returns the row.
    pub fn decide(&self, term: Term, now: Instant) -> LeaseDecision {
        if let Some(until) = self.held_until(now) {
            return LeaseDecision::Mine { until };
        }
        let Some(seen) = &self.seen else {
            return self.write(0, term, false);
        };
        let holder = seen
            .row
            .value
            .as_ref()
            .filter(|value| !value.holder.is_empty());
        let Some(value) = holder else {
            return self.write(seen.row.revision, term, false);
        };
        // The holder's duration counts, but a bad row must not hold for ever.
        let duration = Duration::from_millis(value.duration_ms).min(self.duration * 2);
        let until = seen.first_seen + duration;
        if now < until {
            return LeaseDecision::Wait { until };
        }
        self.write(seen.row.revision, term, true)
    }

    /// Returns the write that releases the lease, if this daemon holds it.
    pub fn release(&self, now: Instant) -> Option<LeaseDecision> {
        self.held_until(now)?;
        let seen = self.seen.as_ref()?;
        let mut value = seen.row.value.clone()?;
        value.holder.clear();
        Some(LeaseDecision::Write {
            expected_revision: seen.row.revision,
            value,
            steals: false,
        })
    }

    fn held_until(&self, now: Instant) -> Option<Instant> {
        let written = self.written?;
        let newest = self.seen.as_ref()?.row.revision;
        let until = written.sent_at + self.duration;
        (written.revision == newest && now < until).then_some(until)
    }

    fn write(&self, expected_revision: u64, term: Term, steals: bool) -> LeaseDecision {
        LeaseDecision::Write {
            expected_revision,
            value: LeaseValue {
                holder: self.host.clone(),
                incarnation: self.incarnation,
                term,
                duration_ms: self.duration.as_millis() as u64,
            },
            steals,
        }
    }
}
