//! Retry decisions as a table of cases, and the limit of the retry budget.

use std::time::{Duration, Instant};

use coordination::retry::{
    ErrorClass, FailedAttempt, NotRunReason, RetryBudget, RetryDecision, RetryKind, RetryPolicy,
    SendProgress,
};
use googletest::prelude::*;

struct RetryCase {
    name: &'static str,
    kind: RetryKind,
    progress: SendProgress,
    recorded: bool,
    error: ErrorClass,
    expected: RetryDecision,
}

const RETRY_WITHOUT_DELAY: RetryDecision = RetryDecision::Retry {
    delay: Duration::ZERO,
};
const FAIL_TRANSACTION_LOST: RetryDecision =
    RetryDecision::FailNotRun(NotRunReason::TransactionLost);

#[rustfmt::skip]
fn cases() -> Vec<RetryCase> {
    use ErrorClass::*;
    use RetryDecision::*;
    use RetryKind::*;
    use SendProgress::*;
    let case = |name, kind, progress, recorded, error, expected| RetryCase {
        name, kind, progress, recorded, error, expected,
    };
    vec![
        case("read cut off before its answer", Read, Sent, false, ConnectionLost, RETRY_WITHOUT_DELAY),
        case("read cut off within its answer", Read, AnswerStarted, false, ConnectionLost, FailUnknown),
        case("read refused", Read, Sent, false, RefusedNotRun, RETRY_WITHOUT_DELAY),
        case("write not sent", Write, NotSent, false, ConnectFailed, RETRY_WITHOUT_DELAY),
        case("write sent and lost", Write, Sent, false, ConnectionLost, FailUnknown),
        case("recorded write sent and lost", Write, Sent, true, ConnectionLost, RETRY_WITHOUT_DELAY),
        case("write refused by a replica", Write, Sent, false, RefusedNotRun, RETRY_WITHOUT_DELAY),
        case("write not confirmed", Write, Sent, false, NotConfirmed, FailUnknown),
        case("recorded write not confirmed", Write, Sent, true, NotConfirmed, RETRY_WITHOUT_DELAY),
        case("recorded write within its answer", Write, AnswerStarted, true, ConnectionLost, FailUnknown),
        case("no route", Write, NotSent, false, NoRoute, AwaitRoute),
        case("transaction lost", InTransaction, Sent, true, ConnectionLost, FAIL_TRANSACTION_LOST),
        case("commit not sent", Commit, NotSent, true, ConnectionLost, FAIL_TRANSACTION_LOST),
        case("commit sent and lost", Commit, Sent, false, ConnectionLost, FailUnknown),
        case("recorded commit sent and lost", Commit, Sent, true, ConnectionLost, ResolveOutcome),
        case("SQL error", Write, Sent, true, StatementError, PassError),
    ]
}

/// Guards against a write that runs twice, and against the result "not run" for a
/// statement that may have run.
#[gtest]
fn decisions_match_the_table() {
    let now = Instant::now();
    for case in cases() {
        let mut policy = RetryPolicy::new(RetryBudget::new(10, 10, now));
        let mut failed = FailedAttempt {
            kind: case.kind,
            progress: case.progress,
            recorded: case.recorded,
            error: case.error,
            deadline: now + Duration::from_secs(1),
            attempt: 1,
        };
        let decision = policy.decide(&failed, 0.5, now);
        expect_that!(decision, eq(case.expected), "{}", case.name);
        failed.deadline = now;
        let late = policy.decide(&failed, 0.5, now);
        let repeats = matches!(
            late,
            RetryDecision::Retry { .. } | RetryDecision::AwaitRoute
        );
        expect_that!(repeats, eq(false), "{} after the deadline", case.name);
        if case.progress != SendProgress::NotSent && case.error == ErrorClass::ConnectionLost {
            let claims_not_run = late == RetryDecision::FailNotRun(NotRunReason::DeadlineTooShort);
            expect_that!(claims_not_run, eq(false), "{} claims not run", case.name);
        }
    }
}

/// Guards against retries that multiply the load on failing backend servers, and
/// against errors instead of a pause for statements that were not sent.
#[gtest]
fn budget_bounds_sent_retries_only() {
    let start = Instant::now();
    let mut policy = RetryPolicy::new(RetryBudget::new(10, 10, start));
    let mut failed = FailedAttempt {
        kind: RetryKind::Read,
        progress: SendProgress::Sent,
        recorded: false,
        error: ErrorClass::ConnectionLost,
        deadline: start + Duration::from_secs(100),
        attempt: 1,
    };
    let mut granted = 0;
    for step in 0..10_000 {
        let now = start + Duration::from_micros(step * 900);
        policy.count_request(now);
        let decision = policy.decide(&failed, 0.0, now);
        granted += u64::from(decision == RETRY_WITHOUT_DELAY);
    }
    expect_that!(granted, ge(1_000));
    expect_that!(granted, le(1_100));
    failed.progress = SendProgress::NotSent;
    let now = start + Duration::from_secs(9);
    expect_that!(policy.decide(&failed, 0.0, now), eq(RETRY_WITHOUT_DELAY));
    failed.progress = SendProgress::Sent;
    let spent = RetryDecision::FailUnknown;
    expect_that!(policy.decide(&failed, 0.0, now), eq(spent));
    let later = now + Duration::from_secs(20);
    expect_that!(policy.decide(&failed, 0.0, later), eq(RETRY_WITHOUT_DELAY));
}
