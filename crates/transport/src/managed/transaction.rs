//! A transaction of a caller: its member, its connection and its end.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use protocol::result_code::ResultCode;
use protocol::statement::{MemberRefusal, StatementAccess, TransactionState};
use state::clock::MonotonicClock;
use state::keys::MemberKey;
use state::log::{LogPosition, Term};
use state::plan::AccessRoute;
use tokio::time::sleep;

use super::codec::StatementCodec;
use super::context::HostContext;
use super::group_runtime::GroupRuntime;
use super::link::{LinkAnswer, LinkSetup, MemberLink};
use super::statement::{ask, log_placed, refusal_name, InFlight, StatementRunner};
use super::statement_order::{
    fail, Result, StatementBody, StatementFailure, StatementOrder, TransactionStart,
};
use crate::pool::PooledConnection;

/// Pause before a statement that a busy member refused is sent again on the
/// connection of its transaction.
const BUSY_PAUSE: Duration = Duration::from_millis(10);

/// Whether a transaction can go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TransactionHealth {
    Good,
    /// It ended by itself, and the caller does not know yet.
    Lost(&'static str),
    /// The caller knows that it failed.
    Failed,
}

/// What a transaction needs of its session.
#[derive(Clone, Copy, Debug)]
pub(super) struct SessionView<'a> {
    pub(super) values: &'a BTreeMap<String, String>,
    pub(super) own_position: Option<LogPosition>,
}

/// A transaction of the caller.
#[derive(Debug)]
pub(super) struct OpenTransaction<K: StatementCodec, C> {
    route: AccessRoute,
    group: Arc<GroupRuntime<K, C>>,
    read_only: bool,
    began_at: Instant,
    /// The connection, from the first statement on.
    pub(super) link: Option<(MemberKey, PooledConnection<MemberLink<K>>)>,
    /// Term in force when the member was chosen.
    term: Term,
    pub(super) wrote: bool,
    pub(super) state: TransactionHealth,
}

