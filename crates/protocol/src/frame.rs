//! PostgreSQL frames: splitting a byte stream into frames, and encoding the few
//! frames that the proxy itself sends.
//!
//! Bodies that are forwarded unchanged are never decoded. Only the names and
//! texts at the start of a caller's frame are read.

use std::fmt;

use bytes::{BufMut, Bytes, BytesMut};
use postgres_protocol::message::backend::Header;

use crate::result_code::ResultCode;

/// Length of a frame's header in bytes: one for the tag, four for the length.
pub const HEADER_BYTES: usize = 5;

/// Largest frame in bytes that is accepted from a caller. PostgreSQL allows
/// 1 GiB; the smaller limit bounds the memory that one caller can make the proxy
/// buffer.
pub const CALLER_FRAME_MAX_BYTES: usize = 64 << 20;

/// Result of splitting or decoding a frame.
pub type Result<T> = std::result::Result<T, FrameError>;

/// Why bytes could not be decoded as a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The length field is below four or does not match the bytes.
    BadLength,
    /// The frame is longer than the limit.
    TooLong,
    /// A field extends past the end of the body, or a text is not UTF-8.
    BadBody,
}

impl fmt::Display for FrameError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::BadLength => "frame length below four",
            Self::TooLong => "frame longer than the limit",
            Self::BadBody => "frame body is malformed",
        })
    }
}

/// Tags of the frames that the proxy inspects or sends. The peer that sends the
/// frame is given in parentheses.
pub mod tag {
    /// Query (caller).
    pub const QUERY: u8 = b'Q';
    /// Parse (caller).
    pub const PARSE: u8 = b'P';
    /// Bind (caller).
    pub const BIND: u8 = b'B';
    /// Describe (caller); DataRow (backend server).
    pub const DESCRIBE: u8 = b'D';
    /// Execute (caller); ErrorResponse (backend server).
    pub const EXECUTE: u8 = b'E';
    /// Close (caller); CommandComplete (backend server).
    pub const CLOSE: u8 = b'C';
    /// Flush (caller); CopyOutResponse (backend server).
    pub const FLUSH: u8 = b'H';
    /// Sync (caller); ParameterStatus (backend server).
    pub const SYNC: u8 = b'S';
    /// Terminate (caller).
    pub const TERMINATE: u8 = b'X';
    /// Password, SASLInitialResponse and SASLResponse (caller).
    pub const PASSWORD: u8 = b'p';
    /// FunctionCall (caller).
    pub const FUNCTION_CALL: u8 = b'F';
    /// CopyData (caller and backend server).
    pub const COPY_DATA: u8 = b'd';
    /// CopyDone (caller and backend server).
    pub const COPY_DONE: u8 = b'c';
    /// CopyFail (caller).
    pub const COPY_FAIL: u8 = b'f';
    /// Authentication request (backend server).
    pub const AUTHENTICATION: u8 = b'R';
    /// BackendKeyData (backend server).
    pub const BACKEND_KEY: u8 = b'K';
    /// ParameterStatus (backend server).
    pub const PARAMETER_STATUS: u8 = b'S';
    /// ReadyForQuery (backend server).
    pub const READY: u8 = b'Z';
    /// ErrorResponse (backend server).
    pub const ERROR: u8 = b'E';
    /// NoticeResponse (backend server).
    pub const NOTICE: u8 = b'N';
    /// NotificationResponse (backend server).
    pub const NOTIFICATION: u8 = b'A';
    /// RowDescription (backend server).
    pub const ROW_DESCRIPTION: u8 = b'T';
    /// DataRow (backend server).
    pub const DATA_ROW: u8 = b'D';
    /// CommandComplete (backend server).
    pub const COMMAND_COMPLETE: u8 = b'C';
    /// EmptyQueryResponse (backend server).
    pub const EMPTY_QUERY: u8 = b'I';
    /// PortalSuspended (backend server).
    pub const PORTAL_SUSPENDED: u8 = b's';
    /// ParseComplete (backend server).
    pub const PARSE_COMPLETE: u8 = b'1';
    /// BindComplete (backend server).
    pub const BIND_COMPLETE: u8 = b'2';
    /// CloseComplete (backend server).
    pub const CLOSE_COMPLETE: u8 = b'3';
    /// NoData (backend server).
    pub const NO_DATA: u8 = b'n';
    /// ParameterDescription (backend server).
    pub const PARAMETER_DESCRIPTION: u8 = b't';
    /// CopyInResponse (backend server).
    pub const COPY_IN: u8 = b'G';
    /// CopyOutResponse (backend server).
    pub const COPY_OUT: u8 = b'H';
    /// CopyBothResponse (backend server).
    pub const COPY_BOTH: u8 = b'W';
}

