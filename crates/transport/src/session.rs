//! The session of one caller.
//!
//! A session owns the caller's socket, its bound, its variables and its
//! prepared statements. Between statements it holds no connection to a backend
//! server, except inside a transaction or after a session feature.

mod attempt;
mod batch;
mod exchange;
pub(crate) mod io;
mod outcome;
mod pin;
mod plan;
mod policy;
mod primary;
pub(crate) mod purge;
mod read;
mod recorded;
pub(crate) mod refusal;
mod route;
mod variables;
mod work;
mod write;

use std::io::Result as IoResult;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coordination::routing::ReplicaPosition;
use coordination::session_bound::SessionBound;
use protocol::classify::StatementKind;
use protocol::frame::{self, tag, ErrorSeverity, WireFrame};
use protocol::options::VariableChange;
use protocol::result_code::{ResultCode, RunOutcome};
use state::keys::CustomerKey;

use crate::backend::{STATUS_FAILED, STATUS_IDLE, STATUS_TRANSACTION};
use crate::caller::cancel::CancelSlot;
use crate::caller::context::{CallerContext, DocumentInForce, GroupContext};
use batch::{BatchEntry, BatchState};
use io::CallerIo;
use pin::PinnedConnection;
use policy::ReadPolicy;
use recorded::run_queries;
use refusal::{refuse, Refusal, StepError};
use variables::SessionVariables;
use work::{Work, WorkSummary};

/// Largest sum of frames that may wait for Sync.
const BATCH_MAX_BYTES: usize = 64 << 20;
/// SQLSTATE of a cancelled statement.
const CANCELLED: &str = "57014";
/// SQLSTATE of a lost connection.
const CONNECTION_FAILURE: &str = "08006";
/// SQLSTATE of a protocol violation.
const PROTOCOL_VIOLATION: &str = "08P01";
/// SQLSTATE of a transaction whose request id ran before. The result code has
/// no error SQLSTATE, and a unique violation is what the database reported.
const RECORDED_TWICE: &str = "23505";
/// SQLSTATE of a prepared statement whose name is in use.
const DUPLICATE_STATEMENT: &str = "42P05";
/// Query that no server can run, to fail a transaction.
const FAILING_QUERY: &str = "cassia_refused_statement";
/// Longest time to fail a transaction.
const FAIL_TIMEOUT: Duration = Duration::from_secs(1);
/// SQLSTATE of a statement in a failed transaction.
const FAILED_TRANSACTION: &str = "25P02";

/// What a session starts with.
#[derive(Debug)]
pub(crate) struct SessionStart {
    pub(crate) customer: String,
    pub(crate) group: Arc<GroupContext>,
    pub(crate) began_at: Instant,
    pub(crate) changes: Vec<VariableChange>,
}

/// Whether the caller knows that its transaction was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LostTransaction {
    Unreported,
    Reported,
}

/// A caller that is logged in.
#[derive(Debug)]
pub(crate) struct CallerSession {
    context: Arc<CallerContext>,
    group: Arc<GroupContext>,
    io: CallerIo,
    customer: String,
    customer_key: CustomerKey,
    bound: SessionBound,
    confirmed_at: Option<ReplicaPosition>,
    variables: SessionVariables,
    batch: BatchState,
    pin: Option<PinnedConnection>,
    /// A transaction was lost with its connection and not ended by the caller.
    lost: Option<LostTransaction>,
    /// Frames are skipped until Sync.
    skip_to_sync: bool,
    /// The session must end after the current answer.
    must_end: bool,
    cancel: Arc<CancelSlot>,
}

impl Drop for CallerSession {
    fn drop(&mut self) {
        self.context.cancels.remove(&self.cancel);
    }
}

