//! Options that callers pass to the proxy, in comment marks and in session
//! variables.
//!
//! A comment mark is a block comment such as `/* cassia: class=browse */` in the
//! text of a statement. Session variables have names such as
//! `cassia.deadline_ms`.

use std::time::Duration;

use state::request::RequestId;
use state::session::SessionToken;

/// Prefix of the body of a block comment that is a mark.
const MARK_PREFIX: &str = "cassia:";

/// Largest value of `cassia.deadline_ms`; the intent document allows the same for
/// `deadlines.statement_ms`.
const DEADLINE_MAX_MS: u64 = 600_000;

/// Result of parsing a comment mark or the value of a variable.
pub type Result<T> = std::result::Result<T, OptionError>;

/// Why a comment mark or a variable statement is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OptionError {
    /// The mark contains an unknown entry.
    UnknownEntry(String),
    /// The request id is malformed, or two marks of the text give different ids.
    BadRequestId(String),
    /// The name of the read class is empty.
    BadClass,
    /// The proxy has no variable with this name.
    UnknownVariable(String),
    /// A SET statement does not assign exactly one literal value.
    BadAssignment,
    /// The variable can be shown but not set.
    ReadOnlyVariable,
    /// The deadline is not a number from 1 to 600,000, in milliseconds.
    BadDeadline(String),
    /// The session token is malformed.
    BadSessionToken(String),
}

impl std::fmt::Display for OptionError {
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

/// Options from all comment marks of one text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StatementOptions {
    /// Id under which the write runs at most once.
    pub request_id: Option<RequestId>,
    /// Name of the read class.
    pub class: Option<String>,
    /// Whether the statement must never be repeated.
    pub never_repeat: bool,
}

impl StatementOptions {
    /// Adds the options from the body of one block comment. Comments that do not
    /// start with `cassia:` are ignored.
    pub fn add_comment(&mut self, comment: &str) -> Result<()> {
        let Some(entries) = comment.trim_start().strip_prefix(MARK_PREFIX) else {
            return Ok(());
        };
        for entry in entries.split_ascii_whitespace() {
            self.add_entry(entry)?;
        }
        Ok(())
    }

    fn add_entry(&mut self, entry: &str) -> Result<()> {
        match entry.split_once('=') {
            Some(("request_id", id)) => self.set_request_id(id),
            Some(("class", "")) => Err(OptionError::BadClass),
            Some(("class", class)) => {
                self.class = Some(class.to_owned());
                Ok(())
            }
            None if entry == "never_repeat" => {
                self.never_repeat = true;
                Ok(())
            }
            _ => Err(OptionError::UnknownEntry(entry.to_owned())),
        }
    }

    fn set_request_id(&mut self, text: &str) -> Result<()> {
        let id = parse_request_id(text)?;
        if self.request_id.as_ref().is_some_and(|known| *known != id) {
            let reason = "two marks give different request ids".to_owned();
            return Err(OptionError::BadRequestId(reason));
        }
        self.request_id = Some(id);
        Ok(())
    }
}

fn parse_request_id(text: &str) -> Result<RequestId> {
    text.parse()
        .map_err(|error: state::request::RequestIdError| {
            OptionError::BadRequestId(error.to_string())
        })
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
    /// `cassia.outcome`, which is read-only.
    Outcome,
}

impl SessionVariable {
    /// All session variables of the proxy.
    pub const ALL: [Self; 5] = [
        Self::RequestId,
        Self::ReadClass,
        Self::SessionToken,
        Self::DeadlineMs,
        Self::Outcome,
    ];

    /// Returns the full name, such as `cassia.request_id`.
    pub const fn name(self) -> &'static str {
        match self {
            Self::RequestId => "cassia.request_id",
            Self::ReadClass => "cassia.read_class",
            Self::SessionToken => "cassia.session_token",
            Self::DeadlineMs => "cassia.deadline_ms",
            Self::Outcome => "cassia.outcome",
        }
    }

    /// Finds a variable by its full name, ignoring case.
    pub fn find(name: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|variable| variable.name().eq_ignore_ascii_case(name))
    }
}

/// A change of a session variable. `None` resets the variable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VariableChange {
    /// New request id.
    RequestId(Option<RequestId>),
    /// New read class.
    ReadClass(Option<String>),
    /// New session token.
    SessionToken(Option<SessionToken>),
    /// New deadline of each statement, as the time allowed for it.
    Deadline(Option<Duration>),
}

/// Parses the new value of a variable. An empty value or `None` resets the
/// variable.
///
/// # Errors
///
/// Fails if the value is invalid or the variable is read-only.
pub fn parse_change(variable: SessionVariable, value: Option<&str>) -> Result<VariableChange> {
    let value = value.filter(|value| !value.is_empty());
    match variable {
        SessionVariable::RequestId => Ok(VariableChange::RequestId(
            value.map(parse_request_id).transpose()?,
        )),
        SessionVariable::ReadClass => Ok(VariableChange::ReadClass(value.map(str::to_owned))),
        SessionVariable::SessionToken => Ok(VariableChange::SessionToken(
            value.map(parse_token).transpose()?,
        )),
        SessionVariable::DeadlineMs => Ok(VariableChange::Deadline(
            value.map(parse_deadline).transpose()?,
        )),
        SessionVariable::Outcome => Err(OptionError::ReadOnlyVariable),
    }
}

fn parse_token(text: &str) -> Result<SessionToken> {
    text.parse().map_err(|error: state::session::TokenError| {
        OptionError::BadSessionToken(error.to_string())
    })
}

fn parse_deadline(text: &str) -> Result<Duration> {
    match text.parse() {
        Ok(deadline) if (1..=DEADLINE_MAX_MS).contains(&deadline) => {
            Ok(Duration::from_millis(deadline))
        }
        _ => Err(OptionError::BadDeadline(text.to_owned())),
    }
}
