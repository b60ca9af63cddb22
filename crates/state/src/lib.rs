//! Domain types of cassiatrestle: terms and log positions, member reports,
//! session tokens, request ids, the intent document, the routes, client accounts
//! and registered backend servers of managed groups, and settings.
//!
//! The crate does no I/O, needs no async runtime and takes no decisions. Its
//! types are plain values that can be built, compared, serialised and validated.

pub mod account;
pub mod allotment;
pub mod check;
pub mod clock;
pub mod document;
pub mod entry;
pub mod keys;
pub mod log;
pub mod member;
pub mod plan;
pub mod reading;
pub mod request;
pub mod server_list;
pub mod session;
pub mod settings;
