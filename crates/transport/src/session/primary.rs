//! Requests at the primary: exchange, position, confirmation.

use std::time::{Duration, Instant};

use coordination::retry::{ErrorClass, SendProgress};
use coordination::routing::ReplicaPosition;
use protocol::frame;
use protocol::options::SessionVariable;
use state::keys::MemberKey;
use state::log::{LogPosition, Term};
use state::member::MemberRole;

use super::exchange::{
    self, ExchangeFailure, ExchangeReport, ExchangeSpec, PositionReading, SqlState,
};
use super::limits::StatementLimits;
use super::read::READ_ONLY;
use super::refusal::{RequestError, Result};
use super::request::{CallerRequest, RequestSummary};
use super::CallerSession;
use crate::backend::STATUS_IDLE;
use crate::caller::cancel::CancelTarget;
use crate::group_handle::ConfirmOutcome;
use crate::pool::PooledConnection;

/// Result of a request at the primary.
#[derive(Debug)]
pub(super) enum PrimaryResult {
    /// The answer is in the caller's output.
    Answered(ExchangeReport),
    /// The request has no answer. The connection must not be used again unless the
    /// error is `RefusedNotRun`.
    Failed {
        error: ErrorClass,
        progress: SendProgress,
    },
}

/// Member, term and transaction of a connection before a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectionState {
    pub(super) member: MemberKey,
    /// Highest known term when the connection was acquired.
    pub(super) term: Term,
    /// Whether a transaction was open before the request.
    pub(super) in_transaction: bool,
    /// Whether the open transaction or pipeline may have written before the
    /// request.
    pub(super) may_have_written: bool,
}

/// A request with the queries that are sent before it.
#[derive(Clone, Copy, Debug)]
pub(super) struct PrimaryExchange<'a> {
    pub(super) request: &'a CallerRequest<'a>,
    pub(super) summary: &'a RequestSummary,
    pub(super) prefix: &'a [String],
    pub(super) needs_prefix: bool,
}

impl CallerSession {
    /// Runs a request on a connection to the primary. A commit is answered only
    /// after a majority has confirmed it.
    pub(super) async fn run_at_primary(
        &mut self,
        connection: &mut PooledConnection,
        state: ConnectionState,
        exchange: PrimaryExchange<'_>,
        limits: &StatementLimits,
        deadline: Instant,
    ) -> Result<PrimaryResult> {
        let summary = exchange.summary;
        let may_commit = may_commit(exchange.request, summary, state);
        let may_end_outside = may_end_outside(exchange.request, summary, state);
        let spec = ExchangeSpec {
            prefix: exchange.prefix,
            needs_prefix: exchange.needs_prefix,
            request: exchange.request,
            // Reads ask too: the position of the data that the primary returned
            // becomes a pending bound of the session.
            ask_position: may_end_outside,
            hold: may_commit,
            deadline,
            idle_timeout: limits.statement_timeout,
        };
        let answer_start = self.io.output.len();
        let report = match self.exchange(connection, &spec).await? {
            Ok(report) => report,
            Err(progress) => return Ok(failed(ErrorClass::ConnectionLost, progress)),
        };
        if let Some(error) = &report.error {
            let no_earlier_effect =
                !state.in_transaction && !state.may_have_written && !summary.may_end();
            let output_kept = self.io.output.len() >= answer_start;
            if error == READ_ONLY && no_earlier_effect && !summary.begins && output_kept {
                self.io.output.truncate(answer_start);
                return Ok(failed(ErrorClass::RefusedNotRun, SendProgress::Sent));
            }
            if may_commit && is_ambiguous(error) {
                self.io.output.truncate(answer_start);
                return Ok(failed(ErrorClass::ConnectionLost, SendProgress::Sent));
            }
        }
        if let Some(reading) = report.position {
            self.bound.record_read(reading.position);
        }
        if !may_commit || !has_committed(connection.status(), summary, &report) {
            return Ok(PrimaryResult::Answered(report));
        }
        let position = report.position;
        if self.confirm(position, state, limits, deadline).await {
            return Ok(PrimaryResult::Answered(report));
        }
        self.io
            .output
            .truncate(answer_start.min(self.io.output.len()));
        Ok(failed(ErrorClass::NotConfirmed, SendProgress::Sent))
    }

