//! Domain types of cassiatrestle: terms and log positions, member reports,
//! session tokens, request ids, the intent document, routes and listed backend
//! servers of managed groups, and settings.
//!
//! Borders: no I/O, no async runtime, no decisions. Everything here can be
//! built, compared, serialised and validated from plain values.

pub mod check;
pub mod clock;
pub mod document;
pub mod entry;
pub mod keys;
pub mod listing;
pub mod log;
pub mod member;
pub mod plan;
pub mod reading;
pub mod request;
pub mod session;
pub mod settings;