impl CallerSession {
    /// Opens a session; returns the socket when a start value is refused.
    pub(crate) fn open(
        context: Arc<CallerContext>,
        start: SessionStart,
        io: CallerIo,
    ) -> Result<Box<Self>, Box<(CallerIo, Refusal)>> {
        let mut variables = SessionVariables::default();
        let mut bound = SessionBound::begin(start.began_at);
        for change in start.changes {
            let applied = variables.apply(change, &start.group.name, &mut bound);
            if let Err(refusal) = applied {
                return Err(Box::new((io, refusal)));
            }
        }
        let customer_key = context.customer_key(&start.customer);
        let cancel = context.cancels.register();
        Ok(Box::new(Self {
            context,
            group: start.group,
            io,
            customer: start.customer,
            customer_key,
            bound,
            confirmed_at: None,
            variables,
            batch: BatchState::default(),
            pin: None,
            lost: None,
            skip_to_sync: false,
            must_end: false,
            cancel,
        }))
    }

    /// Tells the caller the parameters, the cancel key and readiness.
    pub(crate) async fn announce(&mut self, parameters: &[(&str, &str)]) -> IoResult<()> {
        for (name, value) in parameters {
            frame::put_parameter(&mut self.io.output, name, value);
        }
        let key = self.cancel.key();
        frame::put_backend_key(&mut self.io.output, key.process, key.secret);
        frame::put_ready(&mut self.io.output, STATUS_IDLE);
        self.io.flush().await
    }

    /// Serves the caller until it leaves or the daemon shuts down.
    pub(crate) async fn run(mut self: Box<Self>) -> IoResult<()> {
        while !self.must_end {
            let Some(frame) = self.io.take_frame()? else {
                if self.is_idle() && *self.context.shutdown.borrow() {
                    return self.say_goodbye().await;
                }
                if !self.wait().await? {
                    return Ok(());
                }
                continue;
            };
            if frame.tag() == tag::TERMINATE {
                return Ok(());
            }
            self.take(frame).await?;
        }
        Ok(())
    }

    /// Tells whether the session may end without cutting anything off.
    fn is_idle(&self) -> bool {
        let in_transaction = self.pin.as_ref().is_some_and(PinnedConnection::is_busy);
        self.io.input.is_empty() && self.batch.entries.is_empty() && !in_transaction
    }

    async fn say_goodbye(&mut self) -> IoResult<()> {
        let code = ResultCode::ShuttingDown;
        frame::put_result(&mut self.io.output, ErrorSeverity::Fatal, code, "");
        self.io.flush().await
    }

    /// Waits for the caller; returns false when it has gone.
    async fn wait(&mut self) -> IoResult<bool> {
        let mut shutdown = self.context.shutdown.clone();
        let stopping = async {
            // While draining only the caller can end its transaction.
            if *shutdown.borrow() {
                std::future::pending::<()>().await;
            }
            let _ = shutdown.wait_for(|stopping| *stopping).await;
        };
        let Some(pin) = self.pin.as_mut() else {
            return tokio::select! {
                received = self.io.receive() => received,
                () = stopping => Ok(true),
            };
        };
        let server_spoke = tokio::select! {
            received = self.io.receive() => return received,
            () = stopping => return Ok(true),
            _ = pin.connection.readable() => true,
        };
        if server_spoke && !pin.relay_notices(&mut self.io).await {
            self.lose_pin();
            if self.must_end {
                let reason = "the connection with the session's state was lost";
                self.end_with(CONNECTION_FAILURE, reason).await?;
            }
        }
        self.io.flush().await?;
        Ok(true)
    }

    async fn take(&mut self, frame: WireFrame) -> IoResult<()> {
        match frame.tag() {
            tag::QUERY => {
                self.skip_to_sync = false;
                // Boxed, so that an idle session does not keep the memory.
                Box::pin(self.on_query(frame)).await
            }
            tag::SYNC => Box::pin(self.on_sync()).await,
            _ if self.skip_to_sync => Ok(()),
            tag::PARSE | tag::BIND | tag::DESCRIBE | tag::EXECUTE | tag::CLOSE => {
                self.on_batch_frame(frame).await
            }
            tag::FLUSH => Box::pin(self.on_flush()).await,
            // What a refused COPY leaves behind is ignored, as in PostgreSQL.
            tag::COPY_DATA | tag::COPY_DONE | tag::COPY_FAIL => Ok(()),
            tag::FUNCTION_CALL => {
                let refusal = Refusal::new(ResultCode::Unsupported, "function call");
                self.answer_error(StepError::Refused(refusal), true).await
            }
            other => {
                let reason = format!("unexpected frame {:?}", char::from(other));
                self.end_with(PROTOCOL_VIOLATION, &reason).await
            }
        }
    }

