//! Accepted versions of the intent document in the platform's store.
//!
//! The head row names only the newest digests. So that each accepted version
//! stays reachable, a body starts with a comment that names the version and
//! digest it was based on, and older versions are found along this chain.

use std::fmt;

use coordination::document_version::DocumentStamp;
use coordination::publish::{HeadValue, PublishAction};
use protocol::peer::DocumentVersion;
use state::check::CheckProblem;
use state::document::IntentDocument;
use transport::document_store::{publish, read_body, read_head};
use transport::seam::{ObjectStore, SeamError, TableService};

/// Start of the comment that names the base of a body.
const BASE_PREFIX: &str = "# cassia base: ";

/// Result of a read.
pub type Result<T> = std::result::Result<T, ArchiveError>;

/// Why a version cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ArchiveError {
    /// The store gave no usable answer.
    Store(SeamError),
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

impl From<SeamError> for ArchiveError {
    fn from(error: SeamError) -> Self {
        Self::Store(error)
    }
}

/// An accepted version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredDocument {
    /// Version and digest.
    pub version: DocumentVersion,
    /// Text as it is stored.
    pub text: String,
    /// The text as a document.
    pub document: IntentDocument,
}

/// What became of a publication.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishAnswer {
    /// The version is accepted.
    Accepted {
        /// Its number.
        version: u64,
    },
    /// Another version than the base is in force; nothing was changed.
    Conflict {
        /// The version in force; 0 if there is none.
        head: u64,
    },
    /// The store did not answer before the head was sent; nothing was changed.
    Unavailable,
    /// The store did not answer after the head was sent: it is not known
    /// whether the version is accepted.
    Unknown,
}

/// Reads and publishes versions.
#[derive(Clone, Debug)]
pub struct DocumentArchive<T, O> {
    table: T,
    objects: O,
}

impl<T: TableService, O: ObjectStore> DocumentArchive<T, O> {
    /// Builds an archive on the platform's services.
    pub fn new(table: T, objects: O) -> Self {
        Self { table, objects }
    }

    /// Returns the newest version, or `None` before the first.
    pub async fn load_head(&self) -> Result<Option<StoredDocument>> {
        let Some(head) = read_head(&self.table).await?.value else {
            return Ok(None);
        };
        self.load_stamp(&head.stamp).await.map(Some)
    }

    /// Returns a version, or `None` if it was never accepted.
    pub async fn load(&self, version: u64) -> Result<Option<StoredDocument>> {
        let Some(head) = read_head(&self.table).await?.value else {
            return Ok(None);
        };
        if version == 0 || version > head.stamp.version {
            return Ok(None);
        }
        let mut stored = self.load_stamp(&nearest_stamp(&head, version)).await?;
        while stored.version.version > version {
            let Some(base) = base_of(&stored.text) else {
                return Ok(None);
            };
            stored = self.load_stamp(&base).await?;
        }
        Ok(Some(stored))
    }

    /// Publishes a document on top of `base`; the default base stands for no
    /// version yet.
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
            action => unreachable!("a publication ends with a result, not with {action:?}"),
        }
    }

    async fn load_stamp(&self, stamp: &DocumentStamp) -> Result<StoredDocument> {
        let body = read_body(&self.objects, stamp).await?;
        let document = IntentDocument::parse(&body.text).map_err(ArchiveError::BadDocument)?;
        Ok(StoredDocument {
            version: body.version,
            text: body.text,
            document,
        })
    }
}

/// Returns the stamp of `version`, or the oldest one that the head row names.
fn nearest_stamp(head: &HeadValue, version: u64) -> DocumentStamp {
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

fn base_of(text: &str) -> Option<DocumentStamp> {
    let line = text.lines().next()?.strip_prefix(BASE_PREFIX)?;
    let (version, digest) = line.split_once('-')?;
    Some(DocumentStamp {
        version: version.parse().ok()?,
        digest: digest.to_owned(),
    })
}
