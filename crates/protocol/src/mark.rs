//! Comment marks and the session variables of the proxy.

use std::time::Duration;

use state::request::RequestId;
use state::session::SessionToken;

/// Start of a mark inside a block comment.
const MARK_PREFIX: &str = "cassia:";

/// Largest value of `cassia.deadline_ms`, as of `deadlines.statement_ms`.
const DEADLINE_MAX_MS: u64 = 600_000;

/// Result of reading a mark or a variable.
pub type Result<T> = std::result::Result<T, MarkError>;

/// Why a mark or a variable was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MarkError {
    /// The mark has an entry that is not documented.
    UnknownEntry(String),
    /// The request id is malformed, or two marks give different ones.
    BadRequestId(String),
    /// The class name is empty.
    BadClass,
    /// There is no such variable.
    UnknownVariable(String),
    /// SET without a single literal value.
    BadAssignment,
    /// The variable cannot be set.
    ReadOnlyVariable,
    /// The deadline is not a number from 1 to 600,000.
    BadDeadline(String),
    /// The session token is malformed.
    BadSessionToken(String),
}

impl std::fmt::Display for MarkError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::UnknownEntry(entry) => write!(formatter, "unknown entry {entry:?} in the mark"),
            Self::BadRequestId(reason) => formatter.write_str(reason),
            Self::BadClass => formatter.write_str("the read class must not be empty"),
            Self::UnknownVariable(name) => write!(formatter, "unknown variable cassia.{name}"),
            Self::BadAssignment => {
                formatter.write_str("a variable of the proxy takes one literal value")
            }
            Self::ReadOnlyVariable => formatter.write_str("the variable can only be shown"),
            Self::BadDeadline(value) => {
                write!(
                    formatter,
                    "deadline_ms must be 1 to {DEADLINE_MAX_MS}, found {value:?}"
                )
            }
            Self::BadSessionToken(reason) => formatter.write_str(reason),
        }
    }
}

/// What the comment marks of one text say.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StatementMark {
    /// Id under which the write runs at most once.
    pub request_id: Option<RequestId>,
    /// Read class.
    pub class: Option<String>,
    /// Whether the statement must never repeat.
    pub never_repeat: bool,
}

impl StatementMark {
    /// Reads the body of one block comment into this mark. Comments that do
    /// not start with `cassia:` are ignored.
    pub fn read_comment(&mut self, comment: &str) -> Result<()> {
        let Some(entries) = comment.trim_start().strip_prefix(MARK_PREFIX) else {
            return Ok(());
        };
        for entry in entries.split_ascii_whitespace() {
            self.read_entry(entry)?;
        }
        Ok(())
    }

    fn read_entry(&mut self, entry: &str) -> Result<()> {
        match entry.split_once('=') {
            Some(("request_id", id)) => self.set_id(id),
            Some(("class", "")) => Err(MarkError::BadClass),
            Some(("class", class)) => {
                self.class = Some(class.to_owned());
                Ok(())
            }
            None if entry == "never_repeat" => {
                self.never_repeat = true;
                Ok(())
            }
            _ => Err(MarkError::UnknownEntry(entry.to_owned())),
        }
    }

    fn set_id(&mut self, text: &str) -> Result<()> {
        let id = parse_id(text)?;
        if self.request_id.as_ref().is_some_and(|known| *known != id) {
            let reason = "two marks give different request ids".to_owned();
            return Err(MarkError::BadRequestId(reason));
        }
        self.request_id = Some(id);
        Ok(())
    }
}

fn parse_id(text: &str) -> Result<RequestId> {
    text.parse()
        .map_err(|error: state::request::RequestIdError| MarkError::BadRequestId(error.to_string()))
}

/// A session variable of the proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionVariable {
    /// `cassia.request_id`.
    RequestId,
    /// `cassia.read_class`.
    ReadClass,
    /// `cassia.session_token`.
    SessionToken,
    /// `cassia.deadline_ms`.
    DeadlineMs,
    /// `cassia.outcome`, which can only be shown.
    Outcome,
}

impl SessionVariable {
    /// All variables.
    pub const ALL: [Self; 5] = [
        Self::RequestId,
        Self::ReadClass,
        Self::SessionToken,
        Self::DeadlineMs,
        Self::Outcome,
    ];

    /// Returns the full name.
    pub const fn name(self) -> &'static str {
        match self {
            Self::RequestId => "cassia.request_id",
            Self::ReadClass => "cassia.read_class",
            Self::SessionToken => "cassia.session_token",
            Self::DeadlineMs => "cassia.deadline_ms",
            Self::Outcome => "cassia.outcome",
        }
    }

    /// Finds a variable by its full name, in any case.
    pub fn find(name: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|variable| variable.name().eq_ignore_ascii_case(name))
    }
}

/// A change of a session variable. `None` resets it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VariableChange {
    /// New request id.
    RequestId(Option<RequestId>),
    /// New read class.
    ReadClass(Option<String>),
    /// New session token.
    SessionToken(Option<SessionToken>),
    /// New deadline of statements.
    Deadline(Option<Duration>),
}

/// Checks a new value; an empty value or `None` resets the variable.
pub fn parse_change(variable: SessionVariable, value: Option<&str>) -> Result<VariableChange> {
    let value = value.filter(|value| !value.is_empty());
    match variable {
        SessionVariable::RequestId => {
            Ok(VariableChange::RequestId(value.map(parse_id).transpose()?))
        }
        SessionVariable::ReadClass => Ok(VariableChange::ReadClass(value.map(str::to_owned))),
        SessionVariable::SessionToken => Ok(VariableChange::SessionToken(
            value.map(parse_token).transpose()?,
        )),
        SessionVariable::DeadlineMs => Ok(VariableChange::Deadline(
            value.map(parse_deadline).transpose()?,
        )),
        SessionVariable::Outcome => Err(MarkError::ReadOnlyVariable),
    }
}

fn parse_token(text: &str) -> Result<SessionToken> {
    text.parse()
        .map_err(|error: state::session::TokenError| MarkError::BadSessionToken(error.to_string()))
}

fn parse_deadline(text: &str) -> Result<Duration> {
    match text.parse() {
        Ok(deadline) if (1..=DEADLINE_MAX_MS).contains(&deadline) => {
            Ok(Duration::from_millis(deadline))
        }
        _ => Err(MarkError::BadDeadline(text.to_owned())),
    }
}
