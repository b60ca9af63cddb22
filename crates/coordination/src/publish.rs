//! Publication of a new document version through the table service and the
//! object store.
//!
//! The body is stored first, then the head row is written by compare-and-set.
//! The object's key contains the digest of the body, so operators that compete
//! for the same version store different objects: neither can replace the other's
//! body, and the body of an abandoned publication never blocks a version number.
//! The head row names the digest, so readers fetch exactly the published body.

use serde::{Deserialize, Serialize};

use crate::document_version::DocumentStamp;

/// Key of the head row in the table service.
pub const HEAD_KEY: &str = "config/head";
/// Number of earlier digests that the head row keeps. A publication whose answer
/// was lost finds its version there unless more than this many versions followed.
pub const HEAD_HISTORY: usize = 16;
/// Number of unanswered store requests that a publication tolerates.
pub const LOST_ANSWERS_MAX: u32 = 20;

/// Value of the head row.
///
/// # Invariants
///
/// `history` holds the digests of the preceding versions, newest first: entry
/// `i` is the digest of version `stamp.version - 1 - i`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct HeadValue {
    /// Newest published version.
    pub stamp: DocumentStamp,
    /// Digests of earlier versions.
    pub history: Vec<String>,
}

/// The head row as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeadRow {
    /// Revision; 0 when the row does not exist.
    pub revision: u64,
    /// Value; `None` when the row does not exist.
    pub value: Option<HeadValue>,
}

/// Answer to the pending request to the table service or the object store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishEvent {
    /// The head row was read.
    HeadRead(HeadRow),
    /// The body is stored, by this request or by an earlier one with the same
    /// digest.
    BodyStored,
    /// The head row was written.
    HeadWritten,
    /// The head row has another revision, and nothing was written.
    HeadConflict(HeadRow),
    /// No answer arrived; the request may or may not have taken effect.
    Lost,
}

/// Next request of a publication, or its result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishAction {
    /// Read the head row.
    ReadHead,
    /// Store the body unless the key exists.
    StoreBody {
        /// Key of the object.
        key: String,
    },
    /// Write the head row if it still has the expected revision.
    WriteHead {
        /// Expected revision.
        expected_revision: u64,
        /// New value.
        value: HeadValue,
    },
    /// The version is published.
    Published(DocumentStamp),
    /// The current version is not the operator's base version. This publication
    /// has not taken effect and never will.
    Conflict {
        /// Newest published version, if any.
        current: Option<DocumentStamp>,
    },
    /// The store did not answer before a head row was sent. This publication has
    /// not taken effect and never will.
    StoreUnavailable,
    /// A head row was sent, but its result could not be determined. The version
    /// may be published, now or later.
    Unknown,
}