    async fn on_query(&mut self, frame: WireFrame) -> IoResult<()> {
        let Ok(text) = frame.reader().text() else {
            return self.end_with(PROTOCOL_VIOLATION, "malformed query").await;
        };
        let class = self.context.classes.classify(text);
        if class.kinds.is_empty() {
            frame::put_empty(&mut self.io.output, tag::EMPTY_QUERY);
            return self.finish(true).await;
        }
        let answered = if class.has_variable() {
            self.answer_variables(&class).await
        } else {
            let summary = WorkSummary::of(&class);
            self.run_checked(&Work::Query(&frame), summary, &class.kinds)
                .await
        };
        match answered {
            Ok(()) => self.finish(true).await,
            Err(error) => self.answer_error(error, true).await,
        }
    }

    /// Answers a simple query that consists of variable statements only.
    async fn answer_variables(
        &mut self,
        class: &protocol::classify::StatementClass,
    ) -> refusal::Result<()> {
        for kind in &class.kinds {
            if !matches!(
                kind,
                StatementKind::SetVariable(_) | StatementKind::ShowVariable(_)
            ) {
                let reason = "cassia variables and other statements in one query";
                return refuse(ResultCode::Unsupported, reason);
            }
        }
        for kind in &class.kinds {
            self.evaluate(kind, true).await?;
        }
        Ok(())
    }

    async fn on_batch_frame(&mut self, frame: WireFrame) -> IoResult<()> {
        if self.batch.push(frame, &self.context.classes).is_err() {
            return self.end_with(PROTOCOL_VIOLATION, "malformed frame").await;
        }
        if self.batch.bytes > BATCH_MAX_BYTES {
            let reason = "too many bytes before Sync";
            let refusal = Refusal::new(ResultCode::Unsupported, reason);
            self.batch.clear();
            return self.answer_error(StepError::Refused(refusal), false).await;
        }
        Ok(())
    }

    async fn on_flush(&mut self) -> IoResult<()> {
        if self.batch.entries.is_empty() {
            return Ok(());
        }
        match self.run_batch(false).await {
            Ok(()) => self.finish(false).await,
            Err(error) => self.answer_error(error, false).await,
        }
    }

    async fn on_sync(&mut self) -> IoResult<()> {
        if std::mem::take(&mut self.skip_to_sync) {
            self.batch.clear();
        }
        let in_pipeline = self.pin.as_ref().is_some_and(|pin| pin.in_batch);
        let is_empty = self.batch.entries.is_empty() && self.batch.duplicate.is_none();
        if is_empty && !in_pipeline {
            return self.finish(true).await;
        }
        match self.run_batch(true).await {
            Ok(()) => self.finish(true).await,
            Err(error) => self.answer_error(error, true).await,
        }
    }

    async fn run_batch(&mut self, synced: bool) -> refusal::Result<()> {
        let mut entries = std::mem::take(&mut self.batch.entries);
        let ran = self.run_entries(&mut entries, synced).await;
        if ran.is_err() {
            // The caller sees one error only, so its Parse frames failed too.
            for entry in &entries {
                if let BatchEntry::Parse { name, .. } = entry {
                    self.batch.forget(name);
                }
            }
        }
        ran
    }

