//! The eras of the store: what still holds after it returned from an older copy.
//!
//! Each era has a marker row, which the first host that sees the era creates and which
//! replaces the markers of earlier eras. Every write of a group's row or of the
//! promotion lease is conditional on the marker, too. So a write that was decided in a
//! former era cannot match a row of the present one by chance: before the marker
//! exists, every row still is as the copy had it; afterwards, the former marker is
//! gone.
//!
//! An announcement or a promotion lease of a former era may be lost while its holder
//! still acts on it. A holder confirms the era directly before each promotion order,
//! so such an order takes effect soon after the return or never. Until then, a row
//! without an announced change proves nothing, and no other order is sent.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use state::reading::StoreEra;

/// Prefix of the keys of marker rows.
const KEY_PREFIX: &str = "era/";
/// Longest time from the read that confirms the era to a promotion order. An answer of
/// a slow store takes 250 ms; a host that was suspended meanwhile confirms again.
pub const CONFIRMATION_MAX_AGE: Duration = Duration::from_millis(500);
/// Age of an era from which on promotions may be ordered: [`CONFIRMATION_MAX_AGE`], and
/// the 800 ms after which the sender of an order that was not acknowledged discards it.
pub const ORDER_DELAY: Duration = Duration::from_millis(1_300);
/// Age of an era from which on a row without an announced change assures its primary:
/// [`ORDER_DELAY`], the time of a promotion (1 s), and a reserve.
pub const SETTLE_TIME: Duration = Duration::from_millis(2_500);

/// Value of an era's marker row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct EraRow {
    /// Time on the store's clock, in milliseconds, at which the era was first seen.
    pub began_ms: u64,
}

impl EraRow {
    /// Creates the row of an era that is first seen at `store_time`.
    pub fn new(store_time: Duration) -> Self {
        Self {
            began_ms: u64::try_from(store_time.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

/// An era as a reading of the store showed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EraMarker {
    /// The era.
    pub era: StoreEra,
    /// Number of the revision of the marker row, on which writes are conditional.
    pub revision: u64,
    /// Age of the era when the row was read, on the store's clock.
    pub age: Duration,
}

impl EraMarker {
    /// Creates the marker from a row that was read at `store_time`.
    pub fn new(era: StoreEra, revision: u64, row: EraRow, store_time: Duration) -> Self {
        Self {
            era,
            revision,
            age: store_time.saturating_sub(Duration::from_millis(row.began_ms)),
        }
    }

    /// Returns whether a row without an announced change assures its primary.
    pub fn is_settled(&self) -> bool {
        self.age >= SETTLE_TIME
    }

    /// Returns the time until promotions may be ordered.
    pub fn order_wait(&self) -> Duration {
        ORDER_DELAY.saturating_sub(self.age)
    }
}

/// Returns the key of an era's marker row.
pub fn marker_key(era: StoreEra) -> String {
    format!("{KEY_PREFIX}{}", era.0)
}

/// Returns the era whose marker row has this key.
pub fn marked_era(key: &str) -> Option<StoreEra> {
    let number = key.strip_prefix(KEY_PREFIX)?;
    number.parse().ok().map(StoreEra)
}
