//! One unit of work: a simple query, or the frames of an extended exchange up
//! to Sync or Flush.

use bytes::BytesMut;
use protocol::classify::{StatementClass, StatementKind};
use protocol::frame::{self, WireFrame};
use state::request::RequestId;

use super::batch::{self, BatchEntry};
use super::plan::{ExpectedReply, ReplyPlan};
use crate::backend::BackendConnection;

/// What is sent to a backend server.
#[derive(Debug)]
pub(super) enum Work<'a> {
    /// A simple query.
    Query(&'a WireFrame),
    /// Frames of an extended exchange.
    Batch {
        /// The frames.
        entries: &'a [BatchEntry],
        /// Whether the exchange ends with Sync, otherwise with Flush.
        synced: bool,
    },
}

impl Work<'_> {
    /// Tells whether ReadyForQuery ends the answer.
    pub(super) fn is_synced(&self) -> bool {
        match self {
            Self::Query(_) => true,
            Self::Batch { synced, .. } => *synced,
        }
    }

    /// Adds the frames to the connection's output and returns what to expect.
    pub(super) fn encode(&self, connection: &mut BackendConnection) -> ReplyPlan {
        match self {
            Self::Query(frame) => {
                connection.compose(1).extend_from_slice(frame.bytes());
                ReplyPlan::of(ExpectedReply::Ready)
            }
            Self::Batch { entries, synced } => batch::encode(entries, *synced, connection),
        }
    }

    /// Answers a request that ran before with its recorded command tag.
    pub(super) fn put_recorded(&self, out: &mut BytesMut, command_tag: &str) {
        match self {
            Self::Query(_) => frame::put_complete(out, command_tag),
            Self::Batch { entries, .. } => batch::put_recorded(entries, out, command_tag),
        }
    }
}

/// What a unit of work does, as far as routing is concerned.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct WorkSummary {
    /// Number of statements that run.
    pub(super) statements: usize,
    /// Whether some statement is not certainly a read.
    pub(super) writes: bool,
    /// Whether a transaction begins.
    pub(super) begins: bool,
    /// Whether a beginning transaction is declared read-only.
    pub(super) begins_read_only: bool,
    /// Whether it contains COMMIT.
    pub(super) commits: bool,
    /// Whether it contains ROLLBACK.
    pub(super) rolls_back: bool,
    /// Whether the database session's state changes.
    pub(super) pins: bool,
    /// Whether it may contain more than the classification shows.
    pub(super) opaque: bool,
    /// Request id of its marks.
    pub(super) request_id: Option<RequestId>,
    /// Read class of its marks.
    pub(super) class: Option<String>,
    /// Whether it must never repeat.
    pub(super) never_repeat: bool,
}

impl WorkSummary {
    pub(super) fn of(class: &StatementClass) -> Self {
        let mut summary = Self::default();
        summary.add(class);
        summary
    }

    /// Adds the statements of one text.
    pub(super) fn add(&mut self, class: &StatementClass) {
        self.opaque |= class.opaque;
        self.never_repeat |= class.options.never_repeat;
        if class.options.request_id.is_some() {
            self.request_id.clone_from(&class.options.request_id);
        }
        if class.options.class.is_some() {
            self.class.clone_from(&class.options.class);
        }
        for kind in &class.kinds {
            self.add_kind(kind);
        }
    }

    fn add_kind(&mut self, kind: &StatementKind) {
        self.statements += 1;
        match kind {
            StatementKind::Read
            | StatementKind::TransactionControl
            | StatementKind::SetVariable(_)
            | StatementKind::ShowVariable(_) => {}
            StatementKind::Begin { read_only } => {
                self.begins = true;
                self.begins_read_only = *read_only;
            }
            StatementKind::Commit => self.commits = true,
            StatementKind::Rollback => self.rolls_back = true,
            StatementKind::SessionFeature => {
                self.writes = true;
                self.pins = true;
            }
            _ => self.writes = true,
        }
    }

    /// Tells whether a replica may serve it outside a transaction.
    pub(super) fn is_read(&self) -> bool {
        let plain = !self.begins || self.begins_read_only;
        !self.writes && plain && !self.opaque && !self.pins
    }

    /// Tells whether other statements stand beside a rollback.
    pub(super) fn rolls_back_and_goes_on(&self) -> bool {
        self.rolls_back && self.statements > 1
    }

    /// Tells whether a transaction may end in it.
    pub(super) fn may_end(&self) -> bool {
        self.commits || self.rolls_back || self.opaque
    }
}
