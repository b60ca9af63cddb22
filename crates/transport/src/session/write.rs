//! Writes, transactions, and statements that change session state.

use std::time::Instant;

use coordination::request_record::{insert_sql, record_tag_sql, LookUpReply, CREATE_TABLE_SQL};
use coordination::retry::{ErrorClass, RetryKind, SendProgress};
use protocol::result_code::ResultCode;
use state::log::Term;
use state::request::{RequestId, RequestOutcome};

use super::attempt::AttemptCounter;
use super::exchange::SqlState;
use super::limits::StatementLimits;
use super::pinned::PinnedConnection;
use super::primary::{ConnectionState, PrimaryExchange, PrimaryResult};
use super::recorded::look_up;
use super::refusal::{refuse, RequestError, Result};
use super::request::{CallerRequest, RequestSummary};
use super::route::{self, AcquireFailure, AcquiredConnection};
use super::{CallerSession, LostTransaction};
use crate::backend::STATUS_IDLE;

/// SQLSTATE of a unique violation: the request id is recorded already.
pub(super) const UNIQUE_VIOLATION: &[u8; 5] = b"23505";
/// Command tag that is recorded for a transaction with a request id.
const COMMIT_TAG: &str = "COMMIT";

impl CallerSession {
    /// Runs a request that needs the primary, in a session without a pinned
    /// connection.
    pub(super) async fn run_write(
        &mut self,
        request: &CallerRequest<'_>,
        summary: &RequestSummary,
        limits: &StatementLimits,
        deadline: Instant,
    ) -> Result<()> {
        let id = self.request_id_of(summary);
        if let Some(id) = id.filter(|_| summary.writes && !summary.begins) {
            if summary.changes_session || summary.may_end() || !request.is_synced() {
                let reason = "a request id needs a single write or a transaction";
                return refuse(ResultCode::BadVariable, reason);
            }
            return self.run_recorded(request, &id, limits, deadline).await;
        }
        // A single BEGIN commits nothing, so it may be retried like a read.
        let kind = match summary.writes || summary.opaque {
            true => RetryKind::Write,
            false => RetryKind::Read,
        };
        let mut attempts = AttemptCounter::new(&self.context, kind, false, deadline);
        loop {
            let acquired = self.acquire_write(summary.begins, limits, deadline).await?;
            let Some(mut acquired) = acquired else {
                let error = ErrorClass::ConnectFailed;
                let progress = SendProgress::NotSent;
                attempts.retry(&self.context, error, progress).await?;
                continue;
            };
            let state = initial_state(&acquired);
            let exchange = PrimaryExchange {
                request,
                summary,
                prefix: &[],
                needs_prefix: false,
            };
            let connection = &mut acquired.connection;
            let result = self
                .run_at_primary(connection, state, exchange, limits, deadline)
                .await?;
            match result {
                PrimaryResult::Answered(_) => {
                    self.keep_or_release(acquired, request, summary);
                    return Ok(());
                }
                PrimaryResult::Failed { error, progress } => {
                    self.release_failed(acquired, error);
                    attempts.retry(&self.context, error, progress).await?;
                }
            }
        }
    }

    /// Returns the request id of a write, from the comment mark or the variable.
    fn request_id_of(&self, summary: &RequestSummary) -> Option<RequestId> {
        let from_comment = summary.request_id.as_ref();
        from_comment.or(self.variables.request_id.as_ref()).cloned()
    }

    /// Releases a connection after a failure and reports its member to the monitor
    /// as suspect. The connection is closed unless the server refused the request.
    pub(super) fn release_failed(&self, acquired: AcquiredConnection, error: ErrorClass) {
        self.group.handle.suspect(acquired.member.key);
        if error != ErrorClass::RefusedNotRun {
            acquired.connection.close();
        }
    }

    /// Pins the connection to the session, or returns it to the pool.
    fn keep_or_release(
        &mut self,
        mut acquired: AcquiredConnection,
        request: &CallerRequest<'_>,
        summary: &RequestSummary,
    ) {
        if let Some(permit) = &mut acquired.permit {
            permit.record_answer();
        }
        if summary.opaque || summary.changes_session {
            acquired.connection.require_discard();
        }
        let in_transaction = acquired.connection.status() != STATUS_IDLE;
        if !summary.changes_session && !in_transaction && request.is_synced() {
            return;
        }
        self.pinned = Some(PinnedConnection {
            member: acquired.member.key,
            term: acquired.member.term,
            connection: acquired.connection,
            holds_session_state: summary.changes_session,
            may_have_written: (summary.writes || summary.opaque)
                && (in_transaction || !request.is_synced()),
            read_only: false,
            in_batch: !request.is_synced(),
            recorded_id: None,
        });
    }

