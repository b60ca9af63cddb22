//! Numbered result codes with their SQLSTATE and what is known of the run.

use serde::{Deserialize, Serialize};

/// What is known about whether a statement ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// The statement was not run and will not run.
    NotRun,
    /// The statement ran.
    Ran,
    /// The statement may have run.
    Unknown,
}

/// Result codes that callers see; `docs/result-codes.md` has the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[repr(u16)]
pub enum ResultCode {
    /// The queue of the customer and class is full.
    QueueFull = 1001,
    /// The statement cannot finish by its deadline.
    DeadlineTooShort = 1002,
    /// No member can be shown to satisfy the read's bound and staleness.
    NoFreshMember = 1003,
    /// No primary was found within the deadline.
    NoPrimary = 1004,
    /// The daemon is shutting down.
    ShuttingDown = 1005,
    /// The session token is malformed or of another group.
    BadSessionToken = 1006,
    /// The group does not exist or is not allowed for this customer.
    UnknownGroup = 1007,
    /// A request id or variable has a bad value.
    BadVariable = 1008,
    /// The caller's credentials were refused.
    AuthenticationFailed = 1009,
    /// The request uses a feature that the proxy does not support.
    Unsupported = 1010,
    /// The request id was blocked by an outcome query.
    RequestBlocked = 1011,
    /// No prepared statement has this name.
    UnknownStatement = 1012,
    /// The message or statement cannot be understood.
    Malformed = 1013,
    /// A write in a transaction that only reads.
    ReadOnlyTransaction = 1014,
    /// The write was sent and its confirmation did not arrive.
    OutcomeUnknown = 2001,
    /// The transaction was lost with its connection before its commit was sent.
    TransactionLost = 2002,
    /// A read was sent and not answered by its deadline.
    ReadUnanswered = 2003,
    /// The request id had run before; the recorded outcome is returned.
    AlreadyRan = 3001,
    /// The statement ran at a backend server and failed.
    StatementFailed = 3002,
}

impl ResultCode {
    /// All codes, in order of their numbers.
    pub const ALL: [Self; 19] = [
        Self::QueueFull,
        Self::DeadlineTooShort,
        Self::NoFreshMember,
        Self::NoPrimary,
        Self::ShuttingDown,
        Self::BadSessionToken,
        Self::UnknownGroup,
        Self::BadVariable,
        Self::AuthenticationFailed,
        Self::Unsupported,
        Self::RequestBlocked,
        Self::UnknownStatement,
        Self::Malformed,
        Self::ReadOnlyTransaction,
        Self::OutcomeUnknown,
        Self::TransactionLost,
        Self::ReadUnanswered,
        Self::AlreadyRan,
        Self::StatementFailed,
    ];

    /// Returns the number.
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// Returns the SQLSTATE that callers see.
    pub const fn sqlstate(self) -> &'static str {
        match self {
            Self::QueueFull => "53300",
            Self::DeadlineTooShort => "57014",
            Self::NoFreshMember => "72000",
            Self::NoPrimary => "57P03",
            Self::ShuttingDown => "57P01",
            Self::BadSessionToken | Self::BadVariable => "22023",
            Self::UnknownGroup => "3D000",
            Self::AuthenticationFailed => "28P01",
            Self::Unsupported => "0A000",
            Self::RequestBlocked => "55000",
            Self::UnknownStatement => "26000",
            Self::Malformed => "42601",
            Self::ReadOnlyTransaction => "25006",
            Self::OutcomeUnknown => "08007",
            Self::TransactionLost => "40001",
            Self::ReadUnanswered => "57014",
            Self::AlreadyRan => "00000",
            Self::StatementFailed => "XX000",
        }
    }

    /// Returns what is known of the run.
    pub const fn outcome(self) -> RunOutcome {
        match self.number() {
            1001..=1999 | 2002 => RunOutcome::NotRun,
            2001 | 2003 => RunOutcome::Unknown,
            _ => RunOutcome::Ran,
        }
    }

    /// Returns the message that callers see, without details.
    pub const fn message(self) -> &'static str {
        match self {
            Self::QueueFull => "too many statements are queued; the statement was not run",
            Self::DeadlineTooShort => "the statement cannot finish by its deadline; it was not run",
            Self::NoFreshMember => {
                "no backend server satisfies the read's bound and staleness; it was not run"
            }
            Self::NoPrimary => "no primary within the deadline; the statement was not run",
            Self::ShuttingDown => "the proxy is shutting down; the statement was not run",
            Self::BadSessionToken => "bad session token; the statement was not run",
            Self::UnknownGroup => "unknown database group",
            Self::BadVariable => "bad variable value; the statement was not run",
            Self::AuthenticationFailed => "authentication failed",
            Self::Unsupported => "unsupported feature; the statement was not run",
            Self::RequestBlocked => {
                "the request id was blocked by an outcome query; the statement was not run"
            }
            Self::UnknownStatement => "no prepared statement has this name; it was not run",
            Self::Malformed => "the message cannot be understood; it was not run",
            Self::ReadOnlyTransaction => "the transaction only reads; the write was not run",
            Self::OutcomeUnknown => "the outcome of the write is unknown",
            Self::TransactionLost => {
                "the transaction was lost with its connection; it did not commit"
            }
            Self::ReadUnanswered => "the read was not answered by its deadline",
            Self::AlreadyRan => "the request id ran before; this is its recorded outcome",
            Self::StatementFailed => "the statement ran and failed",
        }
    }
}
