//! The holder's side: runs other hosts' statements on connections of this host.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use coordination::admission::{AdmissionRefusal, AdmissionRequest};
use protocol::forward::{
    ForwardReply, ForwardRequest, ForwardedBody, HolderRefusal, MemberFailureKind, TransactionEnd,
    FORWARD_VERSION,
};
use protocol::statement::{MemberStatement, TransactionState};
use slotmap::{Key, KeyData, SlotMap};
use state::clock::MonotonicClock;
use state::keys::MemberKey;
use tokio::time::sleep;

use super::MemberLink;
use crate::managed::codec::StatementCodec;
use crate::managed::context::{ForwardedGuard, HostContext, ServicePhase};
use crate::managed::group_runtime::{ConnectionPool, GroupRuntime, SendInstant};
use crate::managed::member_connection::{ConnectionError, ConnectionSetup};
use crate::managed::statement::{MemberCount, MemberCounter, SETUP_TIMEOUT};
use crate::managed::statement_request::{MemberRequest, StatementBody};
use crate::pool::{AdmissionPermit, PoolError, PooledConnection};

/// Open transactions per RPC connection.
const TRANSACTIONS_MAX: usize = 256;
/// Interval at which idle transactions are looked for.
const IDLE_CHECK: Duration = Duration::from_millis(100);

slotmap::new_key_type! {
    /// Key of an open transaction of an RPC connection. Each statement of a transaction
    /// gets a new key.
    struct TransactionKey;
}

/// An open transaction between two statements.
#[derive(Debug)]
struct HeldTransaction<K: StatementCodec, C> {
    group: Arc<GroupRuntime<K, C>>,
    member: MemberKey,
    connection: PooledConnection<MemberLink<K>>,
    idle_since: Instant,
    /// Lets a stopping host wait for the end of the transaction.
    _work: ForwardedGuard,
}

type TransactionTable<K, C> = SlotMap<TransactionKey, HeldTransaction<K, C>>;
/// The admission of a statement, its connection, and when it was admitted.
type OpenedLink<K> = (AdmissionPermit, PooledConnection<MemberLink<K>>, Instant);
type ReplyResult<T> = std::result::Result<T, ForwardReply>;

/// Runs the statements of one RPC connection. The open transactions belong to the RPC
/// connection and are rolled back when it ends.
#[derive(Debug)]
pub(in crate::managed) struct ForwardServer<K: StatementCodec, C> {
    context: Arc<HostContext<K, C>>,
    transactions: Arc<Mutex<TransactionTable<K, C>>>,
}

impl<K: StatementCodec, C> Clone for ForwardServer<K, C> {
    fn clone(&self) -> Self {
        Self {
            context: self.context.clone(),
            transactions: self.transactions.clone(),
        }
    }
}

impl<K: StatementCodec, C: MonotonicClock> ForwardServer<K, C> {
    pub(in crate::managed) fn new(context: Arc<HostContext<K, C>>) -> Self {
        Self {
            context,
            transactions: Arc::new(Mutex::new(SlotMap::with_key())),
        }
    }

    /// Runs a statement at its member.
    pub(in crate::managed) async fn forward(&self, request: ForwardRequest) -> ForwardReply {
        let _work = self.context.enter_forwarded();
        let started = Instant::now();
        let deadline = started + request.remaining;
        let replied = match request.transaction {
            _ if started >= self.context.limit(deadline) => {
                Err(not_run(HolderRefusal::DeadlineTooShort))
            }
            _ if request.version != FORWARD_VERSION => Err(not_run(HolderRefusal::Version)),
            Some(key) => self.run_next(&request, key, deadline).await,
            None => self.run_first(&request, deadline).await,
        };
        let reply = replied.unwrap_or_else(|reply| reply);
        let metrics = &self.context.metrics.forward;
        metrics.count("served", reply.name());
        metrics.observe("served", started.elapsed());
        reply
    }

    /// Rolls a transaction back, if it still exists.
    pub(in crate::managed) fn end_transaction(&self, request: TransactionEnd) -> u32 {
        if let Some(key) = request.transaction {
            drop(self.take(key));
        }
        FORWARD_VERSION
    }

    /// Rolls transactions back that were idle for longer than the plan allows, until the
    /// returned future is dropped.
    pub(in crate::managed) async fn end_idle_transactions(&self) {
        loop {
            sleep(IDLE_CHECK).await;
            let Some(plan) = self.context.plan() else {
                continue;
            };
            let now = Instant::now();
            let is_idle = |held: &HeldTransaction<K, C>| {
                now.saturating_duration_since(held.idle_since) > plan.transaction_idle
            };
            let mut table = self.table();
            let idle: Vec<TransactionKey> = table
                .iter()
                .filter(|(_, held)| is_idle(held))
                .map(|(key, _)| key)
                .collect();
            let ended: Vec<_> = idle.iter().filter_map(|key| table.remove(*key)).collect();
            drop(table);
            if !ended.is_empty() {
                log::info!(transactions = ended.len(); "idle forwarded transactions ended");
            }
        }
    }