    /// Acquires a connection to the primary; returns `None` when the primary cannot
    /// be reached and another attempt may succeed. Set `reads` when results may be
    /// returned before a commit is confirmed: the primary must then have every
    /// position that the session must see.
    pub(super) async fn acquire_write(
        &mut self,
        reads: bool,
        limits: &StatementLimits,
        deadline: Instant,
    ) -> Result<Option<AcquiredConnection>> {
        let cancel = self.cancel.clone();
        tokio::select! {
            biased;
            acquired = self.find_primary(reads, limits, deadline) => acquired,
            () = cancel.cancelled() => Err(RequestError::Cancelled),
        }
    }

    async fn find_primary(
        &mut self,
        reads: bool,
        limits: &StatementLimits,
        deadline: Instant,
    ) -> Result<Option<AcquiredConnection>> {
        if reads {
            self.ensure_bound(deadline).await?;
        }
        let min_term = self.bound.bound().unwrap_or_default().term;
        let member = route::route_write(&self.group, min_term, deadline).await?;
        let admission = self.admission(limits, false, deadline);
        match route::acquire(&self.group, member, &admission).await {
            Ok(acquired) => Ok(Some(acquired)),
            Err(AcquireFailure::Unreachable) => Ok(None),
            Err(AcquireFailure::Refused(refusal)) => Err(refusal.into()),
        }
    }

    /// Runs a request on the pinned connection.
    pub(super) async fn run_pinned(
        &mut self,
        request: &CallerRequest<'_>,
        summary: &RequestSummary,
        limits: &StatementLimits,
        deadline: Instant,
    ) -> Result<()> {
        let Some(mut pinned) = self.pinned.take() else {
            return Ok(());
        };
        if !pinned.read_only && self.group.handle.view().highest_term() > pinned.term {
            // The member is no longer primary. Closing the connection ends the
            // transaction, whose COMMIT was not sent.
            self.pinned = Some(pinned);
            return self.lose_transaction(request, summary, "the primary was replaced");
        }
        let id = self.id_to_record(&pinned, summary)?;
        let prefix = prefix_queries(&pinned, id.as_ref(), summary);
        let state = ConnectionState {
            member: pinned.member,
            term: pinned.term,
            in_transaction: pinned.in_transaction(),
            may_have_written: pinned.may_have_written,
        };
        let exchange = PrimaryExchange {
            request,
            summary,
            prefix: &prefix,
            needs_prefix: id.is_some(),
        };
        let connection = &mut pinned.connection;
        let result = self
            .run_at_primary(connection, state, exchange, limits, deadline)
            .await?;
        match result {
            PrimaryResult::Answered(report) => {
                if let (Some(id), Some((index, error))) = (&id, report.prefix_error) {
                    let is_recorded = index + 1 == prefix.len() && &error == UNIQUE_VIOLATION;
                    let error = (!is_recorded).then_some(error);
                    return self
                        .answer_insert_failure(pinned, id, error, limits, deadline)
                        .await;
                }
                if id.is_some() {
                    pinned.recorded_id = id;
                }
                self.keep_or_release_pinned(pinned, request, summary);
                Ok(())
            }
            PrimaryResult::Failed { error, .. } => {
                self.answer_pinned_failure(pinned, request, summary, error, deadline)
                    .await
            }
        }
    }

    /// Returns the request id that must be recorded before this request, which is
    /// the case at the first write of a transaction.
    fn id_to_record(
        &self,
        pinned: &PinnedConnection,
        summary: &RequestSummary,
    ) -> Result<Option<RequestId>> {
        let Some(id) = self.request_id_of(summary) else {
            return Ok(None);
        };
        if !summary.writes || pinned.recorded_id.as_ref() == Some(&id) {
            return Ok(None);
        }
        if pinned.recorded_id.is_some() {
            let reason = "the transaction has another request id";
            return refuse(ResultCode::BadVariable, reason);
        }
        if !pinned.in_transaction() || summary.may_end() {
            let reason = "a request id needs a single write or a transaction";
            return refuse(ResultCode::BadVariable, reason);
        }
        Ok(Some(id))
    }

