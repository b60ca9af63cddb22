//! Messages between cassiatrestle's own processes, the mapping to and from the
//! callers' protocol, and result codes.
//!
//! Borders: encodes, decodes and classifies; opens no sockets.

pub mod classify;
pub mod frame;
pub mod mark;
pub mod member_control;
pub mod peer;
pub mod relay;
pub mod result_code;
pub mod statement;
