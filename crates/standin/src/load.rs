//! Load tests of a whole site: workload, fault injection, consistency check and
//! reports.
//!
//! Everything runs on loopback in this process, with bounds on time and number of
//! callers; only the cost measurement starts a daemon process. The example `load`
//! only reads arguments and prints reports.

pub mod call;
pub mod caller;
pub mod checker;
pub mod cost;
pub mod faults;
pub mod profile;
pub mod report;
pub mod run;
pub mod testbed;
