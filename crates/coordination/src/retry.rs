//! Retry decisions and the retry budget.
//!
//! A failed attempt is retried only if the retry cannot apply a write twice. That
//! is the case for reads, for statements that were provably not sent or that the
//! backend server refused to run, and for writes whose request id is recorded in
//! the same transaction.

use std::time::{Duration, Instant};

/// Delay before the second retry; the first one is not delayed.
pub const BACKOFF_BASE: Duration = Duration::from_millis(5);
/// Longest delay before a retry. It is below the 200 ms that the failover time
/// budget leaves for reconnecting.
pub const BACKOFF_MAX: Duration = Duration::from_millis(150);
/// Length of the sliding window over which the budget counts requests and
/// retries, in seconds.
pub const BUDGET_WINDOW_SECONDS: usize = 10;

/// Kind of the statement that failed, which determines whether a retry is safe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryKind {
    /// A read outside a transaction.
    Read,
    /// A write outside a transaction of the caller.
    Write,
    /// A statement inside a transaction of the caller, other than its commit.
    InTransaction,
    /// The commit of a transaction of the caller.
    Commit,
}

/// How much of a statement was sent, and how much of its answer was passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendProgress {
    /// No byte of the statement was written to a connection.
    NotSent,
    /// Some of the statement may have reached a backend server.
    Sent,
    /// Part of the answer was already passed on to the caller.
    AnswerStarted,
}

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorClass {
    /// Routing found no member, so that nothing was sent.
    NoRoute,
    /// No connection could be opened or taken from the pool.
    ConnectFailed,
    /// The connection closed or stopped responding.
    ConnectionLost,
    /// The backend server refused to run the statement: read-only (25006),
    /// fenced, starting up, or at its connection limit.
    RefusedNotRun,
    /// A write was answered, but no majority confirmed it in time.
    NotConfirmed,
    /// The statement ran and failed with an SQL error.
    StatementError,
}

/// A failed attempt.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// Kind of the statement.
    pub kind: RetryKind,
    /// How much of the statement was sent.
    pub progress: SendProgress,
    /// Whether the request id is recorded in the same transaction as the write.
    pub recorded: bool,
    /// Why the attempt failed.
    pub error: ErrorClass,
    /// Deadline of the caller's request.
    pub deadline: Instant,
    /// Number of attempts so far, this one included.
    pub attempt: u32,
}

/// Why a statement fails that certainly did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRunReason {
    /// The deadline leaves no time for a retry.
    DeadlineTooShort,
    /// The retry budget is used up.
    BudgetSpent,
    /// The caller's transaction was lost before its commit was sent.
    TransactionLost,
}

/// What to do about a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try again after the delay, on another connection or member.
    Retry {
        /// Time to wait before the next attempt.
        delay: Duration,
    },
    /// Wait for a changed view of the group, then try again.
    AwaitRoute,
    /// Look up the recorded outcome of the request id. A caller's transaction
    /// cannot be replayed, but its outcome can be determined.
    ResolveOutcome,
    /// Pass the backend server's error on to the caller.
    PassError,
    /// Report a failure. The statement was not run.
    FailNotRun(NotRunReason),
    /// Report a failure. The statement may have run.
    FailUnknown,
}

/// Decides how to proceed after failed attempts, within the retry budget.
#[derive(Clone, Debug)]
pub struct RetryPolicy {
    budget: RetryBudget,
}

impl RetryPolicy {
    /// Creates a policy that takes retries from `budget`.
    pub fn new(budget: RetryBudget) -> Self {
        Self { budget }
    }

    /// Counts the first attempt of a request.
    pub fn count_request(&mut self, now: Instant) {
        self.budget.count_request(now);
    }

