//! The failover lease, stored in a revisioned row of the table service.
//!
//! The lease avoids needless concurrent failovers; safety depends on terms
//! alone. An observer counts the expiry from the instant at which it first read
//! the row's revision, on its own monotonic clock. Clocks of different hosts are
//! therefore never compared, and an observer can take over a lease too late but
//! never too early.

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
    /// not mistake its predecessor's lease for its own.
    pub incarnation: u64,
    /// Term at which the holder intends to promote a member.
    pub term: Term,
    /// Duration of the lease in milliseconds.
    pub duration_ms: u64,
}

/// The lease row as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRow {
    /// Revision; 0 when the row does not exist.
    pub revision: u64,
    /// Value; `None` when the row does not exist or cannot be parsed.
    pub value: Option<LeaseValue>,
}

/// Next step towards acquiring or releasing the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseDecision {
    /// This daemon holds the lease.
    Held {
        /// End of the lease, counted from the instant before the write was sent.
        until: Instant,
    },
    /// Write the value if the row still has the expected revision: the lease is
    /// free or expired, or this daemon releases it.
    Write {
        /// Expected revision.
        expected_revision: u64,
        /// New value.
        value: LeaseValue,
        /// Whether the write takes over an expired lease of another holder.
        takes_over: bool,
    },
    /// Another daemon holds the lease; decide again at `until`.
    Wait {
        /// Instant at which the lease expires for this observer.
        until: Instant,
    },
}

#[derive(Clone, Debug)]
struct ObservedRow {
    row: LeaseRow,
    first_observed_at: Instant,
}

/// One daemon's view of a group's lease.
///
/// # Invariants
///
/// `observed` has the highest revision read or written. Its `first_observed_at`
/// is the instant after the first read that returned this revision, or the
/// instant before this daemon wrote it.
#[derive(Clone, Debug)]
pub struct LeaseView {
    host: String,
    incarnation: u64,
    duration: Duration,
    observed: Option<ObservedRow>,
    /// Revision that this daemon wrote, with the instant before it was sent.
    written: Option<WrittenRow>,
}

#[derive(Clone, Copy, Debug)]
struct WrittenRow {
    revision: u64,
    sent_at: Instant,
}

impl LeaseView {
    /// Creates the view of a daemon that has not read the row yet.
    pub fn new(host: &str, incarnation: u64, duration: Duration) -> Self {
        Self {
            host: host.to_owned(),
            incarnation,
            duration,
            observed: None,
            written: None,
        }
    }

    /// Records a row that was read or that a conflicting write returned. A row
    /// that is not newer than the newest known one is ignored.
    pub fn observe(&mut self, row: LeaseRow, now: Instant) {
        let newest = self.observed.as_ref().map(|observed| observed.row.revision);
        if newest.is_some_and(|revision| row.revision <= revision) {
            return;
        }
        self.observed = Some(ObservedRow {
            row,
            first_observed_at: now,
        });
    }

    /// Records that this daemon's write took effect. `sent_at` is the instant
    /// before it was sent.
    ///
    /// A write whose answer is lost must not be recorded. If it took effect, this
    /// daemon treats its own value like another daemon's lease until it expires.
    pub fn record_written(&mut self, revision: u64, value: LeaseValue, sent_at: Instant) {
        assert!(
            value.holder.is_empty() || value.incarnation == self.incarnation,
            "a daemon may write only its own lease"
        );
        let holds = !value.holder.is_empty();
        let row = LeaseRow {
            revision,
            value: Some(value),
        };
        self.observe(row, sent_at);
        self.written = holds.then_some(WrittenRow { revision, sent_at });
    }

    /// Decides how to acquire the lease for a failover to `term`. Before the
    /// first read the decision is a write at revision 0: it creates a missing row
    /// and otherwise conflicts, and the conflict returns the row.
    pub fn decide(&self, term: Term, now: Instant) -> LeaseDecision {
        if let Some(until) = self.held_until(now) {
            return LeaseDecision::Held { until };
        }
        let Some(observed) = &self.observed else {
            return self.write(0, term, false);
        };
        let holder = observed
            .row
            .value
            .as_ref()
            .filter(|value| !value.holder.is_empty());
        let Some(value) = holder else {
            return self.write(observed.row.revision, term, false);
        };
        // The holder's duration applies, capped so that a bad row cannot block
        // the lease for ever.
        let duration = Duration::from_millis(value.duration_ms).min(self.duration * 2);
        let until = observed.first_observed_at + duration;
        if now < until {
            return LeaseDecision::Wait { until };
        }
        self.write(observed.row.revision, term, true)
    }

    /// Returns the write that releases the lease, if this daemon holds it.
    pub fn release(&self, now: Instant) -> Option<LeaseDecision> {
        self.held_until(now)?;
        let observed = self.observed.as_ref()?;
        let mut value = observed.row.value.clone()?;
        value.holder.clear();
        Some(LeaseDecision::Write {
            expected_revision: observed.row.revision,
            value,
            takes_over: false,
        })
    }

    fn held_until(&self, now: Instant) -> Option<Instant> {
        let written = self.written?;
        let newest = self.observed.as_ref()?.row.revision;
        let until = written.sent_at + self.duration;
        (written.revision == newest && now < until).then_some(until)
    }

    fn write(&self, expected_revision: u64, term: Term, takes_over: bool) -> LeaseDecision {
        LeaseDecision::Write {
            expected_revision,
            value: LeaseValue {
                holder: self.host.clone(),
                incarnation: self.incarnation,
                term,
                duration_ms: self.duration.as_millis() as u64,
            },
            takes_over,
        }
    }
}
