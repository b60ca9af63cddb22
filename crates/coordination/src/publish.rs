//! Publishing a new document version with the table service and the object
//! store.
//!
//! The body is written first, then the head row by compare-and-set. The
//! object's key contains the digest of the body, so operators that race for the
//! same version write different objects: neither can replace the other's body,
//! and a body that an operator left behind never blocks a version number. The
//! head row names the digest, hence readers fetch exactly the published body.

use serde::{Deserialize, Serialize};

use crate::adoption::DocumentStamp;

/// Key of the head row in the table service.
pub const HEAD_KEY: &str = "config/head";
/// Earlier stamps that the head row keeps. An operator whose answer was lost
/// finds its version there unless this many others followed.
pub const HEAD_HISTORY: usize = 16;
/// Store requests without an answer before a publication gives up.
pub const LOST_ANSWERS_MAX: u32 = 20;

/// Value of the head row.
///
/// # Invariants
///
/// `history` holds the latest earlier digests, the newest first: entry `i` is
/// the digest of version `stamp.version - 1 - i`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct HeadValue {
    /// Published version.
    pub stamp: DocumentStamp,
    /// Digests of earlier versions.
    pub history: Vec<String>,
}

/// The head row as it was read; revision 0 means that it does not exist.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeadRow {
    /// Revision.
    pub revision: u64,
    /// Value.
    pub value: Option<HeadValue>,
}

/// Answer of the store to the pending request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishEvent {
    /// The head row was read.
    HeadRead(HeadRow),
    /// The body is stored, by this request or an earlier one with its digest.
    BodyStored,
    /// The head row was written.
    HeadWritten,
    /// The head row has another revision; nothing was written.
    HeadConflict(HeadRow),
    /// No answer: the request may have taken effect.
    Lost,
}

/// Next step of a publication.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishAction {
    /// Read the head row.
    ReadHead,
    /// Store the body under the key unless the key exists.
    StoreBody {
        /// Key of the object.
        key: String,
    },
    /// Write the head row if its revision is as expected.
    WriteHead {
        /// Expected revision.
        expected_revision: u64,
        /// New value.
        value: HeadValue,
    },
    /// The version is published.
    Published(DocumentStamp),
    /// Another version was published since the operator's base; nothing of
    /// this publication is in force or ever will be.
    Conflict {
        /// Current version.
        current: Option<DocumentStamp>,
    },
    /// The store did not answer, and the head was never sent: nothing of this
    /// publication is in force or ever will be.
    StoreUnavailable,
    /// The store did not answer; whether the version is or will be published is
    /// unknown.
    Unknown,
}

/// Returns the key of a body in the object store.
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

/// The state machine of one publication.
///
/// # Invariants
///
/// The head is written only after the body is stored, and only at the revision
/// at which the head was the operator's base. A write that is repeated has the
/// same expected revision and value, so at most one takes effect.
#[derive(Clone, Debug)]
pub struct DocumentPublication {
    base_version: u64,
    stamp: DocumentStamp,
    step: PublishStep,
    head: HeadRow,
    lost: u32,
    head_sent: bool,
}

impl DocumentPublication {
    /// Starts to publish a body with this digest on top of the version that
    /// the operator edited (0 for the first); returns the first step.
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
            lost: 0,
            head_sent: false,
        };
        (publication, PublishAction::ReadHead)
    }

    /// Decides after an answer.
    pub fn handle(&mut self, event: PublishEvent) -> PublishAction {
        let action = match (&self.step, event) {
            (_, PublishEvent::Lost) => self.after_loss(),
            (PublishStep::ReadingBase, PublishEvent::HeadRead(row)) => self.after_base(row),
            (PublishStep::StoringBody, PublishEvent::BodyStored) => self.write_head(),
            (PublishStep::WritingHead, PublishEvent::HeadWritten) => self.published(),
            (PublishStep::WritingHead, PublishEvent::HeadConflict(row))
            | (PublishStep::ReadingBack, PublishEvent::HeadRead(row)) => self.after_read_back(row),
            (step, event) => panic!("event {event:?} does not answer step {step:?}"),
        };
        let ends = matches!(
            action,
            PublishAction::Published(_)
                | PublishAction::Conflict { .. }
                | PublishAction::StoreUnavailable
                | PublishAction::Unknown
        );
        if ends {
            self.step = PublishStep::Done;
        }
        action
    }

    fn after_base(&mut self, row: HeadRow) -> PublishAction {
        if row.version() != self.base_version {
            return self.judge_other(&row);
        }
        self.head = row;
        self.step = PublishStep::StoringBody;
        self.store_body()
    }

    fn after_loss(&mut self) -> PublishAction {
        self.lost += 1;
        if self.lost > LOST_ANSWERS_MAX {
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
            PublishStep::Done => panic!("publication has ended"),
        }
    }

    fn after_read_back(&mut self, row: HeadRow) -> PublishAction {
        if row.revision == self.head.revision {
            // The write has not taken effect; it may still do so, and a repeat
            // at the same revision cannot apply twice.
            return self.write_head();
        }
        assert!(
            row.revision > self.head.revision,
            "revision of the head fell"
        );
        self.judge_other(&row)
    }

    fn judge_other(&self, row: &HeadRow) -> PublishAction {
        let current = row.value.as_ref().map(|value| value.stamp.clone());
        match row.find(self.stamp.version) {
            HistoryEntry::Digest(digest) if digest == self.stamp.digest => self.published(),
            HistoryEntry::Forgotten if self.head_sent => PublishAction::Unknown,
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
        assert_eq!(self.head.version(), self.base_version, "head is the base");
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
    NotReached,
    Forgotten,
}

impl HeadRow {
    fn version(&self) -> u64 {
        self.value.as_ref().map_or(0, |value| value.stamp.version)
    }

    fn find(&self, version: u64) -> HistoryEntry<'_> {
        let Some(value) = &self.value else {
            return HistoryEntry::NotReached;
        };
        let Some(behind) = value.stamp.version.checked_sub(version) else {
            return HistoryEntry::NotReached;
        };
        if behind == 0 {
            return HistoryEntry::Digest(&value.stamp.digest);
        }
        match value.history.get(behind as usize - 1) {
            Some(digest) => HistoryEntry::Digest(digest),
            None => HistoryEntry::Forgotten,
        }
    }
}
