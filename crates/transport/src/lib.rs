//! Sockets, pools, RPC and the clients of the platform and of backend servers.
//!
//! Borders: carries out what `coordination` decides; makes no decision that a
//! test without sockets could not reach.

pub mod backend;
pub mod caller;
pub mod group_handle;
pub mod pool;
pub mod seam;
pub(crate) mod session;
