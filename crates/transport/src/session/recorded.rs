//! Writes with a request id outside a transaction of the caller.
//!
//! The id, the write and its command tag commit in one transaction. A conflict
//! means that the id is recorded already; its recorded outcome is then confirmed
//! and returned.

use std::time::Instant;

use coordination::request_record::{
    insert_sql, look_up_sql, parse_outcome, record_tag_sql, InsertReply, LookUpReply, RecordAction,
    RecordPurpose, RequestRecord, CREATE_INDEX_SQL, CREATE_TABLE_SQL,
};
use coordination::retry::{ErrorClass, RetryKind, SendProgress};
use protocol::frame::{self, tag, ErrorSeverity, WireFrame};
use protocol::result_code::ResultCode;
use state::request::RequestId;

use super::attempt::AttemptCounter;
use super::exchange::{read_position, ExchangeSpec, PositionReading, SqlState, POSITION_QUERY};
use super::limits::StatementLimits;
use super::primary::is_ambiguous;
use super::read::READ_ONLY;
use super::refusal::{refuse, Result};
use super::request::CallerRequest;
use super::route::AcquiredConnection;
use super::write::{initial_state, UNIQUE_VIOLATION};
use super::CallerSession;
use crate::backend::{self, BackendConnection};

/// SQLSTATE of a missing table: the group has no table of request ids yet.
const TABLE_MISSING: &[u8; 5] = b"42P01";

/// Result of one attempt of a recorded write.
pub(super) enum RecordedResult {
    /// The answer is in the caller's output.
    Answered,
    /// The attempt has no answer; a later attempt determines the outcome.
    Failed(ErrorClass),
}

/// Answers to queries that were sent together.
#[derive(Debug, Default)]
pub(super) struct QueriesReport {
    /// First error with the index of its query.
    pub(super) error: Option<(usize, WireFrame)>,
    /// Text columns of the last row.
    pub(super) row: Option<Vec<String>>,
    /// Last command tag.
    pub(super) command_tag: String,
    /// Position that the member reported after the queries.
    pub(super) position: Option<PositionReading>,
}

impl QueriesReport {
    pub(super) fn error_state(&self) -> Option<(usize, SqlState)> {
        let (index, frame) = self.error.as_ref()?;
        let state = frame::error_sqlstate(frame)?.as_bytes().try_into().ok()?;
        Some((*index, state))
    }
}

/// Sends queries together with the position query and reads all answers.
pub(super) async fn run_queries(
    connection: &mut BackendConnection,
    queries: &[&str],
    deadline: Instant,
) -> backend::Result<QueriesReport> {
    for query in queries {
        connection.compose_query(query);
    }
    connection.compose_query(POSITION_QUERY);
    connection.send(deadline).await?;
    let mut report = QueriesReport::default();
    let mut index = 0;
    while index < queries.len() {
        let frame = connection.next_frame(deadline).await?;
        match frame.tag() {
            tag::READY => index += 1,
            tag::ERROR if report.error.is_none() => report.error = Some((index, frame)),
            tag::COMMAND_COMPLETE => {
                report.command_tag = frame.reader().text().unwrap_or_default().to_owned();
            }
            tag::DATA_ROW => report.row = read_row(&frame),
            _ => {}
        }
    }
    report.position = read_position(connection, deadline).await?;
    Ok(report)
}

fn read_row(frame: &WireFrame) -> Option<Vec<String>> {
    let columns = frame::text_columns(frame).ok()?;
    let text = |column: Option<&str>| column.unwrap_or_default().to_owned();
    Some(columns.into_iter().map(text).collect())
}

/// Maps the SQLSTATE of an id's insert to the reply.
pub(super) fn insert_reply(error: Option<SqlState>) -> InsertReply {
    match error.as_ref() {
        None => InsertReply::Inserted,
        Some(UNIQUE_VIOLATION) => InsertReply::Conflict,
        Some(TABLE_MISSING) => InsertReply::TableMissing,
        Some(_) => InsertReply::RolledBack,
    }
}

