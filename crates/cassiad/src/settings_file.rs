//! Loading of the settings file.

use std::path::Path;

use state::check::CheckProblem;

/// Result of loading the file. The error holds one line per problem.
pub(crate) type Result<T> = std::result::Result<T, Vec<String>>;

/// Reads a settings file and validates its text with `parse`.
///
/// # Errors
///
/// Returns a line for an unreadable file, or one line for each problem that
/// `parse` finds. Each line starts with the path of the file.
pub(crate) fn load<T>(
    path: &Path,
    parse: impl FnOnce(&str) -> std::result::Result<T, Vec<CheckProblem>>,
) -> Result<T> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| vec![format!("{}: {error}", path.display())])?;
    let format_problem = |problem: &CheckProblem| format!("{}: {problem}", path.display());
    parse(&text).map_err(|problems| problems.iter().map(format_problem).collect())
}
