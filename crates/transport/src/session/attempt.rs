//! Attempts of one statement, and the decision whether to retry.

use std::sync::PoisonError;
use std::time::Instant;

use coordination::retry::{
    ErrorClass, FailedAttempt, NotRunReason, RetryDecision, RetryKind, SendProgress,
};
use protocol::result_code::ResultCode;
use tokio::time::sleep;

use super::refusal::{refuse, Result};
use crate::caller::context::CallerContext;

/// Failed attempts of one statement, with what the retry policy needs to know.
#[derive(Debug)]
pub(super) struct AttemptCounter {
    kind: RetryKind,
    recorded: bool,
    deadline: Instant,
    attempt: u32,
    /// Whether the statement may have run in an earlier attempt.
    may_have_run: bool,
}

impl AttemptCounter {
    pub(super) fn new(
        context: &CallerContext,
        kind: RetryKind,
        recorded: bool,
        deadline: Instant,
    ) -> Self {
        let mut retry = context.retry.lock().unwrap_or_else(PoisonError::into_inner);
        retry.count_request(Instant::now());
        Self {
            kind,
            recorded,
            deadline,
            attempt: 0,
            may_have_run: false,
        }
    }

    /// Returns whether the statement may have run in an earlier attempt.
    pub(super) fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Records a failed attempt. Waits until the next one is due, or returns the
    /// refusal when the retry policy allows none.
    pub(super) async fn retry(
        &mut self,
        context: &CallerContext,
        error: ErrorClass,
        progress: SendProgress,
    ) -> Result<()> {
        self.attempt += 1;
        self.may_have_run |=
            progress != SendProgress::NotSent && error != ErrorClass::RefusedNotRun;
        let failed = FailedAttempt {
            kind: self.kind,
            progress,
            recorded: self.recorded,
            error,
            deadline: self.deadline,
            attempt: self.attempt,
        };
        let decision = {
            let mut retry = context.retry.lock().unwrap_or_else(PoisonError::into_inner);
            retry.decide(&failed, rand::random::<f64>().min(0.999), Instant::now())
        };
        let label = match self.kind {
            RetryKind::Read => "read",
            _ => "write",
        };
        match decision {
            RetryDecision::Retry { delay } => {
                context.metrics.retries.with_label_values(&[label]).inc();
                sleep(delay).await;
                Ok(())
            }
            RetryDecision::AwaitRoute => Ok(()),
            RetryDecision::FailNotRun(reason) => self.fail_not_run(reason, error),
            RetryDecision::FailUnknown
            | RetryDecision::ResolveOutcome
            | RetryDecision::PassError => refuse(ResultCode::OutcomeUnknown, describe_error(error)),
        }
    }

    fn fail_not_run(&self, reason: NotRunReason, error: ErrorClass) -> Result<()> {
        // INVARIANT: a statement that may have run in an earlier attempt is never
        // reported as not run. Reads are exempt, because they have no effect.
        if self.may_have_run && self.kind != RetryKind::Read {
            return refuse(ResultCode::OutcomeUnknown, describe_error(error));
        }
        let code = match (reason, self.kind, error) {
            (NotRunReason::TransactionLost, ..) => ResultCode::TransactionLost,
            (NotRunReason::BudgetSpent, ..) => ResultCode::QueueFull,
            (_, RetryKind::Read, ErrorClass::NoRoute | ErrorClass::ConnectFailed) => {
                ResultCode::NoFreshMember
            }
            (_, _, ErrorClass::NoRoute | ErrorClass::ConnectFailed | ErrorClass::RefusedNotRun) => {
                ResultCode::NoPrimary
            }
            _ => ResultCode::DeadlineTooShort,
        };
        let detail = match reason {
            NotRunReason::BudgetSpent => "the retry budget is used up",
            _ => describe_error(error),
        };
        refuse(code, detail)
    }
}

const fn describe_error(error: ErrorClass) -> &'static str {
    match error {
        ErrorClass::NoRoute => "no member was found",
        ErrorClass::ConnectFailed => "the backend server could not be reached",
        ErrorClass::ConnectionLost => "the connection to the backend server was lost",
        ErrorClass::RefusedNotRun => "the backend server refused the statement",
        ErrorClass::NotConfirmed => "no majority confirmed it in time",
        ErrorClass::StatementError => "the statement failed",
    }
}
