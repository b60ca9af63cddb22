//! Decisions about managed groups, whose members register themselves with the
//! platform and are promoted by it.
//!
//! What entry hosts must agree on lies in rows of the platform's store: one row
//! per group with its primary, and one row for the duty to change primaries.
//! Between each other they only pass readings of the store on. All instants of
//! these modules come from a clock that also counts suspension.

pub mod change;
pub mod change_steps;
pub mod dispatch;
pub mod duty;
pub mod group;
pub mod reader;
pub mod reign;
pub mod store_clock;
