//! The session of one caller.
//!
//! A session owns the caller's socket, the session bound, the proxy's variables
//! and the prepared statements. Between statements it holds no connection to a
//! backend server, except inside a transaction or after a statement that changes
//! the state of the database session.

mod attempt;
mod batch;
mod exchange;
pub(crate) mod io;
mod limits;
mod outcome;
mod pinned;
mod primary;
pub(crate) mod purge;
mod read;
mod recorded;
pub(crate) mod refusal;
mod replies;
mod request;
mod route;
mod variables;
mod write;

use std::io::Result as IoResult;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coordination::routing::ReplicaPosition;
use coordination::session_bound::SessionBound;
use protocol::classify::StatementKind;
use protocol::frame::{self, tag, ErrorSeverity, WireFrame, PROTOCOL_VIOLATION};
use protocol::options::VariableChange;
use protocol::result_code::{ResultCode, RunOutcome};
use state::keys::CustomerKey;

use crate::backend::{STATUS_FAILED, STATUS_IDLE, STATUS_TRANSACTION};
use crate::caller::cancel::CancelEntry;
use crate::caller::context::{CallerContext, DocumentInForce, GroupContext};
use batch::{BatchEntry, BatchState};
use io::CallerIo;
use limits::StatementLimits;
use pinned::PinnedConnection;
use recorded::run_queries;
use refusal::{refuse, Refusal, RequestError};
use request::{CallerRequest, RequestSummary};
use variables::SessionVariables;

/// Maximum total size of the frames that wait for Sync.
const BATCH_MAX_BYTES: usize = 64 << 20;
/// Why a statement ends when the daemon has no time left for it.
const STOPPING: &str = "the daemon is stopping; connect again";
/// SQLSTATE of a cancelled statement.
const CANCELLED: &str = "57014";
/// SQLSTATE of a lost connection.
const CONNECTION_FAILURE: &str = "08006";
/// SQLSTATE of the error when the request id of a transaction is already
/// recorded. The result code has no SQLSTATE for errors; the database reported a
/// unique violation.
const ALREADY_RECORDED: &str = "23505";
/// SQLSTATE of a prepared statement whose name is in use.
const DUPLICATE_STATEMENT: &str = "42P05";
/// Query that fails on every server; it puts a transaction into the failed state.
const FAILING_QUERY: &str = "cassia_refused_statement";
/// Time limit for putting a transaction into the failed state.
const FAIL_TRANSACTION_TIMEOUT: Duration = Duration::from_secs(1);
/// SQLSTATE of a statement in a failed transaction.
const FAILED_TRANSACTION: &str = "25P02";

/// Result of the log-in from which a session is opened.
#[derive(Debug)]
pub(crate) struct SessionStart {
    pub(crate) customer: String,
    pub(crate) group: Arc<GroupContext>,
    pub(crate) began_at: Instant,
    pub(crate) changes: Vec<VariableChange>,
}

/// Whether the loss of the transaction has been reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LostTransaction {
    Unreported,
    Reported,
}

/// The session of a caller that is logged in.
#[derive(Debug)]
pub(crate) struct CallerSession {
    context: Arc<CallerContext>,
    group: Arc<GroupContext>,
    io: CallerIo,
    customer: String,
    customer_key: CustomerKey,
    bound: SessionBound,
    confirming_replica: Option<ReplicaPosition>,
    variables: SessionVariables,
    batch: BatchState,
    pinned: Option<PinnedConnection>,
    /// Set while a transaction is lost with its connection and the caller has not
    /// ended it yet.
    lost_transaction: Option<LostTransaction>,
    /// Whether frames are skipped until Sync.
    skip_to_sync: bool,
    /// Whether the session must end after the current answer.
    must_end: bool,
    cancel: Arc<CancelEntry>,
}

impl Drop for CallerSession {
    fn drop(&mut self) {
        self.context.cancels.remove(&self.cancel);
    }
}

