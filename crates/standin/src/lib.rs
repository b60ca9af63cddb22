//! Test-only stand-ins for what is outside the proxy: backend servers of
//! database groups, the platform's services and a faulty network path.
//!
//! Borders: the stand-ins speak the published protocols and keep the promises
//! of `docs/design.md`, section 3.5. They simulate no performance beyond slots,
//! connection limits and fixed delays, and no daemon code depends on them.

pub mod backend;
pub mod cluster;
pub mod load;
pub mod managed;
pub mod platform;
pub mod relay;
pub mod site;
