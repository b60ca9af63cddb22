//! SQLite connections: one that holds the committed state and, on a primary,
//! one that runs write transactions.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rusqlite::backup::Backup;
use rusqlite::Connection;
use tokio::sync::OwnedMutexGuard;

use super::clock;
use super::entry::{LogEntry, LoggedStatement};
use super::value::SqlValue;

/// Prepared statements that each connection keeps.
const STATEMENT_CACHE: usize = 256;

/// The committed state of a member. Reads see whole transactions only, because
/// entries are applied under the same lock.
#[derive(Debug)]
pub struct CommittedStore {
    connection: Mutex<Connection>,
}

impl CommittedStore {
    /// Creates an empty store.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            connection: Mutex::new(open_connection()),
        })
    }

    /// Locks the connection for one statement.
    pub fn lock(&self) -> MutexGuard<'_, Connection> {
        self.connection
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a committed entry.
    pub fn apply(&self, entry: &LogEntry) {
        if entry.statements.is_empty() {
            return;
        }
        let connection = self.lock();
        if let Err(error) = apply_statements(&connection, &entry.statements) {
            // The statements ran on the primary, so a failure here means that
            // a statement is not deterministic. Later entries still apply.
            log::error!("entry {} does not apply: {error}", entry.position);
            let _ = connection.execute_batch("ROLLBACK");
        }
    }
}

/// The connection that write transactions of a primary share. The lock around
/// it is the write lock.
pub type WriterConnection = Arc<tokio::sync::Mutex<Connection>>;

/// Creates the writer of a new primary as a copy of the committed state.
pub fn open_writer(store: &CommittedStore) -> WriterConnection {
    let mut writer = open_connection();
    let source = store.lock();
    let backup = Backup::new(&source, &mut writer).expect("in-memory copies do not fail");
    backup.step(-1).expect("in-memory copies do not fail");
    drop(backup);
    Arc::new(tokio::sync::Mutex::new(writer))
}

/// A write transaction that holds the write lock. Dropping it rolls back.
#[derive(Debug)]
pub struct WriteTransaction {
    connection: OwnedMutexGuard<Connection>,
    statements: Vec<LoggedStatement>,
    is_open: bool,
}

impl WriteTransaction {
    /// Begins a transaction on the writer.
    pub fn begin(connection: OwnedMutexGuard<Connection>) -> rusqlite::Result<Self> {
        connection.execute_batch("BEGIN")?;
        Ok(Self {
            connection,
            statements: Vec::new(),
            is_open: true,
        })
    }

    /// Returns the connection, which sees the transaction's own writes.
    pub fn connection(&self) -> &Connection {
        &self.connection
    }

    /// Records a statement that ran, for the log.
    pub fn record(&mut self, sql: &str, params: &[SqlValue], time: &str) {
        self.statements.push(LoggedStatement {
            sql: sql.to_owned(),
            params: params.to_vec(),
            time: time.to_owned(),
        });
    }

    /// Takes the recorded statements.
    pub fn take_statements(&mut self) -> Vec<LoggedStatement> {
        std::mem::take(&mut self.statements)
    }

    /// Commits on the writer.
    pub fn commit(mut self) -> rusqlite::Result<()> {
        self.connection.execute_batch("COMMIT")?;
        self.is_open = false;
        Ok(())
    }
}

impl Drop for WriteTransaction {
    fn drop(&mut self) {
        if self.is_open {
            let _ = self.connection.execute_batch("ROLLBACK");
        }
    }
}

/// Binds `params` to the `$n` parameters of `statement`.
pub fn bind(statement: &mut rusqlite::Statement<'_>, params: &[SqlValue]) -> rusqlite::Result<()> {
    for index in 1..=statement.parameter_count() {
        let number = statement
            .parameter_name(index)
            .and_then(|name| name.get(1..))
            .and_then(|digits| digits.parse::<usize>().ok())
            .unwrap_or(index);
        let value = number
            .checked_sub(1)
            .and_then(|position| params.get(position))
            .unwrap_or(&SqlValue::Null);
        statement.raw_bind_parameter(index, value)?;
    }
    Ok(())
}

fn open_connection() -> Connection {
    let connection = Connection::open_in_memory().expect("in-memory SQLite opens");
    connection.set_prepared_statement_cache_capacity(STATEMENT_CACHE);
    super::statement::register_functions(&connection).expect("functions register");
    connection
}

fn apply_statements(
    connection: &Connection,
    statements: &[LoggedStatement],
) -> rusqlite::Result<()> {
    connection.execute_batch("BEGIN")?;
    for logged in statements {
        clock::set_time(&logged.time);
        let mut statement = connection.prepare_cached(&logged.sql)?;
        bind(&mut statement, &logged.params)?;
        let mut rows = statement.raw_query();
        while rows.next()?.is_some() {}
    }
    connection.execute_batch("COMMIT")
}
