//! Frames of the extended query protocol between two Sync frames.
//!
//! A prepared statement belongs to the caller's session. On connections to
//! backend servers it is prepared under a name derived from its content, so that
//! sessions share it. A connection that does not have the statement yet prepares
//! it on its first use.

use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};
use std::sync::{Arc, OnceLock};

use bytes::{Bytes, BytesMut};
use protocol::classify::{StatementClass, StatementKind};
use protocol::frame::{self, tag, FrameError, WireFrame};

use super::replies::{ExpectedReply, ReplyQueue};
use super::request::RequestSummary;
use crate::backend::BackendConnection;
use crate::caller::classification_cache::ClassificationCache;

/// Target byte for a prepared statement in Describe and Close.
const STATEMENT: u8 = b'S';

/// Result of parsing a caller's frame.
pub(super) type Result<T> = std::result::Result<T, FrameError>;

/// A statement that a caller prepared.
#[derive(Debug)]
pub(super) struct PreparedStatement {
    /// Key derived from the text and the parameter types; `None` for the unnamed
    /// statement, which is prepared again in each exchange.
    key: Option<u128>,
    text: Box<str>,
    types: Box<[u8]>,
    /// Classification of the text.
    pub(super) classification: Arc<StatementClass>,
}

impl PreparedStatement {
    fn server_name(&self) -> String {
        match self.key {
            Some(key) => format!("cassia_{key:032x}"),
            None => String::new(),
        }
    }

    /// Returns whether the statement sets or shows a variable of the proxy, so that
    /// the proxy answers it itself.
    pub(super) fn is_variable(&self) -> bool {
        matches!(
            self.classification.kinds.as_slice(),
            [StatementKind::SetVariable(_) | StatementKind::ShowVariable(_)]
        )
    }

    fn shows_variable(&self) -> Option<&'static str> {
        match self.classification.kinds.as_slice() {
            [StatementKind::ShowVariable(variable)] => Some(variable.name()),
            _ => None,
        }
    }
}

/// Derives the key of a statement. The hash uses a random key per process, so that
/// a caller cannot construct two texts that collide.
fn content_key(text: &str, types: &[u8]) -> u128 {
    static HASHERS: OnceLock<(RandomState, RandomState)> = OnceLock::new();
    let (first, second) = HASHERS.get_or_init(|| (RandomState::new(), RandomState::new()));
    let high = u128::from(first.hash_one((text, types)));
    high << 64 | u128::from(second.hash_one((text, types)))
}

/// One frame of the exchange, with the prepared statement that it refers to.
#[derive(Debug)]
pub(super) enum BatchEntry {
    /// Prepares a statement.
    Parse {
        /// Name that the caller uses.
        name: Box<str>,
        /// The statement to prepare.
        statement: Arc<PreparedStatement>,
    },
    /// Binds a portal.
    Bind {
        /// The Bind frame.
        frame: WireFrame,
        /// The statement; `None` when the name is unknown.
        statement: Option<Arc<PreparedStatement>>,
    },
    /// Describes a statement.
    Describe {
        /// Name that the caller uses.
        name: Box<str>,
        /// The statement; `None` when the name is unknown.
        statement: Option<Arc<PreparedStatement>>,
    },
    /// Forwards a frame to the server unchanged.
    Forward {
        /// The frame to forward.
        frame: WireFrame,
        /// The reply that the server sends to it.
        reply: ExpectedReply,
    },
    /// Runs a statement that the proxy answers itself.
    Evaluate(Arc<PreparedStatement>),
    /// Encoded reply of the proxy to a frame that it does not forward.
    Answer(Bytes),
}

/// Prepared statements and portals of a session, and the frames that wait for
/// Sync or Flush.
#[derive(Debug, Default)]
pub(super) struct BatchState {
    statements: HashMap<Box<str>, Arc<PreparedStatement>>,
    portals: HashMap<Box<str>, Arc<PreparedStatement>>,
    /// The waiting frames, in the order of arrival.
    pub(super) entries: Vec<BatchEntry>,
    /// Summary of the statements that the frames execute.
    pub(super) summary: RequestSummary,
    /// Statements that the frames execute.
    pub(super) executed: Vec<Arc<PreparedStatement>>,
    /// Total size of the frames in bytes.
    pub(super) bytes: usize,
    /// Name in a Parse frame that another prepared statement already has.
    pub(super) duplicate: Option<Box<str>>,
}

impl BatchState {
    /// Adds a frame. A malformed frame is an error.
    pub(super) fn push(
        &mut self,
        frame: WireFrame,
        classifications: &ClassificationCache,
    ) -> Result<()> {
        self.bytes += frame.bytes().len();
        match frame.tag() {
            tag::PARSE => self.push_parse(&frame, classifications),
            tag::BIND => self.push_bind(frame),
            tag::DESCRIBE => self.push_describe(frame),
            tag::EXECUTE => self.push_execute(frame),
            _ => self.push_close(frame),
        }
    }

