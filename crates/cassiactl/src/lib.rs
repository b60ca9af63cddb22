//! The operators' tool: status of the daemons, commands for the intent
//! document, and the web console that edits it.
//!
//! Reads and publishes document versions through `transport` and requests the
//! status from a daemon. Makes no decisions about routing or failover.

pub mod archive;
pub mod commands;
pub mod console;
pub mod settings;
