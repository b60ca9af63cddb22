//! A caller's transaction: its member, its connection and its commit.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use coordination::managed::session_commits::SessionCommits;
use protocol::result_code::ResultCode;
use protocol::statement::{MemberRefusal, StatementAccess, TransactionState};
use state::account::ClientAccount;
use state::clock::MonotonicClock;
use state::keys::MemberKey;
use state::log::Term;
use state::plan::AccessRoute;
use tokio::time::sleep;

use super::codec::StatementCodec;
use super::context::HostContext;
use super::group_runtime::GroupRuntime;
use super::hop::MemberLink;
use super::member_connection::{ConnectionSetup, MemberAnswer};
use super::statement::{log_placed, outcome_label, MemberCount, MemberCounter, StatementRunner};
use super::statement_request::{
    fail, AskedPositions, MemberRequest, Result, StatementBody, StatementFailure, StatementRequest,
    TransactionStart, STOPPING,
};
use crate::pool::PooledConnection;

/// Pause before a statement is sent again on the transaction's connection after the
/// member refused it because it is busy.
const BUSY_PAUSE: Duration = Duration::from_millis(10);

/// Whether a transaction can continue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TransactionHealth {
    Good,
    /// The transaction ended for the given reason, which the caller does not know yet.
    Lost(&'static str),
    /// The transaction failed, and the caller has received the error.
    Failed,
}

/// The parts of a session that its transaction needs.
#[derive(Clone, Copy, Debug)]
pub(super) struct SessionView<'a> {
    /// Account of the session's key; `None` if the route needs no key.
    pub(super) account: Option<&'a ClientAccount>,
    pub(super) values: &'a BTreeMap<String, String>,
    pub(super) commits: &'a SessionCommits,
}

/// An open transaction of a caller.
#[derive(Debug)]
pub(super) struct OpenTransaction<K: StatementCodec, C> {
    route: AccessRoute,
    group: Arc<GroupRuntime<K, C>>,
    read_only: bool,
    began_at: Instant,
    /// The chosen member and the connection to it, from the first statement on.
    pub(super) connection: Option<(MemberKey, PooledConnection<MemberLink<K>>)>,
    /// Term of the group when the member was chosen.
    term: Term,
    pub(super) wrote: bool,
    pub(super) state: TransactionHealth,
}

impl<K: StatementCodec, C: MonotonicClock> OpenTransaction<K, C> {
    /// Creates a transaction. The member is chosen for the first statement.
    pub(super) fn new(
        route: AccessRoute,
        group: Arc<GroupRuntime<K, C>>,
        read_only: bool,
        began_at: Instant,
    ) -> Self {
        Self {
            route,
            group,
            read_only,
            began_at,
            connection: None,
            term: Term::default(),
            wrote: false,
            state: TransactionHealth::Good,
        }
    }

    /// Returns the name of the transaction's group.
    pub(super) fn group_name(&self) -> &str {
        &self.group.name
    }

    /// Returns the route of the transaction.
    pub(super) fn route(&self) -> &AccessRoute {
        &self.route
    }

    /// Runs a statement of the transaction.
    pub(super) async fn run(
        &mut self,
        context: &HostContext<K, C>,
        session: &SessionView<'_>,
        id: &str,
        access: StatementAccess,
        body: StatementBody<'_>,
    ) -> Result<MemberAnswer> {
        if self.read_only && access == StatementAccess::Write {
            return fail(ResultCode::ReadOnlyTransaction, "");
        }
        let answer = match self.connection {
            Some(_) => self.run_next(context, session, id, body).await?,
            None => self.begin(context, session, id, access, body).await?,
        };
        self.wrote |= access == StatementAccess::Write;
        Ok(answer)
    }

    /// Runs the first statement, which may be repeated at another member.
    async fn begin(
        &mut self,
        context: &HostContext<K, C>,
        session: &SessionView<'_>,
        id: &str,
        access: StatementAccess,
        body: StatementBody<'_>,
    ) -> Result<MemberAnswer> {
        let request = StatementRequest {
            id,
            body,
            access,
            account: session.account,
            route: &self.route,
            start: Some(TransactionStart {
                read_only: self.read_only,
            }),
            began_at: self.began_at,
            deadline: Instant::now() + self.route.statement_timeout,
            values: session.values,
            own: session.commits.bound(&self.group.name),
        };
        let runner = StatementRunner::new(context, &self.group, &request);
        let placed = runner.run().await?;
        log_placed(
            id,
            body,
            &self.group,
            placed.member,
            &placed.answer,
            placed.asked,
            placed.attempts,
        );
        self.term = placed.term;
        self.connection = Some((placed.member, placed.connection));
        Ok(placed.answer)
    }