    /// Drops the waiting frames.
    pub(super) fn clear(&mut self) {
        self.entries = Vec::new();
        self.executed = Vec::new();
        self.summary = RequestSummary::default();
        self.bytes = 0;
        self.duplicate = None;
    }

    /// Removes all portals, which end with their transaction.
    pub(super) fn drop_portals(&mut self) {
        self.portals = HashMap::new();
    }

    /// Removes a prepared statement whose Parse failed.
    pub(super) fn remove_statement(&mut self, name: &str) {
        self.statements.remove(name);
    }

    fn push_parse(
        &mut self,
        frame: &WireFrame,
        classifications: &ClassificationCache,
    ) -> Result<()> {
        let mut reader = frame.reader();
        let name = reader.text()?;
        let text = reader.text()?;
        let types = reader.rest();
        if !name.is_empty() && self.statements.contains_key(name) {
            self.duplicate = Some(name.into());
            return Ok(());
        }
        let statement = Arc::new(PreparedStatement {
            key: (!name.is_empty()).then(|| content_key(text, types)),
            text: text.into(),
            types: types.into(),
            classification: classifications.classify(text),
        });
        if statement.is_variable() {
            self.answer(|out| frame::put_empty(out, tag::PARSE_COMPLETE));
        } else {
            self.entries.push(BatchEntry::Parse {
                name: name.into(),
                statement: statement.clone(),
            });
        }
        self.statements.insert(name.into(), statement);
        Ok(())
    }

    fn push_bind(&mut self, frame: WireFrame) -> Result<()> {
        let mut reader = frame.reader();
        let portal: Box<str> = reader.text()?.into();
        let statement = self.statements.get(reader.text()?).cloned();
        match &statement {
            Some(statement) => self.portals.insert(portal, statement.clone()),
            None => self.portals.remove(&portal),
        };
        if statement.as_ref().is_some_and(|known| known.is_variable()) {
            self.answer(|out| frame::put_empty(out, tag::BIND_COMPLETE));
        } else {
            self.entries.push(BatchEntry::Bind { frame, statement });
        }
        Ok(())
    }

    fn push_describe(&mut self, frame: WireFrame) -> Result<()> {
        let mut reader = frame.reader();
        let is_statement = reader.byte()? == STATEMENT;
        let name = reader.text()?;
        let table = match is_statement {
            true => &self.statements,
            false => &self.portals,
        };
        let statement = table.get(name).cloned();
        if let Some(known) = statement.as_ref().filter(|known| known.is_variable()) {
            let column = known.shows_variable();
            self.answer(|out| describe_variable(out, is_statement, column));
        } else if is_statement {
            let name = name.into();
            self.entries.push(BatchEntry::Describe { name, statement });
        } else {
            let reply = ExpectedReply::Describe;
            self.entries.push(BatchEntry::Forward { frame, reply });
        }
        Ok(())
    }

    fn push_execute(&mut self, frame: WireFrame) -> Result<()> {
        let portal = frame.reader().text()?;
        let Some(statement) = self.portals.get(portal).cloned() else {
            // The server will refuse the unknown portal; for routing it counts
            // as a write.
            self.summary.writes = true;
            self.summary.statements += 1;
            let reply = ExpectedReply::Execute;
            self.entries.push(BatchEntry::Forward { frame, reply });
            return Ok(());
        };
        if statement.is_variable() {
            self.entries.push(BatchEntry::Evaluate(statement));
            return Ok(());
        }
        self.summary.add(&statement.classification);
        self.executed.push(statement);
        let reply = ExpectedReply::Execute;
        self.entries.push(BatchEntry::Forward { frame, reply });
        Ok(())
    }

    fn push_close(&mut self, frame: WireFrame) -> Result<()> {
        let mut reader = frame.reader();
        let is_statement = reader.byte()? == STATEMENT;
        let name = reader.text()?;
        if is_statement {
            // Connections to servers keep the statement for other sessions.
            self.statements.remove(name);
            self.answer(|out| frame::put_empty(out, tag::CLOSE_COMPLETE));
            return Ok(());
        }
        let closed = self.portals.remove(name);
        if closed.is_some_and(|statement| statement.is_variable()) {
            self.answer(|out| frame::put_empty(out, tag::CLOSE_COMPLETE));
        } else {
            let reply = ExpectedReply::Close;
            self.entries.push(BatchEntry::Forward { frame, reply });
        }
        Ok(())
    }

    fn answer(&mut self, put: impl FnOnce(&mut BytesMut)) {
        let mut out = BytesMut::new();
        put(&mut out);
        self.entries.push(BatchEntry::Answer(out.freeze()));
    }
}

fn describe_variable(out: &mut BytesMut, is_statement: bool, column: Option<&str>) {
    if is_statement {
        frame::put_no_parameters(out);
    }
    match column {
        Some(column) => frame::put_text_description(out, column),
        None => frame::put_empty(out, tag::NO_DATA),
    }
}