    async fn run_entries(
        &mut self,
        entries: &mut [BatchEntry],
        synced: bool,
    ) -> refusal::Result<()> {
        let summary = std::mem::take(&mut self.batch.summary);
        let executed = std::mem::take(&mut self.batch.executed);
        let duplicate = self.batch.duplicate.take();
        self.batch.clear();
        if let Some(name) = duplicate {
            return Err(StepError::DuplicateName(name));
        }
        let floor = self.io.output.len();
        for entry in &mut *entries {
            if let BatchEntry::Evaluate(statement) = entry {
                let statement = statement.clone();
                let start = self.io.output.len();
                for kind in &statement.class.kinds {
                    self.evaluate(kind, false).await?;
                }
                let answer = self.io.output.split_off(start).freeze();
                *entry = BatchEntry::Answer(answer);
            }
        }
        debug_assert_eq!(floor, self.io.output.len());
        let in_pipeline = self.pin.as_ref().is_some_and(|pin| pin.in_batch);
        let is_local = entries
            .iter()
            .all(|entry| matches!(entry, BatchEntry::Answer(_)));
        if is_local && !in_pipeline {
            for entry in &*entries {
                if let BatchEntry::Answer(bytes) = entry {
                    self.io.output.extend_from_slice(bytes);
                }
            }
            return Ok(());
        }
        let kinds: Vec<StatementKind> = executed
            .iter()
            .flat_map(|statement| statement.class.kinds.iter().cloned())
            .collect();
        let work = Work::Batch { entries, synced };
        self.run_checked(&work, summary, &kinds).await
    }

    /// Refuses what is unsupported, then runs the work.
    async fn run_checked(
        &mut self,
        work: &Work<'_>,
        summary: WorkSummary,
        kinds: &[StatementKind],
    ) -> refusal::Result<()> {
        for kind in kinds {
            match kind {
                StatementKind::InvalidOption(error) => {
                    return Err(StepError::Refused(Refusal::from(error.clone())));
                }
                StatementKind::CopyIn => {
                    return refuse(ResultCode::Unsupported, "COPY FROM STDIN");
                }
                _ => {}
            }
        }
        let started = Instant::now();
        let document = self.context.current_document();
        let policy = self.read_policy(&document, summary.class.as_deref())?;
        let ran = self.run_work(work, &summary, &policy, started).await;
        let class = match summary.is_read() {
            true => policy.class_name(),
            false => "write",
        };
        let elapsed = started.elapsed();
        let metrics = &self.context.metrics;
        metrics.count_statement(&self.customer, class, elapsed);
        ran
    }

    async fn run_work(
        &mut self,
        work: &Work<'_>,
        summary: &WorkSummary,
        policy: &ReadPolicy,
        started: Instant,
    ) -> refusal::Result<()> {
        if let Some(lost) = self.lost {
            return self.run_in_lost_transaction(lost, work, summary);
        }
        let deadline = started + policy.statement;
        if self.pin.is_some() {
            return self.run_pinned(work, summary, policy, deadline).await;
        }
        if summary.is_read() && work.is_synced() {
            return self.run_read(work, summary, policy, started).await;
        }
        self.run_write(work, summary, policy, deadline).await
    }

    /// Behaves like a failed transaction until the caller ends it.
    fn run_in_lost_transaction(
        &mut self,
        lost: LostTransaction,
        work: &Work<'_>,
        summary: &WorkSummary,
    ) -> refusal::Result<()> {
        let ends = (summary.commits || summary.rolls_back) && summary.statements == 1;
        if ends && work.is_synced() {
            self.lost = None;
            // A commit must not look accepted to a caller that does not know.
            if summary.rolls_back || lost == LostTransaction::Reported {
                work.put_recorded(&mut self.io.output, "ROLLBACK");
                return Ok(());
            }
            return refuse(ResultCode::TransactionLost, "its connection was lost");
        }
        if lost == LostTransaction::Unreported {
            self.lost = Some(LostTransaction::Reported);
            return refuse(ResultCode::TransactionLost, "its connection was lost");
        }
        frame::put_error(
            &mut self.io.output,
            ErrorSeverity::Error,
            FAILED_TRANSACTION,
            "current transaction was lost; commands are ignored until its end",
            "",
        );
        self.skip_to_sync = !work.is_synced();
        Ok(())
    }

    fn status(&self) -> u8 {
        match &self.pin {
            _ if self.lost.is_some() => STATUS_FAILED,
            Some(pin) => pin.connection.status(),
            None => STATUS_IDLE,
        }
    }