    /// Runs a later statement on the transaction's connection.
    async fn run_next(
        &mut self,
        context: &HostContext<K, C>,
        session: &SessionView<'_>,
        id: &str,
        body: StatementBody<'_>,
    ) -> Result<MemberAnswer> {
        let Some((member, connection)) = &mut self.connection else {
            return fail(ResultCode::TransactionLost, "the connection was lost");
        };
        let deadline = later_deadline(context, &self.route)?;
        let setup = later_setup(&self.route, session, body);
        let _in_flight = MemberCount::enter(&self.group, *member, MemberCounter::InFlight);
        let run = async {
            prepare(connection, &setup, deadline).await?;
            ask_while_busy(connection, id, body, deadline).await
        };
        let Some(answer) = context.until_stop(run).await else {
            return fail(ResultCode::TransactionLost, STOPPING);
        };
        let answer = answer?;
        let metrics = &context.metrics;
        metrics.count_member(connection.pool().name(), outcome_label(&answer));
        let asked = AskedPositions::default();
        log_placed(id, body, &self.group, *member, &answer, asked, 1);
        Ok(answer)
    }

    /// Commits the transaction. If it has no statement yet, the commit is run as its
    /// first statement.
    pub(super) async fn commit(
        &mut self,
        context: &HostContext<K, C>,
        session: &SessionView<'_>,
        id: &str,
    ) -> Result<MemberAnswer> {
        let Some((member, mut connection)) = self.connection.take() else {
            let (access, body) = (StatementAccess::Read, StatementBody::Commit);
            return self.run(context, session, id, access, body).await;
        };
        let is_sent = AtomicBool::new(false);
        let run = self.run_commit(context, session, id, (member, &mut connection), &is_sent);
        match context.until_stop(run).await {
            Some(answer) => answer,
            None if is_sent.into_inner() => Err(self.commit_failure(STOPPING)),
            None => fail(ResultCode::TransactionLost, STOPPING),
        }
    }

    /// Sends the commit until it is answered. Sets `is_sent` before the member may receive
    /// it.
    async fn run_commit(
        &self,
        context: &HostContext<K, C>,
        session: &SessionView<'_>,
        id: &str,
        (member, connection): (MemberKey, &mut PooledConnection<MemberLink<K>>),
        is_sent: &AtomicBool,
    ) -> Result<MemberAnswer> {
        let deadline = later_deadline(context, &self.route)?;
        let body = StatementBody::Commit;
        let setup = later_setup(&self.route, session, body);
        let _in_flight = MemberCount::enter(&self.group, member, MemberCounter::InFlight);
        prepare(connection, &setup, deadline).await?;
        loop {
            let sent_at = self.group.send_instant();
            is_sent.store(true, Ordering::Relaxed);
            let asked = ask(connection, id, body, deadline).await;
            let answer = asked.map_err(|error| {
                self.group.record_failure(member, &error, sent_at);
                if error.is_before_statement() {
                    return StatementFailure::new(ResultCode::TransactionLost, &error.to_string());
                }
                self.commit_failure(&error.to_string())
            })?;
            let metrics = &context.metrics;
            metrics.count_member(connection.pool().name(), outcome_label(&answer));
            match &answer.outcome {
                Ok(_) => {
                    self.group.record_answer(member, &answer, sent_at.boot_time);
                    self.confirm(context, deadline).await?;
                    let asked = AskedPositions::default();
                    log_placed(id, body, &self.group, member, &answer, asked, 1);
                    return Ok(answer);
                }
                // The connection attributes one refusal; a second one is an error of `ask`.
                Err((MemberRefusal::Busy, _))
                    if connection.state() == TransactionState::Open
                        && Instant::now() + BUSY_PAUSE < deadline =>
                {
                    sleep(BUSY_PAUSE).await;
                }
                Err((refusal, text)) => {
                    let detail = format!("member answered {}: {text}", refusal.name());
                    if refusal.is_not_run() || *refusal == MemberRefusal::Aborted {
                        return fail(ResultCode::TransactionLost, &detail);
                    }
                    return Err(self.commit_failure(&detail));
                }
            }
        }
    }

