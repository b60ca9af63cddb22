//! Session tokens, with which a caller continues its session at another proxy.

use std::fmt;
use std::str::FromStr;

use crate::log::LogPosition;

/// Result of parsing a session token.
pub type Result<T> = std::result::Result<T, TokenError>;

/// Why a text could not be parsed as a session token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenError {
    /// The text does not have the form `group:term:offset`.
    WrongFormat,
    /// Term or offset is not an unsigned decimal number.
    BadNumber,
}

impl fmt::Display for TokenError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::WrongFormat => {
                formatter.write_str("session token must have the form group:term:offset")
            }
            Self::BadNumber => {
                formatter.write_str("term and offset of a session token must be unsigned numbers")
            }
        }
    }
}

/// Log position that a session's reads must include, with its group. The text
/// form is `group:term:offset`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionToken {
    /// Name of the database group.
    pub group: String,
    /// Log position that reads must include.
    pub position: LogPosition,
}

impl fmt::Display for SessionToken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}", self.group, self.position)
    }
}

impl FromStr for SessionToken {
    type Err = TokenError;

    fn from_str(text: &str) -> Result<Self> {
        let mut parts = text.rsplitn(3, ':');
        let offset = parts.next().ok_or(TokenError::WrongFormat)?;
        let term = parts.next().ok_or(TokenError::WrongFormat)?;
        let group = parts.next().ok_or(TokenError::WrongFormat)?;
        if group.is_empty() {
            return Err(TokenError::WrongFormat);
        }
        let term = term.parse().map_err(|_| TokenError::BadNumber)?;
        let offset = offset.parse().map_err(|_| TokenError::BadNumber)?;
        Ok(Self {
            group: group.to_owned(),
            position: LogPosition::new(term, offset),
        })
    }
}
