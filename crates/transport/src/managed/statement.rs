//! Runs one statement: chooses a member, sends the statement, and repeats it at
//! another member if that is safe.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use coordination::admission::{AdmissionRefusal, AdmissionRequest};
use coordination::managed::dispatch::{
    choose_primary, choose_read, may_await_primary, ChoiceFailure, HostLocation, MemberChoice,
    QueueRefusals, RequestedRead,
};
use coordination::managed::forwarding::ForwardFailure;
use coordination::managed::spread::SelectionRule;
use coordination::retry::{ErrorClass, FailedAttempt, RetryDecision, RetryKind, SendProgress};
use protocol::forward::HolderRefusal;
use protocol::result_code::ResultCode;
use protocol::statement::{MemberRefusal, MemberStatement};
use state::account::ClientAccount;
use state::clock::MonotonicClock;
use state::keys::MemberKey;
use state::log::{LogPosition, Term};
use tokio::time::{sleep, sleep_until, timeout_at};

use super::codec::StatementCodec;
use super::context::HostContext;
use super::group_runtime::{ConnectionPool, GroupRuntime, SendInstant};
use super::hop::MemberLink;
use super::member_connection::{ConnectionError, ConnectionSetup, MemberAnswer};
use super::statement_request::{
    AskedPositions, MemberRequest, PlacedAnswer, Result, StatementBody, StatementFailure,
    StatementRequest, STOPPING,
};
use crate::pool::{PoolError, PooledConnection};

/// Longest wait for a change of the group before a member is chosen again.
const ROUTE_RECHECK: Duration = Duration::from_millis(50);
/// Shortest time limit for one attempt of a read. A statement that waits for a slot
/// behind two others is answered within this time.
const ATTEMPT_MIN: Duration = Duration::from_millis(250);
/// Longest time to open or prepare a connection. A healthy member answers sooner,
/// and after this time the statement can still go to another member.
pub(super) const SETUP_TIMEOUT: Duration = Duration::from_millis(500);

/// Characters of a text of a caller or member that a log line quotes.
const LOGGED_CHARS: usize = 64;
/// Lowest priority of an account.
const LOWEST_PRIORITY: u8 = 9;
/// Time after which a caller may retry if no queue estimated one.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Factors of an estimated retry delay, so that refused callers do not return together.
const RETRY_JITTER: std::ops::Range<f64> = 0.5..1.5;

/// Why an attempt to run a statement did not succeed.
#[derive(Debug)]
struct AttemptFailure {
    progress: SendProgress,
    error: ErrorClass,
    code: ResultCode,
    detail: String,
    /// Whether this host's queue for the member refused the statement.
    is_queue_refusal: bool,
    /// Time after which the queue is expected to have room, if it was estimated.
    retry_after: Option<Duration>,
}

impl AttemptFailure {
    /// Creates the failure of an attempt that sent no byte of the statement, so that
    /// another member may run it.
    fn not_sent(code: ResultCode, detail: &str) -> Self {
        Self {
            progress: SendProgress::NotSent,
            error: ErrorClass::ConnectFailed,
            code,
            detail: detail.to_owned(),
            is_queue_refusal: false,
            retry_after: None,
        }
    }

    fn no_route(code: ResultCode, detail: &str) -> Self {
        Self {
            error: ErrorClass::NoRoute,
            ..Self::not_sent(code, detail)
        }
    }

    /// Returns whether no member ran the statement in this attempt.
    fn is_not_run(&self) -> bool {
        self.progress == SendProgress::NotSent || self.error == ErrorClass::RefusedNotRun
    }

    /// Returns the error for the caller. The refusal of a queue gets the time after which
    /// to retry, if one was estimated.
    fn into_failure(self, retry_after: Option<Duration>) -> StatementFailure {
        let retry_after = retry_after.filter(|_| self.is_queue_refusal);
        let detail = match retry_after {
            Some(delay) => format!("{}; {}", self.detail, retry_text(delay)),
            None => self.detail,
        };
        StatementFailure::new(self.code, &detail)
    }

    fn sent(error: ErrorClass, code: ResultCode, detail: &str) -> Self {
        Self {
            progress: SendProgress::Sent,
            error,
            code,
            detail: detail.to_owned(),
            is_queue_refusal: false,
            retry_after: None,
        }
    }
}

