//! Entries of the replicated log and the comparison of two logs.

use serde::{Deserialize, Serialize};
use state::log::{LogPosition, Term};

use super::value::SqlValue;

/// One statement of a committed transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct LoggedStatement {
    /// SQL text in SQLite's dialect.
    pub sql: String,
    /// Values of the parameters `$1`, `$2` and so on.
    pub params: Vec<SqlValue>,
    /// Current time for the statement, so that replicas replay the same value.
    /// Empty for savepoint commands.
    pub time: String,
}

/// One committed write transaction, or the entry without statements that a
/// promotion appends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct LogEntry {
    /// Position of the entry in the log.
    pub position: LogPosition,
    /// Statements in the order of their execution.
    pub statements: Vec<LoggedStatement>,
}

impl LogEntry {
    /// Returns the approximate size in bytes.
    pub fn size(&self) -> usize {
        const ENTRY_OVERHEAD: usize = 64;
        let statements = self.statements.iter().map(|statement| {
            let params: usize = statement.params.iter().map(SqlValue::size).sum();
            statement.sql.len() + params
        });
        ENTRY_OVERHEAD + statements.sum::<usize>()
    }
}

/// Returns the last position of each term. `positions` must be those of a whole
/// log, in order.
pub fn term_ends(positions: impl Iterator<Item = LogPosition>) -> Vec<LogPosition> {
    let mut ends: Vec<LogPosition> = Vec::new();
    for position in positions {
        match ends.last_mut() {
            Some(end) if end.term == position.term => *end = position,
            _ => ends.push(position),
        }
    }
    ends
}

/// Returns the length of the common prefix of two logs, each given by the last
/// position of each term. Only one primary writes at a term, so two logs that
/// both contain an entry with a given term and offset are equal up to and
/// including that entry.
pub fn common_prefix_length(left: &[LogPosition], right: &[LogPosition]) -> u64 {
    let mut common = 0;
    for end in left {
        if let Some(offset) = last_offset(right, end.term) {
            common = common.max(end.offset.min(offset));
        }
    }
    common
}

fn last_offset(ends: &[LogPosition], term: Term) -> Option<u64> {
    ends.iter()
        .find(|end| end.term == term)
        .map(|end| end.offset)
}
