//! The session token that a caller may carry between proxies.

use std::fmt;
use std::str::FromStr;

use crate::log::LogPosition;

/// Result of parsing a token.
pub type Result<T> = std::result::Result<T, TokenError>;

/// Why a text is not a session token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenError {
    /// The text has no three parts `group:term:offset`.
    WrongShape,
    /// Term or offset is not an unsigned decimal number.
    BadNumber,
}

impl fmt::Display for TokenError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::WrongShape => {
                formatter.write_str("session token must have the form group:term:offset")
            }
            Self::BadNumber => {
                formatter.write_str("term and offset of a session token must be unsigned numbers")
            }
        }
    }
}

/// The position that a caller's reads must reach, with its group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionToken {
    /// Name of the database group.
    pub group: String,
    /// Position that reads must reach.
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
        let offset = parts.next().ok_or(TokenError::WrongShape)?;
        let term = parts.next().ok_or(TokenError::WrongShape)?;
        let group = parts.next().ok_or(TokenError::WrongShape)?;
        if group.is_empty() {
            return Err(TokenError::WrongShape);
        }
        let term = term.parse().map_err(|_| TokenError::BadNumber)?;
        let offset = offset.parse().map_err(|_| TokenError::BadNumber)?;
        Ok(Self {
            group: group.to_owned(),
            position: LogPosition::new(term, offset),
        })
    }
}
