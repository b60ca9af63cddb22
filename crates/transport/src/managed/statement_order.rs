//! What a caller's statement asks for, and what becomes of it.

use std::collections::BTreeMap;
use std::time::Instant;

use coordination::retry::RetryKind;
use protocol::result_code::ResultCode;
use protocol::statement::{PreparedShape, StatementAccess};
use state::keys::MemberKey;
use state::log::{LogPosition, Term};
use state::plan::AccessRoute;

use super::codec::StatementCodec;
use super::link::{LinkAnswer, MemberLink};
use crate::pool::PooledConnection;

/// Result of a statement.
pub(super) type Result<T> = std::result::Result<T, StatementFailure>;

/// What a caller learns of a statement that did not succeed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct StatementFailure {
    pub(super) code: ResultCode,
    pub(super) detail: String,
}

impl StatementFailure {
    pub(super) fn new(code: ResultCode, detail: &str) -> Self {
        Self {
            code,
            detail: detail.to_owned(),
        }
    }
}

/// Fails a statement.
pub(super) fn fail<T>(code: ResultCode, detail: &str) -> Result<T> {
    Err(StatementFailure::new(code, detail))
}

/// What is sent to a member.
#[derive(Clone, Copy, Debug)]
pub(super) enum StatementBody<'a> {
    /// The caller's text.
    Text(&'a str),
    /// A prepared statement.
    Execute {
        /// What it runs.
        shape: &'a PreparedShape,
        /// The caller's arguments.
        arguments: &'a str,
    },
    /// A commit.
    Commit,
}

impl<'a> StatementBody<'a> {
    /// Returns what a prepared statement runs.
    pub(super) fn shape(&self) -> Option<&'a PreparedShape> {
        match *self {
            Self::Execute { shape, .. } => Some(shape),
            Self::Text(_) | Self::Commit => None,
        }
    }
}

/// The transaction that a statement opens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TransactionStart {
    pub(super) read_only: bool,
}

/// A statement that is to be placed.
#[derive(Clone, Copy, Debug)]
pub(super) struct StatementOrder<'a> {
    pub(super) id: &'a str,
    pub(super) body: StatementBody<'a>,
    pub(super) access: StatementAccess,
    pub(super) route: &'a AccessRoute,
    /// The transaction that it opens; nothing outside of transactions.
    pub(super) start: Option<TransactionStart>,
    /// Beginning of the statement or of its transaction.
    pub(super) began_at: Instant,
    pub(super) deadline: Instant,
    pub(super) values: &'a BTreeMap<String, String>,
    pub(super) own_position: Option<LogPosition>,
}

impl StatementOrder<'_> {
    /// The first statement of a transaction can be repeated, since the
    /// transaction that is given up never commits.
    pub(super) fn retry_kind(&self) -> RetryKind {
        match (self.access, self.start) {
            (StatementAccess::Write, None) => RetryKind::Write,
            _ => RetryKind::Read,
        }
    }

    pub(super) fn needs_primary(&self) -> bool {
        match self.start {
            Some(start) => !start.read_only,
            None => self.access == StatementAccess::Write,
        }
    }

    /// Returns the instant for which the primary must be assured when it
    /// serves reads of this order; writes take that of their answer.
    pub(super) fn assured_at(&self) -> Option<Instant> {
        if self.retry_kind() == RetryKind::Write {
            return None;
        }
        let staleness = self.route.freshness.max_staleness();
        Some(
            self.began_at
                .checked_sub(staleness)
                .unwrap_or(self.began_at),
        )
    }
}

/// An answered statement and the connection that it used.
#[derive(Debug)]
pub(super) struct PlacedAnswer<K: StatementCodec> {
    pub(super) answer: LinkAnswer,
    pub(super) link: PooledConnection<MemberLink<K>>,
    pub(super) member: MemberKey,
    /// Term in force when the member was chosen.
    pub(super) term: Term,
    pub(super) attempts: u32,
}
