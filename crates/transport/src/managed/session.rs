//! The session of one caller of managed groups.
//!
//! A session owns the caller's socket, the session values, the prepared statements
//! and the open transaction. Between statements it holds a connection to a member
//! only inside a transaction, from the first statement of the transaction on.

mod access;

use std::collections::{BTreeMap, HashMap};
use std::io::Result as IoResult;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use coordination::managed::session_commits::SessionCommits;
use protocol::result_code::ResultCode;
use protocol::statement::{
    CallerMessage, CallerStatement, PreparedShape, StatementAccess, TransactionState,
};
use state::account::AccountKey;
use state::clock::MonotonicClock;
use state::plan::AccessRoute;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep_until;

use super::caller_identity::CallerIdentity;
use super::codec::{CodecError, MessageInput, StatementCodec};
use super::context::{HostContext, ServicePhase, SessionGuard};
use super::member_connection::MemberAnswer;
use super::statement::{log_placed, StatementRunner};
use super::statement_request::{
    fail, Result, StatementBody, StatementFailure, StatementRequest, STOPPING,
};
use super::transaction::{OpenTransaction, SessionView, TransactionHealth};

/// Buffer space reserved for one read from the socket, in bytes.
const READ_BYTES: usize = 4 << 10;
/// Longest wait for the greeting of a new connection.
const GREETING_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest wait of a greeting for the first plan of a host that has just started.
/// Callers give a greeting 2 s.
const PLAN_WAIT: Duration = Duration::from_millis(1_500);
/// Time in which an idle session of a draining host may still send a statement.
const DRAIN_IDLE_LIMIT: Duration = Duration::from_millis(200);

/// Result of waiting for the caller's next message.
enum Received {
    Message(CallerMessage),
    /// The caller closed the connection, or the session must end.
    End,
    /// The open transaction was idle for too long.
    TransactionIdle,
    /// The open transaction must end because the host stops.
    TransactionEnd,
}

/// What a session does while it waits for a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SessionActivity {
    Idle,
    /// A part of a message has been received.
    PartialMessage,
    /// A transaction is open.
    Transaction,
}

/// A caller's session.
pub(super) struct ManagedSession<K: StatementCodec, C> {
    context: Arc<HostContext<K, C>>,
    phase: watch::Receiver<ServicePhase>,
    stream: TcpStream,
    input: MessageInput,
    output: BytesMut,
    database: String,
    identity: CallerIdentity,
    values: BTreeMap<String, String>,
    prepared: HashMap<String, PreparedShape>,
    commits: SessionCommits,
    transaction: Option<OpenTransaction<K, C>>,
    _guard: SessionGuard<K, C>,
}

impl<K: StatementCodec, C: MonotonicClock> ManagedSession<K, C> {
    pub(super) fn new(context: Arc<HostContext<K, C>>, stream: TcpStream) -> Self {
        Self {
            phase: context.phase.subscribe(),
            _guard: context.enter_session(),
            context,
            stream,
            input: MessageInput::default(),
            output: BytesMut::new(),
            database: String::new(),
            identity: CallerIdentity::default(),
            values: BTreeMap::new(),
            prepared: HashMap::new(),
            commits: SessionCommits::default(),
            transaction: None,
        }
    }

    /// Serves the caller until the caller disconnects or the host stops.
    pub(super) async fn run(mut self) -> IoResult<()> {
        if !self.greet().await? {
            return Ok(());
        }
        loop {
            match self.receive().await? {
                Received::Message(CallerMessage::Statement { id, statement }) => {
                    if self.renew_identity().is_err() {
                        return self.end_denied(&id).await;
                    }
                    self.serve(&id, statement).await?;
                }
                Received::Message(CallerMessage::Quit) | Received::End => return Ok(()),
                Received::Message(CallerMessage::Connect { .. }) => {
                    return self.reject_malformed("a second greeting").await;
                }
                Received::Message(CallerMessage::Malformed { reason }) => {
                    return self.reject_unparsed(&reason).await;
                }
                Received::TransactionIdle => {
                    self.end_transaction("the transaction was idle for too long");
                }
                Received::TransactionEnd => self.end_transaction(STOPPING),
            }
        }
    }

    async fn greet(&mut self) -> IoResult<bool> {
        let greeting = tokio::time::timeout(GREETING_TIMEOUT, self.receive()).await;
        match greeting {
            Ok(received) => match received? {
                Received::Message(CallerMessage::Connect { database, key }) => {
                    self.open(database, key).await
                }
                Received::Message(CallerMessage::Malformed { reason }) => {
                    self.reject_unparsed(&reason).await?;
                    Ok(false)
                }
                Received::Message(CallerMessage::Statement { .. }) => {
                    self.reject_malformed("a statement before the greeting")
                        .await?;
                    Ok(false)
                }
                Received::Message(CallerMessage::Quit)
                | Received::End
                | Received::TransactionIdle
                | Received::TransactionEnd => Ok(false),
            },
            Err(_) => Ok(false),
        }
    }

