//! Errors that the proxy answers in place of a statement's result.

use std::io;

use coordination::admission::AdmissionRefusal;
use protocol::options::OptionError;
use protocol::result_code::ResultCode;

/// Result of a step in the processing of a request.
pub(crate) type Result<T> = std::result::Result<T, RequestError>;

/// A result code with its reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) code: ResultCode,
    pub(crate) reason: String,
}

impl Refusal {
    pub(crate) fn new(code: ResultCode, reason: impl Into<String>) -> Self {
        Self {
            code,
            reason: reason.into(),
        }
    }
}

impl From<OptionError> for Refusal {
    fn from(error: OptionError) -> Self {
        let code = match error {
            OptionError::BadSessionToken(_) => ResultCode::BadSessionToken,
            _ => ResultCode::BadVariable,
        };
        Self::new(code, error.to_string())
    }
}

impl From<AdmissionRefusal> for Refusal {
    fn from(refusal: AdmissionRefusal) -> Self {
        let code = match refusal {
            AdmissionRefusal::QueueFull => ResultCode::QueueFull,
            AdmissionRefusal::DeadlineTooShort => ResultCode::DeadlineTooShort,
        };
        Self::new(code, "")
    }
}

/// Why a request ends without a result of the server.
#[derive(Debug)]
pub(crate) enum RequestError {
    /// The caller gets a result code.
    Refused(Refusal),
    /// The caller cancelled the request before anything was sent.
    Cancelled,
    /// The request id of the transaction was committed before.
    AlreadyRan(String),
    /// The caller prepared a statement under a name that is in use.
    DuplicateName(Box<str>),
    /// The caller's connection failed; the session ends.
    CallerGone(io::Error),
}

impl From<Refusal> for RequestError {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

impl From<io::Error> for RequestError {
    fn from(error: io::Error) -> Self {
        Self::CallerGone(error)
    }
}

/// Returns a refusal as an error.
pub(crate) fn refuse<T>(code: ResultCode, reason: impl Into<String>) -> Result<T> {
    Err(RequestError::Refused(Refusal::new(code, reason)))
}
