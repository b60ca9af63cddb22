//! Estimate of one member's service time from recent statements.

use std::time::{Duration, Instant};

/// Weight of a new sample, as in the round-trip estimate of TCP (RFC 6298).
const MEAN_GAIN: f64 = 1.0 / 8.0;
/// Weight of a new deviation, as in RFC 6298.
const DEVIATION_GAIN: f64 = 1.0 / 4.0;
/// Time without a sample after which the estimate is halved. Without this decay,
/// an estimate from a stall would refuse every request, so that no new sample
/// could correct it.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// Smoothed mean and mean deviation of service times, in seconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceEstimate {
    mean: f64,
    deviation: f64,
    sampled_at: Instant,
}

impl ServiceEstimate {
    pub(super) fn new(initial: Duration, now: Instant) -> Self {
        Self {
            mean: initial.as_secs_f64(),
            deviation: 0.0,
            sampled_at: now,
        }
    }

    pub(super) fn add(&mut self, sample: Duration, now: Instant) {
        let sample = sample.as_secs_f64();
        let difference = sample - self.mean;
        self.mean += MEAN_GAIN * difference;
        self.deviation += DEVIATION_GAIN * (difference.abs() - self.deviation);
        self.sampled_at = now;
    }

    pub(super) fn mean(&self, now: Instant) -> f64 {
        self.mean * self.decay(now)
    }

    pub(super) fn deviation(&self, now: Instant) -> f64 {
        self.deviation * self.decay(now)
    }

    /// Returns the time of the last sample.
    pub(super) fn sampled_at(&self) -> Instant {
        self.sampled_at
    }

    fn decay(&self, now: Instant) -> f64 {
        let idle = now.saturating_duration_since(self.sampled_at);
        0.5_f64.powf(idle.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }
}
