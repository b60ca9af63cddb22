//! The tool of operators: status of the daemons, the intent document from the
//! command line, and the console of forms.
//!
//! Borders: decides nothing about routing or failover; reads and publishes
//! document versions through `transport` and asks daemons for their status.

pub mod archive;
pub mod commands;
pub mod console;
pub mod settings;