    async fn open(&mut self, database: String, key: Option<AccountKey>) -> IoResult<bool> {
        // A host that has just started learns the routes soon. A refusal would use up
        // the caller's repetitions before that.
        let context = &self.context;
        if context
            .until_stop(context.await_plan(PLAN_WAIT))
            .await
            .is_none()
        {
            K::put_error(&mut self.output, ResultCode::ShuttingDown, STOPPING);
            self.flush().await?;
            return Ok(false);
        }
        self.identity = CallerIdentity::new(key);
        if let Err(mut failure) = self.identify(&database) {
            if self.is_key(&database) {
                self.log_refused_session("", failure.code);
                failure.detail.clear();
            } else {
                self.log_refused_session(&database, failure.code);
            }
            K::put_error(&mut self.output, failure.code, &failure.detail);
            self.flush().await?;
            return Ok(false);
        }
        self.database = database;
        K::put_ready(&mut self.output, TransactionState::Idle);
        self.flush().await?;
        Ok(true)
    }

    fn find_route(&self, database: &str) -> Result<AccessRoute> {
        let plan = self.context.plan();
        if let Some(route) = plan.as_ref().and_then(|plan| plan.route(database)) {
            return Ok(route.clone());
        }
        if plan.is_some() && self.context.is_plan_fresh() {
            return Err(StatementFailure::new(ResultCode::UnknownGroup, database));
        }
        let detail = "the routes may have changed; retry in 500 ms";
        Err(StatementFailure::new(ResultCode::NoPrimary, detail))
    }

    /// Waits for the caller's next message.
    async fn receive(&mut self) -> IoResult<Received> {
        loop {
            match K::take_caller_message(&mut self.input) {
                Ok(Some(message)) => return Ok(Received::Message(message)),
                Ok(None) => {}
                Err(error) => {
                    let code = match error {
                        CodecError::TooLarge => ResultCode::Unsupported,
                        CodecError::Malformed(_) => ResultCode::Malformed,
                    };
                    K::put_error(&mut self.output, code, &error.to_string());
                    self.flush().await?;
                    return Ok(Received::End);
                }
            }
            let transaction_end = self.transaction_end();
            let activity = self.activity();
            let space = self.input.space(READ_BYTES);
            tokio::select! {
                // A statement that has arrived is read before the session ends.
                biased;
                received = self.stream.read_buf(space) => {
                    if received? == 0 {
                        return Ok(Received::End);
                    }
                }
                stop = stop_signal(&mut self.phase, activity) => {
                    return Ok(stop);
                }
                () = sleep_until(transaction_end.unwrap_or_else(Instant::now).into()),
                    if transaction_end.is_some() =>
                {
                    return Ok(Received::TransactionIdle);
                }
            }
        }
    }

    /// Returns the instant at which the open transaction will have been idle for too
    /// long.
    fn transaction_end(&self) -> Option<Instant> {
        let transaction = self.transaction.as_ref()?;
        transaction.connection.as_ref()?;
        let idle = self.context.plan()?.transaction_idle;
        Some(Instant::now() + idle)
    }

    fn activity(&self) -> SessionActivity {
        let is_open = |transaction: &OpenTransaction<K, C>| {
            !matches!(transaction.state, TransactionHealth::Lost(STOPPING))
        };
        if self.transaction.as_ref().is_some_and(is_open) {
            SessionActivity::Transaction
        } else if !self.input.is_empty() {
            SessionActivity::PartialMessage
        } else {
            SessionActivity::Idle
        }
    }

    /// Rolls the open transaction back. The caller learns the reason with the answer to its
    /// next statement.
    fn end_transaction(&mut self, reason: &'static str) {
        if let Some(transaction) = &mut self.transaction {
            transaction.connection = None;
            transaction.state = TransactionHealth::Lost(reason);
        }
    }

    async fn reject_malformed(&mut self, reason: &str) -> IoResult<()> {
        log::info!(database = self.database.as_str(), reason; "malformed message");
        K::put_error(&mut self.output, ResultCode::Malformed, reason);
        self.flush().await
    }

    async fn flush(&mut self) -> IoResult<()> {
        self.stream.write_all_buf(&mut self.output).await
    }

