//! Messages with which an entry host runs a statement on the connection of another
//! entry host, which holds connections to the members of the group.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use state::log::LogPosition;

use crate::statement::{MemberRefusal, PreparedShape, TransactionState};

/// Version of the forwarding messages.
pub const FORWARD_VERSION: u32 = 2;

/// The transaction that a forwarded statement begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct ForwardBegin {
    /// Whether the transaction is read-only.
    pub read_only: bool,
    /// Position that the member's log must contain, if any.
    pub since: Option<LogPosition>,
}

/// Content of a forwarded statement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ForwardedBody {
    /// The caller's text.
    Text(String),
    /// A commit.
    Commit,
    /// Execution of the prepared statement of the request.
    Execute {
        /// The caller's arguments.
        arguments: String,
    },
}

/// A statement for a member, with everything that its connection needs first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct ForwardRequest {
    /// [`FORWARD_VERSION`] of the sender.
    pub version: u32,
    /// Name of the group.
    pub group: String,
    /// Identity of the member.
    pub member: String,
    /// Client account under which the statement runs; `None` if the plan has no
    /// accounts.
    pub account: Option<String>,
    /// Database of the statement, under which the holder queues it.
    pub database: String,
    /// Priority of the route; 0 is the highest.
    pub priority: u8,
    /// Time until which an answer is on target; `None` if the queue takes no targets into
    /// account.
    pub target: Option<Duration>,
    /// Time that remained until the deadline when the request was sent.
    pub remaining: Duration,
    /// Values of the caller's session.
    pub values: BTreeMap<String, String>,
    /// The prepared statement that is executed, if any.
    pub shape: Option<PreparedShape>,
    /// The transaction that the statement begins, if any.
    pub begin: Option<ForwardBegin>,
    /// Key of the open transaction that the statement belongs to, if any.
    pub transaction: Option<u64>,
    /// The caller's id of the statement.
    pub id: String,
    /// Position that the member's log must contain, if any.
    pub since: Option<LogPosition>,
    /// The statement.
    pub body: ForwardedBody,
}

/// Why a holder did not run a statement. The member received no byte of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HolderRefusal {
    /// The host holds no connections of the group, or does not know the member.
    NotHolder,
    /// The host is stopping.
    Stopping,
    /// The holder's queue for the member is full.
    QueueFull,
    /// The holder's queue for the member is too long for the deadline.
    DeadlineTooShort,
    /// No connection became free in time, or the RPC connection has too many open
    /// transactions.
    NoConnection,
    /// The holder does not know the version of the message.
    Version,
    /// The transaction is not open, or its connection cannot run the statement.
    TransactionLost,
}

impl HolderRefusal {
    /// Returns the name used in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotHolder => "not_holder",
            Self::Stopping => "stopping",
            Self::QueueFull => "queue_full",
            Self::DeadlineTooShort => "deadline_too_short",
            Self::NoConnection => "no_connection",
            Self::Version => "version",
            Self::TransactionLost => "transaction_lost",
        }
    }
}

/// How a member failed, as its holder observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberFailureKind {
    /// The connection could not be opened.
    ConnectFailed,
    /// The member is at its connection limit, which is not a failure of the member.
    TurnedAway,
    /// The member refused the greeting for the given reason.
    GreetingRefused(MemberRefusal),
    /// The connection was lost.
    Lost,
    /// The member did not answer in time.
    TimedOut,
    /// The member's bytes violate the protocol.
    Protocol,
    /// An answer may belong to another statement, which is not a failure of the member.
    Mismatched,
}

/// A holder's answer to a forwarded statement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ForwardReply {
    /// The member answered the statement.
    Answered {
        /// Rows, in the member's encoding.
        rows: Vec<Vec<u8>>,
        /// The member's signature, or its refusal with the text of the refusal.
        outcome: Result<Vec<u8>, (MemberRefusal, String)>,
        /// End of the log that reads see at the member.
        position: Option<LogPosition>,
        /// State of the connection.
        state: TransactionState,
        /// Key of the transaction that is open after the statement, if any.
        transaction: Option<u64>,
    },
    /// The member refused to prepare the connection; the statement was not sent.
    SetupRefused(MemberRefusal),
    /// The holder did not run the statement.
    NotRun {
        /// Why it did not run.
        reason: HolderRefusal,
    },
    /// The member did not answer.
    MemberFailed {
        /// How it failed.
        kind: MemberFailureKind,
        /// Whether a byte of the statement was sent to it.
        sent: bool,
        /// Description for logs.
        detail: String,
    },
}

impl ForwardReply {
    /// Returns the name used in metrics.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Answered { .. } => "answered",
            Self::SetupRefused(_) => "setup_refused",
            Self::NotRun { reason } => reason.name(),
            Self::MemberFailed { .. } => "member_failed",
        }
    }
}

/// Ends an open transaction.
///
/// Without a transaction it has no effect. A host sends it so on a new RPC connection:
/// a build without these methods ends the connection then, before a statement was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct TransactionEnd {
    /// [`FORWARD_VERSION`] of the sender.
    pub version: u32,
    /// Key of the transaction, if any.
    pub transaction: Option<u64>,
}