impl CallerSession {
    /// Opens a session. When a variable of the start-up packet is refused, returns
    /// the socket with the refusal.
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
            confirming_replica: None,
            variables,
            batch: BatchState::default(),
            pinned: None,
            lost_transaction: None,
            skip_to_sync: false,
            must_end: false,
            cancel,
        }))
    }

    /// Sends the parameters, the cancel key and ReadyForQuery.
    pub(crate) async fn announce(&mut self, parameters: &[(&str, &str)]) -> IoResult<()> {
        for (name, value) in parameters {
            frame::put_parameter(&mut self.io.output, name, value);
        }
        let key = self.cancel.key();
        frame::put_backend_key(&mut self.io.output, key.process, key.secret);
        frame::put_ready(&mut self.io.output, STATUS_IDLE);
        self.io.flush().await
    }

    /// Serves the caller until it disconnects or the daemon shuts down.
    pub(crate) async fn run(mut self: Box<Self>) -> IoResult<()> {
        while !self.must_end {
            let Some(frame) = self.io.take_frame()? else {
                if self.is_idle() && *self.context.shutdown.borrow() {
                    return self.send_shutdown().await;
                }
                if !self.wait_for_input().await? {
                    return Ok(());
                }
                continue;
            };
            if frame.tag() == tag::TERMINATE {
                return Ok(());
            }
            self.handle_frame(frame).await?;
        }
        Ok(())
    }

    /// Returns whether no statement, transaction or pipeline is unfinished.
    fn is_idle(&self) -> bool {
        let in_transaction = self.pinned.as_ref().is_some_and(PinnedConnection::is_busy);
        self.io.input.is_empty() && self.batch.entries.is_empty() && !in_transaction
    }

    async fn send_shutdown(&mut self) -> IoResult<()> {
        let code = ResultCode::ShuttingDown;
        frame::put_result(&mut self.io.output, ErrorSeverity::Fatal, code, "");
        self.io.flush().await
    }

    /// Waits for input from the caller, a shutdown, or input from the pinned
    /// connection; returns false when the caller has closed its connection.
    async fn wait_for_input(&mut self) -> IoResult<bool> {
        let mut shutdown = self.context.shutdown.clone();
        let stopping = async {
            // During the drain only the caller can end its transaction, so the
            // shutdown must not wake this wait again.
            if *shutdown.borrow() {
                std::future::pending::<()>().await;
            }
            let _ = shutdown.wait_for(|stopping| *stopping).await;
        };
        let Some(pinned) = self.pinned.as_mut() else {
            return tokio::select! {
                received = self.io.receive() => received,
                () = stopping => Ok(true),
            };
        };
        let has_server_input = tokio::select! {
            received = self.io.receive() => return received,
            () = stopping => return Ok(true),
            _ = pinned.connection.readable() => true,
        };
        if has_server_input && !pinned.forward_notices(&mut self.io).await {
            self.close_pinned();
            if self.must_end {
                let reason = "the connection with the session's state was lost";
                self.end_with(CONNECTION_FAILURE, reason).await?;
            }
        }
        self.io.flush().await?;
        Ok(true)
    }

    async fn handle_frame(&mut self, frame: WireFrame) -> IoResult<()> {
        match frame.tag() {
            tag::QUERY => {
                self.skip_to_sync = false;
                // Boxed, so that an idle session does not hold this memory.
                Box::pin(self.on_query(frame)).await
            }
            tag::SYNC => Box::pin(self.on_sync()).await,
            _ if self.skip_to_sync => Ok(()),
            tag::PARSE | tag::BIND | tag::DESCRIBE | tag::EXECUTE | tag::CLOSE => {
                self.on_batch_frame(frame).await
            }
            tag::FLUSH => Box::pin(self.on_flush()).await,
            // Frames that follow a refused COPY are ignored, as in PostgreSQL.
            tag::COPY_DATA | tag::COPY_DONE | tag::COPY_FAIL => Ok(()),
            tag::FUNCTION_CALL => {
                let refusal = Refusal::new(ResultCode::Unsupported, "function call");
                self.answer_error(RequestError::Refused(refusal), true)
                    .await
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
        let classification = self.context.classifications.classify(text);
        if classification.kinds.is_empty() {
            frame::put_empty(&mut self.io.output, tag::EMPTY_QUERY);
            return self.finish(true).await;
        }
        let answered = if classification.has_variable() {
            self.answer_variables(&classification).await
        } else {
            let summary = RequestSummary::of(&classification);
            self.check_and_run(
                &CallerRequest::Query(&frame),
                summary,
                &classification.kinds,
            )
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
        classification: &protocol::classify::StatementClass,
    ) -> refusal::Result<()> {
        for kind in &classification.kinds {
            if !matches!(
                kind,
                StatementKind::SetVariable(_) | StatementKind::ShowVariable(_)
            ) {
                let reason = "cassia variables and other statements in one query";
                return refuse(ResultCode::Unsupported, reason);
            }
        }
        for kind in &classification.kinds {
            self.evaluate(kind, true).await?;
        }
        Ok(())
    }

    async fn on_batch_frame(&mut self, frame: WireFrame) -> IoResult<()> {
        if self
            .batch
            .push(frame, &self.context.classifications)
            .is_err()
        {
            return self.end_with(PROTOCOL_VIOLATION, "malformed frame").await;
        }
        if self.batch.bytes > BATCH_MAX_BYTES {
            let reason = "too many bytes before Sync";
            let refusal = Refusal::new(ResultCode::Unsupported, reason);
            self.batch.clear();
            return self
                .answer_error(RequestError::Refused(refusal), false)
                .await;
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
        let in_pipeline = self.pinned.as_ref().is_some_and(|pinned| pinned.in_batch);
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
            // The error is the only answer, so the caller regards its Parse
            // frames as failed too.
            for entry in &entries {
                if let BatchEntry::Parse { name, .. } = entry {
                    self.batch.remove_statement(name);
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
            return Err(RequestError::DuplicateName(name));
        }
        let answer_start = self.io.output.len();
        for entry in &mut *entries {
            if let BatchEntry::Evaluate(statement) = entry {
                let statement = statement.clone();
                let start = self.io.output.len();
                for kind in &statement.classification.kinds {
                    self.evaluate(kind, false).await?;
                }
                let answer = self.io.output.split_off(start).freeze();
                *entry = BatchEntry::Answer(answer);
            }
        }
        debug_assert_eq!(answer_start, self.io.output.len());
        let in_pipeline = self.pinned.as_ref().is_some_and(|pinned| pinned.in_batch);
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
            .flat_map(|statement| statement.classification.kinds.iter().cloned())
            .collect();
        let request = CallerRequest::Batch { entries, synced };
        self.check_and_run(&request, summary, &kinds).await
    }

    /// Refuses unsupported statements; otherwise runs the request and counts it in
    /// the metrics.
    async fn check_and_run(
        &mut self,
        request: &CallerRequest<'_>,
        summary: RequestSummary,
        kinds: &[StatementKind],
    ) -> refusal::Result<()> {
        for kind in kinds {
            match kind {
                StatementKind::InvalidOption(error) => {
                    return Err(RequestError::Refused(Refusal::from(error.clone())));
                }
                StatementKind::CopyIn => {
                    return refuse(ResultCode::Unsupported, "COPY FROM STDIN");
                }
                _ => {}
            }
        }
        let started = Instant::now();
        let document = self.context.current_document();
        let limits = self.statement_limits(&document, summary.read_class.as_deref())?;
        if self.context.has_answers_ended() {
            return refuse(ResultCode::ShuttingDown, STOPPING);
        }
        let context = self.context.clone();
        let ran = tokio::select! {
            biased;
            ran = self.run_request(request, &summary, &limits, started) => Some(ran),
            () = context.answers_end() => None,
        };
        let ran = ran.unwrap_or_else(|| self.end_unanswered(&summary));
        let class = match summary.is_read() {
            true => limits.class_name(),
            false => "write",
        };
        let elapsed = started.elapsed();
        let metrics = &self.context.metrics;
        metrics.count_statement(&self.customer, class, elapsed);
        ran
    }

    /// Ends the session with an answer to its statement, which the daemon has no time for
    /// any more.
    fn end_unanswered(&mut self, summary: &RequestSummary) -> refusal::Result<()> {
        self.must_end = true;
        self.close_pinned();
        match summary.is_read() {
            true => refuse(ResultCode::ReadUnanswered, STOPPING),
            false => refuse(ResultCode::OutcomeUnknown, STOPPING),
        }
    }

    async fn run_request(
        &mut self,
        request: &CallerRequest<'_>,
        summary: &RequestSummary,
        limits: &StatementLimits,
        started: Instant,
    ) -> refusal::Result<()> {
        if let Some(lost) = self.lost_transaction {
            return self.run_in_lost_transaction(lost, request, summary);
        }
        let deadline = started + limits.statement_timeout;
        if self.pinned.is_some() {
            return self.run_pinned(request, summary, limits, deadline).await;
        }
        if summary.is_read() && request.is_synced() {
            return self.run_read(request, summary, limits, started).await;
        }
        self.run_write(request, summary, limits, deadline).await
    }

    /// Answers like a server whose transaction has failed, until the caller ends
    /// the lost transaction.
    fn run_in_lost_transaction(
        &mut self,
        lost: LostTransaction,
        request: &CallerRequest<'_>,
        summary: &RequestSummary,
    ) -> refusal::Result<()> {
        let ends_transaction = (summary.commits || summary.rolls_back) && summary.statements == 1;
        if ends_transaction && request.is_synced() {
            self.lost_transaction = None;
            // A caller that does not know of the loss must not take the answer to
            // its COMMIT for success.
            if summary.rolls_back || lost == LostTransaction::Reported {
                request.put_recorded(&mut self.io.output, "ROLLBACK");
                return Ok(());
            }
            return refuse(ResultCode::TransactionLost, "its connection was lost");
        }
        if lost == LostTransaction::Unreported {
            self.lost_transaction = Some(LostTransaction::Reported);
            return refuse(ResultCode::TransactionLost, "its connection was lost");
        }
        frame::put_error(
            &mut self.io.output,
            ErrorSeverity::Error,
            FAILED_TRANSACTION,
            "current transaction was lost; commands are ignored until its end",
            "",
        );
        self.skip_to_sync = !request.is_synced();
        Ok(())
    }

    fn status(&self) -> u8 {
        match &self.pinned {
            _ if self.lost_transaction.is_some() => STATUS_FAILED,
            Some(pinned) => pinned.connection.status(),
            None => STATUS_IDLE,
        }
    }

    /// Sends the answer; adds ReadyForQuery when Sync or a simple query ends it.
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

    /// Logs a refusal. Refusals of statements that did not run are frequent under
    /// overload and are logged at level debug.
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

    async fn answer_error(&mut self, error: RequestError, synced: bool) -> IoResult<()> {
        if let RequestError::Refused(refusal) = &error {
            self.log_refusal(refusal);
        }
        let out = &mut self.io.output;
        match error {
            RequestError::CallerGone(error) => return Err(error),
            RequestError::Refused(refusal) => {
                self.context.metrics.count_refusal(refusal.code);
                frame::put_result(out, ErrorSeverity::Error, refusal.code, &refusal.reason);
            }
            RequestError::Cancelled => {
                let message = "canceling statement due to user request";
                frame::put_error(out, ErrorSeverity::Error, CANCELLED, message, "");
            }
            RequestError::AlreadyRan(reason) => {
                let code = ResultCode::AlreadyRan;
                self.context.metrics.count_refusal(code);
                let message = format!("{}: {reason}", code.message());
                let detail = format!("cassia_code={}", code.number());
                let severity = ErrorSeverity::Error;
                frame::put_error(out, severity, ALREADY_RECORDED, &message, &detail);
            }
            RequestError::DuplicateName(name) => {
                let message = format!("prepared statement {name:?} already exists");
                frame::put_error(out, ErrorSeverity::Error, DUPLICATE_STATEMENT, &message, "");
            }
        }
        self.fail_transaction().await;
        self.skip_to_sync = !synced;
        self.finish(synced).await
    }

    /// Puts the open transaction into the failed state after the proxy refused a
    /// statement in it. A caller that ignores the error must not be able to commit
    /// the rest.
    async fn fail_transaction(&mut self) {
        let Some(pinned) = self.pinned.as_mut() else {
            return;
        };
        if pinned.in_batch {
            self.close_pinned();
            return;
        }
        if pinned.connection.status() != STATUS_TRANSACTION {
            return;
        }
        let deadline = Instant::now() + FAIL_TRANSACTION_TIMEOUT;
        let failed = run_queries(&mut pinned.connection, &[FAILING_QUERY], deadline).await;
        if failed.is_err() || pinned.connection.status() != STATUS_FAILED {
            self.close_pinned();
            self.lost_transaction = self.lost_transaction.map(|_| LostTransaction::Reported);
        }
    }

    async fn end_with(&mut self, sqlstate: &str, reason: &str) -> IoResult<()> {
        self.must_end = true;
        let out = &mut self.io.output;
        frame::put_error(out, ErrorSeverity::Fatal, sqlstate, reason, "");
        self.io.flush().await
    }

    /// Closes the pinned connection; a transaction that was open on it counts as
    /// lost.
    fn close_pinned(&mut self) {
        let Some(pinned) = self.pinned.take() else {
            return;
        };
        self.lost_transaction = pinned
            .in_transaction()
            .then_some(LostTransaction::Unreported);
        // The state of the database session is lost with the connection.
        self.must_end |= pinned.holds_session_state;
        pinned.connection.close();
    }

    fn statement_timeout(&self, document: &DocumentInForce) -> Duration {
        let default = Duration::from_millis(document.document.deadlines.statement_ms);
        self.variables.deadline.unwrap_or(default)
    }
}