/// Returns the object store key of a document body.
pub fn body_key(stamp: &DocumentStamp) -> String {
    format!("config/{}-{}", stamp.version, stamp.digest)
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum PublishStep {
    ReadingBase,
    StoringBody,
    WritingHead,
    ReadingBack,
    Done,
}

/// State machine that publishes one document version.
///
/// # Invariants
///
/// The head row is written only after the body is stored, and only at the
/// revision at which it named the operator's base version. A repeated write has
/// the same expected revision and value, so at most one write takes effect.
#[derive(Clone, Debug)]
pub struct DocumentPublication {
    base_version: u64,
    stamp: DocumentStamp,
    step: PublishStep,
    head: HeadRow,
    lost_answers: u32,
    head_sent: bool,
}

impl DocumentPublication {
    /// Starts the publication of a body with this digest as the successor of
    /// `base_version`, the version that the operator edited (0 for the first
    /// document). Returns the first request.
    pub fn start(base_version: u64, digest: &str) -> (Self, PublishAction) {
        let publication = Self {
            base_version,
            stamp: DocumentStamp {
                version: base_version + 1,
                digest: digest.to_owned(),
            },
            step: PublishStep::ReadingBase,
            head: HeadRow {
                revision: 0,
                value: None,
            },
            lost_answers: 0,
            head_sent: false,
        };
        (publication, PublishAction::ReadHead)
    }

    /// Handles the answer to the pending request and returns the next action.
    ///
    /// # Panics
    ///
    /// Panics if the event does not answer the pending request, or after the
    /// publication has ended.
    pub fn handle(&mut self, event: PublishEvent) -> PublishAction {
        let action = match (&self.step, event) {
            (_, PublishEvent::Lost) => self.after_lost_answer(),
            (PublishStep::ReadingBase, PublishEvent::HeadRead(row)) => self.after_base_read(row),
            (PublishStep::StoringBody, PublishEvent::BodyStored) => self.write_head(),
            (PublishStep::WritingHead, PublishEvent::HeadWritten) => self.published(),
            (PublishStep::WritingHead, PublishEvent::HeadConflict(row))
            | (PublishStep::ReadingBack, PublishEvent::HeadRead(row)) => self.after_read_back(row),
            (step, event) => panic!("event {event:?} does not answer step {step:?}"),
        };
        let is_final = matches!(
            action,
            PublishAction::Published(_)
                | PublishAction::Conflict { .. }
                | PublishAction::StoreUnavailable
                | PublishAction::Unknown
        );
        if is_final {
            self.step = PublishStep::Done;
        }
        action
    }

    fn after_base_read(&mut self, row: HeadRow) -> PublishAction {
        if row.version() != self.base_version {
            return self.outcome_from_head(&row);
        }
        self.head = row;
        self.step = PublishStep::StoringBody;
        self.store_body()
    }

    fn after_lost_answer(&mut self) -> PublishAction {
        self.lost_answers += 1;
        if self.lost_answers > LOST_ANSWERS_MAX {
            return match self.head_sent {
                true => PublishAction::Unknown,
                false => PublishAction::StoreUnavailable,
            };
        }
        match self.step {
            PublishStep::ReadingBase => PublishAction::ReadHead,
            PublishStep::StoringBody => self.store_body(),
            PublishStep::WritingHead | PublishStep::ReadingBack => {
                self.step = PublishStep::ReadingBack;
                PublishAction::ReadHead
            }
            PublishStep::Done => panic!("the publication has already ended"),
        }
    }

    fn after_read_back(&mut self, row: HeadRow) -> PublishAction {
        if row == self.head {
            // The write has not taken effect yet but still may. A repeated write
            // at the same revision cannot take effect twice.
            return self.write_head();
        }
        if row.revision <= self.head.revision {
            // The table service returned from an older copy, which may have lost the
            // write, and the write may still arrive.
            return PublishAction::Unknown;
        }
        self.outcome_from_head(&row)
    }

    fn outcome_from_head(&self, row: &HeadRow) -> PublishAction {
        let current = row.value.as_ref().map(|value| value.stamp.clone());
        match row.find_digest(self.stamp.version) {
            HistoryEntry::Digest(digest) if digest == self.stamp.digest => self.published(),
            HistoryEntry::Dropped if self.head_sent => PublishAction::Unknown,
            _ => PublishAction::Conflict { current },
        }
    }

    fn published(&self) -> PublishAction {
        PublishAction::Published(self.stamp.clone())
    }

    fn store_body(&self) -> PublishAction {
        PublishAction::StoreBody {
            key: body_key(&self.stamp),
        }
    }

    fn write_head(&mut self) -> PublishAction {
        assert_eq!(
            self.head.version(),
            self.base_version,
            "the head row must name the base version"
        );
        self.step = PublishStep::WritingHead;
        self.head_sent = true;
        let mut history = Vec::new();
        if let Some(base) = &self.head.value {
            history.push(base.stamp.digest.clone());
            history.extend(base.history.iter().take(HEAD_HISTORY - 1).cloned());
        }
        PublishAction::WriteHead {
            expected_revision: self.head.revision,
            value: HeadValue {
                stamp: self.stamp.clone(),
                history,
            },
        }
    }
}

enum HistoryEntry<'a> {
    Digest(&'a str),
    NotPublished,
    Dropped,
}

impl HeadRow {
    fn version(&self) -> u64 {
        self.value.as_ref().map_or(0, |value| value.stamp.version)
    }

    fn find_digest(&self, version: u64) -> HistoryEntry<'_> {
        let Some(value) = &self.value else {
            return HistoryEntry::NotPublished;
        };
        let Some(behind) = value.stamp.version.checked_sub(version) else {
            return HistoryEntry::NotPublished;
        };
        if behind == 0 {
            return HistoryEntry::Digest(&value.stamp.digest);
        }
        match value.history.get(behind as usize - 1) {
            Some(digest) => HistoryEntry::Digest(digest),
            None => HistoryEntry::Dropped,
        }
    }
}
