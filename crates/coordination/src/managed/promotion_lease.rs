//! The promotion lease: only its holder may change the primary of a group. It
//! is one row of the store, with a fencing token that rises with each change of
//! holder.
//!
//! Expiry is counted on the store's monotonic clock, which every host reads
//! together with the row. A holder counts its own lease from an instant before
//! it read that clock, so it stops before another host may take the lease.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use state::reading::StoreEra;

use crate::managed::era::EraMarker;

/// Duration of the lease. The promotion is ordered within about 1.2 s of the
/// announcement. A holder that fails delays the change by at most this duration
/// plus `TAKEOVER_MARGIN`.
pub const LEASE_DURATION: Duration = Duration::from_secs(3);
/// Time between the end of a lease and its takeover by another host: calls of
/// the former holder may still be in transit.
const TAKEOVER_MARGIN: Duration = Duration::from_millis(1_000);
/// Number of fencing tokens that one era of the store can give out. The tokens of an
/// era begin after those of the eras before, because the store may have lost the last
/// ones that were given out.
const TOKENS_PER_ERA: u64 = 1 << 20;
/// Time before the end of its lease at which a holder starts no more calls.
const HOLDER_MARGIN: Duration = Duration::from_millis(500);

/// Value of the lease row, which the store keeps under the key `duty`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct PromotionLease {
    /// Host that holds the lease.
    pub host: String,
    /// Random number of the holder's process: a restarted process does not
    /// continue the lease of its predecessor.
    pub incarnation: u64,
    /// Token that rises with each change of holder; sent with each promotion.
    pub fencing_token: u64,
    /// End of the lease on the store's clock, in milliseconds.
    pub until_ms: u64,
}

/// A reading of the lease row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseReading {
    /// The row; `None` if it does not exist or cannot be decoded.
    pub row: Option<PromotionLease>,
    /// Revision of the row; 0 if it does not exist.
    pub revision: u64,
    /// Era in which the row was read.
    pub marker: EraMarker,
    /// Time on the store's clock when the row was read.
    pub store_time: Duration,
    /// Instant on this host's clock before the read was sent.
    pub asked_at: Instant,
}

/// The lease as its holder counts it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// Fencing token of the lease.
    pub fencing_token: u64,
    /// Era of the store in which the lease was taken.
    pub era: StoreEra,
    /// Instant at which the holder must stop using the lease.
    pub until: Instant,
}

impl HeldLease {
    /// Returns whether enough of the lease is left to start a call.
    pub fn allows_call(&self, now: Instant) -> bool {
        now + HOLDER_MARGIN <= self.until
    }
}

/// How a process acquires or extends the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AcquireDecision {
    /// Write the row, on condition that it still has the revision of the
    /// reading. The process holds the lease if the write succeeds.
    Write {
        /// New value.
        row: PromotionLease,
        /// The lease after the write.
        held: HeldLease,
    },
    /// Another process holds the lease.
    HeldElsewhere {
        /// Host of that process.
        host: String,
    },
}

/// Decides how a process acquires or extends the lease.
pub fn decide(reading: &LeaseReading, host: &str, incarnation: u64) -> AcquireDecision {
    let now_ms = millis(reading.store_time);
    let is_own = |row: &PromotionLease| row.host == host && row.incarnation == incarnation;
    // The store states the era, and the row may hold any token.
    let era = reading.marker.era.0;
    let first_token = era.saturating_mul(TOKENS_PER_ERA).saturating_add(1);
    let mut fencing_token = first_token;
    if let Some(row) = &reading.row {
        let free_at = row.until_ms.saturating_add(millis(TAKEOVER_MARGIN));
        if !is_own(row) && now_ms < free_at {
            return AcquireDecision::HeldElsewhere {
                host: row.host.clone(),
            };
        }
        let next_token = row.fencing_token.saturating_add(u64::from(!is_own(row)));
        fencing_token = next_token.max(first_token);
    }
    AcquireDecision::Write {
        row: PromotionLease {
            host: host.to_owned(),
            incarnation,
            fencing_token,
            until_ms: now_ms.saturating_add(millis(LEASE_DURATION)),
        },
        held: HeldLease {
            fencing_token,
            era: reading.marker.era,
            until: reading.asked_at + LEASE_DURATION,
        },
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
