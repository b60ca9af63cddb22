//! The SQLite connections of a member: one holds the committed data and, on a
//! primary, another runs the write transactions.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rusqlite::backup::Backup;
use rusqlite::Connection;
use tokio::sync::OwnedMutexGuard;

use super::clock;
use super::entry::{LogEntry, LoggedStatement};
use super::value::SqlValue;

/// Number of prepared statements that each connection caches.
const STATEMENT_CACHE_SIZE: usize = 256;

/// The committed data of a member. Reads see only whole transactions, because a
/// read and the application of an entry take the same lock.
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

    /// Runs the statements of a log entry as one transaction. If that fails, logs
    /// an error and skips the entry.
    pub fn apply(&self, entry: &LogEntry) {
        if entry.statements.is_empty() {
            return;
        }
        let connection = self.lock();
        if let Err(error) = apply_statements(&connection, &entry.statements) {
            // The statements succeeded on the primary, so a failure here means
            // that one of them is not deterministic. Later entries are still
            // applied.
            log::error!(
                "log entry {} skipped, its statements failed: {error}",
                entry.position
            );
            let _ = connection.execute_batch("ROLLBACK");
        }
    }
}

/// The connection that runs the write transactions of a primary, one at a time.
/// Its mutex is the write lock.
pub type WriterConnection = Arc<tokio::sync::Mutex<Connection>>;

/// Creates the writer of a new primary with a copy of the committed data.
pub fn open_writer(store: &CommittedStore) -> WriterConnection {
    let mut writer = open_connection();
    let source = store.lock();
    let backup = Backup::new(&source, &mut writer).expect("an in-memory copy cannot fail");
    backup.step(-1).expect("an in-memory copy cannot fail");
    drop(backup);
    Arc::new(tokio::sync::Mutex::new(writer))
}

/// An open write transaction, which holds the write lock. Dropping it rolls the
/// transaction back.
#[derive(Debug)]
pub struct WriteTransaction {
    connection: OwnedMutexGuard<Connection>,
    statements: Vec<LoggedStatement>,
    is_open: bool,
}

impl WriteTransaction {
    /// Begins a transaction on the locked writer.
    pub fn begin(connection: OwnedMutexGuard<Connection>) -> rusqlite::Result<Self> {
        connection.execute_batch("BEGIN")?;
        Ok(Self {
            connection,
            statements: Vec::new(),
            is_open: true,
        })
    }

    /// Returns the writer connection, on which the transaction's own writes are
    /// visible.
    pub fn connection(&self) -> &Connection {
        &self.connection
    }

    /// Records an executed statement for the log entry of the transaction.
    pub fn record(&mut self, sql: &str, params: &[SqlValue], time: &str) {
        self.statements.push(LoggedStatement {
            sql: sql.to_owned(),
            params: params.to_vec(),
            time: time.to_owned(),
        });
    }

    /// Removes and returns the recorded statements.
    pub fn take_statements(&mut self) -> Vec<LoggedStatement> {
        std::mem::take(&mut self.statements)
    }

    /// Commits the transaction on the writer connection.
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

/// Binds `params` to the `$n` parameters of `statement`. A parameter without a
/// value becomes NULL.
pub fn bind_params(
    statement: &mut rusqlite::Statement<'_>,
    params: &[SqlValue],
) -> rusqlite::Result<()> {
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
    let connection = Connection::open_in_memory().expect("an in-memory SQLite database opens");
    connection.set_prepared_statement_cache_capacity(STATEMENT_CACHE_SIZE);
    super::statement::register_functions(&connection).expect("the SQL functions can be registered");
    connection
}

fn apply_statements(
    connection: &Connection,
    statements: &[LoggedStatement],
) -> rusqlite::Result<()> {
    connection.execute_batch("BEGIN")?;
    for logged in statements {
        clock::set_statement_time(&logged.time);
        let mut statement = connection.prepare_cached(&logged.sql)?;
        bind_params(&mut statement, &logged.params)?;
        let mut rows = statement.raw_query();
        while rows.next()?.is_some() {}
    }
    connection.execute_batch("COMMIT")
}
