//! Execution of a session's statements: transactions, variables and slots.

use std::collections::HashMap;
use std::future::Future;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use pgwire::api::Type;
use pgwire::messages::response::TransactionStatus;
use rusqlite::Connection;
use state::log::{LogPosition, Term};
use state::member::MemberRole;
use tokio::sync::Notify;
use tokio::time::sleep;

use super::{lock, ConnectionGuard, StatementServer};
use crate::backend::clock;
use crate::backend::sql::{render, split_statements, translate, SqlToken, TokenKind};
use crate::backend::statement::{
    self, EncodedRow, Result, ResultColumn, ResultFormats, StatementError, StatementOutput,
};
use crate::backend::store::WriteTransaction;
use crate::backend::type_inference;
use crate::backend::value::{encode_field, SqlValue};

/// Query with which the proxy reads a member's role and log position.
const POSITION_QUERY: &str = "SELECT role, term, \"offset\" FROM cassia_position";

/// A statement with its parameters.
#[derive(Clone, Copy, Debug)]
pub struct StatementCall<'a> {
    /// Tokens of the statement.
    pub tokens: &'a [SqlToken],
    /// Values of the parameters.
    pub params: &'a [SqlValue],
    /// Types of the parameters.
    pub param_types: &'a [Type],
    /// Requested formats of the result columns.
    pub formats: &'a ResultFormats,
}

/// Transaction state and variables of a session.
#[derive(Debug)]
pub struct SessionState {
    server: Arc<StatementServer>,
    process_id: i32,
    cancel: Arc<Notify>,
    phase: TransactionPhase,
    write: Option<OpenWrite>,
    /// Number of savepoints set in the open transaction. If there are any, a
    /// failed transaction stays open, so that it can roll back to one.
    savepoints: usize,
    variables: HashMap<String, String>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TransactionPhase {
    Idle,
    /// Ends with the simple query or at the Sync message.
    Implicit,
    Explicit,
    Failed,
}

#[derive(Debug)]
struct OpenWrite {
    term: Term,
    transaction: WriteTransaction,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StatementAction {
    Begin,
    Commit,
    Rollback,
    Savepoint,
    Set,
    Reset,
    Show,
    /// Has no effect on transactions and variables. The message loop carries out
    /// DEALLOCATE.
    NoEffect,
    Position,
    Write,
    Query,
}

impl SessionState {
    /// Creates the state of a session on a new connection.
    pub(super) fn new(server: Arc<StatementServer>, guard: &ConnectionGuard) -> Self {
        Self {
            server,
            process_id: guard.key.process_id,
            cancel: guard.cancel.clone(),
            phase: TransactionPhase::Idle,
            write: None,
            savepoints: 0,
            variables: HashMap::new(),
        }
    }

    /// Returns the transaction status for ReadyForQuery.
    pub fn status(&self) -> TransactionStatus {
        match self.phase {
            TransactionPhase::Idle | TransactionPhase::Implicit => TransactionStatus::Idle,
            TransactionPhase::Explicit => TransactionStatus::Transaction,
            TransactionPhase::Failed => TransactionStatus::Error,
        }
    }

    /// Executes a statement within the transaction of the session. Waits for the
    /// write lock and a slot if the statement needs them.
    pub async fn execute(&mut self, call: StatementCall<'_>) -> Result<StatementOutput> {
        let action = classify(call.tokens);
        self.refuse_when_failed(action, call.tokens)?;
        match action {
            StatementAction::Begin => {
                self.phase = TransactionPhase::Explicit;
                Ok(tag_output("BEGIN"))
            }
            StatementAction::Commit => self.commit(),
            StatementAction::Rollback => {
                self.end_transaction();
                Ok(tag_output("ROLLBACK"))
            }
            StatementAction::Savepoint => self.savepoint(call).await,
            StatementAction::Set => {
                self.set_variable(call.tokens);
                Ok(tag_output("SET"))
            }
            StatementAction::Reset => {
                self.reset_variables(call.tokens);
                Ok(tag_output(&command_verb(call.tokens)))
            }
            StatementAction::Show => self.show_variable(call),
            StatementAction::NoEffect => Ok(tag_output(&command_verb(call.tokens))),
            StatementAction::Position => self.read_position(call.formats),
            StatementAction::Write | StatementAction::Query => self.run_sql(action, call).await,
        }
    }

