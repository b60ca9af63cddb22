//! The current time for `now()` and `CURRENT_TIMESTAMP` in statements.
//!
//! With SQLite's own clock, each member would get a different value when it
//! replays a statement. The time is therefore set before each statement and
//! logged with it.

use std::cell::RefCell;

use rusqlite::functions::FunctionFlags;
use rusqlite::Connection;

use super::sql::{SqlToken, TokenKind};

thread_local! {
    // A thread-local suffices: a statement runs on one thread without an await.
    static STATEMENT_TIME: RefCell<String> = const { RefCell::new(String::new()) };
}

/// Sets the current time for the next statement that runs on this thread.
pub fn set_statement_time(time: &str) {
    STATEMENT_TIME.set(time.to_owned());
}

/// Returns whether a translated statement reads the current time.
pub fn reads_current_time(tokens: &[SqlToken]) -> bool {
    tokens.iter().any(|token| {
        token.kind == TokenKind::Word
            && token
                .text
                .to_ascii_uppercase()
                .contains("CURRENT_TIMESTAMP")
    })
}

/// Reads the system clock and returns the time in PostgreSQL's text form of a
/// `timestamptz` in UTC.
pub fn read_clock(connection: &Connection) -> rusqlite::Result<String> {
    const CLOCK: &str = "SELECT strftime('%Y-%m-%d %H:%M:%f+00', 'now')";
    connection
        .prepare_cached(CLOCK)?
        .query_row([], |row| row.get(0))
}

/// Registers the SQLite function that CURRENT_TIMESTAMP calls, so that it
/// returns the time from [`set_statement_time`].
pub fn register(connection: &Connection) -> rusqlite::Result<()> {
    let flags = FunctionFlags::SQLITE_UTF8;
    connection.create_scalar_function("current_timestamp", 0, flags, |_| {
        Ok(STATEMENT_TIME.with_borrow(String::clone))
    })
}