    /// Runs a statement that belongs to no open transaction. It may begin one.
    async fn run_first(
        &self,
        request: &ForwardRequest,
        deadline: Instant,
    ) -> ReplyResult<ForwardReply> {
        if *self.context.phase.borrow() != ServicePhase::Serving {
            return Err(not_run(HolderRefusal::Stopping));
        }
        if request.begin.is_some() && self.table().len() >= TRANSACTIONS_MAX {
            return Err(not_run(HolderRefusal::NoConnection));
        }
        let (group, member) = self.find_member(request)?;
        let pool = group
            .direct_pool(member)
            .ok_or_else(|| not_run(HolderRefusal::NotHolder))?;
        let admission = AdmissionRequest {
            customer: match &request.account {
                Some(account) => self.context.account_customer(account),
                None => self.context.route_customer(&request.database),
            },
            class: None,
            weight: 1,
            priority: request.priority,
            target: request.target.map(|target| Instant::now() + target),
            deadline: self.context.limit(deadline),
        };
        let opened = self.open(request, (&group, member), &pool, &admission);
        let Some(opened) = self.context.until_stop(opened).await else {
            return Err(not_run(HolderRefusal::Stopping));
        };
        let (mut permit, connection, opened_at) = opened?;
        let held = HeldTransaction {
            group,
            member,
            connection,
            idle_since: opened_at,
            _work: self.context.enter_forwarded(),
        };
        let setup_end = deadline.min(opened_at + SETUP_TIMEOUT);
        let reply = self.run_on(held, request, setup_end, deadline).await?;
        permit.record_answer();
        Ok(reply)
    }

    /// Waits for admission and for a connection. Also returns when the statement was
    /// admitted.
    async fn open(
        &self,
        request: &ForwardRequest,
        (group, member): (&Arc<GroupRuntime<K, C>>, MemberKey),
        pool: &ConnectionPool<K>,
        admission: &AdmissionRequest,
    ) -> ReplyResult<OpenedLink<K>> {
        let waiting = MemberCount::enter(group, member, MemberCounter::Waiting);
        let permit = pool.gate().enter(admission).await.map_err(|refusal| {
            not_run(match refusal {
                AdmissionRefusal::QueueFull => HolderRefusal::QueueFull,
                AdmissionRefusal::DeadlineTooShort => HolderRefusal::DeadlineTooShort,
            })
        })?;
        drop(waiting);
        let _in_flight = MemberCount::enter(group, member, MemberCounter::InFlight);
        let sent_at = group.send_instant();
        let setup_end = admission.deadline.min(sent_at.socket_time + SETUP_TIMEOUT);
        let owner = request.account.as_deref().map(Arc::from);
        match pool.check_out(&owner, setup_end).await {
            Ok(connection) => Ok((permit, connection, sent_at.socket_time)),
            Err(PoolError::Exhausted | PoolError::AtLimit { .. }) => {
                Err(not_run(HolderRefusal::NoConnection))
            }
            Err(PoolError::Connect(error)) => {
                Err(member_failed(group, member, &error, sent_at, false))
            }
        }
    }

    /// Runs a later statement of an open transaction.
    async fn run_next(
        &self,
        request: &ForwardRequest,
        key: u64,
        deadline: Instant,
    ) -> ReplyResult<ForwardReply> {
        let lost = || not_run(HolderRefusal::TransactionLost);
        let held = self.take(key).ok_or_else(lost)?;
        if !held.connection.can_apply(&setup_of(request)) {
            return Err(lost());
        }
        self.run_on(held, request, deadline, deadline).await
    }

