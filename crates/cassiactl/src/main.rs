//! The tool of operators.
fn main() {}
