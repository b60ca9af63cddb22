//! Typed statements and answers of managed groups, in between the codecs of
//! callers and of members.

use bytes::Bytes;
use state::log::{LogPosition, Term};
use state::member::MemberRole;

/// Whether a statement changes data.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum StatementAccess {
    /// Only reads.
    Read,
    /// Writes.
    Write,
}

/// A statement of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerStatement {
    /// Begins a transaction.
    Begin {
        /// The transaction only reads.
        read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// A read or write that is passed on as it is.
    Direct {
        /// Whether it writes.
        access: StatementAccess,
        /// Its text.
        text: String,
    },
    /// Runs a prepared statement.
    Execute {
        /// The caller's name for it.
        name: String,
        /// What follows the name.
        arguments: String,
    },
    /// Sets a session value.
    Set {
        /// Name of the value.
        name: String,
        /// Its new value.
        value: String,
    },
    /// Prepares a statement.
    Prepare {
        /// The caller's name for it.
        name: String,
        /// What it runs.
        shape: PreparedShape,
    },
    /// Forgets a prepared statement.
    Deallocate {
        /// The caller's name for it.
        name: String,
    },
    /// A text that is not a statement.
    Malformed {
        /// What is wrong with it.
        reason: String,
    },
}

/// What a prepared statement runs.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PreparedShape {
    /// Whether it writes.
    pub access: StatementAccess,
    /// Its shape, as the caller gave it.
    pub shape: String,
}

/// A message of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerMessage {
    /// Opens the session on a database.
    Connect {
        /// Name of the database.
        database: String,
    },
    /// A statement with the caller's id for it.
    Statement {
        /// The id.
        id: String,
        /// The statement.
        statement: CallerStatement,
    },
    /// Ends the session.
    Quit,
    /// A message that cannot be understood; the session ends after the error.
    Malformed {
        /// What is wrong with it.
        reason: String,
    },
}

/// State of a session or of a member connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransactionState {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open,
    /// The transaction failed; only its end is accepted.
    Failed,
}

/// A statement for a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberStatement<'a> {
    /// A statement of a caller, with the caller's id and text.
    Forward {
        /// The caller's id.
        id: &'a str,
        /// Position that the member's log must hold.
        since: Option<LogPosition>,
        /// The statement.
        body: ForwardBody<'a>,
    },
    /// Begins a transaction.
    Begin {
        /// The transaction only reads.
        read_only: bool,
        /// Position that the member's log must hold.
        since: Option<LogPosition>,
    },
    /// Rolls back.
    Rollback,
    /// Sets a session value.
    Set {
        /// Name of the value.
        name: &'a str,
        /// Its value.
        value: &'a str,
    },
    /// Prepares a statement under a name of the proxy.
    Prepare {
        /// The name.
        name: &'a str,
        /// What it runs.
        shape: &'a PreparedShape,
    },
    /// Forgets session values and prepared statements.
    Reset,
    /// Asks for the member's report.
    Status,
    /// Makes a primary of a lower term a replica.
    StepDown {
        /// The term that replaces it.
        term: Term,
    },
}

/// The forwarded part of a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardBody<'a> {
    /// The caller's text.
    Text(&'a str),
    /// A commit.
    Commit,
    /// A prepared statement under a name of the proxy.
    Execute {
        /// The name.
        name: &'a str,
        /// The caller's arguments.
        arguments: &'a str,
    },
}

/// Why a member did not answer with a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MemberRefusal {
    /// All slots and queue places are taken; the statement did not run.
    Busy,
    /// The log lacks the required position; the statement did not run.
    Lagging,
    /// The member is not the primary; the statement did not run.
    ReadOnly,
    /// The prepared statement is unknown; nothing ran.
    UnknownStatement,
    /// Another member answers at this address; nothing ran.
    WrongMember,
    /// The member has as many connections as it accepts; nothing ran.
    ConnectionLimit,
    /// The statement ran and failed.
    Failed,
    /// The statement ran too long.
    TimedOut,
    /// The transaction was ended by the member; nothing of it is kept.
    Aborted,
    /// The member cannot tell whether the commit took effect.
    OutcomeUnknown,
    /// The member does not understand the message.
    Malformed,
}

impl MemberRefusal {
    /// Tells whether the statement certainly did not run.
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

    /// Returns the name that logs and metrics use.
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

/// A message of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberMessage {
    /// A row, in the member's encoding.
    Row(Bytes),
    /// The statement succeeded; the member's signature of it.
    Complete {
        /// The signature, empty for statements without one.
        signature: Bytes,
    },
    /// The statement did not succeed.
    Refused {
        /// Why.
        refusal: MemberRefusal,
        /// The member's words.
        text: String,
    },
    /// The answer is complete.
    Ready {
        /// State of the connection.
        state: TransactionState,
        /// End of the log that reads see; absent before the first entry.
        position: Option<LogPosition>,
    },
}

/// What a member says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// Its role.
    pub role: MemberRole,
    /// Newest term that it knows.
    pub term: Term,
    /// End of the log that it received.
    pub received: LogPosition,
}