impl<K: StatementCodec, C: MonotonicClock> OpenTransaction<K, C> {
    /// Opens a transaction. The member is chosen at its first statement.
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
            link: None,
            term: Term::default(),
            wrote: false,
            state: TransactionHealth::Good,
        }
    }

    /// Runs a statement of the transaction.
    pub(super) async fn run(
        &mut self,
        context: &HostContext<K, C>,
        session: &SessionView<'_>,
        id: &str,
        access: StatementAccess,
        body: StatementBody<'_>,
    ) -> Result<LinkAnswer> {
        if self.read_only && access == StatementAccess::Write {
            return fail(ResultCode::ReadOnlyTransaction, "");
        }
        let answer = match self.link {
            Some(_) => self.go_on(context, session, id, body).await?,
            None => self.begin(context, session, id, access, body).await?,
        };
        self.wrote |= access == StatementAccess::Write;
        Ok(answer)
    }

    /// Places the first statement, which may be repeated elsewhere.
    async fn begin(
        &mut self,
        context: &HostContext<K, C>,
        session: &SessionView<'_>,
        id: &str,
        access: StatementAccess,
        body: StatementBody<'_>,
    ) -> Result<LinkAnswer> {
        let order = StatementOrder {
            id,
            body,
            access,
            route: &self.route,
            start: Some(TransactionStart {
                read_only: self.read_only,
            }),
            began_at: self.began_at,
            deadline: Instant::now() + self.route.statement_timeout,
            values: session.values,
            own_position: session.own_position,
        };
        let runner = StatementRunner {
            context,
            group: &self.group,
            order: &order,
        };
        let placed = runner.run().await?;
        log_placed(
            id,
            &self.group,
            placed.member,
            &placed.answer,
            placed.attempts,
        );
        self.term = placed.term;
        self.link = Some((placed.member, placed.link));
        Ok(placed.answer)
    }

    /// Sends a further statement on the transaction's connection.
    async fn go_on(
        &mut self,
        context: &HostContext<K, C>,
        session: &SessionView<'_>,
        id: &str,
        body: StatementBody<'_>,
    ) -> Result<LinkAnswer> {
        let Some((member, link)) = &mut self.link else {
            return fail(ResultCode::TransactionLost, "the connection was lost");
        };
        let deadline = Instant::now() + self.route.statement_timeout;
        let setup = LinkSetup {
            values: session.values,
            shape: body.shape(),
            begin: None,
        };
        let _in_flight = InFlight::enter(&self.group, *member);
        prepare(link, &setup, deadline).await?;
        let answer = ask_until_free(link, id, body, deadline).await?;
        let metrics = &context.metrics;
        metrics.count_member(link.pool().name(), refusal_name(&answer));
        log_placed(id, &self.group, *member, &answer, 1);
        Ok(answer)
    }

    /// Commits. A transaction without statements is begun and committed in one.
    pub(super) async fn commit(
        &mut self,
        context: &HostContext<K, C>,
        session: &SessionView<'_>,
        id: &str,
    ) -> Result<LinkAnswer> {
        let Some((member, mut link)) = self.link.take() else {
            let (access, body) = (StatementAccess::Read, StatementBody::Commit);
            return self.run(context, session, id, access, body).await;
        };
        let deadline = Instant::now() + self.route.statement_timeout;
        let _in_flight = InFlight::enter(&self.group, member);
        loop {
            let sent_at = self.group.send_instant();
            let asked = ask(&mut link, id, None, StatementBody::Commit, deadline).await;
            let answer = asked.map_err(|error| {
                self.group.note_failure(member, &error, sent_at);
                self.lost_commit(&error.to_string())
            })?;
            let metrics = &context.metrics;
            metrics.count_member(link.pool().name(), refusal_name(&answer));
            match &answer.outcome {
                Ok(_) => {
                    self.group.note_answer(member, &answer, sent_at.belief);
                    self.confirm(context, deadline).await?;
                    log_placed(id, &self.group, member, &answer, 1);
                    return Ok(answer);
                }
                Err((MemberRefusal::Busy, _)) if Instant::now() + BUSY_PAUSE < deadline => {
                    sleep(BUSY_PAUSE).await;
                }
                Err((refusal, text)) => {
                    let detail = format!("member answered {}: {text}", refusal.name());
                    if refusal.is_not_run() || *refusal == MemberRefusal::Aborted {
                        return fail(ResultCode::TransactionLost, &detail);
                    }
                    return Err(self.lost_commit(&detail));
                }
            }
        }
    }

    /// A commit that wrote counts only at a primary that is still the only one.
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
        Err(self.lost_commit("the primary could not be assured"))
    }

    /// A commit that was sent and not confirmed.
    fn lost_commit(&self, detail: &str) -> StatementFailure {
        let code = match self.wrote {
            true => ResultCode::OutcomeUnknown,
            false => ResultCode::TransactionLost,
        };
        StatementFailure::new(code, detail)
    }
}

/// Brings the connection into the state that the session expects.
async fn prepare<K: StatementCodec>(
    link: &mut PooledConnection<MemberLink<K>>,
    setup: &LinkSetup<'_>,
    deadline: Instant,
) -> Result<()> {
    if !link.can_hold(setup) {
        let detail = "session values were forgotten inside a transaction";
        return fail(ResultCode::TransactionLost, detail);
    }
    match link.prepare(setup, deadline).await {
        Ok(None) => Ok(()),
        Ok(Some(refusal)) => fail(ResultCode::TransactionLost, refusal.name()),
        Err(error) => fail(ResultCode::TransactionLost, &error.to_string()),
    }
}

/// Sends a statement, again while the member is busy.
async fn ask_until_free<K: StatementCodec>(
    link: &mut PooledConnection<MemberLink<K>>,
    id: &str,
    body: StatementBody<'_>,
    deadline: Instant,
) -> Result<LinkAnswer> {
    loop {
        let answer = match ask(link, id, None, body, deadline).await {
            Ok(answer) => answer,
            Err(error) => return fail(ResultCode::TransactionLost, &error.to_string()),
        };
        let may_repeat =
            link.state() == TransactionState::Open && Instant::now() + BUSY_PAUSE < deadline;
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