/// One complete frame, including its header.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireFrame {
    bytes: Bytes,
}

impl WireFrame {
    /// Wraps the bytes of exactly one frame.
    ///
    /// # Errors
    ///
    /// Fails if the length field does not match the number of bytes.
    pub fn from_bytes(bytes: Bytes) -> Result<Self> {
        match Header::parse(&bytes) {
            Ok(Some(header)) if header.len() as usize + 1 == bytes.len() => Ok(Self { bytes }),
            _ => Err(FrameError::BadLength),
        }
    }

    /// Returns the tag, which identifies the type of the frame.
    pub fn tag(&self) -> u8 {
        self.bytes[0]
    }

    /// Returns the whole frame, including the header.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Returns the body, without the header.
    pub fn body(&self) -> &[u8] {
        &self.bytes[HEADER_BYTES..]
    }

    /// Returns a reader of the body.
    pub fn reader(&self) -> BodyReader<'_> {
        BodyReader { rest: self.body() }
    }
}

/// Removes the next complete frame from the start of `buffer`. Returns `None` if
/// the buffer holds no complete frame yet.
pub fn split_frame(buffer: &mut BytesMut, max_bytes: usize) -> Result<Option<WireFrame>> {
    let Some(length) = frame_length(buffer, max_bytes)? else {
        return Ok(None);
    };
    if buffer.len() < length {
        return Ok(None);
    }
    let bytes = buffer.split_to(length).freeze();
    Ok(Some(WireFrame { bytes }))
}

/// Returns the length in bytes of the frame at the start of `buffer`, including
/// the header. Returns `None` if the header is incomplete.
pub fn frame_length(buffer: &[u8], max_bytes: usize) -> Result<Option<usize>> {
    let header = Header::parse(buffer).map_err(|_| FrameError::BadLength)?;
    let Some(header) = header else {
        return Ok(None);
    };
    let length = header.len() as usize + 1;
    if length > max_bytes {
        return Err(FrameError::TooLong);
    }
    Ok(Some(length))
}

/// Decodes the fields of a frame's body in order.
#[derive(Clone, Copy, Debug)]
pub struct BodyReader<'a> {
    rest: &'a [u8],
}

impl<'a> BodyReader<'a> {
    /// Reads a text that is terminated by a zero byte.
    pub fn text(&mut self) -> Result<&'a str> {
        let end = self.rest.iter().position(|byte| *byte == 0);
        let end = end.ok_or(FrameError::BadBody)?;
        let text = std::str::from_utf8(&self.rest[..end]).map_err(|_| FrameError::BadBody)?;
        self.rest = &self.rest[end + 1..];
        Ok(text)
    }

    /// Reads one byte.
    pub fn byte(&mut self) -> Result<u8> {
        let (first, rest) = self.rest.split_first().ok_or(FrameError::BadBody)?;
        self.rest = rest;
        Ok(*first)
    }

    /// Reads a signed 16-bit number in network byte order.
    pub fn short(&mut self) -> Result<i16> {
        let (bytes, rest) = self.rest.split_first_chunk().ok_or(FrameError::BadBody)?;
        self.rest = rest;
        Ok(i16::from_be_bytes(*bytes))
    }

    /// Reads a signed 32-bit number in network byte order.
    pub fn long(&mut self) -> Result<i32> {
        let (bytes, rest) = self.rest.split_first_chunk().ok_or(FrameError::BadBody)?;
        self.rest = rest;
        Ok(i32::from_be_bytes(*bytes))
    }

    /// Returns the bytes that have not been read yet.
    pub fn rest(&self) -> &'a [u8] {
        self.rest
    }

    /// Reads `length` bytes.
    pub fn take(&mut self, length: usize) -> Result<&'a [u8]> {
        let (bytes, rest) = self
            .rest
            .split_at_checked(length)
            .ok_or(FrameError::BadBody)?;
        self.rest = rest;
        Ok(bytes)
    }
}

