//! The daemon on an entry host.
fn main() {}
