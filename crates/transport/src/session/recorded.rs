//! Writes with a request id outside a transaction of the caller.
//!
//! The id, the write and its command tag commit in one transaction. A conflict
//! means that the request ran before; its recorded outcome is then confirmed
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
use super::exchange::{read_position, ExchangeOrder, PositionReading, SqlState, POSITION_QUERY};
use super::policy::ReadPolicy;
use super::primary::is_ambiguous;
use super::read::READ_ONLY;
use super::refusal::{refuse, Result};
use super::route::AcquiredConnection;
use super::work::Work;
use super::write::{place_of, UNIQUE_VIOLATION};
use super::CallerSession;
use crate::backend::{self, BackendConnection};

/// SQLSTATE of a missing table.
const TABLE_MISSING: &[u8; 5] = b"42P01";

/// How one attempt ended.
pub(super) enum RecordEnd {
    /// The answer is in the caller's output.
    Answered,
    /// No answer yet; a later attempt finds out what happened.
    Failed(ErrorClass),
}

/// Answers to a packet of queries.
#[derive(Debug, Default)]
pub(super) struct QueriesReport {
    /// First error with the index of its query.
    pub(super) error: Option<(usize, WireFrame)>,
    /// Text columns of the last row.
    pub(super) row: Option<Vec<String>>,
    /// Last command tag.
    pub(super) command_tag: String,
    /// Position behind the queries.
    pub(super) position: Option<PositionReading>,
}

impl QueriesReport {
    pub(super) fn error_state(&self) -> Option<(usize, SqlState)> {
        let (index, frame) = self.error.as_ref()?;
        let state = frame::error_sqlstate(frame)?.as_bytes().try_into().ok()?;
        Some((*index, state))
    }
}

/// Runs queries in one packet, with the position query behind them.
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

/// Reads the reply to the insert of an id from its SQLSTATE.
pub(super) fn insert_reply(error: Option<SqlState>) -> InsertReply {
    match error.as_ref() {
        None => InsertReply::Inserted,
        Some(UNIQUE_VIOLATION) => InsertReply::Conflict,
        Some(TABLE_MISSING) => InsertReply::TableMissing,
        Some(_) => InsertReply::RolledBack,
    }
}