/// Runs one statement in a group.
pub(super) struct StatementRunner<'a, K: StatementCodec, C> {
    context: &'a HostContext<K, C>,
    group: &'a Arc<GroupRuntime<K, C>>,
    request: &'a StatementRequest<'a>,
    /// Whether a member may have received the statement.
    is_sent: AtomicBool,
}

/// Returns whether the members of a group are used by so many callers or hosts that reads
/// are spread and queues take targets into account. Other deployments are served as
/// before.
fn is_contended<K: StatementCodec, C: MonotonicClock>(
    context: &HostContext<K, C>,
    group: &GroupRuntime<K, C>,
) -> bool {
    let has_accounts = context.plan().is_some_and(|plan| !plan.accounts.is_empty());
    has_accounts || group.shares_connections()
}

impl<'a, K: StatementCodec, C: MonotonicClock> StatementRunner<'a, K, C> {
    pub(super) fn new(
        context: &'a HostContext<K, C>,
        group: &'a Arc<GroupRuntime<K, C>>,
        request: &'a StatementRequest<'a>,
    ) -> Self {
        Self {
            context,
            group,
            request,
            is_sent: AtomicBool::new(false),
        }
    }

    /// Runs the statement until it is answered, or until a stopping host has to answer it.
    pub(super) async fn run(&self) -> Result<PlacedAnswer<K>> {
        let run = self.context.until_stop(self.run_attempts());
        run.await
            .unwrap_or_else(|| Err(self.stop_failure()))
            .map_err(|failure| match failure.code {
                // The time that is left counts, and another host may have more.
                ResultCode::DeadlineTooShort if self.context.is_stopping() => {
                    StatementFailure::new(ResultCode::ShuttingDown, STOPPING)
                }
                _ => failure,
            })
    }

    /// Returns the error of a statement that is still unanswered when the host stops.
    fn stop_failure(&self) -> StatementFailure {
        let code = match (
            self.is_sent.load(Ordering::Relaxed),
            self.request.retry_kind(),
        ) {
            (false, _) => ResultCode::ShuttingDown,
            (true, RetryKind::Write) => ResultCode::OutcomeUnknown,
            (true, _) => ResultCode::ReadUnanswered,
        };
        StatementFailure::new(code, STOPPING)
    }

    /// Returns the deadline by which decisions about the statement are made, which is earlier
    /// than its own on a stopping host. A wait for a member has the statement's own deadline
    /// and ends with [`run`](Self::run): the member must not count as silent because the
    /// host stops.
    fn deadline(&self) -> Instant {
        self.context.limit(self.request.deadline)
    }

    /// Repeats the statement until it is answered or may not be repeated.
    async fn run_attempts(&self) -> Result<PlacedAnswer<K>> {
        let mut tried = Vec::new();
        let mut refusals = QueueRefusals::default();
        let mut attempts = 0;
        let mut retry_after: Option<Duration> = None;
        self.context.retries().count_request(Instant::now());
        loop {
            attempts += 1;
            let mut changes = self.group.subscribe();
            let failed = match self.attempt(&mut tried).await {
                Ok(placed) => return Ok(PlacedAnswer { attempts, ..placed }),
                Err(failed) => failed,
            };
            if failed.is_queue_refusal {
                refusals.record();
            }
            if failed.is_not_run() {
                self.is_sent.store(false, Ordering::Relaxed);
            }
            // The member that has room first counts.
            retry_after = match (retry_after, failed.retry_after) {
                (Some(known), Some(other)) => Some(known.min(other)),
                (known, other) => known.or(other),
            };
            match self.decide_retry(&failed, attempts) {
                RetryDecision::Retry { delay } => {
                    self.log_retry(&failed, attempts);
                    sleep(delay).await;
                }
                RetryDecision::AwaitRoute if !self.may_wait(&failed) => {
                    return Err(failed.into_failure(retry_after));
                }
                RetryDecision::AwaitRoute if !refusals.may_wait() => {
                    let detail = format!(
                        "no member can run it by the deadline; {}",
                        retry_text(retry_after.unwrap_or(RETRY_DELAY))
                    );
                    return Err(StatementFailure::new(ResultCode::DeadlineTooShort, &detail));
                }
                RetryDecision::AwaitRoute => {
                    tried.clear();
                    let recheck = Instant::now() + ROUTE_RECHECK;
                    let until = recheck.min(self.deadline());
                    // A change and the timeout both lead to a new choice.
                    let _changed = timeout_at(until.into(), changes.changed()).await;
                }
                RetryDecision::FailUnknown | RetryDecision::ResolveOutcome
                    if self.request.retry_kind() == RetryKind::Write =>
                {
                    return Err(StatementFailure::new(
                        ResultCode::OutcomeUnknown,
                        &failed.detail,
                    ));
                }
                RetryDecision::PassError
                | RetryDecision::FailUnknown
                | RetryDecision::ResolveOutcome
                | RetryDecision::FailNotRun(_) => return Err(failed.into_failure(retry_after)),
            }
        }
    }

