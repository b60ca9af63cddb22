//! The monitor of one database group.
//!
//! One task owns the [`coordination::view::GroupView`]. It probes the members,
//! runs watermark rounds, confirms commits and drives failover. It never waits
//! for a member or for the platform: every call runs as a task of its own, and
//! its result comes back as a [`call::CallResult`].

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