    /// Checks a statement that is being prepared and returns its parameter types;
    /// those in `specified` take precedence over inferred ones.
    pub fn check_prepared(&self, tokens: &[SqlToken], specified: &[Type]) -> Result<Vec<Type>> {
        let action = classify(tokens);
        self.refuse_when_failed(action, tokens)?;
        let is_sql = matches!(action, StatementAction::Write | StatementAction::Query);
        if !is_sql || tokens.is_empty() {
            return Ok(specified.to_vec());
        }
        let tokens = self.translate(tokens);
        self.with_connection(|connection| {
            type_inference::result_columns(connection, &tokens, specified)?;
            Ok(type_inference::param_types(connection, &tokens, specified))
        })
    }

    /// Returns the result columns of a prepared statement.
    pub fn columns(&self, tokens: &[SqlToken], param_types: &[Type]) -> Result<Vec<ResultColumn>> {
        match classify(tokens) {
            _ if tokens.is_empty() => Ok(Vec::new()),
            StatementAction::Position => Ok(position_columns()),
            StatementAction::Show => Ok(vec![show_column(tokens)]),
            StatementAction::Write | StatementAction::Query => {
                let tokens = self.translate(tokens);
                self.with_connection(|connection| {
                    type_inference::result_columns(connection, &tokens, param_types)
                })
            }
            _ => Ok(Vec::new()),
        }
    }

    /// Handles the failure of a statement: rolls back an implicit transaction and
    /// marks an explicit one as failed. The writes of a failed transaction are kept
    /// if it has a savepoint, until the caller rolls back.
    pub fn mark_failed(&mut self) {
        match self.phase {
            TransactionPhase::Idle => {}
            TransactionPhase::Implicit => self.end_transaction(),
            TransactionPhase::Explicit | TransactionPhase::Failed => {
                self.phase = TransactionPhase::Failed;
                if self.savepoints == 0 {
                    self.write = None;
                }
            }
        }
    }

    /// Commits an implicit transaction, if one is open. Fails if the member is no
    /// longer the primary of the transaction's term.
    pub fn commit_implicit(&mut self) -> Result<()> {
        if self.phase != TransactionPhase::Implicit {
            return Ok(());
        }
        self.commit().map(drop)
    }

    fn commit(&mut self) -> Result<StatementOutput> {
        let has_failed = self.phase == TransactionPhase::Failed;
        let write = self.write.take();
        self.end_transaction();
        if has_failed {
            return Ok(tag_output("ROLLBACK"));
        }
        if let Some(write) = write {
            self.server
                .member
                .commit(write.term, write.transaction)
                .map_err(|_| StatementError::new("57P01", "the member is no longer primary"))?;
        }
        Ok(tag_output("COMMIT"))
    }

    /// Ends the transaction; rolls back a write that is not committed.
    fn end_transaction(&mut self) {
        self.phase = TransactionPhase::Idle;
        self.write = None;
        self.savepoints = 0;
    }

    fn refuse_when_failed(&self, action: StatementAction, tokens: &[SqlToken]) -> Result<()> {
        if self.phase != TransactionPhase::Failed {
            return Ok(());
        }
        let is_rollback_to = action == StatementAction::Savepoint && tokens[0].is("rollback");
        if is_rollback_to || matches!(action, StatementAction::Commit | StatementAction::Rollback) {
            return Ok(());
        }
        Err(StatementError::new(
            "25P02",
            "current transaction is aborted, commands ignored until end of transaction block",
        ))
    }

    async fn run_sql(
        &mut self,
        action: StatementAction,
        call: StatementCall<'_>,
    ) -> Result<StatementOutput> {
        let tokens = self.translate(call.tokens);
        let is_write = action == StatementAction::Write
            || !self.with_connection(|connection| statement::is_readonly(connection, &tokens))?;
        if self.phase == TransactionPhase::Idle {
            self.phase = TransactionPhase::Implicit;
        }
        if is_write {
            // The write lock is taken before the slot. Its holder needs a slot
            // for its next statement, so waiting for the lock while occupying a
            // slot could deadlock.
            self.acquire_write_lock(&tokens).await?;
        }
        let server = self.server.clone();
        let _slot = cancellable(&self.cancel, server.slots.acquire()).await?;
        let hold_time = *lock(&server.service_time) + sleep_time(&tokens, call.params);
        if !hold_time.is_zero() {
            cancellable(&self.cancel, sleep(hold_time)).await?;
        }
        server.statements.fetch_add(1, Ordering::Relaxed);
        let (output, statement_time) = self.with_connection(|connection| {
            // A write may read the time through the default of a column.
            let statement_time = if is_write || clock::reads_current_time(&tokens) {
                clock::read_clock(connection)?
            } else {
                String::new()
            };
            clock::set_statement_time(&statement_time);
            let output = statement::run(
                connection,
                &tokens,
                call.params,
                call.param_types,
                call.formats,
            )?;
            Ok((output, statement_time))
        })?;
        if let Some(write) = self.write.as_mut().filter(|_| is_write) {
            write
                .transaction
                .record(&render(&tokens), call.params, &statement_time);
        }
        Ok(output)
    }

