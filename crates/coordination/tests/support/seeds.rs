//! Numbers from the environment, for seeded tests.

/// Returns the number in a variable, or `default` when it is not set.
pub fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .map_or(default, |text| text.parse().expect("a number"))
}
