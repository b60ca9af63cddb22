//! Accepted versions of the intent document in the platform's store.
//!
//! The head row holds only the digests of the newest versions. To keep older
//! versions reachable, each body starts with a comment that holds the version
//! and digest of its base. Loading an older version follows this chain of
//! bases.

use std::fmt;

use coordination::document_version::DocumentStamp;
use coordination::publish::{HeadValue, PublishAction};
use protocol::peer::DocumentVersion;
use state::check::CheckProblem;
use state::document::IntentDocument;
use transport::document_store::{publish, read_body, read_head};
use transport::services::{ObjectStore, ServiceError, TableService};

/// Prefix of the comment that holds the version and digest of a body's base.
const BASE_PREFIX: &str = "# cassia base: ";

/// Result of loading a version.
pub type Result<T> = std::result::Result<T, ArchiveError>;

/// Why a version cannot be loaded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ArchiveError {
    /// The call to the store failed.
    Store(ServiceError),
    /// The stored text is not a valid document.
    BadDocument(Vec<CheckProblem>),
}

impl fmt::Display for ArchiveError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store(error) => error.fmt(formatter),
            Self::BadDocument(problems) => write!(
                formatter,
                "the stored document has {} problem(s), first: {}",
                problems.len(),
                problems[0]
            ),
        }
    }
}

impl From<ServiceError> for ArchiveError {
    fn from(error: ServiceError) -> Self {
        Self::Store(error)
    }
}

/// An accepted version of the intent document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredDocument {
    /// Version and digest.
    pub version: DocumentVersion,
    /// Stored text, including the comment with the base.
    pub text: String,
    /// Document that `text` parses to.
    pub document: IntentDocument,
}

/// Result of publishing a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishAnswer {
    /// The document is accepted as a new version.
    Accepted {
        /// Number of the new version.
        version: u64,
    },
    /// A version other than the base is in force. Nothing was changed.
    Conflict {
        /// The version in force; 0 if there is none.
        head: u64,
    },
    /// The store failed before the head row was sent. Nothing was changed.
    Unavailable,
    /// The store did not answer after the head row was sent, so it is unknown
    /// whether the version is accepted.
    Unknown,
}

/// Loads and publishes versions of the intent document.
#[derive(Clone, Debug)]
pub struct DocumentArchive<T, O> {
    table: T,
    objects: O,
}

impl<T: TableService, O: ObjectStore> DocumentArchive<T, O> {
    /// Creates an archive that uses the platform's table and object store.
    pub fn new(table: T, objects: O) -> Self {
        Self { table, objects }
    }

    /// Loads the newest version, or returns `None` if none was accepted yet.
    pub async fn load_head(&self) -> Result<Option<StoredDocument>> {
        let Some(head) = read_head(&self.table).await?.value else {
            return Ok(None);
        };
        self.load_by_stamp(&head.stamp).await.map(Some)
    }

    /// Loads a version. Returns `None` if it was never accepted or a body on
    /// the chain to it does not name its base.
    pub async fn load(&self, version: u64) -> Result<Option<StoredDocument>> {
        let Some(head) = read_head(&self.table).await?.value else {
            return Ok(None);
        };
        if version == 0 || version > head.stamp.version {
            return Ok(None);
        }
        let mut stored = self
            .load_by_stamp(&closest_known_stamp(&head, version))
            .await?;
        while stored.version.version > version {
            let Some(base) = parse_base(&stored.text) else {
                return Ok(None);
            };
            stored = self.load_by_stamp(&base).await?;
        }
        Ok(Some(stored))
    }

    /// Publishes a document as the version after `base`. For the first version,
    /// `base` is the default value.
    pub async fn publish(
        &self,
        base: &DocumentVersion,
        document: &IntentDocument,
    ) -> PublishAnswer {
        debug_assert!(document.validate().is_ok());
        let text = format!(
            "{BASE_PREFIX}{}-{}\n{}",
            base.version,
            base.digest,
            document.render()
        );
        match publish(&self.table, &self.objects, base.version, &text).await {
            PublishAction::Published(stamp) => PublishAnswer::Accepted {
                version: stamp.version,
            },
            PublishAction::Conflict { current } => PublishAnswer::Conflict {
                head: current.map_or(0, |stamp| stamp.version),
            },
            PublishAction::StoreUnavailable => PublishAnswer::Unavailable,
            PublishAction::Unknown => PublishAnswer::Unknown,
            action => unreachable!("publish returned the non-final action {action:?}"),
        }
    }

    async fn load_by_stamp(&self, stamp: &DocumentStamp) -> Result<StoredDocument> {
        let body = read_body(&self.objects, stamp).await?;
        let document = IntentDocument::parse(&body.text).map_err(ArchiveError::BadDocument)?;
        Ok(StoredDocument {
            version: body.version,
            text: body.text,
            document,
        })
    }
}

/// Returns the stamp of `version`, or that of the oldest version in the head
/// row if `version` is older.
fn closest_known_stamp(head: &HeadValue, version: u64) -> DocumentStamp {
    let behind = (head.stamp.version - version) as usize;
    let depth = behind.min(head.history.len());
    if depth == 0 {
        return head.stamp.clone();
    }
    DocumentStamp {
        version: head.stamp.version - depth as u64,
        digest: head.history[depth - 1].clone(),
    }
}

/// Reads the stamp of the base from the first line of a body.
fn parse_base(text: &str) -> Option<DocumentStamp> {
    let line = text.lines().next()?.strip_prefix(BASE_PREFIX)?;
    let (version, digest) = line.split_once('-')?;
    Some(DocumentStamp {
        version: version.parse().ok()?,
        digest: digest.to_owned(),
    })
}