    /// Returns whether a statement may wait for a route. A statement that no primary
    /// can serve by its deadline is refused at once.
    fn may_wait(&self, failed: &AttemptFailure) -> bool {
        let (now, remaining) = {
            let instant = self.group.send_instant();
            let remaining = self
                .deadline()
                .saturating_duration_since(instant.socket_time);
            (instant.boot_time, remaining)
        };
        failed.code != ResultCode::NoPrimary
            || self
                .group
                .with(|group| may_await_primary(group, now + remaining, now))
    }

    fn decide_retry(&self, failed: &AttemptFailure, attempt: u32) -> RetryDecision {
        let failed = FailedAttempt {
            kind: self.request.retry_kind(),
            progress: failed.progress,
            recorded: false,
            error: failed.error,
            deadline: self.deadline(),
            attempt,
        };
        let jitter = rand::random_range(0.0..1.0);
        self.context
            .retries()
            .decide(&failed, jitter, Instant::now())
    }

    fn log_retry(&self, failed: &AttemptFailure, attempt: u32) {
        log::info!(
            request = self.request.id,
            group = self.group.name.as_str(),
            attempt,
            code = failed.code.number(),
            reason = failed.detail.as_str();
            "attempt failed"
        );
    }

    /// Chooses a member. Also returns the group's term at that time.
    fn choose(&self, tried: &[MemberKey]) -> (MemberChoice, Term) {
        let request = self.request;
        let now = self.context.clock.now();
        let rule = self.rule();
        self.group.with(|group| {
            let term = group.primary_view.term();
            if request.needs_primary() {
                let choice = choose_primary(group, request.assured_at(), tried, now);
                return (choice, term);
            }
            let read = RequestedRead {
                freshness: request.route.freshness,
                began_at: request.began_at,
                own: request.own,
                tried,
                rule,
            };
            let location = HostLocation {
                data_centre: &self.context.settings.data_centre,
                region: &self.context.region,
            };
            (choose_read(group, &read, &location, now), term)
        })
    }

    fn rule(&self) -> SelectionRule {
        match is_contended(self.context, self.group) {
            true => SelectionRule::Spread {
                random: rand::random_range(0.0..1.0),
            },
            false => SelectionRule::Least,
        }
    }

    async fn attempt(
        &self,
        tried: &mut Vec<MemberKey>,
    ) -> std::result::Result<PlacedAnswer<K>, AttemptFailure> {
        let (choice, term) = self.choose(tried);
        let (member, since, assured_at) = match choice {
            MemberChoice::Replica { member, since } => (member, Some(since), None),
            MemberChoice::Primary { member, assured_at } => (member, None, Some(assured_at)),
            MemberChoice::None(failure) => return Err(self.no_route(failure)),
        };
        let Some(pool) = self.group.pool(member) else {
            return Err(AttemptFailure::no_route(
                ResultCode::NoFreshMember,
                "the member has left",
            ));
        };
        let waiting = MemberCount::enter(self.group, member, MemberCounter::Waiting);
        let admission = self.admission();
        let entered = pool.gate().enter(&admission).await;
        drop(waiting);
        let mut permit = entered.map_err(|refusal| {
            tried.push(member);
            queue_refusal(&pool, &admission, refusal)
        })?;
        let _in_flight = MemberCount::enter(self.group, member, MemberCounter::InFlight);
        let mut connection = self.check_out(&pool, member, tried).await?;
        self.prepare(&mut connection, member, since, tried).await?;
        let answer = self.exchange(&mut connection, member, since, tried).await?;
        permit.record_answer();
        drop(permit);
        self.context
            .metrics
            .count_member(pool.name(), outcome_label(&answer));
        if let Err((refusal, text)) = &answer.outcome {
            return Err(self.handle_refusal(member, since, *refusal, text, tried));
        }
        if let Some(instant) = assured_at {
            let instant = instant.unwrap_or_else(|| self.context.clock.now());
            if !self
                .group
                .await_assurance(term, instant, self.request.deadline)
                .await
            {
                return Err(AttemptFailure::sent(
                    ErrorClass::NotConfirmed,
                    ResultCode::NoFreshMember,
                    "the primary could not be assured",
                ));
            }
        }
        Ok(PlacedAnswer {
            answer,
            connection,
            member,
            term,
            asked: AskedPositions {
                since,
                own: self.request.own.position,
            },
            attempts: 0,
        })
    }