impl CallerSession {
    /// Runs a write with a request id. It may be retried, because the recorded id
    /// prevents a second run.
    pub(super) async fn run_recorded(
        &mut self,
        request: &CallerRequest<'_>,
        id: &RequestId,
        limits: &StatementLimits,
        deadline: Instant,
    ) -> Result<()> {
        let mut attempts = AttemptCounter::new(&self.context, RetryKind::Write, true, deadline);
        loop {
            let acquired = match self.acquire_write(false, limits, deadline).await {
                Ok(acquired) => acquired,
                Err(error) if attempts.may_have_run() => return Err(as_outcome_unknown(error)),
                Err(error) => return Err(error),
            };
            let Some(mut acquired) = acquired else {
                let error = ErrorClass::ConnectFailed;
                let progress = SendProgress::NotSent;
                attempts.retry(&self.context, error, progress).await?;
                continue;
            };
            let may_have_run = attempts.may_have_run();
            let end = self
                .try_recorded(&mut acquired, request, id, limits, deadline, may_have_run)
                .await?;
            let RecordedResult::Failed(error) = end else {
                if let Some(permit) = &mut acquired.permit {
                    permit.record_answer();
                }
                return Ok(());
            };
            self.release_failed(acquired, error);
            let progress = SendProgress::Sent;
            attempts.retry(&self.context, error, progress).await?;
        }
    }

    async fn try_recorded(
        &mut self,
        acquired: &mut AcquiredConnection,
        request: &CallerRequest<'_>,
        id: &RequestId,
        limits: &StatementLimits,
        deadline: Instant,
        may_have_run: bool,
    ) -> Result<RecordedResult> {
        let mut record = RequestRecord::new(RecordPurpose::Write);
        loop {
            let prefix = ["BEGIN".to_owned(), insert_sql(id)];
            let spec = ExchangeSpec {
                prefix: &prefix,
                needs_prefix: true,
                request,
                ask_position: false,
                hold: true,
                deadline,
                idle_timeout: limits.statement_timeout,
            };
            let answer_start = self.io.output.len();
            let report = match self.exchange(&mut acquired.connection, &spec).await? {
                Ok(report) => report,
                Err(SendProgress::AnswerStarted) => {
                    return refuse(ResultCode::OutcomeUnknown, "the connection was lost");
                }
                Err(_) => return Ok(RecordedResult::Failed(ErrorClass::ConnectionLost)),
            };
            let error = report.prefix_error.map(|(_, error)| error);
            if error.as_ref() == Some(READ_ONLY) {
                self.io.output.truncate(answer_start);
                return Ok(RecordedResult::Failed(ErrorClass::RefusedNotRun));
            }
            let mut action = record.after_insert(insert_reply(error));
            if action == RecordAction::RunWrite {
                let tag = report.command_tag.as_deref().unwrap_or_default();
                let failed = report.error;
                return self
                    .commit_recorded(acquired, id, tag, failed, answer_start, limits, deadline)
                    .await;
            }
            self.io.output.truncate(answer_start);
            if action == RecordAction::LookUp {
                let connection = &mut acquired.connection;
                let Some((reply, position)) = look_up(connection, id, deadline).await else {
                    return Ok(RecordedResult::Failed(ErrorClass::ConnectionLost));
                };
                action = record.after_look_up(reply);
                if let RecordAction::ConfirmAndReturn { .. }
                | RecordAction::ConfirmAndReportBlocked = &action
                {
                    let state = initial_state(acquired);
                    if !self.confirm(position, state, limits, deadline).await {
                        return Ok(RecordedResult::Failed(ErrorClass::NotConfirmed));
                    }
                    return self.answer_recorded(request, id, &action);
                }
            }
            let connection = &mut acquired.connection;
            if !prepare_next(connection, &action, may_have_run, deadline).await? {
                return Ok(RecordedResult::Failed(ErrorClass::ConnectionLost));
            }
        }
    }

