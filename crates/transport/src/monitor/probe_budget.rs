//! Keeps the probes of all monitors of a daemon within their share of the
//! control traffic.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crate::rpc::ControlMeter;

/// Bytes of probes that a daemon sends and receives, over all watched members.
/// A daemon has 5 KB/s for all control work.
const PROBE_BYTES_PER_SECOND: u64 = 4_096;
/// Assumed cost of a call until enough calls have been measured.
const ASSUMED_CALL_BYTES: u64 = 200;
/// Calls after which the mean cost is measured anew.
const SAMPLE_CALLS: u64 = 64;

/// The bytes and members that the monitors of a daemon share.
#[derive(Clone, Debug)]
pub struct ProbeBudget {
    shared: Arc<SharedBudget>,
}

#[derive(Debug)]
struct SharedBudget {
    meter: ControlMeter,
    members: AtomicU64,
    call_bytes: AtomicU64,
    sample: Mutex<CallSample>,
}

#[derive(Debug, Default)]
struct CallSample {
    calls: u64,
    bytes_before: u64,
}

/// The members that one monitor watches; they stop counting when it is dropped.
#[derive(Debug)]
pub struct WatchedMembers {
    shared: Arc<SharedBudget>,
    count: u64,
}

impl ProbeBudget {
    /// Builds a budget for calls whose bytes `meter` counts.
    pub fn new(meter: ControlMeter) -> Self {
        Self {
            shared: Arc::new(SharedBudget {
                meter,
                members: AtomicU64::new(0),
                call_bytes: AtomicU64::new(ASSUMED_CALL_BYTES),
                sample: Mutex::new(CallSample::default()),
            }),
        }
    }

    /// Returns the meter of the daemon's control work.
    pub fn meter(&self) -> &ControlMeter {
        &self.shared.meter
    }

    /// Registers a monitor.
    pub fn watch(&self) -> WatchedMembers {
        WatchedMembers {
            shared: self.shared.clone(),
            count: 0,
        }
    }

    /// Notes that a control call is made, and measures the mean cost.
    pub fn note_call(&self) {
        let mut sample = self
            .shared
            .sample
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        sample.calls += 1;
        if sample.calls < SAMPLE_CALLS {
            return;
        }
        let total = self.shared.meter.bytes();
        let mean = (total - sample.bytes_before) / sample.calls;
        // Calls to unreachable members cost nothing; they must not make the
        // budget look larger than it is once the members return.
        let mean = mean.max(ASSUMED_CALL_BYTES / 2);
        self.shared.call_bytes.store(mean, Ordering::Relaxed);
        sample.calls = 0;
        sample.bytes_before = total;
    }

    /// Returns the probe interval: `base`, or longer so that all watched
    /// members together stay within the budget.
    pub fn interval(&self, base: Duration) -> Duration {
        let members = self.shared.members.load(Ordering::Relaxed);
        let bytes = members * self.shared.call_bytes.load(Ordering::Relaxed);
        let least = Duration::from_micros(bytes * 1_000_000 / PROBE_BYTES_PER_SECOND);
        base.max(least)
    }
}

impl WatchedMembers {
    /// Sets the number of members that the monitor watches.
    pub fn set(&mut self, count: usize) {
        let count = count as u64;
        self.shared.members.fetch_add(count, Ordering::Relaxed);
        self.shared.members.fetch_sub(self.count, Ordering::Relaxed);
        self.count = count;
    }
}

impl Drop for WatchedMembers {
    fn drop(&mut self) {
        self.shared.members.fetch_sub(self.count, Ordering::Relaxed);
    }
}