    fn admission(&self) -> AdmissionRequest {
        let (customer, weight) = match self.request.account {
            Some(account) => {
                let customer = self.context.account_customer(&account.name);
                (customer, account_weight(account))
            }
            None => {
                let database = &self.request.route.database;
                (self.context.route_customer(database), 1)
            }
        };
        AdmissionRequest {
            customer,
            class: None,
            weight,
            priority: self.request.route.priority,
            deadline: self.deadline(),
            target: self.target(),
        }
    }

    /// Returns the instant until which an answer meets the route's latency target,
    /// counted from the start of the statement like the deadline; `None` where queues do
    /// not take targets into account.
    fn target(&self) -> Option<Instant> {
        let route = self.request.route;
        let started_at = self.request.deadline.checked_sub(route.statement_timeout)?;
        is_contended(self.context, self.group).then(|| started_at + route.latency_target)
    }

    fn no_route(&self, failure: ChoiceFailure) -> AttemptFailure {
        match failure {
            ChoiceFailure::NoPrimary => {
                AttemptFailure::no_route(ResultCode::NoPrimary, "no primary is known")
            }
            ChoiceFailure::NotAssured => {
                AttemptFailure::no_route(ResultCode::NoPrimary, "the primary is not assured")
            }
            ChoiceFailure::NoMember => {
                AttemptFailure::no_route(ResultCode::NoFreshMember, "no member qualifies")
            }
        }
    }

    async fn check_out(
        &self,
        pool: &ConnectionPool<K>,
        member: MemberKey,
        tried: &mut Vec<MemberKey>,
    ) -> std::result::Result<PooledConnection<MemberLink<K>>, AttemptFailure> {
        let sent_at = self.group.send_instant();
        let deadline = self
            .request
            .deadline
            .min(sent_at.socket_time + SETUP_TIMEOUT);
        match self.check_out_in_time(pool, member, deadline).await {
            Ok(connection) => Ok(connection),
            Err(PoolError::AtLimit { retry_at, .. }) => {
                tried.push(member);
                let code = ResultCode::DeadlineTooShort;
                Err(AttemptFailure {
                    // The member cannot serve the statement in time.
                    is_queue_refusal: retry_at >= self.deadline(),
                    ..AttemptFailure::not_sent(code, "the member is at its connection limit")
                })
            }
            Err(PoolError::Exhausted) => {
                tried.push(member);
                Err(AttemptFailure::not_sent(
                    ResultCode::DeadlineTooShort,
                    "no connection became free",
                ))
            }
            Err(PoolError::Connect(error)) => {
                self.record_lost_member(member, &error, sent_at, tried);
                Err(AttemptFailure::not_sent(
                    ResultCode::NoPrimary,
                    &error.to_string(),
                ))
            }
        }
    }

    /// Checks out a connection. A statement for the primary waits while the primary is
    /// at its connection limit, because no other member can run it; others go to
    /// another member.
    async fn check_out_in_time(
        &self,
        pool: &ConnectionPool<K>,
        member: MemberKey,
        deadline: Instant,
    ) -> crate::pool::Result<PooledConnection<MemberLink<K>>, ConnectionError> {
        let mut deadline = deadline;
        let account = self.request.account;
        let owner = account.map(|account| Arc::from(account.name.as_str()));
        loop {
            let sent_at = self.group.send_instant();
            let checked_out = pool.check_out_below_limit(&owner, deadline).await;
            let Err(PoolError::AtLimit {
                retry_at,
                was_attempted,
            }) = &checked_out
            else {
                return checked_out;
            };
            if *was_attempted {
                let error = ConnectionError::at_limit();
                self.group.record_failure(member, &error, sent_at);
            }
            if !self.request.needs_primary() || *retry_at >= self.deadline() {
                return checked_out;
            }
            sleep_until((*retry_at).into()).await;
            deadline = self.request.deadline.min(*retry_at + SETUP_TIMEOUT);
        }
    }

