//! Decisions about managed groups, whose members register themselves with the
//! platform and are promoted by it.
//!
//! The state that entry hosts must agree on is kept in rows of the platform's
//! store: one row per group that names its primary, and one row for the lease
//! that allows a host to change primaries. Hosts pass readings of the store to each
//! other; a row per data centre names the live hosts. All instants in these modules come from a clock that also
//! counts the time during which the host is suspended.

pub mod allotment;
pub mod change;
pub mod change_steps;
pub mod commit_proof;
pub mod dispatch;
pub mod drain;
pub mod era;
pub mod forwarding;
pub mod group;
pub mod holder;
pub mod plan_view;
pub mod presence;
pub mod primary_view;
pub mod probe;
pub mod promotion_lease;
pub mod reader;
pub mod session_commits;
pub mod spread;
pub mod store_clock;
