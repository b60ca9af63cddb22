//! The control service of a group member, which the stand-in backend serves over
//! `tarpc`. `docs/design.md`, section 3.5, specifies what each call guarantees.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use state::log::{LogPosition, Term};
use state::member::MemberReport;

/// Identifies one failover attempt of one daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ProposerId(pub u64);

/// Why a member refused a control call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ControlRefusal {
    /// The member has promised a term at or above the term of the call.
    StaleTerm {
        /// Term that the member promised.
        promised: Term,
    },
    /// The term was granted to another proposer, or to none.
    WrongProposer,
}

/// Answer of `fence`, `promote` and `follow`: the member's state after the call,
/// or why it refused.
pub type ControlAnswer = std::result::Result<MemberReport, ControlRefusal>;

/// Control calls of a group member.
#[tarpc::service]
pub trait MemberControlService {
    /// Returns an atomic snapshot of the member's state.
    async fn report() -> MemberReport;
    /// Answers when the log reaches `position` at its term, when the promised
    /// term changes, or after `max_wait`.
    async fn await_position(position: LogPosition, max_wait: Duration) -> MemberReport;
    /// Fences the member at `term` and grants the term to `proposer`.
    async fn fence(term: Term, proposer: ProposerId) -> ControlAnswer;
    /// Promotes the member at the term that was granted to `proposer`.
    async fn promote(term: Term, proposer: ProposerId) -> ControlAnswer;
    /// Makes the member follow the primary of `term`; `primary` is the primary's
    /// control address.
    async fn follow(term: Term, primary: SocketAddr) -> ControlAnswer;
}
