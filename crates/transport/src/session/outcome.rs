//! Look-up of the outcome of a request id.

use std::time::Instant;

use coordination::request_record::{block_sql, RecordAction, RecordPurpose, RequestRecord};
use coordination::retry::{ErrorClass, RetryKind, SendProgress};
use protocol::frame;
use protocol::result_code::ResultCode;
use state::request::{RequestId, RequestOutcome};

use super::attempt::AttemptCounter;
use super::limits::StatementLimits;
use super::read::READ_ONLY;
use super::recorded::{insert_reply, look_up, prepare_next, run_queries};
use super::refusal::{refuse, Result};
use super::request::RequestSummary;
use super::route::AcquiredConnection;
use super::write::initial_state;
use super::CallerSession;

/// Answer to an outcome query about a request that did not run and is now blocked.
const NOT_RUN: &str = "not_run";
/// Prefix of the answer about a committed request; its command tag follows.
const COMMITTED: &str = "committed";

/// Result of one attempt to find an outcome.
enum OutcomeLookUp {
    Found(RequestOutcome),
    Failed(ErrorClass),
}

impl CallerSession {
    /// Returns the text of the outcome. An id without an outcome is blocked first,
    /// so that the request cannot run after the answer.
    pub(super) async fn show_outcome(
        &mut self,
        id: &RequestId,
        deadline: Instant,
    ) -> Result<String> {
        match self.find_outcome(id, deadline).await? {
            RequestOutcome::Blocked => Ok(NOT_RUN.to_owned()),
            RequestOutcome::Committed { tag } => Ok(format!("{COMMITTED} {tag}")),
        }
    }

    /// Answers a COMMIT whose connection was lost, from the recorded outcome.
    pub(super) async fn resolve_commit(
        &mut self,
        id: &RequestId,
        summary: &RequestSummary,
        deadline: Instant,
    ) -> Result<()> {
        let found = match self.find_outcome(id, deadline).await {
            Ok(found) => found,
            Err(super::refusal::RequestError::CallerGone(error)) => return Err(error.into()),
            Err(_) => return refuse(ResultCode::OutcomeUnknown, "its outcome was not found"),
        };
        match found {
            RequestOutcome::Blocked => refuse(ResultCode::TransactionLost, "it did not commit"),
            RequestOutcome::Committed { tag } if summary.statements == 1 => {
                frame::put_complete(&mut self.io.output, &tag);
                Ok(())
            }
            RequestOutcome::Committed { .. } => {
                refuse(ResultCode::OutcomeUnknown, "the transaction committed")
            }
        }
    }

    async fn find_outcome(&mut self, id: &RequestId, deadline: Instant) -> Result<RequestOutcome> {
        let document = self.context.current_document();
        let limits = self.statement_limits(&document, None)?;
        let mut attempts = AttemptCounter::new(&self.context, RetryKind::Write, true, deadline);
        loop {
            let acquired = self.acquire_write(false, &limits, deadline).await?;
            let Some(mut acquired) = acquired else {
                let error = ErrorClass::ConnectFailed;
                let progress = SendProgress::NotSent;
                attempts.retry(&self.context, error, progress).await?;
                continue;
            };
            match self
                .try_outcome(&mut acquired, id, &limits, deadline)
                .await?
            {
                OutcomeLookUp::Found(outcome) => return Ok(outcome),
                OutcomeLookUp::Failed(error) => {
                    self.release_failed(acquired, error);
                    let progress = SendProgress::Sent;
                    attempts.retry(&self.context, error, progress).await?;
                }
            }
        }
    }

    async fn try_outcome(
        &mut self,
        acquired: &mut AcquiredConnection,
        id: &RequestId,
        limits: &StatementLimits,
        deadline: Instant,
    ) -> Result<OutcomeLookUp> {
        let mut record = RequestRecord::new(RecordPurpose::OutcomeQuery);
        let state = initial_state(acquired);
        let lost = Ok(OutcomeLookUp::Failed(ErrorClass::ConnectionLost));
        loop {
            let connection = &mut acquired.connection;
            let queries = ["BEGIN", &block_sql(id)];
            let Ok(report) = run_queries(connection, &queries, deadline).await else {
                return lost;
            };
            let error = report.error_state().map(|(_, state)| state);
            if error.as_ref() == Some(READ_ONLY) {
                return Ok(OutcomeLookUp::Failed(ErrorClass::RefusedNotRun));
            }
            let mut action = record.after_insert(insert_reply(error));
            let mut position = None;
            if action == RecordAction::CommitBlock {
                let Ok(report) = run_queries(connection, &["COMMIT"], deadline).await else {
                    return lost;
                };
                if report.error.is_some() || report.command_tag != "COMMIT" {
                    return lost;
                }
                position = report.position;
            } else if action == RecordAction::LookUp {
                let Some((reply, found_at)) = look_up(connection, id, deadline).await else {
                    return lost;
                };
                action = record.after_look_up(reply);
                position = found_at;
            }
            if let Some(outcome) = outcome_of(&action) {
                return match self.confirm(position, state, limits, deadline).await {
                    true => Ok(OutcomeLookUp::Found(outcome)),
                    false => Ok(OutcomeLookUp::Failed(ErrorClass::NotConfirmed)),
                };
            }
            if !prepare_next(connection, &action, true, deadline).await? {
                return lost;
            }
        }
    }
}

fn outcome_of(action: &RecordAction) -> Option<RequestOutcome> {
    match action {
        RecordAction::CommitBlock | RecordAction::ConfirmAndReportBlocked => {
            Some(RequestOutcome::Blocked)
        }
        RecordAction::ConfirmAndReturn { tag } => {
            Some(RequestOutcome::Committed { tag: tag.clone() })
        }
        _ => None,
    }
}