    /// Decides how to proceed after a failed attempt. `jitter` is a random number
    /// in `[0, 1)`.
    pub fn decide(&mut self, failed: &FailedAttempt, jitter: f64, now: Instant) -> RetryDecision {
        assert!((0.0..1.0).contains(&jitter), "jitter out of range");
        if failed.error == ErrorClass::StatementError {
            return RetryDecision::PassError;
        }
        let ran = may_have_run(failed);
        if let Some(decision) = decide_without_retry(failed, ran) {
            return decision;
        }
        let give_up = |reason| match ran {
            true => RetryDecision::FailUnknown,
            false => RetryDecision::FailNotRun(reason),
        };
        if failed.error == ErrorClass::NoRoute && now < failed.deadline {
            return RetryDecision::AwaitRoute;
        }
        let delay = backoff(failed.attempt, jitter);
        if now + delay >= failed.deadline {
            return give_up(NotRunReason::DeadlineTooShort);
        }
        // A statement that was not sent puts no load on a backend server.
        // Charging it would turn the pause of a failover into errors.
        if failed.progress != SendProgress::NotSent && !self.budget.try_spend(now) {
            return give_up(NotRunReason::BudgetSpent);
        }
        // INVARIANT: a retried statement cannot apply a write twice.
        assert!(!ran || failed.recorded || failed.kind == RetryKind::Read);
        RetryDecision::Retry { delay }
    }
}

fn may_have_run(failed: &FailedAttempt) -> bool {
    failed.progress != SendProgress::NotSent && failed.error != ErrorClass::RefusedNotRun
}

fn decide_without_retry(failed: &FailedAttempt, ran: bool) -> Option<RetryDecision> {
    if failed.progress == SendProgress::AnswerStarted {
        return Some(RetryDecision::FailUnknown);
    }
    match failed.kind {
        RetryKind::InTransaction => Some(RetryDecision::FailNotRun(NotRunReason::TransactionLost)),
        RetryKind::Commit if !ran => Some(RetryDecision::FailNotRun(NotRunReason::TransactionLost)),
        RetryKind::Commit if failed.recorded => Some(RetryDecision::ResolveOutcome),
        RetryKind::Commit => Some(RetryDecision::FailUnknown),
        RetryKind::Write if ran && !failed.recorded => Some(RetryDecision::FailUnknown),
        RetryKind::Read | RetryKind::Write => None,
    }
}

fn backoff(attempt: u32, jitter: f64) -> Duration {
    if attempt <= 1 {
        return Duration::ZERO;
    }
    let doubled = BACKOFF_BASE.saturating_mul(1 << (attempt - 2).min(16));
    doubled.min(BACKOFF_MAX).mul_f64(0.5 + jitter / 2.0)
}

#[derive(Clone, Copy, Debug, Default)]
struct BudgetSecond {
    requests: u64,
    retries: u64,
}

/// Limits retries to a percentage of recent requests plus a constant rate, so that
/// retries cannot multiply the load on failing backend servers.
///
/// # Invariants
///
/// Within any window the retries stay at or below
/// `percent / 100 * requests + floor_per_second * BUDGET_WINDOW_SECONDS`.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    percent: u64,
    floor_per_second: u64,
    started_at: Instant,
    second: u64,
    seconds: [BudgetSecond; BUDGET_WINDOW_SECONDS],
}

impl RetryBudget {
    /// Creates a budget from the limits of the intent document. `percent` is the
    /// allowed share of retries, and `floor_per_second` the rate of retries that
    /// is allowed in any case.
    pub fn new(percent: u64, floor_per_second: u64, now: Instant) -> Self {
        Self {
            percent,
            floor_per_second,
            started_at: now,
            second: 0,
            seconds: [BudgetSecond::default(); BUDGET_WINDOW_SECONDS],
        }
    }

    /// Counts the first attempt of a request.
    pub fn count_request(&mut self, now: Instant) {
        self.advance(now).requests += 1;
    }

    /// Takes one retry from the budget. Returns false if the budget is used up.
    pub fn try_spend(&mut self, now: Instant) -> bool {
        self.advance(now);
        let requests: u64 = self.seconds.iter().map(|second| second.requests).sum();
        let retries: u64 = self.seconds.iter().map(|second| second.retries).sum();
        let floor = self.floor_per_second * BUDGET_WINDOW_SECONDS as u64;
        if retries >= requests * self.percent / 100 + floor {
            return false;
        }
        self.advance(now).retries += 1;
        true
    }

    fn advance(&mut self, now: Instant) -> &mut BudgetSecond {
        let second = now.saturating_duration_since(self.started_at).as_secs();
        let window = BUDGET_WINDOW_SECONDS as u64;
        let passed = second.saturating_sub(self.second).min(window);
        self.second = self.second.max(second);
        for back in 0..passed {
            let index = ((self.second - back) % window) as usize;
            self.seconds[index] = BudgetSecond::default();
        }
        &mut self.seconds[(self.second % window) as usize]
    }
}
