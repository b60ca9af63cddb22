//! Entries of the replicated log and the comparison of two logs.

use serde::{Deserialize, Serialize};
use state::log::{LogPosition, Term};

use super::value::SqlValue;

/// One statement of a committed transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct LoggedStatement {
    /// SQL text as SQLite runs it.
    pub sql: String,
    /// Parameters.
    pub params: Vec<SqlValue>,
    /// Time that the statement sees, so that replicas replay the same value.
    pub time: String,
}

/// One committed write transaction, or the empty entry of a promotion.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct LogEntry {
    /// Position of the entry.
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

/// Returns the last position of each term in `positions`, which is a whole log.
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

/// Returns the length of the common prefix of two logs, given by their term
/// ends. Only one primary writes at a term, so entries of equal term and offset
/// are equal together with everything before them.
pub fn common_length(left: &[LogPosition], right: &[LogPosition]) -> u64 {
    let mut common = 0;
    for end in left {
        if let Some(offset) = end_of(right, end.term) {
            common = common.max(end.offset.min(offset));
        }
    }
    common
}

fn end_of(ends: &[LogPosition], term: Term) -> Option<u64> {
    ends.iter()
        .find(|end| end.term == term)
        .map(|end| end.offset)
}
