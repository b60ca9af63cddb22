//! One request of a caller: a simple query, or the frames of the extended query
//! protocol up to Sync or Flush.

use bytes::BytesMut;
use protocol::classify::{StatementClass, StatementKind};
use protocol::frame::{self, WireFrame};
use state::request::RequestId;

use super::batch::{self, BatchEntry};
use super::replies::{ExpectedReply, ReplyQueue};
use crate::backend::BackendConnection;

/// A request as it is sent to a backend server.
#[derive(Debug)]
pub(super) enum CallerRequest<'a> {
    /// A simple query.
    Query(&'a WireFrame),
    /// Frames of the extended query protocol.
    Batch {
        /// The frames.
        entries: &'a [BatchEntry],
        /// Whether the exchange ends with Sync, otherwise with Flush.
        synced: bool,
    },
}

impl CallerRequest<'_> {
    /// Returns whether ReadyForQuery ends the answer.
    pub(super) fn is_synced(&self) -> bool {
        match self {
            Self::Query(_) => true,
            Self::Batch { synced, .. } => *synced,
        }
    }

    /// Adds the frames to the connection's output and returns the expected replies.
    pub(super) fn encode(&self, connection: &mut BackendConnection) -> ReplyQueue {
        match self {
            Self::Query(frame) => {
                connection.compose(1).extend_from_slice(frame.bytes());
                ReplyQueue::of(ExpectedReply::Ready)
            }
            Self::Batch { entries, synced } => batch::encode(entries, *synced, connection),
        }
    }

    /// Adds an answer with a command tag that did not come from the server, for
    /// instance the recorded tag of a request that was run before.
    pub(super) fn put_recorded(&self, out: &mut BytesMut, command_tag: &str) {
        match self {
            Self::Query(_) => frame::put_complete(out, command_tag),
            Self::Batch { entries, .. } => batch::put_recorded(entries, out, command_tag),
        }
    }
}

/// Properties of a request that decide its routing and retries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct RequestSummary {
    /// Number of statements.
    pub(super) statements: usize,
    /// Whether any statement may write.
    pub(super) writes: bool,
    /// Whether a transaction begins.
    pub(super) begins: bool,
    /// Whether the transaction that begins is declared read-only.
    pub(super) begins_read_only: bool,
    /// Whether the request contains COMMIT.
    pub(super) commits: bool,
    /// Whether the request contains ROLLBACK.
    pub(super) rolls_back: bool,
    /// Whether the request changes the state of the database session.
    pub(super) changes_session: bool,
    /// Whether the request may do more than its classification shows.
    pub(super) opaque: bool,
    /// Request id from the comment marks.
    pub(super) request_id: Option<RequestId>,
    /// Read class from the comment marks.
    pub(super) read_class: Option<String>,
    /// Whether the request must never be repeated.
    pub(super) never_repeat: bool,
}

impl RequestSummary {
    pub(super) fn of(classification: &StatementClass) -> Self {
        let mut summary = Self::default();
        summary.add(classification);
        summary
    }

    /// Adds the statements of one SQL text.
    pub(super) fn add(&mut self, classification: &StatementClass) {
        self.opaque |= classification.opaque;
        self.never_repeat |= classification.options.never_repeat;
        if classification.options.request_id.is_some() {
            self.request_id
                .clone_from(&classification.options.request_id);
        }
        if classification.options.class.is_some() {
            self.read_class.clone_from(&classification.options.class);
        }
        for kind in &classification.kinds {
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
                self.changes_session = true;
            }
            _ => self.writes = true,
        }
    }

    /// Returns whether a replica may serve the request outside a transaction.
    pub(super) fn is_read(&self) -> bool {
        let no_write_transaction = !self.begins || self.begins_read_only;
        !self.writes && no_write_transaction && !self.opaque && !self.changes_session
    }

    /// Returns whether the request contains other statements besides ROLLBACK.
    pub(super) fn rolls_back_with_others(&self) -> bool {
        self.rolls_back && self.statements > 1
    }

    /// Returns whether the request may end a transaction.
    pub(super) fn may_end(&self) -> bool {
        self.commits || self.rolls_back || self.opaque
    }
}
