//! Test-only stand-ins for the systems that the proxy depends on: the backend
//! servers of database groups, the platform's services and a faulty network.
//!
//! The stand-ins speak the published protocols and give the guarantees of
//! `docs/design.md`, section 3.5. They simulate no performance beyond slots,
//! connection limits and fixed delays. No daemon code depends on them.

pub mod backend;
pub mod cluster;
pub mod load;
pub mod managed;
pub mod platform;
pub mod relay;
pub mod site;
