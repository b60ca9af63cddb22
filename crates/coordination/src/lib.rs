//! The decisions of cassiatrestle as pure functions and state machines.
//!
//! Borders: no sockets, no async runtime, no clock of its own. Every function
//! takes the events and the current instant and returns actions; the transport
//! layer carries them out.

pub mod admission;
pub mod adoption;
pub mod confirm;
pub mod connection_shares;
pub mod document_diff;
pub mod failover;
pub mod gossip;
pub mod lease;
pub mod liveness;
pub mod managed;
pub mod membership;
pub mod publish;
pub mod rendezvous;
pub mod repair;
pub mod request_record;
pub mod retry;
pub mod routing;
pub mod session_bound;
pub mod view;
pub mod watermark;
