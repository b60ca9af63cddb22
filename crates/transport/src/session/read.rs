//! Reads outside a transaction, and the start of read-only transactions.

use std::time::Instant;

use coordination::retry::{ErrorClass, RetryKind, SendProgress};
use coordination::routing::ReadRequest;
use state::log::LogPosition;

use super::attempt::AttemptCounter;
use super::exchange::{self, ExchangeFailure, ExchangeReport, ExchangeSpec};
use super::limits::StatementLimits;
use super::pinned::PinnedConnection;
use super::refusal::{RequestError, Result};
use super::request::{CallerRequest, RequestSummary};
use super::route::{self, AcquireFailure, AcquiredConnection};
use super::CallerSession;
use crate::backend::STATUS_IDLE;
use crate::caller::cancel::CancelTarget;

/// SQLSTATE with which a replica refuses a write.
pub(super) const READ_ONLY: &[u8; 5] = b"25006";

impl CallerSession {
    /// Runs a read, with retries at other members until its deadline.
    pub(super) async fn run_read(
        &mut self,
        request: &CallerRequest<'_>,
        summary: &RequestSummary,
        limits: &StatementLimits,
        started: Instant,
    ) -> Result<()> {
        let deadline = started + limits.statement_timeout;
        let mut attempts = AttemptCounter::new(&self.context, RetryKind::Read, false, deadline);
        loop {
            let acquired = self.acquire_read(limits, started, deadline).await?;
            let Some(mut acquired) = acquired else {
                let error = ErrorClass::ConnectFailed;
                let progress = SendProgress::NotSent;
                attempts.retry(&self.context, error, progress).await?;
                continue;
            };
            let answer_start = self.io.output.len();
            match self
                .exchange_read(&mut acquired, request, limits, deadline)
                .await
            {
                Ok(report) if report.error.as_ref() == Some(READ_ONLY) && !summary.begins => {
                    // The replica refused to write and ran nothing. The statement
                    // may call a function that writes, so it runs as a write.
                    self.io.output.truncate(answer_start);
                    drop(acquired);
                    return self.run_write(request, summary, limits, deadline).await;
                }
                Ok(report) => {
                    self.end_read(acquired, &report);
                    return Ok(());
                }
                Err(ExchangeFailure::Caller(error)) => return Err(RequestError::CallerGone(error)),
                Err(ExchangeFailure::Backend { error, progress }) => {
                    log::debug!(
                        "read at member {} failed: {error}",
                        acquired.member.pool.name()
                    );
                    self.group.handle.suspect(acquired.member.key);
                    acquired.connection.close();
                    let error_class = ErrorClass::ConnectionLost;
                    attempts.retry(&self.context, error_class, progress).await?;
                }
            }
        }
    }

    async fn exchange_read(
        &mut self,
        acquired: &mut AcquiredConnection,
        request: &CallerRequest<'_>,
        limits: &StatementLimits,
        deadline: Instant,
    ) -> std::result::Result<ExchangeReport, ExchangeFailure> {
        let spec = ExchangeSpec {
            prefix: &[],
            needs_prefix: false,
            request,
            ask_position: acquired.member.is_primary,
            hold: false,
            deadline,
            idle_timeout: limits.statement_timeout,
        };
        self.cancel.set_target(cancel_target(acquired));
        let ran = exchange::run(&mut self.io, &mut acquired.connection, &spec).await;
        self.cancel.set_target(None);
        ran
    }

    fn end_read(&mut self, mut acquired: AcquiredConnection, report: &ExchangeReport) {
        self.context.metrics.count_read(acquired.member.is_primary);
        if let Some(permit) = &mut acquired.permit {
            permit.record_answer();
        }
        if let Some(reading) = report.position {
            // The primary may have returned data that is not confirmed yet.
            self.bound.record_read(reading.position);
        }
        for name in &report.failed_names {
            self.batch.remove_statement(name);
        }
        if acquired.connection.status() != STATUS_IDLE {
            // A read-only transaction may continue at a superseded primary.
            acquired.connection.set_term(None);
            self.pinned = Some(PinnedConnection {
                member: acquired.member.key,
                term: acquired.member.term,
                connection: acquired.connection,
                holds_session_state: false,
                may_have_written: false,
                read_only: true,
                in_batch: false,
                recorded_id: None,
            });
        }
    }

    /// Returns the position that a read must see. Positions that earlier reads saw
    /// count only in read classes that allow no staleness.
    fn required_position(&self, limits: &StatementLimits) -> Option<LogPosition> {
        if limits.max_staleness.is_zero() {
            return self.bound.bound();
        }
        self.bound.accepted_bound()
    }

    /// Acquires a connection for a read; returns `None` when the chosen member
    /// cannot be used and another attempt may succeed.
    async fn acquire_read(
        &mut self,
        limits: &StatementLimits,
        started: Instant,
        deadline: Instant,
    ) -> Result<Option<AcquiredConnection>> {
        let cancel = self.cancel.clone();
        tokio::select! {
            biased;
            acquired = self.find_read(limits, started, deadline) => acquired,
            () = cancel.cancelled() => Err(RequestError::Cancelled),
        }
    }

    async fn find_read(
        &mut self,
        limits: &StatementLimits,
        started: Instant,
        deadline: Instant,
    ) -> Result<Option<AcquiredConnection>> {
        self.ensure_bound(deadline).await?;
        let request = ReadRequest {
            bound: self.required_position(limits).unwrap_or_default(),
            max_staleness: limits.max_staleness,
            arrived_at: started,
            deadline,
            replica_wait: limits.replica_wait,
            data_centre: &self.context.settings.data_centre,
            region: &self.context.region,
            confirming_replica: self.confirming_replica,
        };
        let member = route::route_read(&self.group, &request).await?;
        let admission = self.admission(limits, true, deadline);
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
