//! The encoding of statements, towards callers and towards members.

use bytes::BytesMut;
use protocol::result_code::ResultCode;
use protocol::statement::{
    CallerMessage, MemberMessage, MemberStatement, MemberStatus, TransactionState,
};

/// Result of decoding.
pub type Result<T> = std::result::Result<T, CodecError>;

/// Why bytes cannot be decoded. The connection is then unusable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CodecError {
    /// The message is longer than the protocol allows.
    TooLarge,
    /// The message does not have the documented shape.
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

/// Encodes and decodes the messages of callers and members.
pub trait StatementCodec: Copy + std::fmt::Debug + Send + Sync + 'static {
    /// Takes one message of a caller from received bytes, if it is complete.
    fn take_caller_message(input: &mut BytesMut) -> Result<Option<CallerMessage>>;
    /// Adds a row, as the member encoded it, to an answer.
    fn put_row(output: &mut BytesMut, row: &[u8]);
    /// Adds the success of a statement with the member's signature, if any.
    fn put_complete(output: &mut BytesMut, signature: Option<&[u8]>);
    /// Adds a refusal or failure.
    fn put_error(output: &mut BytesMut, code: ResultCode, detail: &str);
    /// Adds the end of an answer.
    fn put_ready(output: &mut BytesMut, state: TransactionState);

    /// Adds the greeting to a member: its group, the name of this client and
    /// the identity that the member must have.
    fn put_connect(output: &mut BytesMut, group: &str, client: &str, member: &str);
    /// Adds a statement for a member.
    fn put_statement(output: &mut BytesMut, statement: &MemberStatement<'_>);
    /// Takes one message of a member from received bytes, if it is complete.
    fn take_member_message(input: &mut BytesMut) -> Result<Option<MemberMessage>>;
    /// Decodes the row that answers a status question.
    fn parse_status(row: &[u8]) -> Result<MemberStatus>;
}
