//! Traits for the services outside the daemon process: member control, the
//! table service, the object store and the platform's list of hosts.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use protocol::member_control::{ControlRefusal, ProposerId};
use serde::{Deserialize, Serialize};
use state::log::{LogPosition, Term};
use state::member::MemberReport;

/// Result of a call to an external service.
pub type Result<T> = std::result::Result<T, ServiceError>;

/// Why a call to an external service failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServiceError {
    /// No answer arrived, so the call may or may not have taken effect.
    NoAnswer(String),
    /// The connection was refused or the service rejected the call before
    /// running it; the call had no effect.
    Unreachable(String),
    /// The member refused the order; it had no effect.
    Refused(ControlRefusal),
    /// The answer arrived, but violates the protocol or fails a check.
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

/// Control of one group member. `docs/design.md` section 3.5 lists the
/// guarantees that a member gives.
pub trait MemberControl: Clone + Send + Sync + 'static {
    /// Returns an atomic snapshot of the member's state.
    fn report(&self) -> impl Future<Output = Result<MemberReport>> + Send;
    /// Returns the member's state as soon as its log reaches `position` at the
    /// position's term, or after `max_wait`.
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
    /// Orders the member to follow the primary of `term`, whose control address
    /// is `primary`.
    fn follow(
        &self,
        term: Term,
        primary: SocketAddr,
    ) -> impl Future<Output = Result<MemberReport>> + Send;
}

/// Creates the control handle of a member from its control address.
pub trait ControlFactory: Clone + Send + Sync + 'static {
    /// Type of the control handles that the factory creates.
    type Control: MemberControl;
    /// Creates the control handle of the member at `address`. It connects on
    /// its first call; `timeout` bounds each call.
    fn control(&self, address: SocketAddr, timeout: Duration) -> Self::Control;
}

/// Row of the table service. Revision 0 means that the row does not exist.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct TableRow {
    /// Revision of the row, which rises with each write.
    pub revision: u64,
    /// Stored text.
    pub value: String,
}

/// Answer to a conditional write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WriteAnswer {
    /// The write took effect.
    Written {
        /// Revision of the row after the write.
        revision: u64,
    },
    /// The row does not have the expected revision; nothing was written.
    Conflict {
        /// The current row.
        row: TableRow,
    },
}

/// The platform's transactional table service.
pub trait TableService: Clone + Send + Sync + 'static {
    /// Reads a row; a row that does not exist has revision 0.
    fn read(&self, key: &str) -> impl Future<Output = Result<TableRow>> + Send;
    /// Writes a row if its current revision is `expected_revision`.
    fn write_if(
        &self,
        key: &str,
        expected_revision: u64,
        value: &str,
    ) -> impl Future<Output = Result<WriteAnswer>> + Send;
}

/// The platform's object store.
pub trait ObjectStore: Clone + Send + Sync + 'static {
    /// Returns the body of an object, or `None` if the key does not exist.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<String>>> + Send;
    /// Stores a new object; returns false if the key exists already.
    fn put_new(&self, key: &str, body: &str) -> impl Future<Output = Result<bool>> + Send;
}

/// State that the platform lists for a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host is in service.
    Live,
    /// The host is being taken out of service.
    Leaving,
}

/// Entry of the platform's list of hosts. Backend servers are listed under the
/// names that the intent document gives them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct HostEntry {
    /// Name of the entry host or backend server.
    pub name: String,
    /// Listed state.
    pub state: HostState,
}

/// The platform's list of hosts, which lags behind the actual state.
pub trait HostList: Clone + Send + Sync + 'static {
    /// Returns the current list.
    fn list(&self) -> impl Future<Output = Result<Vec<HostEntry>>> + Send;
}
