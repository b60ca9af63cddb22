//! Sockets, pools, RPC and the clients of the platform and of backend servers.
//!
//! This crate carries out the decisions of `coordination`. Every decision that
//! can be tested without sockets belongs there and not here.

pub mod backend;
pub mod caller;
pub mod control_client;
pub mod document_follower;
pub mod document_store;
pub mod group_handle;
pub mod host_watcher;
pub mod logging;
pub mod managed;
pub mod membership_hub;
pub mod metrics;
pub mod monitor;
pub mod peer;
pub mod platform;
pub mod pool;
pub mod rpc;
pub mod runtime;
pub mod services;
pub(crate) mod session;
