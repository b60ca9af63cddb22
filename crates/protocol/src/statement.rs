//! Typed messages of managed groups. The caller codec and the member codec
//! translate between them and the bytes on the wire.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use state::account::AccountKey;
use state::log::{LogPosition, Term};
use state::member::MemberRole;

/// Whether a statement changes data.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StatementAccess {
    /// The statement only reads.
    Read,
    /// The statement writes.
    Write,
}

/// A statement of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerStatement {
    /// Begins a transaction.
    Begin {
        /// Whether the transaction is read-only.
        read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// A read or write that is forwarded unchanged.
    Direct {
        /// Whether the statement writes.
        access: StatementAccess,
        /// Text of the statement.
        text: String,
    },
    /// Runs a prepared statement.
    Execute {
        /// The caller's name of the prepared statement.
        name: String,
        /// Rest of the caller's text after the name.
        arguments: String,
    },
    /// Sets a session value.
    Set {
        /// Name of the session value.
        name: String,
        /// New value.
        value: String,
    },
    /// Prepares a statement.
    Prepare {
        /// The caller's name of the prepared statement.
        name: String,
        /// Statement that is prepared.
        shape: PreparedShape,
    },
    /// Removes a prepared statement.
    Deallocate {
        /// The caller's name of the prepared statement.
        name: String,
    },
    /// A text that could not be parsed as a statement.
    Malformed {
        /// Why the text could not be parsed.
        reason: String,
    },
}

/// The statement that is executed under the name of a prepared statement.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct PreparedShape {
    /// Whether the statement writes.
    pub access: StatementAccess,
    /// Shape of the statement, a text of the line protocol that is forwarded
    /// unchanged.
    pub shape: String,
}

/// A message of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerMessage {
    /// Opens the session on a database.
    Connect {
        /// Name of the database.
        database: String,
        /// Digest of the key that the caller presents, if any. The codec does not pass
        /// the key itself on.
        key: Option<AccountKey>,
    },
    /// A statement with the id that the caller gave it.
    Statement {
        /// The caller's id of the statement.
        id: String,
        /// The statement.
        statement: CallerStatement,
    },
    /// Ends the session.
    Quit,
    /// A message that could not be parsed; the session ends after the error is
    /// sent.
    Malformed {
        /// Why the message could not be parsed.
        reason: String,
    },
}

/// State of a session or of a member connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TransactionState {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open,
    /// The transaction failed; only a statement that ends it is accepted.
    Failed,
}

/// A statement that the proxy sends to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberStatement<'a> {
    /// A statement of a caller, with the caller's id and text.
    Forward {
        /// The caller's id of the statement.
        id: &'a str,
        /// Position that the member's log must contain, if any.
        since: Option<LogPosition>,
        /// The statement.
        body: ForwardBody<'a>,
    },
    /// Begins a transaction.
    Begin {
        /// Whether the transaction is read-only.
        read_only: bool,
        /// Position that the member's log must contain, if any.
        since: Option<LogPosition>,
    },
    /// Rolls the transaction back.
    Rollback,
    /// Sets a session value.
    Set {
        /// Name of the session value.
        name: &'a str,
        /// New value.
        value: &'a str,
    },
    /// Prepares a statement under a name that the proxy assigned.
    Prepare {
        /// The proxy's name of the prepared statement.
        name: &'a str,
        /// Statement that is prepared.
        shape: &'a PreparedShape,
    },
    /// Removes a prepared statement.
    Deallocate {
        /// The proxy's name of the prepared statement.
        name: &'a str,
    },
    /// Removes all session values and prepared statements of the connection.
    Reset,
    /// Requests the member's status.
    Status,
    /// Makes a replica receive nothing from primaries of lower terms, until it resumes or
    /// restarts or a member is promoted.
    Pause {
        /// Term above the newest one that the replica knows.
        term: Term,
    },
    /// Lets a paused replica receive again.
    Resume,
    /// Makes the member a replica if it is the primary of a lower term.
    StepDown {
        /// Term of the new primary.
        term: Term,
    },
}

/// Part of a caller's statement that is forwarded to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardBody<'a> {
    /// The caller's text.
    Text(&'a str),
    /// A commit.
    Commit,
    /// Execution of a prepared statement under the name that the proxy assigned.
    Execute {
        /// The proxy's name of the prepared statement.
        name: &'a str,
        /// The caller's arguments.
        arguments: &'a str,
    },
}

/// Why a member answered a statement without a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberRefusal {
    /// All slots and queue positions are in use; the statement did not run.
    Busy,
    /// The log does not contain the required position; the statement did not run.
    Lagging,
    /// The member is not the primary; the statement did not run.
    ReadOnly,
    /// The prepared statement is unknown; the statement did not run.
    UnknownStatement,
    /// Another member answers at this address; the statement did not run.
    WrongMember,
    /// The member has reached its connection limit; the statement did not run.
    ConnectionLimit,
    /// The statement ran and failed.
    Failed,
    /// The statement ran longer than allowed.
    TimedOut,
    /// The member ended the transaction; none of its changes are kept.
    Aborted,
    /// The member does not know whether the commit took effect.
    OutcomeUnknown,
    /// The member could not parse the message.
    Malformed,
}

impl MemberRefusal {
    /// Returns whether it is certain that the statement did not run.
    pub const fn is_not_run(self) -> bool {
        matches!(
            self,
            Self::Busy
                | Self::Lagging
                | Self::ReadOnly
                | Self::UnknownStatement
                | Self::WrongMember
                | Self::ConnectionLimit
        )
    }

    /// Returns the name used in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::Lagging => "lagging",
            Self::ReadOnly => "read_only",
            Self::UnknownStatement => "unknown_statement",
            Self::WrongMember => "wrong_member",
            Self::ConnectionLimit => "connection_limit",
            Self::Failed => "failed",
            Self::TimedOut => "timed_out",
            Self::Aborted => "aborted",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::Malformed => "malformed",
        }
    }
}

/// A message that a member sends to the proxy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberMessage {
    /// A row, in the member's encoding.
    Row(Bytes),
    /// The statement succeeded.
    Complete {
        /// The member's signature of the statement, if it has one.
        signature: Option<Bytes>,
    },
    /// The statement did not succeed.
    Refused {
        /// Why the statement did not succeed.
        refusal: MemberRefusal,
        /// The member's message.
        text: String,
    },
    /// The answer is complete.
    Ready {
        /// State of the connection.
        state: TransactionState,
        /// End of the log that reads see; `None` before the first entry.
        position: Option<LogPosition>,
    },
}

/// Status that a member reports about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// Role of the member.
    pub role: MemberRole,
    /// Highest term that the member knows.
    pub term: Term,
    /// End of the log that the member received.
    pub received: LogPosition,
    /// Term below which the member receives nothing from primaries; 0 if it is not paused.
    pub paused_below: Term,
}

impl MemberStatus {
    /// Returns the newest term that the member shows: one that it knows, or one that another
    /// member is about to lead.
    pub fn newest_term(&self) -> Term {
        self.term.max(self.paused_below)
    }
}