    /// Answers the first write of a transaction whose request id could not be
    /// inserted. The transaction ends. `error` is `None` when the id is in the table
    /// already; the answer is then the recorded outcome, because the request may
    /// have run before.
    async fn answer_insert_failure(
        &mut self,
        mut pinned: PinnedConnection,
        id: &RequestId,
        error: Option<SqlState>,
        limits: &StatementLimits,
        deadline: Instant,
    ) -> Result<()> {
        self.lost_transaction = Some(LostTransaction::Reported);
        if let Some(error) = error {
            let sqlstate = String::from_utf8_lossy(&error);
            let reason = format!("request id {id} could not be recorded ({sqlstate})");
            return refuse(ResultCode::TransactionLost, reason);
        }
        self.variables.consume_request_id(id);
        let state = ConnectionState {
            member: pinned.member,
            term: pinned.term,
            in_transaction: false,
            may_have_written: false,
        };
        let outcome_unknown = || {
            refuse(
                ResultCode::OutcomeUnknown,
                "the recorded outcome was not found",
            )
        };
        let found = look_up(&mut pinned.connection, id, deadline).await;
        let holds_session_state = pinned.holds_session_state;
        if holds_session_state && pinned.connection.is_quiescent() {
            self.pinned = Some(pinned);
        }
        let Some((LookUpReply::Found(outcome), position)) = found else {
            return outcome_unknown();
        };
        if !self.confirm(position, state, limits, deadline).await {
            return outcome_unknown();
        }
        match outcome {
            RequestOutcome::Blocked => {
                refuse(ResultCode::RequestBlocked, format!("request id {id}"))
            }
            RequestOutcome::Committed { tag } => {
                Err(RequestError::AlreadyRan(format!("request id {id}, {tag}")))
            }
        }
    }

    fn keep_or_release_pinned(
        &mut self,
        mut pinned: PinnedConnection,
        request: &CallerRequest<'_>,
        summary: &RequestSummary,
    ) {
        if summary.opaque || summary.changes_session {
            pinned.connection.require_discard();
        }
        pinned.holds_session_state |= summary.changes_session;
        pinned.in_batch = !request.is_synced();
        let stays_open = pinned.in_transaction() || pinned.in_batch;
        pinned.may_have_written =
            stays_open && (pinned.may_have_written || summary.writes || summary.opaque);
        if !pinned.in_transaction() {
            if let Some(id) = pinned.recorded_id.take() {
                self.variables.consume_request_id(&id);
            }
        }
        if pinned.holds_session_state || stays_open {
            self.pinned = Some(pinned);
        }
    }

    /// Answers a request whose connection was lost or whose commit was not
    /// confirmed.
    async fn answer_pinned_failure(
        &mut self,
        pinned: PinnedConnection,
        request: &CallerRequest<'_>,
        summary: &RequestSummary,
        error: ErrorClass,
        deadline: Instant,
    ) -> Result<()> {
        self.group.handle.suspect(pinned.member);
        let recorded = pinned.recorded_id.clone();
        let writes = pinned.may_have_written || summary.writes || summary.opaque;
        let ends_transaction =
            summary.commits || summary.opaque || summary.rolls_back_with_others();
        let may_have_committed = writes && (ends_transaction || !pinned.in_transaction());
        self.pinned = Some(pinned);
        if !may_have_committed {
            return self.lose_transaction(request, summary, "its connection was lost");
        }
        self.close_pinned();
        self.lost_transaction = None;
        if let Some(id) = recorded {
            self.variables.consume_request_id(&id);
            return self.resolve_commit(&id, summary, deadline).await;
        }
        let reason = match error {
            ErrorClass::NotConfirmed => "no majority confirmed it in time",
            _ => "the connection was lost after it was sent",
        };
        refuse(ResultCode::OutcomeUnknown, reason)
    }

    /// Closes the pinned connection of a transaction whose COMMIT was not sent, and
    /// answers the request.
    fn lose_transaction(
        &mut self,
        request: &CallerRequest<'_>,
        summary: &RequestSummary,
        reason: &str,
    ) -> Result<()> {
        self.close_pinned();
        if self.lost_transaction.is_some() {
            self.lost_transaction = Some(LostTransaction::Reported);
        }
        if summary.commits || summary.rolls_back {
            // The caller ends the transaction, which is lost already.
            self.lost_transaction = None;
        }
        if summary.rolls_back && !summary.rolls_back_with_others() {
            request.put_recorded(&mut self.io.output, "ROLLBACK");
            return Ok(());
        }
        refuse(ResultCode::TransactionLost, reason)
    }
}

pub(super) fn initial_state(acquired: &AcquiredConnection) -> ConnectionState {
    ConnectionState {
        member: acquired.member.key,
        term: Term(acquired.member.term.0),
        in_transaction: false,
        may_have_written: false,
    }
}

/// Returns the queries to send before a request in a transaction: the insert of the
/// request id before the first write, and the update with the command tag before
/// COMMIT.
fn prefix_queries(
    pinned: &PinnedConnection,
    id: Option<&RequestId>,
    summary: &RequestSummary,
) -> Vec<String> {
    if let Some(id) = id {
        // The first request id of a group may arrive inside a transaction, which
        // must not fail because the table does not exist yet.
        return vec![CREATE_TABLE_SQL.to_owned(), insert_sql(id)];
    }
    match &pinned.recorded_id {
        Some(id) if summary.commits => vec![record_tag_sql(id, COMMIT_TAG)],
        _ => Vec::new(),
    }
}
