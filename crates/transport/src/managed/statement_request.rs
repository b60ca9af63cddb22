//! A caller's statement with the conditions under which it may run, and its
//! result.

use std::collections::BTreeMap;
use std::time::Instant;

use coordination::managed::session_commits::CommitBound;
use coordination::retry::RetryKind;
use protocol::result_code::ResultCode;
use protocol::statement::{PreparedShape, StatementAccess};
use state::account::ClientAccount;
use state::keys::MemberKey;
use state::log::{LogPosition, Term};
use state::plan::AccessRoute;

use super::codec::StatementCodec;
use super::hop::MemberLink;
use super::member_connection::MemberAnswer;
use crate::pool::PooledConnection;

/// Why a statement or transaction ends when the host has no time left for it. Another host
/// can serve the caller at once.
pub(super) const STOPPING: &str = "the host is stopping; connect again";

/// Result of a statement.
pub(super) type Result<T> = std::result::Result<T, StatementFailure>;

/// The error that a caller receives for a statement that did not succeed.
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

/// Returns a [`StatementFailure`] as an error.
pub(super) fn fail<T>(code: ResultCode, detail: &str) -> Result<T> {
    Err(StatementFailure::new(code, detail))
}

/// Content of a statement for a member.
#[derive(Clone, Copy, Debug)]
pub(super) enum StatementBody<'a> {
    /// The text of the statement, as the caller sent it.
    Text(&'a str),
    /// A prepared statement.
    Execute {
        /// Access and shape of the prepared statement.
        shape: &'a PreparedShape,
        /// Arguments, as the caller sent them.
        arguments: &'a str,
    },
    /// The commit of a transaction.
    Commit,
}

impl<'a> StatementBody<'a> {
    /// Returns the shape of a prepared statement, and `None` for other statements.
    pub(super) fn shape(&self) -> Option<&'a PreparedShape> {
        match *self {
            Self::Execute { shape, .. } => Some(shape),
            Self::Text(_) | Self::Commit => None,
        }
    }

    /// Returns the length in bytes of the caller's text that is forwarded.
    pub(super) fn forwarded_bytes(&self) -> usize {
        match self {
            Self::Text(text) => text.len(),
            Self::Execute { arguments, .. } => arguments.len(),
            Self::Commit => 0,
        }
    }
}

/// A statement of a caller for a chosen member. A prepared statement is named by its
/// shape; each connection has its own names for shapes.
#[derive(Clone, Copy, Debug)]
pub(super) struct MemberRequest<'a> {
    pub(super) id: &'a str,
    /// Position that the member's log must contain, if any.
    pub(super) since: Option<LogPosition>,
    pub(super) body: StatementBody<'a>,
    /// Whether the statement is a read outside of a transaction.
    pub(super) is_repeatable: bool,
}

/// The transaction that a statement begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TransactionStart {
    pub(super) read_only: bool,
}

/// A statement to run at a member that has yet to be chosen.
#[derive(Clone, Copy, Debug)]
pub(super) struct StatementRequest<'a> {
    pub(super) id: &'a str,
    pub(super) body: StatementBody<'a>,
    pub(super) access: StatementAccess,
    /// Account under which the statement runs; `None` if the route needs no key.
    pub(super) account: Option<&'a ClientAccount>,
    pub(super) route: &'a AccessRoute,
    /// The transaction that the statement begins; `None` outside of transactions.
    pub(super) start: Option<TransactionStart>,
    /// Instant at which the statement or its transaction began.
    pub(super) began_at: Instant,
    pub(super) deadline: Instant,
    pub(super) values: &'a BTreeMap<String, String>,
    /// What a read must see of the session's own commits in the group.
    pub(super) own: CommitBound,
}

impl StatementRequest<'_> {
    /// Returns under which rules the statement may be repeated. The first statement
    /// of a transaction may be repeated like a read, because an abandoned
    /// transaction never commits.
    pub(super) fn retry_kind(&self) -> RetryKind {
        match (self.access, self.start) {
            (StatementAccess::Write, None) => RetryKind::Write,
            _ => RetryKind::Read,
        }
    }

    /// Returns whether the statement is a read outside of a transaction.
    pub(super) fn is_single_read(&self) -> bool {
        self.access == StatementAccess::Read && self.start.is_none()
    }

    pub(super) fn needs_primary(&self) -> bool {
        match self.start {
            Some(start) => !start.read_only,
            None => self.access == StatementAccess::Write,
        }
    }

    /// Returns the instant for which the primary must be assured if it serves this
    /// statement. Returns `None` for a write, which needs an assurance for the
    /// instant of its answer.
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

/// The log positions that a statement asked for, for logs.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AskedPositions {
    /// Position that the member had to have applied.
    pub(super) since: Option<LogPosition>,
    /// Position of the session's own last commit, as far as it counts for the statement.
    pub(super) own: Option<LogPosition>,
}

/// The answer to a statement, and the connection that the statement used.
#[derive(Debug)]
pub(super) struct PlacedAnswer<K: StatementCodec> {
    pub(super) answer: MemberAnswer,
    pub(super) connection: PooledConnection<MemberLink<K>>,
    pub(super) member: MemberKey,
    /// Term of the group when the member was chosen.
    pub(super) term: Term,
    pub(super) asked: AskedPositions,
    pub(super) attempts: u32,
}
