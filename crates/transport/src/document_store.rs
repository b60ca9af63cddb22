//! Reads and publishes the intent document. The table service holds a head row
//! with the newest version and digest, the object store one object per body.

use std::time::Duration;

use coordination::document_version::DocumentStamp;
use coordination::publish::{
    self, DocumentPublication, HeadRow, HeadValue, PublishAction, PublishEvent,
};
use protocol::peer::{DocumentBody, DocumentVersion};
use sha2::{Digest, Sha256};

use crate::services::{ObjectStore, Result, ServiceError, TableRow, TableService, WriteAnswer};

/// Wait after a failed request of a publication, before its next step.
const PUBLISH_RETRY: Duration = Duration::from_millis(100);

/// Returns the digest of a body, which is its SHA-256 hash in lower-case
/// hexadecimal.
pub fn digest_of(text: &str) -> String {
    let digest = Sha256::digest(text.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Converts a version from its form in the peer protocol.
pub fn stamp_of(version: &DocumentVersion) -> DocumentStamp {
    DocumentStamp {
        version: version.version,
        digest: version.digest.clone(),
    }
}

/// Converts a stamp to its form in the peer protocol.
pub fn version_of(stamp: &DocumentStamp) -> DocumentVersion {
    DocumentVersion {
        version: stamp.version,
        digest: stamp.digest.clone(),
    }
}

/// Reads the head row. The row has no value before the first publication.
pub async fn read_head<T: TableService>(table: &T) -> Result<HeadRow> {
    parse_head(&table.read(publish::HEAD_KEY).await?)
}

/// Reads the body of a version. Returns [`ServiceError::BadAnswer`] if the body
/// is missing or does not match the digest.
pub async fn read_body<O: ObjectStore>(objects: &O, stamp: &DocumentStamp) -> Result<DocumentBody> {
    let text = objects.get(&publish::body_key(stamp)).await?;
    let text = text.ok_or_else(|| {
        ServiceError::BadAnswer(format!("document version {} has no body", stamp.version))
    })?;
    check_body(DocumentBody {
        version: version_of(stamp),
        text,
    })
}

/// Returns the body if its text matches the digest of its version, else
/// [`ServiceError::BadAnswer`].
pub fn check_body(body: DocumentBody) -> Result<DocumentBody> {
    if digest_of(&body.text) == body.version.digest {
        return Ok(body);
    }
    Err(ServiceError::BadAnswer(format!(
        "the body of document version {} does not match its digest",
        body.version.version
    )))
}

/// Publishes a body as the successor of `base_version`, the version that the
/// operator edited (0 for the first publication). The returned action is the
/// final one and holds the result.
pub async fn publish<T, O>(table: &T, objects: &O, base_version: u64, text: &str) -> PublishAction
where
    T: TableService,
    O: ObjectStore,
{
    let digest = digest_of(text);
    let (mut publication, mut action) = DocumentPublication::start(base_version, &digest);
    loop {
        let event = match &action {
            PublishAction::ReadHead => read_head(table).await.map(PublishEvent::HeadRead),
            PublishAction::StoreBody { key } => objects
                .put_new(key, text)
                .await
                .map(|_| PublishEvent::BodyStored),
            PublishAction::WriteHead {
                expected_revision,
                value,
            } => write_head(table, *expected_revision, value).await,
            PublishAction::Published(_)
            | PublishAction::Conflict { .. }
            | PublishAction::StoreUnavailable
            | PublishAction::Unknown => return action,
        };
        let event = match event {
            Ok(event) => event,
            Err(error) => {
                log::warn!("a request to publish the successor of document version {base_version} failed: {error}");
                tokio::time::sleep(PUBLISH_RETRY).await;
                PublishEvent::Lost
            }
        };
        action = publication.handle(event);
    }
}

async fn write_head<T: TableService>(
    table: &T,
    expected_revision: u64,
    value: &HeadValue,
) -> Result<PublishEvent> {
    let text = serde_json::to_string(value).expect("a head of plain fields renders as JSON");
    let answer = table.write_if(publish::HEAD_KEY, expected_revision, &text);
    match answer.await? {
        WriteAnswer::Written { .. } => Ok(PublishEvent::HeadWritten),
        WriteAnswer::Conflict { row } => Ok(PublishEvent::HeadConflict(parse_head(&row)?)),
    }
}

fn parse_head(row: &TableRow) -> Result<HeadRow> {
    let value = match row.revision {
        0 => None,
        _ => Some(serde_json::from_str(&row.value).map_err(|error| {
            ServiceError::BadAnswer(format!(
                "the head row of the document cannot be parsed: {error}"
            ))
        })?),
    };
    Ok(HeadRow {
        revision: row.revision,
        value,
    })
}