    /// Takes the write lock for the rest of the transaction, unless the transaction
    /// holds it already. Fails with SQLSTATE 25006 on a replica.
    async fn acquire_write_lock(&mut self, tokens: &[SqlToken]) -> Result<()> {
        if self.write.is_some() {
            return Ok(());
        }
        let Ok((term, writer)) = self.server.member.writer() else {
            return Err(StatementError::new(
                "25006",
                &format!(
                    "cannot execute {} in a read-only transaction",
                    command_verb(tokens)
                ),
            ));
        };
        let guard = cancellable(&self.cancel, writer.lock_owned()).await?;
        let transaction = WriteTransaction::begin(guard)?;
        self.write = Some(OpenWrite { term, transaction });
        Ok(())
    }

    async fn savepoint(&mut self, call: StatementCall<'_>) -> Result<StatementOutput> {
        if matches!(
            self.phase,
            TransactionPhase::Idle | TransactionPhase::Implicit
        ) {
            return Err(StatementError::new(
                "25P01",
                "savepoints can only be used in transaction blocks",
            ));
        }
        let is_replica = self.server.member.writer().is_err();
        if !is_replica {
            self.acquire_write_lock(call.tokens).await?;
        }
        if let Some(write) = self.write.as_mut() {
            let sql = render(call.tokens);
            write.transaction.connection().execute_batch(&sql)?;
            write.transaction.record(&sql, &[], "");
        }
        self.phase = TransactionPhase::Explicit;
        if call.tokens[0].is("savepoint") {
            self.savepoints += 1;
        }
        Ok(tag_output(&command_verb(call.tokens)))
    }

    /// Runs `body` on the writer if the transaction has one, so that its own writes
    /// are visible, otherwise on the committed data.
    fn with_connection<T>(&self, body: impl FnOnce(&Connection) -> Result<T>) -> Result<T> {
        match &self.write {
            Some(write) => body(write.transaction.connection()),
            None => body(&self.server.member.store().lock()),
        }
    }

    fn translate(&self, tokens: &[SqlToken]) -> Vec<SqlToken> {
        translate(tokens, self.process_id)
    }

    fn set_variable(&mut self, tokens: &[SqlToken]) {
        let skipped = usize::from(
            tokens
                .get(1)
                .is_some_and(|token| token.is("session") || token.is("local")),
        );
        let rest = &tokens[1 + skipped..];
        let Some(separator) = rest
            .iter()
            .position(|token| token.is("=") || token.is("to"))
        else {
            return;
        };
        let value = render(&rest[separator + 1..]);
        let name = variable_name(&rest[..separator]);
        self.variables
            .insert(name, value.trim_matches('\'').to_owned());
    }

    fn reset_variables(&mut self, tokens: &[SqlToken]) {
        let name = variable_name(&tokens[1..]);
        if name == "all" {
            self.variables.clear();
        } else {
            self.variables.remove(&name);
        }
    }

    fn show_variable(&self, call: StatementCall<'_>) -> Result<StatementOutput> {
        let name = variable_name(&call.tokens[1..]);
        let is_replica = self.server.member.writer().is_err();
        let on_off = |flag: bool| if flag { "on" } else { "off" }.to_owned();
        let value = match name.as_str() {
            _ if self.variables.contains_key(&name) => self.variables[&name].clone(),
            "transaction_read_only" | "default_transaction_read_only" | "in_hot_standby" => {
                on_off(is_replica)
            }
            "server_version" => "16.0".to_owned(),
            "transaction_isolation" | "transactionisolationlevel" => "read committed".to_owned(),
            "application_name" | "search_path" | "timezone" => String::new(),
            _ => {
                return Err(StatementError::new(
                    "42704",
                    &format!("unrecognized configuration parameter {name:?}"),
                ))
            }
        };
        let columns = vec![show_column(call.tokens)];
        single_row(columns, &[SqlValue::Text(value)], call.formats, "SHOW")
    }