    async fn serve(&mut self, id: &str, statement: CallerStatement) -> IoResult<()> {
        let started = Instant::now();
        // The proxy answers the other statements itself and logs only their failures.
        let is_forwarded = matches!(
            statement,
            CallerStatement::Direct { .. }
                | CallerStatement::Execute { .. }
                | CallerStatement::Commit
        );
        let done = self.execute(id, statement).await;
        if is_forwarded || done.is_err() {
            self.record_result(id, &done, started.elapsed());
        }
        match done {
            Ok(Some(answer)) => {
                for row in &answer.rows {
                    K::put_row(&mut self.output, row);
                }
                let signature = answer.outcome.as_deref().unwrap_or_default();
                K::put_complete(&mut self.output, Some(signature));
            }
            Ok(None) => K::put_complete(&mut self.output, None),
            Err(failure) => K::put_error(&mut self.output, failure.code, &failure.detail),
        }
        let state = self.state();
        K::put_ready(&mut self.output, state);
        self.flush().await
    }

    fn record_result(&self, id: &str, done: &Result<Option<MemberAnswer>>, elapsed: Duration) {
        let code = done
            .as_ref()
            .err()
            .map_or(0, |failure| failure.code.number());
        let reason = done
            .as_ref()
            .err()
            .map_or("", |failure| failure.detail.as_str());
        let plan = self.context.plan();
        let route = plan.as_ref().and_then(|plan| plan.route(&self.database));
        let freshness = route.map_or("none", |route| route.freshness.name());
        let elapsed_ms = elapsed.as_millis() as u64;
        let (database, version) = (
            self.database.as_str(),
            plan.as_ref().map_or(0, |plan| plan.version),
        );
        match self.identity.account() {
            None => log::info!(
                request = id, database, freshness, plan = version, elapsed_ms, code, reason;
                "statement answered"
            ),
            Some(account) => log::info!(
                request = id, database, account = account.name.as_str(), freshness,
                plan = version, elapsed_ms, code, reason;
                "statement answered"
            ),
        }
        let metrics = &self.context.metrics;
        metrics.count_statement(&self.database, freshness, code, elapsed);
    }

    fn state(&self) -> TransactionState {
        match &self.transaction {
            None => TransactionState::Idle,
            Some(transaction) if transaction.state == TransactionHealth::Good => {
                TransactionState::Open
            }
            Some(_) => TransactionState::Failed,
        }
    }

    /// Executes a statement. Returns `None` for a statement that the proxy answers
    /// itself.
    async fn execute(
        &mut self,
        id: &str,
        statement: CallerStatement,
    ) -> Result<Option<MemberAnswer>> {
        if let Some(transaction) = &mut self.transaction {
            let is_end = matches!(
                statement,
                CallerStatement::Commit | CallerStatement::Rollback
            );
            match &transaction.state {
                TransactionHealth::Failed if !is_end => {
                    return fail(ResultCode::Malformed, "the transaction has failed");
                }
                TransactionHealth::Lost(reason) if !is_end => {
                    let reason = *reason;
                    transaction.state = TransactionHealth::Failed;
                    return fail(ResultCode::TransactionLost, reason);
                }
                _ => {}
            }
        }
        match statement {
            CallerStatement::Begin { read_only } => self.begin(read_only),
            CallerStatement::Commit => self.commit(id).await.map(Some),
            CallerStatement::Rollback => {
                // The pool rolls the connection back before it is used again.
                self.transaction = None;
                Ok(None)
            }
            CallerStatement::Direct { access, text } => {
                self.forward(id, access, StatementBody::Text(&text)).await
            }
            CallerStatement::Execute { name, arguments } => {
                let Some(shape) = self.prepared.get(&name).cloned() else {
                    return fail(ResultCode::UnknownStatement, &name);
                };
                let body = StatementBody::Execute {
                    shape: &shape,
                    arguments: &arguments,
                };
                self.forward(id, shape.access, body).await
            }
            CallerStatement::Set { name, value } => {
                self.values.insert(name, value);
                Ok(None)
            }
            CallerStatement::Prepare { name, shape } => {
                self.prepared.insert(name, shape);
                Ok(None)
            }
            CallerStatement::Deallocate { name } => match self.prepared.remove(&name) {
                Some(_) => Ok(None),
                None => fail(ResultCode::UnknownStatement, &name),
            },
            CallerStatement::Malformed { reason } => fail(ResultCode::Malformed, &reason),
        }
    }

    /// Opens a transaction. The member is chosen for the first statement.
    fn begin(&mut self, read_only: bool) -> Result<Option<MemberAnswer>> {
        if self.transaction.is_some() {
            return fail(ResultCode::Malformed, "a transaction is open already");
        }
        let route = self.find_route(&self.database)?;
        let group = self.context.group(&route.group);
        let began_at = self.context.clock.now();
        self.transaction = Some(OpenTransaction::new(route, group, read_only, began_at));
        Ok(None)
    }