impl CallerSession {
    /// Runs a write with a request id. It may be repeated, since the id makes
    /// a second run impossible.
    pub(super) async fn run_recorded(
        &mut self,
        work: &Work<'_>,
        id: &RequestId,
        policy: &ReadPolicy,
        deadline: Instant,
    ) -> Result<()> {
        let mut attempts = AttemptCounter::new(&self.context, RetryKind::Write, true, deadline);
        loop {
            let acquired = match self.acquire_write(false, policy, deadline).await {
                Ok(acquired) => acquired,
                Err(error) if attempts.may_have_run() => return Err(unless_unknown(error)),
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
                .try_recorded(&mut acquired, work, id, policy, deadline, may_have_run)
                .await?;
            let RecordEnd::Failed(error) = end else {
                if let Some(permit) = &mut acquired.permit {
                    permit.record_answer();
                }
                return Ok(());
            };
            self.give_up(acquired, error);
            let progress = SendProgress::Sent;
            attempts.retry(&self.context, error, progress).await?;
        }
    }

    async fn try_recorded(
        &mut self,
        acquired: &mut AcquiredConnection,
        work: &Work<'_>,
        id: &RequestId,
        policy: &ReadPolicy,
        deadline: Instant,
        may_have_run: bool,
    ) -> Result<RecordEnd> {
        let mut record = RequestRecord::new(RecordPurpose::Write);
        loop {
            let prefix = ["BEGIN".to_owned(), insert_sql(id)];
            let order = ExchangeOrder {
                prefix: &prefix,
                needs_prefix: true,
                work,
                ask_position: false,
                hold: true,
                deadline,
                patience: policy.statement,
            };
            let floor = self.io.output.len();
            let report = match self.exchange(&mut acquired.connection, &order).await? {
                Ok(report) => report,
                Err(SendProgress::AnswerStarted) => {
                    return refuse(ResultCode::OutcomeUnknown, "the connection was lost");
                }
                Err(_) => return Ok(RecordEnd::Failed(ErrorClass::ConnectionLost)),
            };
            let error = report.prefix_error.map(|(_, error)| error);
            if error.as_ref() == Some(READ_ONLY) {
                self.io.output.truncate(floor);
                return Ok(RecordEnd::Failed(ErrorClass::RefusedNotRun));
            }
            let mut action = record.after_insert(insert_reply(error));
            if action == RecordAction::RunWrite {
                let tag = report.command_tag.as_deref().unwrap_or_default();
                let failed = report.error;
                return self
                    .commit_recorded(acquired, id, tag, failed, floor, policy, deadline)
                    .await;
            }
            self.io.output.truncate(floor);
            if action == RecordAction::LookUp {
                let connection = &mut acquired.connection;
                let Some((reply, position)) = look_up(connection, id, deadline).await else {
                    return Ok(RecordEnd::Failed(ErrorClass::ConnectionLost));
                };
                action = record.after_look_up(reply);
                if let RecordAction::ConfirmAndReturn { .. }
                | RecordAction::ConfirmAndReportBlocked = &action
                {
                    let place = place_of(acquired);
                    if !self.confirm(position, place, policy, deadline).await {
                        return Ok(RecordEnd::Failed(ErrorClass::NotConfirmed));
                    }
                    return self.answer_recorded(work, id, &action);
                }
            }
            let connection = &mut acquired.connection;
            if !prepare_next(connection, &action, may_have_run, deadline).await? {
                return Ok(RecordEnd::Failed(ErrorClass::ConnectionLost));
            }
        }
    }

    /// Records the tag and commits, or rolls back when the write failed.
    #[allow(clippy::too_many_arguments)]
    async fn commit_recorded(
        &mut self,
        acquired: &mut AcquiredConnection,
        id: &RequestId,
        command_tag: &str,
        failed: Option<SqlState>,
        floor: usize,
        policy: &ReadPolicy,
        deadline: Instant,
    ) -> Result<RecordEnd> {
        let connection = &mut acquired.connection;
        if failed.is_some() {
            // The error is the answer. Nothing was committed, even if the
            // rollback cannot be sent any more.
            let _ = run_queries(connection, &["ROLLBACK"], deadline).await;
            return Ok(RecordEnd::Answered);
        }
        let record_tag = record_tag_sql(id, command_tag);
        let queries = [record_tag.as_str(), "COMMIT"];
        let Ok(report) = run_queries(connection, &queries, deadline).await else {
            self.io.output.truncate(floor.min(self.io.output.len()));
            return Ok(RecordEnd::Failed(ErrorClass::ConnectionLost));
        };
        if let Some((_, state)) = report.error_state() {
            self.io.output.truncate(floor.min(self.io.output.len()));
            if is_ambiguous(&state) {
                return Ok(RecordEnd::Failed(ErrorClass::ConnectionLost));
            }
            if let Some((_, frame)) = &report.error {
                self.io.output.extend_from_slice(frame.bytes());
            }
            return Ok(RecordEnd::Answered);
        }
        let place = place_of(acquired);
        if !self.confirm(report.position, place, policy, deadline).await {
            self.io.output.truncate(floor.min(self.io.output.len()));
            return Ok(RecordEnd::Failed(ErrorClass::NotConfirmed));
        }
        self.variables.spend(id);
        Ok(RecordEnd::Answered)
    }

    fn answer_recorded(
        &mut self,
        work: &Work<'_>,
        id: &RequestId,
        action: &RecordAction,
    ) -> Result<RecordEnd> {
        self.variables.spend(id);
        let RecordAction::ConfirmAndReturn { tag } = action else {
            return refuse(ResultCode::RequestBlocked, format!("request id {id}"));
        };
        let reason = format!("request id {id}");
        let code = ResultCode::AlreadyRan;
        let out = &mut self.io.output;
        frame::put_result(out, ErrorSeverity::Notice, code, &reason);
        work.put_recorded(out, tag);
        Ok(RecordEnd::Answered)
    }
}

/// An earlier attempt may have run, so no refusal may say that it did not.
fn unless_unknown(error: super::refusal::StepError) -> super::refusal::StepError {
    use super::refusal::{Refusal, StepError};
    match error {
        StepError::Refused(refusal) => {
            StepError::Refused(Refusal::new(ResultCode::OutcomeUnknown, refusal.reason))
        }
        StepError::Cancelled => {
            StepError::Refused(Refusal::new(ResultCode::OutcomeUnknown, "cancelled"))
        }
        gone => gone,
    }
}

/// Looks up the outcome of an id in a new transaction; `None` when the
/// connection is lost.
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

/// Prepares the next round of the insert; returns false when the connection
/// is lost.
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
