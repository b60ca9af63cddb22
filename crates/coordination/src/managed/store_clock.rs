//! Converts times of the store's monotonic clock to instants of this host.
//!
//! A reading that another host passed on carries the store's time, but no
//! instant of this host's clock. A call of the store gives two bounds: the store's
//! clock showed the answer's time after the call was sent and before the answer
//! arrived. Every conversion errs on the safe side: an assurance that is computed
//! from it may end early but never late.
//!
//! The two clocks may run at different rates. Only bounds of the last minutes are
//! used, so that the difference cannot add up.

use std::time::{Duration, Instant};

/// Time for which bounds are collected before the older ones are dropped. Clocks
/// that differ by 0.01% diverge by 12 ms in two such periods.
const PERIOD: Duration = Duration::from_secs(60);

/// An instant of this host and a time of the store's clock.
type ClockPair = (Instant, Duration);

/// The closest bounds of one period.
#[derive(Clone, Copy, Debug)]
struct PeriodBounds {
    began_at: Instant,
    /// The store's clock showed at most this time at this instant.
    latest: ClockPair,
    /// The store's clock showed at least this time at this instant.
    earliest: Option<ClockPair>,
}

/// Maps the store's clock to this host's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreClock {
    current: Option<PeriodBounds>,
    previous: Option<PeriodBounds>,
}

impl StoreClock {
    /// Records a call of the store that was sent at `asked_at` and answered at
    /// `answered_at`, with the store's time in its answer.
    pub fn record_call(&mut self, asked_at: Instant, store_time: Duration, answered_at: Instant) {
        self.record(asked_at, store_time, Some((answered_at, store_time)));
    }

    /// Records bounds that another host derived: the store's clock showed at most
    /// `latest` at `asked_at`, and at least `earliest` at `answered_at`.
    pub fn record_relayed(
        &mut self,
        asked_at: Instant,
        latest: Duration,
        answered_at: Instant,
        earliest: Option<Duration>,
    ) {
        let earliest = earliest.map(|earliest| (answered_at, earliest));
        self.record(asked_at, latest, earliest);
    }

    fn record(&mut self, instant: Instant, store_time: Duration, earliest: Option<ClockPair>) {
        let latest = (instant, store_time);
        let is_over =
            |bounds: &PeriodBounds| instant.saturating_duration_since(bounds.began_at) >= PERIOD;
        if self.current.as_ref().is_none_or(is_over) {
            self.previous = self
                .current
                .take()
                .filter(|bounds| instant.saturating_duration_since(bounds.began_at) < PERIOD * 2);
            self.current = Some(PeriodBounds {
                began_at: instant,
                latest,
                earliest,
            });
            return;
        }
        let Some(bounds) = &mut self.current else {
            return;
        };
        if instant_of(bounds.latest, store_time).is_none_or(|derived| instant > derived) {
            bounds.latest = latest;
        }
        bounds.earliest = match (bounds.earliest, earliest) {
            (Some(known), Some(new)) if time_at(known, new.0) >= Some(new.1) => Some(known),
            (known, new) => new.or(known),
        };
    }

    fn periods(&self) -> impl Iterator<Item = &PeriodBounds> {
        self.current.iter().chain(&self.previous)
    }

    /// Returns an instant at or before the one at which the store's clock showed
    /// `store_time`, or `None` before the first call.
    pub fn instant_of(&self, store_time: Duration) -> Option<Instant> {
        self.periods()
            .filter_map(|bounds| instant_of(bounds.latest, store_time))
            .max()
    }

    /// Returns a time that the store's clock showed at `instant` or later, or `None`
    /// before the first call.
    pub fn latest_time_at(&self, instant: Instant) -> Option<Duration> {
        self.periods()
            .filter_map(|bounds| time_at(bounds.latest, instant))
            .min()
    }

    /// Returns a time that the store's clock showed at `instant` or earlier, or
    /// `None` before the first direct call.
    pub fn earliest_time_at(&self, instant: Instant) -> Option<Duration> {
        self.periods()
            .filter_map(|bounds| time_at(bounds.earliest?, instant))
            .max()
    }
}

fn instant_of((instant, anchor): ClockPair, store_time: Duration) -> Option<Instant> {
    if store_time >= anchor {
        return instant.checked_add(store_time - anchor);
    }
    instant.checked_sub(anchor - store_time)
}

fn time_at((anchor, store_time): ClockPair, instant: Instant) -> Option<Duration> {
    if instant >= anchor {
        return store_time.checked_add(instant - anchor);
    }
    store_time.checked_sub(anchor - instant)
}