    /// Answers the position query from the member's state, without a slot.
    fn read_position(&self, formats: &ResultFormats) -> Result<StatementOutput> {
        let report = self.server.member.report();
        let (role, position) = match report.role {
            MemberRole::Primary => (
                "primary",
                LogPosition {
                    term: report.promised_term,
                    offset: report.log.offset,
                },
            ),
            MemberRole::Replica => ("replica", report.applied),
        };
        let values = [
            SqlValue::Text(role.to_owned()),
            SqlValue::Integer(position.term.0 as i64),
            SqlValue::Integer(position.offset as i64),
        ];
        single_row(position_columns(), &values, formats, "SELECT 1")
    }
}

/// Waits for `future`. Fails with SQLSTATE 57014 if the statement is cancelled.
async fn cancellable<T>(cancel: &Notify, future: impl Future<Output = T>) -> Result<T> {
    tokio::select! {
        value = future => Ok(value),
        () = cancel.notified() => Err(StatementError::new(
            "57014",
            "canceling statement due to user request",
        )),
    }
}

fn classify(tokens: &[SqlToken]) -> StatementAction {
    let word = tokens
        .first()
        .map(|token| token.text.to_ascii_lowercase())
        .unwrap_or_default();
    match word.as_str() {
        "begin" | "start" => StatementAction::Begin,
        "commit" | "end" => StatementAction::Commit,
        "rollback" if tokens.iter().any(|token| token.is("to")) => StatementAction::Savepoint,
        "rollback" | "abort" => StatementAction::Rollback,
        "savepoint" | "release" => StatementAction::Savepoint,
        "set" => StatementAction::Set,
        "reset" | "discard" => StatementAction::Reset,
        "show" => StatementAction::Show,
        "listen" | "unlisten" | "deallocate" | "close" => StatementAction::NoEffect,
        "insert" | "update" | "delete" | "create" | "drop" | "alter" | "truncate" => {
            StatementAction::Write
        }
        _ if is_position_query(tokens) => StatementAction::Position,
        _ => StatementAction::Query,
    }
}

fn is_position_query(tokens: &[SqlToken]) -> bool {
    let Some(last) = tokens.last() else {
        return false;
    };
    if !last.is("cassia_position") {
        return false;
    }
    let query = split_statements(POSITION_QUERY);
    render(&query[0]).eq_ignore_ascii_case(&render(tokens))
}

/// Returns the total time of the `pg_sleep` calls in a statement. Their arguments,
/// in seconds, must be literals or parameters.
fn sleep_time(tokens: &[SqlToken], params: &[SqlValue]) -> Duration {
    tokens
        .windows(3)
        .filter(|window| window[0].is("pg_sleep") && window[1].is("("))
        .map(|window| argument_seconds(&window[2], params))
        .map(|seconds| Duration::try_from_secs_f64(seconds).unwrap_or_default())
        .sum()
}

fn argument_seconds(token: &SqlToken, params: &[SqlValue]) -> f64 {
    let param = token.param().and_then(|number| params.get(number - 1));
    match (param, token.kind) {
        (Some(SqlValue::Real(seconds)), _) => *seconds,
        (Some(SqlValue::Integer(seconds)), _) => *seconds as f64,
        (Some(SqlValue::Text(text)), _) => text.parse().unwrap_or(0.0),
        (None, TokenKind::Number) => token.text.parse().unwrap_or(0.0),
        _ => 0.0,
    }
}

/// Returns the first word of a statement in upper case, as in its command tag, but
/// `DISCARD ALL` in full.
fn command_verb(tokens: &[SqlToken]) -> String {
    let first = tokens.first().map(|token| token.text.to_ascii_uppercase());
    match first.as_deref() {
        Some("DISCARD") => "DISCARD ALL".to_owned(),
        Some(verb) => verb.to_owned(),
        None => String::new(),
    }
}

fn variable_name(tokens: &[SqlToken]) -> String {
    let parts: Vec<String> = tokens
        .iter()
        .map(|token| token.name().unwrap_or_else(|| token.text.clone()))
        .collect();
    parts.concat()
}

fn position_columns() -> Vec<ResultColumn> {
    [
        ("role", Type::TEXT),
        ("term", Type::INT8),
        ("offset", Type::INT8),
    ]
    .map(|(name, pg_type)| ResultColumn {
        name: name.to_owned(),
        pg_type,
    })
    .to_vec()
}

fn show_column(tokens: &[SqlToken]) -> ResultColumn {
    ResultColumn {
        name: variable_name(&tokens[1..]),
        pg_type: Type::TEXT,
    }
}

/// Returns the output of a statement that has only a command tag.
fn tag_output(tag: &str) -> StatementOutput {
    StatementOutput {
        tag: tag.to_owned(),
        ..StatementOutput::default()
    }
}

fn single_row(
    columns: Vec<ResultColumn>,
    values: &[SqlValue],
    formats: &ResultFormats,
    tag: &str,
) -> Result<StatementOutput> {
    let mut data = BytesMut::new();
    for (index, (column, value)) in columns.iter().zip(values).enumerate() {
        encode_field(value, &column.pg_type, formats.is_binary(index), &mut data)?;
    }
    let fields = columns.len() as i16;
    Ok(StatementOutput {
        columns,
        rows: vec![EncodedRow { data, fields }],
        tag: tag.to_owned(),
    })
}
