//! The duty to change primaries: a lease in one row of the store, with a
//! fencing token that rises with each change of holder.
//!
//! Expiry is counted on the store's steady clock, which every host reads with
//! the row. A holder counts its own lease from before it read that clock, so
//! it stops before others may begin.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Duration of the lease: the order to promote follows the announcement within
/// about 1.2 s, and a holder that is lost delays the change by no more than this
/// and the margin below.
pub const DUTY_DURATION: Duration = Duration::from_secs(3);
/// Time between the end of a lease and its takeover: calls of the last holder
/// may be on their way.
const TAKEOVER_MARGIN: Duration = Duration::from_millis(1_000);
/// Time before the end of its lease at which a holder starts no more calls.
const HOLDER_MARGIN: Duration = Duration::from_millis(500);

/// Value of the duty row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct DutyRow {
    /// Host that holds the duty.
    pub host: String,
    /// Random number of its process: a restarted process does not continue the
    /// lease of its predecessor.
    pub incarnation: u64,
    /// Fencing token.
    pub fencing_token: u64,
    /// End of the lease on the store's clock in milliseconds.
    pub until_ms: u64,
}

/// A reading of the duty row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyReading {
    /// The row; nothing when it does not exist or cannot be understood.
    pub row: Option<DutyRow>,
    /// Revision; 0 when it does not exist.
    pub revision: u64,
    /// The store's clock at the reading.
    pub store_time: Duration,
    /// Instant before the reading was asked for.
    pub asked_at: Instant,
}

/// The lease that a host may rely on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldDuty {
    /// Fencing token.
    pub fencing_token: u64,
    /// Instant at which the lease ends for its holder.
    pub until: Instant,
}

impl HeldDuty {
    /// Tells whether the holder may start a call.
    pub fn allows_call(&self, now: Instant) -> bool {
        now + HOLDER_MARGIN <= self.until
    }
}

/// What to do to hold the duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DutyDecision {
    /// Write the row if it still has the revision of the reading; then the duty
    /// is held.
    Write {
        /// New value.
        row: DutyRow,
        /// The lease after the write.
        held: HeldDuty,
    },
    /// Another process holds it.
    HeldElsewhere {
        /// The host.
        host: String,
    },
}

/// Decides how a process gets or extends the duty.
pub fn decide(reading: &DutyReading, host: &str, incarnation: u64) -> DutyDecision {
    let now_ms = millis(reading.store_time);
    let is_own = |row: &DutyRow| row.host == host && row.incarnation == incarnation;
    let mut fencing_token = 1;
    if let Some(row) = &reading.row {
        let free_at = row.until_ms.saturating_add(millis(TAKEOVER_MARGIN));
        if !is_own(row) && now_ms < free_at {
            return DutyDecision::HeldElsewhere {
                host: row.host.clone(),
            };
        }
        fencing_token = row.fencing_token + u64::from(!is_own(row));
    }
    DutyDecision::Write {
        row: DutyRow {
            host: host.to_owned(),
            incarnation,
            fencing_token,
            until_ms: now_ms.saturating_add(millis(DUTY_DURATION)),
        },
        held: HeldDuty {
            fencing_token,
            until: reading.asked_at + DUTY_DURATION,
        },
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