    async fn prepare(
        &self,
        connection: &mut PooledConnection<MemberLink<K>>,
        member: MemberKey,
        since: Option<LogPosition>,
        tried: &mut Vec<MemberKey>,
    ) -> std::result::Result<(), AttemptFailure> {
        let begin = self.request.start.map(|start| MemberStatement::Begin {
            read_only: start.read_only,
            since,
        });
        let setup = ConnectionSetup {
            values: self.request.values,
            shape: self.request.body.shape(),
            begin,
            database: &self.request.route.database,
            priority: self.request.route.priority,
            target: self.target(),
        };
        let sent_at = self.group.send_instant();
        let deadline = self
            .request
            .deadline
            .min(sent_at.socket_time + SETUP_TIMEOUT);
        match connection.prepare(&setup, deadline).await {
            Ok(None) => Ok(()),
            Ok(Some(refusal)) => Err(self.handle_setup_refusal(member, since, refusal, tried)),
            Err(error) => {
                self.record_lost_member(member, &error, sent_at, tried);
                Err(AttemptFailure::not_sent(
                    ResultCode::NoPrimary,
                    &error.to_string(),
                ))
            }
        }
    }

    async fn exchange(
        &self,
        connection: &mut PooledConnection<MemberLink<K>>,
        member: MemberKey,
        since: Option<LogPosition>,
        tried: &mut Vec<MemberKey>,
    ) -> std::result::Result<MemberAnswer, AttemptFailure> {
        // In a transaction, BEGIN already carried the position.
        let since = since.filter(|_| self.request.start.is_none());
        let sent_at = self.group.send_instant();
        let deadline = self.attempt_deadline(connection, sent_at.socket_time);
        let request = MemberRequest {
            id: self.request.id,
            since,
            body: self.request.body,
            is_repeatable: self.request.is_single_read(),
        };
        self.is_sent.store(true, Ordering::Relaxed);
        let asked = connection.run(&request, deadline).await;
        let answer =
            asked.map_err(|error| self.handle_error(member, since, &error, sent_at, tried))?;
        self.group.record_answer(member, &answer, sent_at.boot_time);
        if answer.outcome.is_ok() {
            let latency = sent_at.socket_time.elapsed();
            let (rule, now) = (self.rule(), self.context.clock.now());
            self.group
                .with(|group| group.record_latency(member, latency, rule, now));
        }
        Ok(answer)
    }

    /// Handles the refusal of a statement that prepares a connection.
    fn handle_setup_refusal(
        &self,
        member: MemberKey,
        since: Option<LogPosition>,
        refusal: MemberRefusal,
        tried: &mut Vec<MemberKey>,
    ) -> AttemptFailure {
        let mut failed = self.handle_refusal(member, since, refusal, "set-up", tried);
        failed.progress = SendProgress::NotSent;
        if failed.error != ErrorClass::NoRoute {
            failed.error = ErrorClass::ConnectFailed;
        }
        failed
    }

    /// Handles a statement without an answer. A relayed link tells more about it than a
    /// direct one.
    fn handle_error(
        &self,
        member: MemberKey,
        since: Option<LogPosition>,
        error: &ConnectionError,
        sent_at: SendInstant,
        tried: &mut Vec<MemberKey>,
    ) -> AttemptFailure {
        let detail = error.to_string();
        let (failure, code) = match error {
            ConnectionError::SetupRefused(refusal) => {
                return self.handle_setup_refusal(member, since, *refusal, tried);
            }
            ConnectionError::NotForwarded(refusal) => {
                let code = match refusal {
                    Some(HolderRefusal::QueueFull) => ResultCode::QueueFull,
                    Some(_) => ResultCode::DeadlineTooShort,
                    None => ResultCode::NoFreshMember,
                };
                (ForwardFailure::NotRun, code)
            }
            ConnectionError::ReplyLost(_) => {
                (ForwardFailure::ReplyLost, ResultCode::ReadUnanswered)
            }
            ConnectionError::BeforeStatement(_) => {
                (ForwardFailure::MemberLostBefore, ResultCode::NoPrimary)
            }
            _ => (ForwardFailure::MemberLostAfter, ResultCode::ReadUnanswered),
        };
        // A lost reply is the holder's failure: the next holder may ask the same member.
        // After a mismatched answer, another connection to the primary may run it.
        let may_retry_here = error.is_mismatch() && self.request.needs_primary();
        if failure != ForwardFailure::ReplyLost && !may_retry_here {
            tried.push(member);
        }
        if failure.is_of_member() {
            self.group.record_failure(member, error, sent_at);
        }
        let (progress, class) = failure.retry_class();
        AttemptFailure {
            progress,
            error: class,
            code,
            detail,
            is_queue_refusal: failure == ForwardFailure::NotRun,
            retry_after: None,
        }
    }

