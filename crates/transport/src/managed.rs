//! The entry host for managed groups: callers' sessions, connections to members,
//! and the tasks that follow the platform's store.
//!
//! The code is generic over the statement codec and over the platform, and it
//! carries out the decisions of `coordination::managed`. The ages of all
//! observations of a group are measured on a clock that also counts time while the
//! machine is suspended. Socket deadlines use the clock of the async runtime.

mod acceptor;
mod account_limits;
mod answer_record;
mod caller_identity;
mod change_driver;
pub mod codec;
mod context;
mod group_runtime;
mod group_watch;
mod hop;
pub mod host_platform;
mod member_connection;
mod member_pools;
mod metrics;
mod plan_follower;
mod prepared_names;
mod presence_follower;
mod relay;
pub mod runtime;
mod session;
mod statement;
mod statement_request;
mod store_follower;
mod transaction;
