//! The interface to the wire encoding of callers' and members' messages.

use bytes::{BufMut, Bytes, BytesMut};
use protocol::result_code::ResultCode;
use protocol::statement::{
    CallerMessage, MemberMessage, MemberStatement, MemberStatus, TransactionState,
};

/// Result of decoding.
pub type Result<T> = std::result::Result<T, CodecError>;

/// Why received bytes cannot be decoded. The connection is unusable afterwards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CodecError {
    /// The message is longer than the protocol allows.
    TooLarge,
    /// The message does not follow the protocol; the text says where.
    Malformed(String),
}

impl std::fmt::Display for CodecError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::TooLarge => formatter.write_str("message too large"),
            Self::Malformed(reason) => write!(formatter, "malformed message: {reason}"),
        }
    }
}

/// Received bytes, from which a codec removes whole messages.
///
/// # Invariants
///
/// No message ends within the first `searched` bytes, so that a codec searches each byte
/// once, however many reads a message takes.
#[derive(Debug, Default)]
pub struct MessageInput {
    bytes: BytesMut,
    searched: usize,
}

impl MessageInput {
    /// Returns whether no byte waits to be decoded.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the bytes that were received and not removed yet.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Returns the number of bytes at the beginning within which no message ends.
    pub fn searched(&self) -> usize {
        self.searched
    }

    /// Records that no message ends within the first `count` bytes.
    pub fn mark_searched(&mut self, count: usize) {
        // INVARIANT: the bytes after the received ones were not searched.
        self.searched = count.min(self.bytes.len());
    }

    /// Returns the place for received bytes, with space for at least `additional` ones.
    pub fn space(&mut self, additional: usize) -> &mut impl BufMut {
        self.bytes.reserve(additional);
        &mut self.bytes
    }

    /// Removes the first `count` bytes, which end with a message, and returns them.
    ///
    /// # Panics
    ///
    /// Panics if fewer bytes were received.
    pub fn take(&mut self, count: usize) -> Bytes {
        // INVARIANT: the end of the next message was not searched for.
        self.searched = 0;
        self.bytes.split_to(count).freeze()
    }
}

impl From<&[u8]> for MessageInput {
    fn from(received: &[u8]) -> Self {
        Self {
            bytes: received.into(),
            searched: 0,
        }
    }
}

/// Encodes and decodes the messages of callers and members.
pub trait StatementCodec: Copy + std::fmt::Debug + Send + Sync + 'static {
    /// Removes the first message of a caller from `input`; returns `None` until
    /// the message is complete.
    ///
    /// # Errors
    ///
    /// Fails if the following messages cannot be decoded either, for example
    /// because the message is too long. A single malformed message is returned as
    /// [`CallerMessage::Malformed`].
    fn take_caller_message(input: &mut MessageInput) -> Result<Option<CallerMessage>>;
    /// Appends a result row, in the member's encoding.
    fn put_row(output: &mut BytesMut, row: &[u8]);
    /// Appends the success of a statement, with the member's signature if a member
    /// ran it.
    fn put_complete(output: &mut BytesMut, signature: Option<&[u8]>);
    /// Appends the refusal or failure of a statement.
    fn put_error(output: &mut BytesMut, code: ResultCode, detail: &str);
    /// Appends the end of an answer, with the state of the caller's transaction.
    fn put_ready(output: &mut BytesMut, state: TransactionState);

    /// Appends the greeting to a member: its group, the name of this client and
    /// the identity that the member must have.
    fn put_connect(output: &mut BytesMut, group: &str, client: &str, member: &str);
    /// Appends a statement for a member.
    fn put_statement(output: &mut BytesMut, statement: &MemberStatement<'_>);
    /// Removes the first message of a member from `input`; returns `None` until
    /// the message is complete.
    ///
    /// # Errors
    ///
    /// Fails if the message is too long or malformed.
    fn take_member_message(input: &mut MessageInput) -> Result<Option<MemberMessage>>;
    /// Decodes the row with which a member answers a status question.
    ///
    /// # Errors
    ///
    /// Fails if a field is missing or malformed.
    fn parse_status(row: &[u8]) -> Result<MemberStatus>;
}