    async fn forward(
        &mut self,
        id: &str,
        access: StatementAccess,
        body: StatementBody<'_>,
    ) -> Result<Option<MemberAnswer>> {
        if self.transaction.is_none() {
            return self.run_single(id, access, body).await.map(Some);
        }
        match self.run_in_transaction(id, access, body).await {
            Ok(answer) => Ok(Some(answer)),
            Err(failure) => {
                if let Some(transaction) = &mut self.transaction {
                    transaction.connection = None;
                    transaction.state = TransactionHealth::Failed;
                }
                Err(failure)
            }
        }
    }

    async fn run_single(
        &mut self,
        id: &str,
        access: StatementAccess,
        body: StatementBody<'_>,
    ) -> Result<MemberAnswer> {
        let route = self.find_route(&self.database)?;
        self.admit(&route).await?;
        let group = self.context.group(&route.group);
        let request = StatementRequest {
            id,
            body,
            access,
            account: self.identity.account(),
            route: &route,
            start: None,
            began_at: self.context.clock.now(),
            deadline: Instant::now() + route.statement_timeout,
            values: &self.values,
            own: self.commits.bound(&group.name),
        };
        let runner = StatementRunner::new(&self.context, &group, &request);
        let placed = runner.run().await?;
        if access == StatementAccess::Write {
            let now = self.context.clock.now();
            self.commits
                .record(&group.name, placed.answer.position, now);
        }
        log_placed(
            id,
            body,
            &group,
            placed.member,
            &placed.answer,
            placed.asked,
            placed.attempts,
        );
        Ok(placed.answer)
    }

    /// Takes a token of the account's usage cap for an operation.
    async fn admit(&self, route: &AccessRoute) -> Result<()> {
        let Some(account) = self.identity.account() else {
            return Ok(());
        };
        let (limits, metrics) = (&self.context.limits, &self.context.metrics);
        let admitted = limits.admit(account, route.statement_timeout, metrics);
        let Some(admitted) = self.context.until_stop(admitted).await else {
            return fail(ResultCode::ShuttingDown, STOPPING);
        };
        admitted.map_err(|retry_after| {
            let detail = format!("retry in {} ms", retry_after.as_millis());
            StatementFailure::new(ResultCode::OverCap, &detail)
        })
    }

    async fn run_in_transaction(
        &mut self,
        id: &str,
        access: StatementAccess,
        body: StatementBody<'_>,
    ) -> Result<MemberAnswer> {
        if let Some(transaction) = &self.transaction {
            if transaction.connection.is_none() {
                self.admit(transaction.route()).await?;
            }
        }
        let Some(transaction) = &mut self.transaction else {
            return fail(ResultCode::Malformed, "no transaction is open");
        };
        let session = SessionView {
            account: self.identity.account(),
            values: &self.values,
            commits: &self.commits,
        };
        transaction
            .run(&self.context, &session, id, access, body)
            .await
    }

    async fn commit(&mut self, id: &str) -> Result<MemberAnswer> {
        let Some(mut transaction) = self.transaction.take() else {
            return fail(ResultCode::Malformed, "no transaction is open");
        };
        match transaction.state {
            TransactionHealth::Good => {}
            TransactionHealth::Lost(reason) => return fail(ResultCode::TransactionLost, reason),
            TransactionHealth::Failed => {
                return fail(ResultCode::TransactionLost, "the transaction has failed");
            }
        }
        if transaction.connection.is_none() {
            // A transaction without statements runs its commit as the first one.
            self.admit(transaction.route()).await?;
        }
        let wrote = transaction.wrote;
        let session = SessionView {
            account: self.identity.account(),
            values: &self.values,
            commits: &self.commits,
        };
        let answer = transaction.commit(&self.context, &session, id).await?;
        if wrote {
            let now = self.context.clock.now();
            self.commits
                .record(transaction.group_name(), answer.position, now);
        }
        Ok(answer)
    }
}

/// Returns when the session or its transaction must end because the host stops. Both get a
/// short time for another statement.
async fn stop_signal(
    phase: &mut watch::Receiver<ServicePhase>,
    activity: SessionActivity,
) -> Received {
    let mut idle_until = None;
    loop {
        let current = *phase.borrow_and_update();
        let ended = match (current, activity) {
            (ServicePhase::Stopping, _) => return Received::End,
            (ServicePhase::Draining | ServicePhase::Closing, SessionActivity::Idle) => {
                Some(Received::End)
            }
            (ServicePhase::Closing, SessionActivity::Transaction) => Some(Received::TransactionEnd),
            _ => None,
        };
        let Some(ended) = ended else {
            if phase.changed().await.is_err() {
                return Received::End;
            }
            continue;
        };
        let until = *idle_until.get_or_insert_with(|| Instant::now() + DRAIN_IDLE_LIMIT);
        tokio::select! {
            () = sleep_until(until.into()) => return ended,
            changed = phase.changed() => {
                if changed.is_err() {
                    return Received::End;
                }
            }
        }
    }
}
