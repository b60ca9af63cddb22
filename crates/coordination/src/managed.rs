//! Decisions about managed groups, whose members register themselves with the
//! platform and are promoted by it.
//!
//! Entry hosts do not talk to each other. What they must agree on lies in rows
//! of the platform's store: one row per group with its primary, and one row for
//! the duty to change primaries. All instants of these modules come from a
//! clock that also counts suspension.

pub mod change;
pub mod dispatch;
pub mod duty;
pub mod group;
pub mod reign;