    /// Records the command tag and commits, or rolls back when the write failed.
    #[allow(clippy::too_many_arguments)]
    async fn commit_recorded(
        &mut self,
        acquired: &mut AcquiredConnection,
        id: &RequestId,
        command_tag: &str,
        failed: Option<SqlState>,
        answer_start: usize,
        limits: &StatementLimits,
        deadline: Instant,
    ) -> Result<RecordedResult> {
        let connection = &mut acquired.connection;
        if failed.is_some() {
            // The error is the answer. Nothing was committed, even if the
            // rollback cannot be sent.
            let _ = run_queries(connection, &["ROLLBACK"], deadline).await;
            return Ok(RecordedResult::Answered);
        }
        let record_tag = record_tag_sql(id, command_tag);
        let queries = [record_tag.as_str(), "COMMIT"];
        let Ok(report) = run_queries(connection, &queries, deadline).await else {
            self.io
                .output
                .truncate(answer_start.min(self.io.output.len()));
            return Ok(RecordedResult::Failed(ErrorClass::ConnectionLost));
        };
        if let Some((_, state)) = report.error_state() {
            self.io
                .output
                .truncate(answer_start.min(self.io.output.len()));
            if is_ambiguous(&state) {
                return Ok(RecordedResult::Failed(ErrorClass::ConnectionLost));
            }
            if let Some((_, frame)) = &report.error {
                self.io.output.extend_from_slice(frame.bytes());
            }
            return Ok(RecordedResult::Answered);
        }
        let state = initial_state(acquired);
        if !self.confirm(report.position, state, limits, deadline).await {
            self.io
                .output
                .truncate(answer_start.min(self.io.output.len()));
            return Ok(RecordedResult::Failed(ErrorClass::NotConfirmed));
        }
        self.variables.consume_request_id(id);
        Ok(RecordedResult::Answered)
    }

    fn answer_recorded(
        &mut self,
        request: &CallerRequest<'_>,
        id: &RequestId,
        action: &RecordAction,
    ) -> Result<RecordedResult> {
        self.variables.consume_request_id(id);
        let RecordAction::ConfirmAndReturn { tag } = action else {
            return refuse(ResultCode::RequestBlocked, format!("request id {id}"));
        };
        let reason = format!("request id {id}");
        let code = ResultCode::AlreadyRan;
        let out = &mut self.io.output;
        frame::put_result(out, ErrorSeverity::Notice, code, &reason);
        request.put_recorded(out, tag);
        Ok(RecordedResult::Answered)
    }
}

/// Turns a refusal into `OutcomeUnknown`, because the write may have run in an
/// earlier attempt.
fn as_outcome_unknown(error: super::refusal::RequestError) -> super::refusal::RequestError {
    use super::refusal::{Refusal, RequestError};
    match error {
        RequestError::Refused(refusal) => {
            RequestError::Refused(Refusal::new(ResultCode::OutcomeUnknown, refusal.reason))
        }
        RequestError::Cancelled => {
            RequestError::Refused(Refusal::new(ResultCode::OutcomeUnknown, "cancelled"))
        }
        gone => gone,
    }
}

/// Rolls back and looks up the outcome of an id; returns `None` when the connection
/// is lost.
pub(super) async fn look_up(
    connection: &mut BackendConnection,
    id: &RequestId,
    deadline: Instant,
) -> Option<(LookUpReply, Option<PositionReading>)> {
    let queries = ["ROLLBACK", &look_up_sql(id)];
    let report = run_queries(connection, &queries, deadline).await.ok()?;
    let reply = match report.row.as_deref() {
        Some([state, tag]) => {
            parse_outcome(state, tag).map_or(LookUpReply::Unreadable, LookUpReply::Found)
        }
        Some(_) => LookUpReply::Unreadable,
        None if report.error.is_some() => LookUpReply::Unreadable,
        None => LookUpReply::Absent,
    };
    Some((reply, report.position))
}

/// Rolls back before the next insert of the id, and creates the table if it is
/// missing. Returns false when the connection is lost, and a refusal when the action
/// is to fail.
pub(super) async fn prepare_next(
    connection: &mut BackendConnection,
    action: &RecordAction,
    may_have_run: bool,
    deadline: Instant,
) -> Result<bool> {
    let queries: &[&str] = match action {
        RecordAction::CreateTable => &["ROLLBACK", CREATE_TABLE_SQL, CREATE_INDEX_SQL],
        RecordAction::FailNotRun if !may_have_run => {
            return refuse(
                ResultCode::NoPrimary,
                "the request id could not be recorded",
            );
        }
        RecordAction::FailNotRun | RecordAction::FailUnknown => {
            return refuse(
                ResultCode::OutcomeUnknown,
                "the recorded outcome could not be read",
            );
        }
        _ => &["ROLLBACK"],
    };
    Ok(run_queries(connection, queries, deadline).await.is_ok())
}
