//! The time that a statement sees through `now()` and `CURRENT_TIMESTAMP`.
//!
//! SQLite's own clock would give each member another value when it replays a
//! statement, so the time is set before each statement and logged with it.

use std::cell::RefCell;

use rusqlite::functions::FunctionFlags;
use rusqlite::Connection;

use super::sql::{SqlToken, TokenKind};

thread_local! {
    // A statement runs to its end on one thread, without an await in between.
    static STATEMENT_TIME: RefCell<String> = const { RefCell::new(String::new()) };
}

/// Sets the time for the next statement of this thread.
pub fn set_time(time: &str) {
    STATEMENT_TIME.set(time.to_owned());
}

/// Tells whether a translated statement uses the time.
pub fn is_used(tokens: &[SqlToken]) -> bool {
    tokens.iter().any(|token| {
        token.kind == TokenKind::Word
            && token
                .text
                .to_ascii_uppercase()
                .contains("CURRENT_TIMESTAMP")
    })
}

/// Reads the clock in the text form of PostgreSQL's `timestamptz` at UTC.
pub fn read_clock(connection: &Connection) -> rusqlite::Result<String> {
    const CLOCK: &str = "SELECT strftime('%Y-%m-%d %H:%M:%f+00', 'now')";
    connection
        .prepare_cached(CLOCK)?
        .query_row([], |row| row.get(0))
}

/// Replaces the function behind CURRENT_TIMESTAMP.
pub fn register(connection: &Connection) -> rusqlite::Result<()> {
    let flags = FunctionFlags::SQLITE_UTF8;
    connection.create_scalar_function("current_timestamp", 0, flags, |_| {
        Ok(STATEMENT_TIME.with_borrow(String::clone))
    })
}
