//! Request ids, which make a write run at most once, and their recorded
//! outcomes.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Maximum length of a request id in bytes.
pub const REQUEST_ID_MAX_BYTES: usize = 64;

/// Result of parsing a request id.
pub type Result<T> = std::result::Result<T, RequestIdError>;

/// Why a text could not be parsed as a request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestIdError {
    /// The text is empty or longer than [`REQUEST_ID_MAX_BYTES`].
    BadLength,
    /// The text contains a character outside `[A-Za-z0-9_.:-]`.
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
/// An id has 1 to 64 bytes of `[A-Za-z0-9_.:-]`, so it needs no escaping in a
/// quoted SQL literal.
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
    /// The write with this id committed.
    Committed {
        /// Command tag of the write, such as `INSERT 0 1`.
        tag: String,
    },
    /// An outcome query blocked the id before any write used it; a write with
    /// this id never runs.
    Blocked,
}