    /// Prepares a connection and runs the statement on it. A connection with an open
    /// transaction is kept for its next statement.
    async fn run_on(
        &self,
        mut held: HeldTransaction<K, C>,
        request: &ForwardRequest,
        setup_end: Instant,
        deadline: Instant,
    ) -> ReplyResult<ForwardReply> {
        let (group, member) = (held.group.clone(), held.member);
        let _in_flight = MemberCount::enter(&group, member, MemberCounter::InFlight);
        // A request of a prepared statement without its shape is not understood.
        let body = body_of(request).ok_or_else(|| not_run(HolderRefusal::Version))?;
        let link = &mut held.connection;
        let prepared_at = group.send_instant();
        match link.prepare(&setup_of(request), setup_end).await {
            Ok(None) => {}
            Ok(Some(refusal)) => return Err(ForwardReply::SetupRefused(refusal)),
            Err(error) => return Err(member_failed(&group, member, &error, prepared_at, false)),
        }
        let statement = MemberRequest {
            id: &request.id,
            since: request.since,
            body,
            // The request does not say whether a text only reads.
            is_repeatable: false,
        };
        let sent_at = group.send_instant();
        let answer = link.run(&statement, deadline).await.map_err(|error| {
            let sent = !error.is_before_statement();
            member_failed(&group, member, &error, sent_at, sent)
        })?;
        group.record_answer(member, &answer, sent_at.boot_time);
        log::info!(
            request = request.id.as_str(),
            group = group.name.as_str(),
            member = request.member.as_str(),
            connection = answer.origin.connection,
            ordinal = answer.origin.ordinal;
            "forwarded statement placed"
        );
        let state = link.state();
        let transaction = (state == TransactionState::Open).then(|| self.keep(held));
        Ok(ForwardReply::Answered {
            rows: answer.rows.iter().map(|row| row.to_vec()).collect(),
            outcome: answer.outcome.map(|signature| signature.to_vec()),
            position: answer.position,
            state,
            transaction,
        })
    }

    fn find_member(
        &self,
        request: &ForwardRequest,
    ) -> ReplyResult<(Arc<GroupRuntime<K, C>>, MemberKey)> {
        let not_holder = || not_run(HolderRefusal::NotHolder);
        let groups = self.context.groups().into_iter();
        let group = groups
            .filter(|group| group.serves_others())
            .find(|group| group.name == request.group)
            .ok_or_else(not_holder)?;
        let member = group.with(|state| {
            let mut members = state.members.iter();
            let found = members.find(|(_, member)| member.server.id == request.member);
            found.map(|(key, _)| key)
        });
        Ok((group, member.ok_or_else(not_holder)?))
    }

    fn keep(&self, held: HeldTransaction<K, C>) -> u64 {
        let held = HeldTransaction {
            idle_since: Instant::now(),
            ..held
        };
        self.table().insert(held).data().as_ffi()
    }

    fn take(&self, key: u64) -> Option<HeldTransaction<K, C>> {
        let key = TransactionKey::from(KeyData::from_ffi(key));
        self.table().remove(key)
    }

    fn table(&self) -> MutexGuard<'_, TransactionTable<K, C>> {
        self.transactions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn setup_of(request: &ForwardRequest) -> ConnectionSetup<'_> {
    ConnectionSetup {
        values: &request.values,
        shape: request.shape.as_ref(),
        begin: request.begin.map(|begin| MemberStatement::Begin {
            read_only: begin.read_only,
            since: begin.since,
        }),
        database: &request.database,
        priority: request.priority,
        target: None,
    }
}

/// Returns the statement; `None` if the request lacks the shape of a prepared statement.
fn body_of(request: &ForwardRequest) -> Option<StatementBody<'_>> {
    Some(match &request.body {
        ForwardedBody::Text(text) => StatementBody::Text(text),
        ForwardedBody::Commit => StatementBody::Commit,
        ForwardedBody::Execute { arguments } => StatementBody::Execute {
            shape: request.shape.as_ref()?,
            arguments,
        },
    })
}

fn not_run(reason: HolderRefusal) -> ForwardReply {
    ForwardReply::NotRun { reason }
}

/// Records a member's failure, as for a statement of this host, and returns the reply.
fn member_failed<K: StatementCodec, C: MonotonicClock>(
    group: &GroupRuntime<K, C>,
    member: MemberKey,
    error: &ConnectionError,
    sent_at: SendInstant,
    sent: bool,
) -> ForwardReply {
    group.record_failure(member, error, sent_at);
    let cause = match error {
        ConnectionError::BeforeStatement(cause) => cause,
        other => other,
    };
    let kind = match cause {
        ConnectionError::Refused(refusal) => MemberFailureKind::GreetingRefused(*refusal),
        ConnectionError::Lost(_) => MemberFailureKind::Lost,
        ConnectionError::TimedOut => MemberFailureKind::TimedOut,
        ConnectionError::Protocol(_) => MemberFailureKind::Protocol,
        ConnectionError::Mismatched(_) => MemberFailureKind::Mismatched,
        _ => MemberFailureKind::ConnectFailed,
    };
    ForwardReply::MemberFailed {
        kind,
        sent,
        detail: error.to_string(),
    }
}
