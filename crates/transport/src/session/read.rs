//! Reads outside a transaction, and the begin of read-only transactions.

use std::time::Instant;

use coordination::retry::{ErrorClass, RetryKind, SendProgress};
use coordination::routing::ReadRequest;
use state::log::LogPosition;

use super::attempt::AttemptCounter;
use super::exchange::{self, ExchangeFailure, ExchangeOrder, ExchangeReport};
use super::pin::PinnedConnection;
use super::policy::ReadPolicy;
use super::refusal::{Result, StepError};
use super::route::{self, AcquireFailure, AcquiredConnection};
use super::work::{Work, WorkSummary};
use super::CallerSession;
use crate::backend::STATUS_IDLE;
use crate::caller::cancel::CancelTarget;

/// SQLSTATE with which a replica refuses a write.
pub(super) const READ_ONLY: &[u8; 5] = b"25006";

impl CallerSession {
    /// Runs a read.
    pub(super) async fn run_read(
        &mut self,
        work: &Work<'_>,
        summary: &WorkSummary,
        policy: &ReadPolicy,
        started: Instant,
    ) -> Result<()> {
        let deadline = started + policy.statement;
        let mut attempts = AttemptCounter::new(&self.context, RetryKind::Read, false, deadline);
        loop {
            let acquired = self.acquire_read(policy, started, deadline).await?;
            let Some(mut acquired) = acquired else {
                let error = ErrorClass::ConnectFailed;
                let progress = SendProgress::NotSent;
                attempts.retry(&self.context, error, progress).await?;
                continue;
            };
            let floor = self.io.output.len();
            match self
                .exchange_read(&mut acquired, work, policy, deadline)
                .await
            {
                Ok(report) if report.error.as_ref() == Some(READ_ONLY) && !summary.begins => {
                    // The replica ran nothing; a function may write.
                    self.io.output.truncate(floor);
                    drop(acquired);
                    return self.run_write(work, summary, policy, deadline).await;
                }
                Ok(report) => {
                    self.end_read(acquired, &report);
                    return Ok(());
                }
                Err(ExchangeFailure::Caller(error)) => return Err(StepError::CallerGone(error)),
                Err(ExchangeFailure::Backend { error, progress }) => {
                    log::debug!("read at {}: {error}", acquired.member.pool.name());
                    self.group.handle.suspect(acquired.member.key);
                    acquired.connection.close();
                    let class = ErrorClass::ConnectionLost;
                    attempts.retry(&self.context, class, progress).await?;
                }
            }
        }
    }

    async fn exchange_read(
        &mut self,
        acquired: &mut AcquiredConnection,
        work: &Work<'_>,
        policy: &ReadPolicy,
        deadline: Instant,
    ) -> std::result::Result<ExchangeReport, ExchangeFailure> {
        let order = ExchangeOrder {
            prefix: &[],
            needs_prefix: false,
            work,
            ask_position: acquired.member.is_primary,
            hold: false,
            deadline,
            patience: policy.statement,
        };
        self.cancel.set_target(cancel_target(acquired));
        let ran = exchange::run(&mut self.io, &mut acquired.connection, &order).await;
        self.cancel.set_target(None);
        ran
    }

    fn end_read(&mut self, mut acquired: AcquiredConnection, report: &ExchangeReport) {
        self.context.metrics.count_read(acquired.member.is_primary);
        if let Some(permit) = &mut acquired.permit {
            permit.record_answer();
        }
        if let Some(reading) = report.position {
            // What the primary showed may not be confirmed yet.
            self.bound.record_read(reading.position);
        }
        for name in &report.failed_names {
            self.batch.forget(name);
        }
        if acquired.connection.status() != STATUS_IDLE {
            // A read-only transaction may go on at a superseded primary.
            acquired.connection.set_term(None);
            self.pin = Some(PinnedConnection {
                member: acquired.member.key,
                term: acquired.member.term,
                connection: acquired.connection,
                keeps_session: false,
                wrote: false,
                read_only: true,
                in_batch: false,
                recorded: None,
            });
        }
    }

    /// Returns the position that a read must see. Only classes without
    /// staleness order their reads by what earlier reads saw.
    fn read_bound(&self, policy: &ReadPolicy) -> Option<LogPosition> {
        if policy.max_staleness.is_zero() {
            return self.bound.bound();
        }
        self.bound.accepted_bound()
    }

    /// Finds a connection for a read; `None` when the chosen member could not
    /// be used and another attempt may succeed.
    async fn acquire_read(
        &mut self,
        policy: &ReadPolicy,
        started: Instant,
        deadline: Instant,
    ) -> Result<Option<AcquiredConnection>> {
        let cancel = self.cancel.clone();
        tokio::select! {
            biased;
            acquired = self.find_read(policy, started, deadline) => acquired,
            () = cancel.cancelled() => Err(StepError::Cancelled),
        }
    }

    async fn find_read(
        &mut self,
        policy: &ReadPolicy,
        started: Instant,
        deadline: Instant,
    ) -> Result<Option<AcquiredConnection>> {
        self.ensure_bound(deadline).await?;
        let request = ReadRequest {
            bound: self.read_bound(policy).unwrap_or_default(),
            max_staleness: policy.max_staleness,
            arrived_at: started,
            deadline,
            replica_wait: policy.replica_wait,
            data_centre: &self.context.settings.data_centre,
            region: &self.context.region,
            confirming_replica: self.confirmed_at,
        };
        let member = route::route_read(&self.group, &request).await?;
        let admission = self.admission(policy, true, deadline);
        let mut acquired = match route::acquire(&self.group, member, &admission).await {
            Ok(acquired) => acquired,
            Err(AcquireFailure::Unreachable) => return Ok(None),
            Err(AcquireFailure::Refused(refusal)) => return Err(refusal.into()),
        };
        if !route::verify_position(&mut acquired, deadline).await {
            self.group.handle.suspect(acquired.member.key);
            acquired.connection.close();
            return Ok(None);
        }
        Ok(Some(acquired))
    }
}

pub(super) fn cancel_target(acquired: &AcquiredConnection) -> Option<CancelTarget> {
    Some(CancelTarget {
        address: acquired.connection.address(),
        key: acquired.connection.cancel_key()?,
    })
}
