//! Forecast of when the slots of a member become free.

use std::time::{Duration, Instant};

/// When requests that wait for the slots of one member are expected to end.
///
/// # Invariants
///
/// `free_at` has an instant for each slot, in order. None is later than the first one by more
/// than `service`, so that the slots are taken in turn.
#[derive(Clone, Debug)]
pub(super) struct SlotForecast {
    service: Duration,
    free_at: Vec<Instant>,
}

impl SlotForecast {
    /// Creates the forecast of a member with `slots` slots, at which requests take `service`
    /// and have been running since `started`. A request that runs for longer is expected
    /// to end at once.
    pub(super) fn new(
        slots: usize,
        service: Duration,
        started: impl Iterator<Item = Instant>,
        now: Instant,
    ) -> Self {
        let slots = slots.max(1);
        let mut free_at: Vec<Instant> = started
            .map(|at| (at + service).clamp(now, now + service))
            .collect();
        free_at.resize(free_at.len().max(slots), now);
        free_at.sort_unstable();
        // More requests than slots run after the limit was lowered: the first ones to end
        // leave no free slot.
        free_at.drain(..free_at.len() - slots);
        Self { service, free_at }
    }

    /// Returns the instant at which a request is expected to end that starts after `ahead`
    /// waiting ones.
    pub(super) fn end_behind(&self, ahead: usize) -> Instant {
        let slots = self.free_at.len();
        let rounds = u32::try_from(ahead / slots + 1).unwrap_or(u32::MAX);
        self.free_at[ahead % slots] + self.service.saturating_mul(rounds)
    }
}
