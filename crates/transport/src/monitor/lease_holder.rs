//! The failover lease of one group in the table service.

use std::future::Future;
use std::time::Duration;

use coordination::failover::LeaseAnswer;
use state::clock::MonotonicClock;

use super::call::CallResult;
use super::MonitorConfig;
use crate::seam::TableService;

/// Takes and gives back the lease `lease/GROUP`.
#[derive(Clone, Debug)]
pub(super) struct LeaseHolder<T> {
    table: T,
    key: String,
    duration: Duration,
}

impl<T: TableService> LeaseHolder<T> {
    pub(super) fn new(table: T, config: &MonitorConfig) -> Self {
        Self {
            table,
            key: format!("lease/{}", config.group.name),
            duration: Duration::from_millis(config.timing.lease_ms),
        }
    }

    /// Takes over a configuration.
    pub(super) fn apply(&mut self, config: &MonitorConfig) {
        self.duration = Duration::from_millis(config.timing.lease_ms);
    }

    /// Returns the call that takes or renews the lease.
    pub(super) fn acquire<C: MonotonicClock>(
        &self,
        _clock: C,
    ) -> impl Future<Output = CallResult> + Send + 'static {
        async move { CallResult::Lease(LeaseAnswer::NoAnswer) }
    }

    /// Returns the call that gives the lease back.
    pub(super) fn release(&self) -> impl Future<Output = CallResult> + Send + 'static {
        async move { CallResult::Ignored }
    }
}