    /// Returns the deadline of one attempt. For a statement that may be repeated it
    /// leaves time for a second attempt. A holder gets no more time than this host has, so
    /// that it refuses at once what it cannot answer by then.
    fn attempt_deadline(&self, link: &MemberLink<K>, now: Instant) -> Instant {
        let deadline = match link {
            MemberLink::Direct(_) => self.request.deadline,
            MemberLink::Relayed(_) => self.deadline(),
        };
        if self.request.retry_kind() == RetryKind::Write {
            return deadline;
        }
        let half = self.request.deadline.saturating_duration_since(now) / 2;
        deadline.min(now + half.max(ATTEMPT_MIN))
    }

    fn record_lost_member(
        &self,
        member: MemberKey,
        error: &ConnectionError,
        sent_at: SendInstant,
        tried: &mut Vec<MemberKey>,
    ) {
        if !(error.is_mismatch() && self.request.needs_primary()) {
            tried.push(member);
        }
        self.group.record_failure(member, error, sent_at);
    }

    fn handle_refusal(
        &self,
        member: MemberKey,
        since: Option<LogPosition>,
        refusal: MemberRefusal,
        text: &str,
        tried: &mut Vec<MemberKey>,
    ) -> AttemptFailure {
        let detail = format!("member answered {}: {text}", refusal.name());
        let is_read = self.request.retry_kind() == RetryKind::Read;
        let not_run = ErrorClass::RefusedNotRun;
        match refusal {
            MemberRefusal::Lagging => {
                tried.push(member);
                let now = self.context.clock.now();
                let position = since.unwrap_or_default();
                self.group
                    .with(|group| group.record_lag(member, position, now));
                AttemptFailure::not_sent(ResultCode::NoFreshMember, &detail)
            }
            MemberRefusal::ReadOnly => {
                self.group.observe_role(member, false);
                AttemptFailure::no_route(ResultCode::NoPrimary, &detail)
            }
            MemberRefusal::Busy => {
                if !self.request.needs_primary() {
                    tried.push(member);
                }
                AttemptFailure::sent(not_run, ResultCode::QueueFull, &detail)
            }
            MemberRefusal::UnknownStatement
            | MemberRefusal::WrongMember
            | MemberRefusal::ConnectionLimit => {
                tried.push(member);
                AttemptFailure::not_sent(ResultCode::NoFreshMember, &detail)
            }
            MemberRefusal::Aborted => {
                AttemptFailure::sent(not_run, ResultCode::TransactionLost, &detail)
            }
            MemberRefusal::Failed if is_read => {
                tried.push(member);
                let lost = ErrorClass::ConnectionLost;
                AttemptFailure::sent(lost, ResultCode::StatementFailed, &detail)
            }
            MemberRefusal::Failed => {
                let error = ErrorClass::StatementError;
                AttemptFailure::sent(error, ResultCode::StatementFailed, &detail)
            }
            MemberRefusal::Malformed => {
                let error = ErrorClass::StatementError;
                AttemptFailure::sent(error, ResultCode::Malformed, &detail)
            }
            MemberRefusal::TimedOut | MemberRefusal::OutcomeUnknown => {
                tried.push(member);
                let lost = ErrorClass::ConnectionLost;
                AttemptFailure::sent(lost, ResultCode::ReadUnanswered, &detail)
            }
        }
    }
}

/// Returns the weight of an account in the share of a member's slots. The route's
/// priority decides first; among statements of the same route priority, accounts of a
/// higher priority get a larger share, and accounts of the same priority equal shares.
fn account_weight(account: &ClientAccount) -> u64 {
    1 + u64::from(LOWEST_PRIORITY.saturating_sub(account.priority))
}

