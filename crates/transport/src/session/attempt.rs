//! Attempts of one statement and the decision about another one.

use std::sync::PoisonError;
use std::time::Instant;

use coordination::retry::{
    ErrorClass, FailedAttempt, NotRunReason, RetryDecision, RetryKind, SendProgress,
};
use protocol::result_code::ResultCode;
use tokio::time::sleep;

use super::refusal::{refuse, Result};
use crate::caller::context::CallerContext;

/// Counts the attempts of one statement.
#[derive(Debug)]
pub(super) struct AttemptCounter {
    kind: RetryKind,
    recorded: bool,
    deadline: Instant,
    attempt: u32,
    /// Whether some attempt may have run.
    sent: bool,
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
            sent: false,
        }
    }

    /// Tells whether some attempt may have run.
    pub(super) fn may_have_run(&self) -> bool {
        self.sent
    }

    /// Waits until the next attempt is due, or refuses the statement.
    pub(super) async fn retry(
        &mut self,
        context: &CallerContext,
        error: ErrorClass,
        progress: SendProgress,
    ) -> Result<()> {
        self.attempt += 1;
        self.sent |= progress != SendProgress::NotSent && error != ErrorClass::RefusedNotRun;
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
            | RetryDecision::PassError => refuse(ResultCode::OutcomeUnknown, text_of(error)),
        }
    }

    fn fail_not_run(&self, reason: NotRunReason, error: ErrorClass) -> Result<()> {
        // INVARIANT: a statement of which an earlier attempt may have run is
        // never reported as not run. Reads have no effect.
        if self.sent && self.kind != RetryKind::Read {
            return refuse(ResultCode::OutcomeUnknown, text_of(error));
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
            _ => text_of(error),
        };
        refuse(code, detail)
    }
}

const fn text_of(error: ErrorClass) -> &'static str {
    match error {
        ErrorClass::NoRoute => "no member was found",
        ErrorClass::ConnectFailed => "the backend server could not be reached",
        ErrorClass::ConnectionLost => "the connection to the backend server was lost",
        ErrorClass::RefusedNotRun => "the backend server refused the statement",
        ErrorClass::NotConfirmed => "no majority confirmed it in time",
        ErrorClass::StatementError => "the statement failed",
    }
}
