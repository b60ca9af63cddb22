//! The decisions of cassiatrestle as pure functions and state machines.
//!
//! Borders: no sockets, no async runtime, no clock of its own. Every function
//! takes the events and the current instant and returns actions; the transport
//! layer carries them out.

pub mod confirm;
pub mod failover;
pub mod lease;
pub mod liveness;
pub mod repair;
pub mod routing;
pub mod session_bound;
pub mod view;
pub mod watermark;
