//! Commands of the command line.

use std::fmt;
use std::fs;
use std::time::Duration;

use coordination::document_diff::check_member_changes;
use state::check::CheckProblem;
use state::document::IntentDocument;
use tokio::net::TcpListener;
use transport::platform::PlatformClient;

use crate::archive::{ArchiveError, DocumentArchive, PublishAnswer};
use crate::console::{self, status, ConsoleContext};
use crate::settings::OperatorSettings;

/// Largest number of versions that `config history` lists.
const HISTORY_LENGTH: u64 = 50;

/// Result of a command.
pub type Result<T> = std::result::Result<T, CommandError>;

/// Why a command failed.
#[derive(Debug)]
pub enum CommandError {
    /// The operating system could not read a file.
    UnreadableFile {
        /// Name of the file.
        file: String,
        /// Error of the operating system.
        reason: String,
    },
    /// A file is invalid.
    InvalidFile {
        /// Name of the file.
        file: String,
        /// All problems found in the file.
        problems: Vec<CheckProblem>,
    },
    /// A call to the platform's store or to a daemon failed.
    Store(String),
    /// The requested version does not exist, or no version was accepted yet.
    NoVersion,
    /// A version other than the expected one is in force.
    Conflict {
        /// Expected version.
        expected: u64,
        /// Version in force.
        found: u64,
    },
    /// The store did not confirm whether the document was accepted.
    UnknownOutcome,
    /// A setting that the command needs is missing.
    MissingSetting(&'static str),
    /// The console failed to listen or to serve.
    Console(String),
}

impl fmt::Display for CommandError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnreadableFile { file, reason } => write!(formatter, "{file}: {reason}"),
            Self::InvalidFile { file, problems } => write_problems(formatter, file, problems),
            Self::Store(reason) => {
                write!(formatter, "the platform's store did not answer: {reason}")
            }
            Self::NoVersion => formatter.write_str("there is no such document version"),
            Self::Conflict { expected, found } => write!(
                formatter,
                "version {found} is in force, not {expected}; nothing was changed"
            ),
            Self::UnknownOutcome => formatter.write_str(
                "it is not known whether the document was accepted; \
                 see `cassiactl config history`",
            ),
            Self::MissingSetting(key) => write!(formatter, "the settings have no `{key}`"),
            Self::Console(reason) => write!(formatter, "console: {reason}"),
        }
    }
}

impl From<ArchiveError> for CommandError {
    fn from(error: ArchiveError) -> Self {
        Self::Store(error.to_string())
    }
}

fn write_problems(
    formatter: &mut fmt::Formatter<'_>,
    file: &str,
    problems: &[CheckProblem],
) -> fmt::Result {
    write!(formatter, "{file}: {} problem(s)", problems.len())?;
    for problem in problems {
        write!(formatter, "\n  {problem}")?;
    }
    Ok(())
}

type Archive = DocumentArchive<PlatformClient, PlatformClient>;

/// Loads and validates the settings file.
pub fn load_settings(file: &str) -> Result<OperatorSettings> {
    let text = read_file(file)?;
    OperatorSettings::parse(&text).map_err(|problems| invalid_file(file, problems))
}

/// Validates a document file.
pub fn check(file: &str) -> Result<()> {
    load_document(file)?;
    println!("{file}: valid");
    Ok(())
}

/// Prints a document version, by default the newest.
pub async fn show(settings: &OperatorSettings, version: Option<u64>) -> Result<()> {
    let archive = open_archive(settings);
    let stored = match version {
        Some(version) => archive.load(version).await?,
        None => archive.load_head().await?,
    };
    let stored = stored.ok_or(CommandError::NoVersion)?;
    println!("# version {}", stored.version.version);
    print!("{}", stored.text);
    Ok(())
}

/// Publishes a document file as the version after `expected`, if that is the
/// one in force.
pub async fn apply(settings: &OperatorSettings, file: &str, expected: u64) -> Result<()> {
    let document = load_document(file)?;
    let archive = open_archive(settings);
    let head = archive.load_head().await?;
    let base = head.as_ref().map(|head| head.version.clone());
    let base = base.unwrap_or_default();
    if base.version != expected {
        return Err(CommandError::Conflict {
            expected,
            found: base.version,
        });
    }
    let problems = head.map(|head| check_member_changes(&head.document, &document));
    if let Some(problems) = problems.filter(|problems| !problems.is_empty()) {
        return Err(invalid_file(file, problems));
    }
    match archive.publish(&base, &document).await {
        PublishAnswer::Accepted { version } => {
            println!("version {version} is accepted");
            Ok(())
        }
        PublishAnswer::Conflict { head } => Err(CommandError::Conflict {
            expected,
            found: head,
        }),
        PublishAnswer::Unavailable => Err(CommandError::Store("nothing was changed".to_owned())),
        PublishAnswer::Unknown => Err(CommandError::UnknownOutcome),
    }
}

/// Prints the number and digest of the newest versions.
pub async fn history(settings: &OperatorSettings) -> Result<()> {
    let archive = open_archive(settings);
    let head = archive.load_head().await?;
    let newest = head.map_or(0, |head| head.version.version);
    let oldest = newest.saturating_sub(HISTORY_LENGTH) + 1;
    for version in (oldest..=newest).rev() {
        let Some(stored) = archive.load(version).await? else {
            continue;
        };
        println!("{version}\t{}", stored.version.digest);
    }
    Ok(())
}

/// Prints the state of all daemons, as text or as JSON.
pub async fn status(settings: &OperatorSettings, json: bool) -> Result<()> {
    let daemon = settings
        .daemon
        .ok_or(CommandError::MissingSetting("daemon"))?;
    let response = status::request_status(daemon).await;
    let status = response.map_err(|error| CommandError::Store(error.to_string()))?;
    if json {
        let text = serde_json::to_string_pretty(&status);
        println!(
            "{}",
            text.expect("a status has only fields that convert to JSON")
        );
        return Ok(());
    }
    print!("{}", status::render(&status));
    Ok(())
}

/// Serves the web console until it fails.
pub async fn console(settings: OperatorSettings) -> Result<()> {
    if settings.console.operator.is_empty() {
        return Err(CommandError::MissingSetting("console.operator"));
    }
    let archive = open_archive(&settings);
    let address = settings.console.address;
    let console_error = |error: std::io::Error| CommandError::Console(error.to_string());
    let listener = TcpListener::bind(address).await.map_err(console_error)?;
    // The log goes to standard output as JSON lines. Starting it fails if the
    // process already has a logger; the console can run with that one.
    let _ = transport::logging::start(log::LevelFilter::Info);
    println!("console: http://{address}/");
    let context = ConsoleContext::new(archive, settings.console.operator, settings.daemon);
    console::serve(listener, context)
        .await
        .map_err(console_error)
}

fn open_archive(settings: &OperatorSettings) -> Archive {
    let timeout = Duration::from_millis(settings.platform.timeout_ms);
    let client = PlatformClient::new(settings.platform.address, timeout);
    DocumentArchive::new(client.clone(), client)
}

fn load_document(file: &str) -> Result<IntentDocument> {
    let text = read_file(file)?;
    IntentDocument::parse(&text).map_err(|problems| invalid_file(file, problems))
}

fn read_file(file: &str) -> Result<String> {
    fs::read_to_string(file).map_err(|error| CommandError::UnreadableFile {
        file: file.to_owned(),
        reason: error.to_string(),
    })
}

fn invalid_file(file: &str, problems: Vec<CheckProblem>) -> CommandError {
    CommandError::InvalidFile {
        file: file.to_owned(),
        problems,
    }
}