    /// Waits until the primary is assured for the time of the commit's answer. Only
    /// then is a commit with writes known to be at the only primary.
    async fn confirm(&self, context: &HostContext<K, C>, deadline: Instant) -> Result<()> {
        let answered_at = context.clock.now();
        let group = &self.group;
        if !self.wrote
            || group
                .await_assurance(self.term, answered_at, deadline)
                .await
        {
            return Ok(());
        }
        Err(self.commit_failure("the primary could not be assured"))
    }

    /// Returns the failure of a commit that was sent and not confirmed.
    fn commit_failure(&self, detail: &str) -> StatementFailure {
        let code = match self.wrote {
            true => ResultCode::OutcomeUnknown,
            false => ResultCode::TransactionLost,
        };
        StatementFailure::new(code, detail)
    }
}

/// Returns the set-up for a statement of an open transaction, whose connection has been
/// prepared for an earlier one. Such statements do not queue.
fn later_setup<'a>(
    route: &'a AccessRoute,
    session: &SessionView<'a>,
    body: StatementBody<'a>,
) -> ConnectionSetup<'a> {
    ConnectionSetup {
        values: session.values,
        shape: body.shape(),
        begin: None,
        database: &route.database,
        priority: route.priority,
        target: None,
    }
}

/// Returns the deadline of a statement of an open transaction. Fails if the host stops and
/// has no time left for it. The wait for the member also ends with the host's time.
fn later_deadline<K: StatementCodec, C: MonotonicClock>(
    context: &HostContext<K, C>,
    route: &AccessRoute,
) -> Result<Instant> {
    let now = Instant::now();
    let deadline = now + route.statement_timeout;
    match context.limit(deadline) > now {
        true => Ok(deadline),
        false => fail(ResultCode::TransactionLost, STOPPING),
    }
}

/// Brings the connection into the state that the session needs.
async fn prepare<K: StatementCodec>(
    connection: &mut PooledConnection<MemberLink<K>>,
    setup: &ConnectionSetup<'_>,
    deadline: Instant,
) -> Result<()> {
    if !connection.can_apply(setup) {
        let detail = "session values were forgotten inside a transaction";
        return fail(ResultCode::TransactionLost, detail);
    }
    match connection.prepare(setup, deadline).await {
        Ok(None) => Ok(()),
        Ok(Some(refusal)) => fail(ResultCode::TransactionLost, refusal.name()),
        Err(error) => fail(ResultCode::TransactionLost, &error.to_string()),
    }
}

/// Sends a later statement of the transaction and waits for its answer.
async fn ask<K: StatementCodec>(
    connection: &mut MemberLink<K>,
    id: &str,
    body: StatementBody<'_>,
    deadline: Instant,
) -> super::member_connection::Result<MemberAnswer> {
    let request = MemberRequest {
        id,
        since: None,
        body,
        is_repeatable: false,
    };
    connection.run(&request, deadline).await
}

/// Sends a statement, and repeats it if the member refuses it as busy. A second refusal on
/// the connection may be a second answer, so that the statement may have run.
async fn ask_while_busy<K: StatementCodec>(
    connection: &mut PooledConnection<MemberLink<K>>,
    id: &str,
    body: StatementBody<'_>,
    deadline: Instant,
) -> Result<MemberAnswer> {
    loop {
        let answer = match ask(connection, id, body, deadline).await {
            Ok(answer) => answer,
            Err(error) => return fail(ResultCode::TransactionLost, &error.to_string()),
        };
        let may_repeat =
            connection.state() == TransactionState::Open && Instant::now() + BUSY_PAUSE < deadline;
        match &answer.outcome {
            Ok(_) => return Ok(answer),
            Err((MemberRefusal::Busy, _)) if may_repeat => sleep(BUSY_PAUSE).await,
            Err((refusal, text)) => {
                let code = match refusal {
                    MemberRefusal::Failed => ResultCode::StatementFailed,
                    _ => ResultCode::TransactionLost,
                };
                let detail = format!("member answered {}: {text}", refusal.name());
                return fail(code, &detail);
            }
        }
    }
}
