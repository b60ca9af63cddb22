//! Limits the probe traffic of all monitors of a daemon.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crate::rpc::ControlMeter;

/// Probe traffic of a daemon in bytes per second, sent and received, over all
/// watched members. The budget for all control work of a daemon is 5 KB/s.
const PROBE_BYTES_PER_SECOND: u64 = 4_096;
/// Bytes that a call is assumed to take until [`SAMPLE_CALLS`] were measured.
const ASSUMED_CALL_BYTES: u64 = 200;
/// Number of calls over which the mean bytes per call are measured.
const SAMPLE_CALLS: u64 = 64;

/// Budget for the probes of all monitors of a daemon. Clones share it.
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

/// Number of members that one monitor watches. Dropping it removes them from the
/// budget.
#[derive(Debug)]
pub struct WatchedMembers {
    shared: Arc<SharedBudget>,
    count: u64,
}

impl ProbeBudget {
    /// Returns a budget for calls whose bytes `meter` counts.
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

    /// Registers a monitor, which watches no members at first.
    pub fn watch(&self) -> WatchedMembers {
        WatchedMembers {
            shared: self.shared.clone(),
            count: 0,
        }
    }

    /// Records a control call and updates the mean bytes per call.
    pub fn record_call(&self) {
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
        // Calls to unreachable members transfer no bytes. Without a lower bound
        // the interval would be too short once these members are back.
        let mean = mean.max(ASSUMED_CALL_BYTES / 2);
        self.shared.call_bytes.store(mean, Ordering::Relaxed);
        sample.calls = 0;
        sample.bytes_before = total;
    }

    /// Returns the probe interval, which is `base` or longer, so that the probes
    /// of all watched members stay within the budget.
    pub fn interval(&self, base: Duration) -> Duration {
        let members = self.shared.members.load(Ordering::Relaxed);
        let bytes = members * self.shared.call_bytes.load(Ordering::Relaxed);
        let min_interval = Duration::from_micros(bytes * 1_000_000 / PROBE_BYTES_PER_SECOND);
        base.max(min_interval)
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
