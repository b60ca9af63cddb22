//! The monotonic clock as an interface, so that decisions can be driven by a
//! clock of the test's choice.

use std::sync::OnceLock;
use std::time::{Duration, Instant};

use rustix::time::{clock_gettime, ClockId};

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

/// The clock of the operating system that also counts the time for which the
/// host was suspended. Leases rest on it: a holder that was suspended past the
/// end of its lease notices when it continues.
#[derive(Clone, Copy, Debug, Default)]
pub struct SuspendClock;

/// An instant and the time since boot that belongs to it.
static ORIGIN: OnceLock<(Instant, Duration)> = OnceLock::new();

impl MonotonicClock for SuspendClock {
    fn now(&self) -> Instant {
        let since_boot = time_since_boot();
        let (instant, origin) = *ORIGIN.get_or_init(|| (Instant::now(), since_boot));
        instant + since_boot.saturating_sub(origin)
    }
}

fn time_since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanoseconds)
}
