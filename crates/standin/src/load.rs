//! Load on a whole site: workload, faults, checker and figures.
//!
//! Borders: everything runs on loopback in this process, bounded in time and
//! count. The example `load` only reads arguments and prints reports.

pub mod bed;
pub mod call;
pub mod caller;
pub mod checker;
pub mod cost;
pub mod faults;
pub mod profile;
pub mod report;
pub mod run;
