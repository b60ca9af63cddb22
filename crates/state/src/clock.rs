//! The monotonic clock as a trait, so that tests can control time.

use std::sync::OnceLock;
use std::time::{Duration, Instant};

use rustix::time::{clock_gettime, ClockId};

/// A source of monotonic time. All ages and deadlines are computed from it,
/// never from the wall clock.
pub trait MonotonicClock: Clone + Send + Sync + 'static {
    /// Returns the current instant.
    fn now(&self) -> Instant;
}

/// The operating system's monotonic clock, which stands still while the host is
/// suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl MonotonicClock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }
}

/// The operating system's monotonic clock that includes the time during which
/// the host was suspended (`CLOCK_BOOTTIME`). Leases are timed with it, so that a
/// lease holder that was suspended past the end of its lease notices the expiry
/// when it resumes.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootTimeClock;

/// A reference instant and the time since boot at that instant.
static ORIGIN: OnceLock<(Instant, Duration)> = OnceLock::new();

impl MonotonicClock for BootTimeClock {
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
