//! Reads the settings file.

use std::path::Path;

use state::check::CheckProblem;

/// Result of reading the file; an error has one line per problem.
pub(crate) type Result<T> = std::result::Result<T, Vec<String>>;

/// Reads a settings file and checks it with `parse`. Each problem names the
/// file, the key and the values that are allowed.
pub(crate) fn load<T>(
    path: &Path,
    parse: impl FnOnce(&str) -> std::result::Result<T, Vec<CheckProblem>>,
) -> Result<T> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| vec![format!("{}: {error}", path.display())])?;
    let describe = |problem: &CheckProblem| format!("{}: {problem}", path.display());
    parse(&text).map_err(|problems| problems.iter().map(describe).collect())
}
