//! Messages between cassiatrestle's own processes, encoding and decoding of the
//! callers' protocol, classification of SQL texts, and result codes.
//!
//! The crate encodes, decodes and classifies; it opens no sockets.

pub mod classify;
pub mod forward;
pub mod frame;
pub mod login;
pub mod member_control;
pub mod options;
pub mod peer;
pub mod relay;
pub mod result_code;
pub mod statement;
