//! The failover lease of one group in the table service.

use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use coordination::failover::{LeaseAnswer, LEASE_TIMEOUT};
use coordination::lease::{LeaseDecision, LeaseRow, LeaseValue, LeaseView};
use state::clock::MonotonicClock;
use state::log::Term;

use super::call::CallResult;
use super::MonitorConfig;
use crate::services::{Result, TableRow, TableService, WriteAnswer};

/// Maximum number of table requests per attempt: a first write that conflicts, a
/// second one with the revision from the conflict, and a third in case another
/// daemon wrote the row in between.
const REQUESTS_PER_ATTEMPT: usize = 3;

/// Acquires and releases the failover lease, which is the row `lease/GROUP`.
#[derive(Clone, Debug)]
pub(super) struct LeaseHolder<T, C> {
    table: T,
    clock: C,
    key: String,
    duration: Duration,
    view: Arc<Mutex<LeaseView>>,
}

impl<T: TableService, C: MonotonicClock> LeaseHolder<T, C> {
    pub(super) fn new(table: T, clock: C, config: &MonitorConfig) -> Self {
        let duration = Duration::from_millis(config.timing.lease_ms);
        let view = LeaseView::new(&config.host, rand::random(), duration);
        Self {
            table,
            clock,
            key: format!("lease/{}", config.group.name),
            duration,
            view: Arc::new(Mutex::new(view)),
        }
    }

    /// Applies a configuration. If the lease duration changes, this daemon
    /// forgets its reading of the lease and starts a new one. A lease that is
    /// held keeps the duration that its row names.
    pub(super) fn apply(&mut self, config: &MonitorConfig) {
        let duration = Duration::from_millis(config.timing.lease_ms);
        if duration != self.duration {
            *self = Self::new(self.table.clone(), self.clock.clone(), config);
        }
    }

    /// Returns a call that acquires or renews the lease for a failover to `term`.
    pub(super) fn acquire(&self, term: Term) -> impl Future<Output = CallResult> + Send + 'static {
        let holder = self.clone();
        async move {
            let answer = tokio::time::timeout(LEASE_TIMEOUT, holder.try_acquire(term)).await;
            let answer = match answer {
                Ok(Ok(answer)) => answer,
                Ok(Err(error)) => {
                    log::warn!(
                        "failover lease {}: a table request failed: {error}",
                        holder.key
                    );
                    LeaseAnswer::NoAnswer
                }
                Err(_) => LeaseAnswer::NoAnswer,
            };
            CallResult::Lease(answer)
        }
    }

    /// Returns a call that releases the lease.
    pub(super) fn release(&self) -> impl Future<Output = CallResult> + Send + 'static {
        let holder = self.clone();
        async move {
            let released = tokio::time::timeout(LEASE_TIMEOUT, holder.try_release()).await;
            if !matches!(released, Ok(Ok(()))) {
                log::debug!("failover lease {}: the release was not confirmed, so the lease may stay held until it expires", holder.key);
            }
            CallResult::Ignored
        }
    }

    async fn try_acquire(&self, term: Term) -> Result<LeaseAnswer> {
        let mut was_read = false;
        let mut answer = LeaseAnswer::NoAnswer;
        for _ in 0..REQUESTS_PER_ATTEMPT {
            let decision = self.lock().decide(term, self.clock.now());
            match decision {
                LeaseDecision::Held { until } => return Ok(LeaseAnswer::HeldByUs { until }),
                LeaseDecision::Wait { until } if was_read => {
                    return Ok(LeaseAnswer::HeldByOther { until });
                }
                LeaseDecision::Wait { until } => {
                    // The holder may have released the lease since the last
                    // reading.
                    self.observe(self.table.read(&self.key).await?);
                    was_read = true;
                    answer = LeaseAnswer::HeldByOther { until };
                }
                LeaseDecision::Write {
                    expected_revision,
                    value,
                    ..
                } => was_read |= !self.write(expected_revision, value).await?,
            }
        }
        Ok(answer)
    }

    async fn try_release(&self) -> Result<()> {
        let decision = self.lock().release(self.clock.now());
        if let Some(LeaseDecision::Write {
            expected_revision,
            value,
            ..
        }) = decision
        {
            self.write(expected_revision, value).await?;
        }
        Ok(())
    }

    /// Writes the row. On a conflict it returns false and records the current
    /// row.
    async fn write(&self, expected_revision: u64, value: LeaseValue) -> Result<bool> {
        let text = serde_json::to_string(&value).expect("a lease of plain fields renders as JSON");
        let sent_at = self.clock.now();
        let answer = self.table.write_if(&self.key, expected_revision, &text);
        match answer.await? {
            WriteAnswer::Written { revision } => {
                self.lock().record_written(revision, value, sent_at);
                Ok(true)
            }
            WriteAnswer::Conflict { row } => {
                self.observe(row);
                Ok(false)
            }
        }
    }

    fn observe(&self, row: TableRow) {
        let value = match row.revision {
            0 => None,
            _ => serde_json::from_str(&row.value).ok(),
        };
        let row = LeaseRow {
            revision: row.revision,
            value,
        };
        self.lock().observe(row, self.clock.now());
    }

    fn lock(&self) -> MutexGuard<'_, LeaseView> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
