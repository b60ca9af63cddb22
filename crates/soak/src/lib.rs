//! A randomised fault soak. It runs entry hosts as separate processes in front
//! of a stand-in of the users' platform, injects faults from outside the
//! processes, and checks what callers observed and what members stored.
//!
//! The soak uses the daemon only through its command line, settings file,
//! signals, log and the line protocol. It ends only processes that it started.

mod callers;
mod daemon;
mod faults;
pub mod findings;
pub mod planned;
mod sessions;
mod site;
pub mod soak_run;
pub mod texts;
