//! The decision logic of cassiatrestle as pure functions and state machines.
//!
//! The crate opens no sockets, uses no async runtime and reads no clock. Its
//! functions take events and the current instant and return actions, which the
//! transport layer carries out.

pub mod admission;
pub mod confirm;
pub mod connection_shares;
pub mod document_diff;
pub mod document_version;
pub mod failover;
pub mod follow_order;
pub mod gossip;
pub mod lease;
pub mod liveness;
pub mod managed;
pub mod membership;
pub mod publish;
pub mod rendezvous;
pub mod request_record;
pub mod retry;
pub mod routing;
pub mod session_bound;
pub mod view;
pub mod watermark;
