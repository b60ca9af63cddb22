//! Reads the settings file.

use std::path::Path;

use state::check::CheckProblem;
use state::settings::DaemonSettings;

/// Result of reading the file; an error has one line per problem.
pub(crate) type Result<T> = std::result::Result<T, Vec<String>>;

/// Reads and checks a settings file. Each problem names the file, the key and
/// the values that are allowed.
pub(crate) fn load(path: &Path) -> Result<DaemonSettings> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| vec![format!("{}: {error}", path.display())])?;
    let describe = |problem: &CheckProblem| format!("{}: {problem}", path.display());
    DaemonSettings::parse(&text).map_err(|problems| problems.iter().map(describe).collect())
}