    /// Runs an exchange that the caller may cancel.
    pub(super) async fn exchange(
        &mut self,
        connection: &mut PooledConnection,
        spec: &ExchangeSpec<'_>,
    ) -> Result<std::result::Result<ExchangeReport, SendProgress>> {
        let address = connection.address();
        let target = connection.cancel_key();
        let target = target.map(|key| CancelTarget { address, key });
        self.cancel.set_target(target);
        let ran = exchange::run(&mut self.io, connection, spec).await;
        self.cancel.set_target(None);
        match ran {
            Ok(report) => {
                for name in &report.failed_names {
                    self.batch.remove_statement(name);
                }
                // After an error the server ignores all frames up to Sync.
                self.skip_to_sync |= report.error.is_some() && !spec.request.is_synced();
                Ok(Ok(report))
            }
            Err(ExchangeFailure::Caller(error)) => Err(RequestError::CallerGone(error)),
            Err(ExchangeFailure::Backend { error, progress }) => {
                log::debug!("exchange with backend server {address} failed: {error}");
                Ok(Err(progress))
            }
        }
    }

    /// Waits for the confirmation of a commit and records it in the session;
    /// returns whether the commit was confirmed in time.
    pub(super) async fn confirm(
        &mut self,
        reading: Option<PositionReading>,
        state: ConnectionState,
        limits: &StatementLimits,
        deadline: Instant,
    ) -> bool {
        let Some(PositionReading { role, position }) = reading else {
            return false;
        };
        // INVARIANT: a commit is confirmed only at the term at which its connection
        // was acquired.
        if role != MemberRole::Primary || position.term != state.term {
            self.group.handle.suspect(state.member);
            return false;
        }
        let deadline = confirm_deadline(limits.confirm_timeout, deadline);
        match self.group.handle.confirm(position, deadline).await {
            ConfirmOutcome::Confirmed { replica } => {
                self.record_confirmed(position, replica);
                true
            }
            ConfirmOutcome::Unknown => false,
        }
    }

    fn record_confirmed(&mut self, position: LogPosition, replica: Option<MemberKey>) {
        self.bound.record_confirmed_write(position);
        self.confirming_replica = replica.map(|member| ReplicaPosition { member, position });
        if let Some(token) = self.bound.token(&self.group.name) {
            let name = SessionVariable::SessionToken.name();
            frame::put_parameter(&mut self.io.output, name, &token.to_string());
        }
    }
}

fn failed(error: ErrorClass, progress: SendProgress) -> PrimaryResult {
    PrimaryResult::Failed { error, progress }
}

fn confirm_deadline(confirm_timeout: Duration, deadline: Instant) -> Instant {
    deadline.min(Instant::now() + confirm_timeout)
}

/// Returns whether the request may end a transaction that may have written.
fn may_commit(
    request: &CallerRequest<'_>,
    summary: &RequestSummary,
    state: ConnectionState,
) -> bool {
    let writes = summary.writes || state.may_have_written || summary.opaque;
    writes && may_end_outside(request, summary, state)
}

/// Returns whether the request may leave the connection outside a transaction.
fn may_end_outside(
    request: &CallerRequest<'_>,
    summary: &RequestSummary,
    state: ConnectionState,
) -> bool {
    let open_end = state.in_transaction || summary.begins;
    request.is_synced() && (!open_end || summary.may_end())
}

/// Returns whether the request may have committed a transaction.
fn has_committed(status: u8, summary: &RequestSummary, report: &ExchangeReport) -> bool {
    if (summary.commits && summary.statements > 1) || summary.opaque {
        return true;
    }
    let rolled_back = report.command_tag.as_deref() == Some("ROLLBACK");
    status == STATUS_IDLE && report.error.is_none() && !rolled_back
}

/// Returns whether the commit may have taken effect before the error: the server
/// was shutting down, lost connections, or does not know whether the statement
/// completed.
pub(super) fn is_ambiguous(error: &SqlState) -> bool {
    error.starts_with(b"57P") || error.starts_with(b"08") || error == b"40003"
}
