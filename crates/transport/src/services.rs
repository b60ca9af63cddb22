//! The seams to everything outside the daemon, as narrow traits.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use protocol::member_control::{ControlRefusal, ProposerId};
use serde::{Deserialize, Serialize};
use state::log::{LogPosition, Term};
use state::member::MemberReport;

/// Result of a call across a seam.
pub type Result<T> = std::result::Result<T, ServiceError>;

/// Why a call across a seam has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServiceError {
    /// No answer: the call may or may not have taken effect.
    NoAnswer(String),
    /// The connection was refused or the service turned the call away; it had
    /// no effect.
    Unreachable(String),
    /// The other side refused the call; it had no effect.
    Refused(ControlRefusal),
    /// The answer does not have the documented shape.
    BadAnswer(String),
}

impl std::fmt::Display for ServiceError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NoAnswer(reason) => write!(formatter, "no answer: {reason}"),
            Self::Unreachable(reason) => write!(formatter, "connection refused: {reason}"),
            Self::Refused(refusal) => write!(formatter, "refused: {refusal:?}"),
            Self::BadAnswer(reason) => write!(formatter, "bad answer: {reason}"),
        }
    }
}

/// Control of one group member; `docs/design.md` section 3.5 has the promises.
pub trait MemberControl: Clone + Send + Sync + 'static {
    /// Returns one atomic reading of the member's state.
    fn report(&self) -> impl Future<Output = Result<MemberReport>> + Send;
    /// Answers when the log reaches `position` at its term, or after `max_wait`.
    fn await_position(
        &self,
        position: LogPosition,
        max_wait: Duration,
    ) -> impl Future<Output = Result<MemberReport>> + Send;
    /// Fences the member at `term` for `proposer`.
    fn fence(
        &self,
        term: Term,
        proposer: ProposerId,
    ) -> impl Future<Output = Result<MemberReport>> + Send;
    /// Promotes the member at `term` for `proposer`.
    fn promote(
        &self,
        term: Term,
        proposer: ProposerId,
    ) -> impl Future<Output = Result<MemberReport>> + Send;
    /// Lets the member follow the primary of `term`, given by control address.
    fn follow(
        &self,
        term: Term,
        primary: SocketAddr,
    ) -> impl Future<Output = Result<MemberReport>> + Send;
}

/// Creates the control of a member from its control address.
pub trait ControlFactory: Clone + Send + Sync + 'static {
    /// The control that it creates.
    type Control: MemberControl;
    /// Creates a control; connects lazily.
    fn control(&self, address: SocketAddr, timeout: Duration) -> Self::Control;
}

/// A row of the table service. Revision 0 means that the row does not exist.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct TableRow {
    /// Revision of the row; rises with each write.
    pub revision: u64,
    /// Value.
    pub value: String,
}

/// Answer to a conditional write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WriteAnswer {
    /// The write took effect.
    Written {
        /// New revision.
        revision: u64,
    },
    /// The row has another revision; nothing was written.
    Conflict {
        /// The row as it is.
        row: TableRow,
    },
}

/// The platform's transactional table service.
pub trait TableService: Clone + Send + Sync + 'static {
    /// Reads a row.
    fn read(&self, key: &str) -> impl Future<Output = Result<TableRow>> + Send;
    /// Writes a row if its revision is `expected_revision`.
    fn write_if(
        &self,
        key: &str,
        expected_revision: u64,
        value: &str,
    ) -> impl Future<Output = Result<WriteAnswer>> + Send;
}

/// The platform's object store.
pub trait ObjectStore: Clone + Send + Sync + 'static {
    /// Returns an object's body.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<String>>> + Send;
    /// Stores a new object; returns false when the key exists already.
    fn put_new(&self, key: &str, body: &str) -> impl Future<Output = Result<bool>> + Send;
}

/// State of a listed host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// Listed as live.
    Live,
    /// Listed as leaving.
    Leaving,
}

/// One entry of the platform's list of hosts. Backend servers are listed under
/// the names of the intent document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct HostEntry {
    /// Name of the entry host or backend server.
    pub name: String,
    /// Its state.
    pub state: HostState,
}

/// The platform's list of hosts, which lags.
pub trait HostList: Clone + Send + Sync + 'static {
    /// Returns the list.
    fn list(&self) -> impl Future<Output = Result<Vec<HostEntry>>> + Send;
}