    /// Ends an answer.
    async fn finish(&mut self, synced: bool) -> IoResult<()> {
        if synced {
            let status = self.status();
            frame::put_ready(&mut self.io.output, status);
            if status == STATUS_IDLE {
                self.batch.drop_portals();
            }
        }
        self.io.flush().await
    }

    /// Logs a refusal. Those that ran nothing are frequent under overload, so
    /// that they are logged at level debug.
    fn log_refusal(&self, refusal: &Refusal) {
        let level = match refusal.code.outcome() {
            RunOutcome::NotRun => log::Level::Debug,
            RunOutcome::Ran | RunOutcome::Unknown => log::Level::Warn,
        };
        let request = self.variables.request_id.as_ref();
        log::log!(
            level,
            session = self.cancel.key().process,
            group = self.group.name.as_str(),
            term = self.group.handle.view().highest_term().0,
            code = refusal.code.number(),
            request = request.map_or("", |id| id.as_str());
            "statement answered with an error: {}",
            refusal.reason
        );
    }

    async fn answer_error(&mut self, error: StepError, synced: bool) -> IoResult<()> {
        if let StepError::Refused(refusal) = &error {
            self.log_refusal(refusal);
        }
        let out = &mut self.io.output;
        match error {
            StepError::CallerGone(error) => return Err(error),
            StepError::Refused(refusal) => {
                self.context.metrics.count_refusal(refusal.code);
                frame::put_result(out, ErrorSeverity::Error, refusal.code, &refusal.reason);
            }
            StepError::Cancelled => {
                let message = "canceling statement due to user request";
                frame::put_error(out, ErrorSeverity::Error, CANCELLED, message, "");
            }
            StepError::AlreadyRan(reason) => {
                let code = ResultCode::AlreadyRan;
                self.context.metrics.count_refusal(code);
                let message = format!("{}: {reason}", code.message());
                let detail = format!("cassia_code={}", code.number());
                let severity = ErrorSeverity::Error;
                frame::put_error(out, severity, RECORDED_TWICE, &message, &detail);
            }
            StepError::DuplicateName(name) => {
                let message = format!("prepared statement {name:?} already exists");
                frame::put_error(out, ErrorSeverity::Error, DUPLICATE_STATEMENT, &message, "");
            }
        }
        self.fail_transaction().await;
        self.skip_to_sync = !synced;
        self.finish(synced).await
    }

    /// Fails the open transaction after the proxy refused a statement in it. A
    /// caller that ignores the error must not commit the rest.
    async fn fail_transaction(&mut self) {
        let Some(pin) = self.pin.as_mut() else {
            return;
        };
        if pin.in_batch {
            self.lose_pin();
            return;
        }
        if pin.connection.status() != STATUS_TRANSACTION {
            return;
        }
        let deadline = Instant::now() + FAIL_TIMEOUT;
        let failed = run_queries(&mut pin.connection, &[FAILING_QUERY], deadline).await;
        if failed.is_err() || pin.connection.status() != STATUS_FAILED {
            self.lose_pin();
            self.lost = self.lost.map(|_| LostTransaction::Reported);
        }
    }

    async fn end_with(&mut self, sqlstate: &str, reason: &str) -> IoResult<()> {
        self.must_end = true;
        let out = &mut self.io.output;
        frame::put_error(out, ErrorSeverity::Fatal, sqlstate, reason, "");
        self.io.flush().await
    }

    /// Enters that the pinned connection was lost.
    fn lose_pin(&mut self) {
        let Some(pin) = self.pin.take() else {
            return;
        };
        self.lost = pin.in_transaction().then_some(LostTransaction::Unreported);
        // The caller's database session is gone with its state.
        self.must_end |= pin.keeps_session;
        pin.connection.close();
    }

    fn deadline_of(&self, document: &DocumentInForce) -> Duration {
        let default = Duration::from_millis(document.document.deadlines.statement_ms);
        self.variables.deadline.unwrap_or(default)
    }
}