/// Returns the failure of an attempt that the queue for a member refused.
fn queue_refusal<K: StatementCodec>(
    pool: &ConnectionPool<K>,
    admission: &AdmissionRequest,
    refusal: AdmissionRefusal,
) -> AttemptFailure {
    let code = match refusal {
        AdmissionRefusal::QueueFull => ResultCode::QueueFull,
        AdmissionRefusal::DeadlineTooShort => ResultCode::DeadlineTooShort,
    };
    // Only requests with a target are refused with an estimate; see `is_contended`.
    let retry_after = admission.target.map(|_| {
        let jitter = rand::random_range(RETRY_JITTER);
        pool.gate().retry_delay(admission, jitter)
    });
    AttemptFailure {
        is_queue_refusal: true,
        retry_after,
        ..AttemptFailure::not_sent(code, "the member's queue")
    }
}

fn retry_text(delay: Duration) -> String {
    format!("retry in {} ms", delay.as_millis())
}

/// Logs which member answered a statement, which positions the statement asked for, and
/// where the answer was read.
pub(super) fn log_placed<K: StatementCodec, C: MonotonicClock>(
    id: &str,
    body: StatementBody<'_>,
    group: &GroupRuntime<K, C>,
    member: MemberKey,
    answer: &MemberAnswer,
    asked: AskedPositions,
    attempts: u32,
) {
    let (member, term) = group.with(|group| {
        let member = group.members.get(member);
        let name = member.map_or_else(String::new, |member| member.server.id.clone());
        (name, group.primary_view.term().0)
    });
    let text = |position: Option<LogPosition>| position.unwrap_or_default().to_string();
    let (position, since, own) = (text(answer.position), text(asked.since), text(asked.own));
    let shape = body.shape().map_or("", |shape| shape.shape.as_str());
    let shape: String = shape.chars().take(LOGGED_CHARS).collect();
    let signature = answer.outcome.as_deref().unwrap_or_default();
    let signature = String::from_utf8_lossy(&signature[..signature.len().min(LOGGED_CHARS)]);
    log::info!(
        request = id,
        bytes = body.forwarded_bytes(),
        shape = shape.as_str(),
        connection = answer.origin.connection,
        ordinal = answer.origin.ordinal,
        signature = signature.as_ref(),
        group = group.name.as_str(),
        member = member.as_str(),
        term,
        position = position.as_str(),
        since = since.as_str(),
        own = own.as_str(),
        attempts;
        "statement placed"
    );
}

/// Returns the metric label for the outcome of an answer.
pub(super) fn outcome_label(answer: &MemberAnswer) -> &'static str {
    match &answer.outcome {
        Ok(_) => "done",
        Err((refusal, _)) => refusal.name(),
    }
}

/// What a statement counts as at a member.
#[derive(Clone, Copy, Debug)]
pub(super) enum MemberCounter {
    /// It waits in this host's queue.
    Waiting,
    /// It was sent, or is about to be, and has no answer yet.
    InFlight,
}

/// Counts a statement at a member until the guard is dropped.
pub(super) struct MemberCount<'a, K: StatementCodec, C: MonotonicClock> {
    group: &'a Arc<GroupRuntime<K, C>>,
    member: MemberKey,
    counter: MemberCounter,
    entered_at: Instant,
}

impl<'a, K: StatementCodec, C: MonotonicClock> MemberCount<'a, K, C> {
    pub(super) fn enter(
        group: &'a Arc<GroupRuntime<K, C>>,
        member: MemberKey,
        counter: MemberCounter,
    ) -> Self {
        let entered_at = group.send_instant().boot_time;
        group.with(|group| {
            if let Some(member) = group.members.get_mut(member) {
                match counter {
                    MemberCounter::Waiting => member.waiting += 1,
                    MemberCounter::InFlight => member.record_sent(entered_at),
                }
            }
        });
        Self {
            group,
            member,
            counter,
            entered_at,
        }
    }
}

impl<K: StatementCodec, C: MonotonicClock> Drop for MemberCount<'_, K, C> {
    fn drop(&mut self) {
        self.group.with(|group| {
            if let Some(member) = group.members.get_mut(self.member) {
                match self.counter {
                    MemberCounter::Waiting => member.waiting = member.waiting.saturating_sub(1),
                    MemberCounter::InFlight => member.record_end(self.entered_at),
                }
            }
        });
    }
}