/// Returns the columns of a DataRow in text format; NULL is `None`.
pub fn text_columns(frame: &WireFrame) -> Result<Vec<Option<&str>>> {
    let mut reader = frame.reader();
    let count = reader.short()?;
    let mut columns = Vec::with_capacity(usize::try_from(count).unwrap_or(0));
    for _ in 0..count {
        let length = reader.long()?;
        let Ok(length) = usize::try_from(length) else {
            columns.push(None);
            continue;
        };
        let text = std::str::from_utf8(reader.take(length)?).map_err(|_| FrameError::BadBody)?;
        columns.push(Some(text));
    }
    Ok(columns)
}

/// Returns the SQLSTATE of an ErrorResponse or NoticeResponse.
pub fn error_sqlstate(frame: &WireFrame) -> Option<&str> {
    error_field(frame, b'C')
}

/// Returns the field with code `wanted` of an ErrorResponse or NoticeResponse.
pub fn error_field(frame: &WireFrame, wanted: u8) -> Option<&str> {
    let mut reader = frame.reader();
    loop {
        let field = reader.byte().ok()?;
        if field == 0 {
            return None;
        }
        let text = reader.text().ok()?;
        if field == wanted {
            return Some(text);
        }
    }
}

fn put_frame(out: &mut BytesMut, tag: u8, body: impl FnOnce(&mut BytesMut)) {
    out.put_u8(tag);
    let start = out.len();
    out.put_i32(0);
    body(out);
    let length = (out.len() - start) as i32;
    out[start..start + 4].copy_from_slice(&length.to_be_bytes());
}

fn put_text(out: &mut BytesMut, text: &str) {
    // Truncates at the first zero byte: it would end the field early, and the
    // rest of the text would be decoded as the next fields.
    let text = text.split('\0').next().unwrap_or_default();
    out.put_slice(text.as_bytes());
    out.put_u8(0);
}

/// Severity of an ErrorResponse or NoticeResponse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorSeverity {
    /// The statement failed; the session continues.
    Error,
    /// The session ends.
    Fatal,
    /// Informs the caller only; sent as a NoticeResponse.
    Notice,
}

impl ErrorSeverity {
    const fn text(self) -> &'static str {
        match self {
            Self::Error => "ERROR",
            Self::Fatal => "FATAL",
            Self::Notice => "NOTICE",
        }
    }
}

/// Encodes an ErrorResponse or NoticeResponse. Empty texts are left out.
pub fn put_error(
    out: &mut BytesMut,
    severity: ErrorSeverity,
    sqlstate: &str,
    message: &str,
    detail: &str,
) {
    let tag = match severity {
        ErrorSeverity::Notice => tag::NOTICE,
        _ => tag::ERROR,
    };
    put_frame(out, tag, |out| {
        for (field, text) in [
            (b'S', severity.text()),
            (b'V', severity.text()),
            (b'C', sqlstate),
            (b'M', message),
            (b'D', detail),
        ] {
            if text.is_empty() {
                continue;
            }
            out.put_u8(field);
            put_text(out, text);
        }
        out.put_u8(0);
    });
}

