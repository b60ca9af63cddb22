//! The monotonic clock as an interface, so that decisions can be driven by a
//! clock of the test's choice.

use std::time::Instant;

/// A source of monotonic time. Ages and deadlines use it; wall clocks never do.
pub trait MonotonicClock: Clone + Send + Sync + 'static {
    /// Returns the current instant.
    fn now(&self) -> Instant;
}

/// The clock of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl MonotonicClock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }
}
