//! A randomized fault soak: entry hosts as separate processes in front of a
//! stand-in of the users' platform, faults from outside the processes, and
//! checks of what callers and members saw.
//!
//! Borders: knows the daemon only as a program with a settings file, signals,
//! a log and the line protocol. It ends only processes that it started.

mod callers;
mod daemon;
mod faults;
pub mod findings;
mod site;
pub mod soak_run;