/// Encodes a result code as an ErrorResponse or NoticeResponse. The detail field
/// holds its number as `cassia_code=NNNN`; `reason` is added to the message.
pub fn put_result(out: &mut BytesMut, severity: ErrorSeverity, code: ResultCode, reason: &str) {
    let mut message = code.message().to_owned();
    if !reason.is_empty() {
        message.push_str(": ");
        message.push_str(reason);
    }
    let detail = format!("cassia_code={}", code.number());
    put_error(out, severity, code.sqlstate(), &message, &detail);
}

/// SQLSTATE of an answer to a message that violates the protocol.
pub const PROTOCOL_VIOLATION: &str = "08P01";

/// Encodes a ReadyForQuery; `status` is `I`, `T` or `E`.
pub fn put_ready(out: &mut BytesMut, status: u8) {
    put_frame(out, tag::READY, |out| out.put_u8(status));
}

/// Encodes a CommandComplete.
pub fn put_complete(out: &mut BytesMut, command_tag: &str) {
    put_frame(out, tag::COMMAND_COMPLETE, |out| put_text(out, command_tag));
}

/// Encodes a ParameterStatus.
pub fn put_parameter(out: &mut BytesMut, name: &str, value: &str) {
    put_frame(out, tag::PARAMETER_STATUS, |out| {
        put_text(out, name);
        put_text(out, value);
    });
}

/// Encodes a BackendKeyData.
pub fn put_backend_key(out: &mut BytesMut, process: i32, secret: i32) {
    put_frame(out, tag::BACKEND_KEY, |out| {
        out.put_i32(process);
        out.put_i32(secret);
    });
}

/// Encodes a frame without a body, such as ParseComplete or NoData.
pub fn put_empty(out: &mut BytesMut, tag: u8) {
    put_frame(out, tag, |_| ());
}

/// Encodes a ParameterDescription without parameters.
pub fn put_no_parameters(out: &mut BytesMut) {
    put_frame(out, tag::PARAMETER_DESCRIPTION, |out| out.put_i16(0));
}

/// Object id (OID) of the type `text`.
const TEXT_TYPE: i32 = 25;

/// Encodes the RowDescription of one text column.
pub fn put_text_description(out: &mut BytesMut, column: &str) {
    put_frame(out, tag::ROW_DESCRIPTION, |out| {
        out.put_i16(1);
        put_text(out, column);
        out.put_i32(0);
        out.put_i16(0);
        out.put_i32(TEXT_TYPE);
        out.put_i16(-1);
        out.put_i32(-1);
        out.put_i16(0);
    });
}

/// Encodes a DataRow with one text column.
pub fn put_text_row(out: &mut BytesMut, value: &str) {
    put_frame(out, tag::DATA_ROW, |out| {
        out.put_i16(1);
        out.put_i32(value.len() as i32);
        out.put_slice(value.as_bytes());
    });
}

/// Encodes a Query.
pub fn put_query(out: &mut BytesMut, text: &str) {
    put_frame(out, tag::QUERY, |out| put_text(out, text));
}

/// Encodes a Parse. `types` holds the parameter types as the caller sent them,
/// including their count.
pub fn put_parse(out: &mut BytesMut, name: &str, text: &str, types: &[u8]) {
    put_frame(out, tag::PARSE, |out| {
        put_text(out, name);
        put_text(out, text);
        out.put_slice(types);
    });
}

/// Encodes a Bind. `values` holds the rest of the body as the caller sent it.
pub fn put_bind(out: &mut BytesMut, portal: &str, statement: &str, values: &[u8]) {
    put_frame(out, tag::BIND, |out| {
        put_text(out, portal);
        put_text(out, statement);
        out.put_slice(values);
    });
}

/// Encodes a Describe (`tag::DESCRIBE`) or Close (`tag::CLOSE`) of a statement
/// (`S`) or portal (`P`).
pub fn put_named(out: &mut BytesMut, tag: u8, variant: u8, name: &str) {
    put_frame(out, tag, |out| {
        out.put_u8(variant);
        put_text(out, name);
    });
}
