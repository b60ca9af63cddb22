//! The store's steady clock on this host's own clock.
//!
//! A reading that another host passed on carries the store's time but no
//! instant of this host. A direct call gives a pair: the store's time was read
//! after the call was sent. So the instant that is derived for any store time
//! from such a pair is never later than the true one, and an assurance that
//! rests on it ends early and never late.

use std::time::{Duration, Instant};

/// Relates the store's clock to the host's own.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreClock {
    /// Instant at which a direct call was sent, and the store's time in its
    /// answer: the pair of all calls that is latest in relation.
    anchor: Option<(Instant, Duration)>,
}

impl StoreClock {
    /// Enters a direct call that was sent at `asked_at`.
    pub fn note_call(&mut self, asked_at: Instant, store_time: Duration) {
        let derived = self.instant_of(store_time);
        if derived.is_none_or(|derived| asked_at > derived) {
            self.anchor = Some((asked_at, store_time));
        }
    }

    /// Returns an instant at or before the one at which the store's clock
    /// showed a time. Returns nothing before the first direct call.
    pub fn instant_of(&self, store_time: Duration) -> Option<Instant> {
        let (instant, anchor) = self.anchor?;
        if store_time >= anchor {
            return Some(instant + (store_time - anchor));
        }
        instant.checked_sub(anchor - store_time)
    }
}
