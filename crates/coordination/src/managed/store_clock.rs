//! Converts times of the store's monotonic clock to instants of this host.
//!
//! A reading that another host passed on carries the store's time, but no
//! instant of this host's clock. A direct call gives a pair of both: the instant
//! at which it was sent, and the store's time in the answer, which was read
//! later. So an instant that is derived from such a pair is never later than the
//! true one, and an assurance that is computed from it may end early but never
//! late.

use std::time::{Duration, Instant};

/// Maps the store's clock to this host's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreClock {
    /// Instant at which a direct call was sent, and the store's time in its
    /// answer. Of all calls, the pair with the shortest delay in between is kept,
    /// because it gives the latest and so the closest instants.
    anchor: Option<(Instant, Duration)>,
}

impl StoreClock {
    /// Records a direct call that was sent at `asked_at`, and the store's time in
    /// its answer.
    pub fn record_call(&mut self, asked_at: Instant, store_time: Duration) {
        let derived = self.instant_of(store_time);
        if derived.is_none_or(|derived| asked_at > derived) {
            self.anchor = Some((asked_at, store_time));
        }
    }

    /// Returns an instant at or before the one at which the store's clock showed
    /// `store_time`, or `None` before the first direct call.
    pub fn instant_of(&self, store_time: Duration) -> Option<Instant> {
        let (instant, anchor) = self.anchor?;
        if store_time >= anchor {
            return Some(instant + (store_time - anchor));
        }
        instant.checked_sub(anchor - store_time)
    }
}
