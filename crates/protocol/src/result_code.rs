//! Numbered result codes, each with its SQLSTATE and the known outcome of the
//! statement.

use serde::{Deserialize, Serialize};

/// Whether a statement ran, as far as the proxy knows.
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

/// Result codes sent to callers. `docs/result-codes.md` lists them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[repr(u16)]
pub enum ResultCode {
    /// The queue of the customer and class is full.
    QueueFull = 1001,
    /// The statement cannot finish by its deadline.
    DeadlineTooShort = 1002,
    /// No member is known to satisfy the read's session bound and staleness.
    NoFreshMember = 1003,
    /// No primary was found within the deadline.
    NoPrimary = 1004,
    /// The daemon is shutting down.
    ShuttingDown = 1005,
    /// The session token is malformed or belongs to another group.
    BadSessionToken = 1006,
    /// The group does not exist, or the customer may not use it.
    UnknownGroup = 1007,
    /// A request id or variable has an invalid value.
    BadVariable = 1008,
    /// The caller's credentials were refused.
    AuthenticationFailed = 1009,
    /// The request uses a feature that the proxy does not support.
    Unsupported = 1010,
    /// The request id was blocked by an outcome query.
    RequestBlocked = 1011,
    /// No prepared statement has this name.
    UnknownStatement = 1012,
    /// The message or statement could not be parsed.
    Malformed = 1013,
    /// The statement writes but its transaction is read-only.
    ReadOnlyTransaction = 1014,
    /// The client account has used up its cap.
    OverCap = 1015,
    /// The write was sent but its confirmation did not arrive.
    OutcomeUnknown = 2001,
    /// The connection of the transaction was lost before the commit was sent.
    TransactionLost = 2002,
    /// The read was sent but not answered by its deadline.
    ReadUnanswered = 2003,
    /// A write with this request id ran before; its recorded outcome is returned.
    AlreadyRan = 3001,
    /// The statement ran on a backend server and failed.
    StatementFailed = 3002,
}

impl ResultCode {
    /// All codes, sorted by number.
    pub const ALL: [Self; 20] = [
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
        Self::OverCap,
        Self::OutcomeUnknown,
        Self::TransactionLost,
        Self::ReadUnanswered,
        Self::AlreadyRan,
        Self::StatementFailed,
    ];

    /// Returns the number of the code.
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// Returns the SQLSTATE sent to callers.
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
            Self::OverCap => "53400",
            Self::OutcomeUnknown => "08007",
            Self::TransactionLost => "40001",
            Self::ReadUnanswered => "57014",
            Self::AlreadyRan => "00000",
            Self::StatementFailed => "XX000",
        }
    }

    /// Returns what the code says about whether the statement ran.
    pub const fn outcome(self) -> RunOutcome {
        match self.number() {
            1001..=1999 | 2002 => RunOutcome::NotRun,
            2001 | 2003 => RunOutcome::Unknown,
            _ => RunOutcome::Ran,
        }
    }

    /// Returns the message sent to callers, without the reason of the single case.
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
            Self::OverCap => "the client account is over its cap; the statement was not run",
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
