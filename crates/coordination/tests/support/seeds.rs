//! Settings of seeded tests from environment variables.

/// Returns the number in an environment variable, or `default` if it is not set.
///
/// # Panics
///
/// Panics if the value is not a number.
pub fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .map_or(default, |text| text.parse().expect("a number"))
}
