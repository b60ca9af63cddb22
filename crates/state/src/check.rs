//! Problems found while checking an intent document or a settings file.

use std::fmt;

use serde::de::DeserializeOwned;

/// One problem of a document or settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CheckProblem {
    /// Path of the key, such as `group[0].member[1].slots`.
    pub path: String,
    /// Value that was found.
    pub found: String,
    /// Values that are allowed.
    pub allowed: String,
}

impl CheckProblem {
    /// Builds a problem from borrowed parts.
    pub fn new(path: &str, found: &str, allowed: &str) -> Self {
        Self {
            path: path.to_owned(),
            found: found.to_owned(),
            allowed: allowed.to_owned(),
        }
    }
}

impl fmt::Display for CheckProblem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}: found {}, allowed: {}",
            self.path, self.found, self.allowed
        )
    }
}

/// Collects all problems of one check, so that they are reported together.
#[derive(Debug, Default)]
pub struct ProblemList {
    problems: Vec<CheckProblem>,
}

impl ProblemList {
    /// Adds a problem.
    pub fn push(&mut self, path: &str, found: &str, allowed: &str) {
        self.problems.push(CheckProblem::new(path, found, allowed));
    }

    /// Adds a problem if `value` is outside `low..=high`.
    pub fn require_range(&mut self, path: &str, value: u64, low: u64, high: u64) {
        if (low..=high).contains(&value) {
            return;
        }
        self.push(path, &value.to_string(), &format!("{low} to {high}"));
    }

    /// Adds a problem if `name` is not 1 to 63 bytes of `[a-z0-9_-]`.
    pub fn require_name(&mut self, path: &str, name: &str) {
        let allowed = |byte: u8| {
            byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-' || byte == b'_'
        };
        if !name.is_empty() && name.len() <= 63 && name.bytes().all(allowed) {
            return;
        }
        self.push(
            path,
            &format!("{name:?}"),
            "1 to 63 characters of a-z, 0-9, - and _",
        );
    }

    /// Returns `value` if there are no problems, otherwise all problems.
    pub fn finish<T>(self, value: T) -> Result<T, Vec<CheckProblem>> {
        if self.problems.is_empty() {
            return Ok(value);
        }
        Err(self.problems)
    }
}

/// Parses the TOML text of a settings file.
///
/// # Errors
///
/// Returns one problem that holds the parser's message.
pub fn parse_settings<T: DeserializeOwned>(text: &str) -> Result<T, Vec<CheckProblem>> {
    toml::from_str(text).map_err(|error| {
        vec![CheckProblem::new(
            "settings",
            error.to_string().trim_end(),
            "TOML settings of the documented shape",
        )]
    })
}
