//! The monitor of one database group.
//!
//! One task owns the [`coordination::view::GroupView`]. It probes the members,
//! runs watermark rounds, confirms commits and drives failover. The task never
//! blocks on a member or on the platform: every call runs in a separate task
//! that returns its outcome as a `CallResult`.

mod call;
mod config;
mod confirmations;
mod failover_driver;
mod lease_holder;
mod members;
mod probe_budget;
mod rounds;
mod task;

pub use config::{MonitorConfig, MonitorServices};
pub use probe_budget::ProbeBudget;
pub use task::{prepare, spawn};
