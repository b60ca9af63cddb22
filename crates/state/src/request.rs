//! Request ids of writes that must run at most once, and their outcomes.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Longest request id in bytes.
pub const REQUEST_ID_MAX_BYTES: usize = 64;

/// Result of parsing a request id.
pub type Result<T> = std::result::Result<T, RequestIdError>;

/// Why a text is not a request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestIdError {
    /// Empty, or longer than [`REQUEST_ID_MAX_BYTES`].
    BadLength,
    /// Contains a character outside `[A-Za-z0-9_.:-]`.
    BadCharacter,
}

impl fmt::Display for RequestIdError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BadLength => write!(
                formatter,
                "request id must have 1 to {REQUEST_ID_MAX_BYTES} bytes"
            ),
            Self::BadCharacter => {
                formatter.write_str("request id may contain only letters, digits and _ . : -")
            }
        }
    }
}

/// Id under which a write runs at most once.
///
/// # Invariants
///
/// Has 1 to 64 bytes of `[A-Za-z0-9_.:-]`, so that it can stand in a quoted
/// SQL literal without escaping.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RequestId(String);

impl RequestId {
    /// Returns the id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for RequestId {
    type Err = RequestIdError;

    fn from_str(text: &str) -> Result<Self> {
        if text.is_empty() || text.len() > REQUEST_ID_MAX_BYTES {
            return Err(RequestIdError::BadLength);
        }
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"_.:-".contains(&byte);
        if !text.bytes().all(allowed) {
            return Err(RequestIdError::BadCharacter);
        }
        Ok(Self(text.to_owned()))
    }
}

impl TryFrom<String> for RequestId {
    type Error = RequestIdError;

    fn try_from(text: String) -> Result<Self> {
        text.parse()
    }
}

impl From<RequestId> for String {
    fn from(id: RequestId) -> Self {
        id.0
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// Recorded outcome of a request id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// The write committed with this command tag.
    Committed {
        /// Command tag of the write, such as `INSERT 0 1`.
        tag: String,
    },
    /// The id was blocked before any write used it: the write never runs.
    Blocked,
}