/// Adds the frames of an exchange to the connection's output and returns the
/// expected replies.
pub(super) fn encode(
    entries: &[BatchEntry],
    synced: bool,
    connection: &mut BackendConnection,
) -> ReplyQueue {
    let mut encoder = BatchEncoder {
        connection,
        replies: ReplyQueue::default(),
        parsed: Vec::new(),
        unnamed_parsed: false,
    };
    for entry in entries {
        encoder.encode(entry);
    }
    if synced {
        frame::put_empty(encoder.connection.compose(1), tag::SYNC);
        encoder.replies.push(ExpectedReply::Ready);
    } else {
        encoder.connection.record_pipeline();
        frame::put_empty(encoder.connection.compose(0), tag::FLUSH);
    }
    encoder.replies
}

struct BatchEncoder<'a> {
    connection: &'a mut BackendConnection,
    replies: ReplyQueue,
    /// Keys of the statements that this exchange prepares.
    parsed: Vec<u128>,
    unnamed_parsed: bool,
}

impl BatchEncoder<'_> {
    fn encode(&mut self, entry: &BatchEntry) {
        match entry {
            BatchEntry::Parse { name, statement } => self.parse(name, statement),
            BatchEntry::Bind { frame, statement } => self.bind(frame, statement.as_deref()),
            BatchEntry::Describe { name, statement } => self.describe(name, statement.as_deref()),
            BatchEntry::Forward { frame, reply } => {
                let out = self.connection.compose(0);
                out.extend_from_slice(frame.bytes());
                self.replies.push(reply.clone());
            }
            BatchEntry::Answer(bytes) => self.replies.push(ExpectedReply::Answer(bytes.clone())),
            BatchEntry::Evaluate(_) => {}
        }
    }

    fn parse(&mut self, name: &str, statement: &PreparedStatement) {
        if self.is_prepared(statement) {
            let mut out = BytesMut::new();
            frame::put_empty(&mut out, tag::PARSE_COMPLETE);
            self.replies.push(ExpectedReply::Answer(out.freeze()));
            return;
        }
        self.put_parse(statement, Some(name));
    }

    fn bind(&mut self, frame: &WireFrame, statement: Option<&PreparedStatement>) {
        if let Some(statement) = statement {
            self.ensure_prepared(statement);
        }
        let mut reader = frame.reader();
        let (Ok(portal), Ok(name)) = (reader.text(), reader.text()) else {
            return;
        };
        let server_name = server_name(statement, name);
        let out = self.connection.compose(0);
        frame::put_bind(out, portal, &server_name, reader.rest());
        self.replies.push(ExpectedReply::Bind);
    }

    fn describe(&mut self, name: &str, statement: Option<&PreparedStatement>) {
        if let Some(statement) = statement {
            self.ensure_prepared(statement);
        }
        let server_name = server_name(statement, name);
        let out = self.connection.compose(0);
        frame::put_named(out, tag::DESCRIBE, STATEMENT, &server_name);
        self.replies.push(ExpectedReply::Describe);
    }

    fn is_prepared(&mut self, statement: &PreparedStatement) -> bool {
        statement.key.is_some_and(|key| {
            self.connection.prepared().contains(&key) || self.parsed.contains(&key)
        })
    }

    /// Adds a Parse frame when the connection does not have the statement.
    fn ensure_prepared(&mut self, statement: &PreparedStatement) {
        let known = match statement.key {
            Some(_) => self.is_prepared(statement),
            None => self.unnamed_parsed,
        };
        if !known {
            self.put_parse(statement, None);
        }
    }

    fn put_parse(&mut self, statement: &PreparedStatement, name: Option<&str>) {
        let out = self.connection.compose(0);
        let server_name = statement.server_name();
        frame::put_parse(out, &server_name, &statement.text, &statement.types);
        match statement.key {
            Some(key) => self.parsed.push(key),
            None => self.unnamed_parsed = true,
        }
        self.replies.push(ExpectedReply::Parse {
            key: statement.key,
            name: name.map(Into::into),
        });
    }
}

/// Returns the name of a statement on the server. An unknown statement gets a name
/// that no statement has, so that the server answers with its own error.
fn server_name(statement: Option<&PreparedStatement>, name: &str) -> String {
    match statement {
        Some(statement) => statement.server_name(),
        None => format!("?{name}"),
    }
}

/// Answers an exchange that was run before from its recorded command tag. Rows are
/// not recorded, so the statements are described as returning no rows.
pub(super) fn put_recorded(entries: &[BatchEntry], out: &mut BytesMut, command_tag: &str) {
    for entry in entries {
        match entry {
            BatchEntry::Parse { .. } => frame::put_empty(out, tag::PARSE_COMPLETE),
            BatchEntry::Bind { .. } => frame::put_empty(out, tag::BIND_COMPLETE),
            BatchEntry::Describe { .. } => describe_variable(out, true, None),
            BatchEntry::Forward { reply, .. } => match reply {
                ExpectedReply::Describe => frame::put_empty(out, tag::NO_DATA),
                ExpectedReply::Close => frame::put_empty(out, tag::CLOSE_COMPLETE),
                _ => frame::put_complete(out, command_tag),
            },
            BatchEntry::Answer(bytes) => out.extend_from_slice(bytes),
            BatchEntry::Evaluate(_) => {}
        }
    }
}
