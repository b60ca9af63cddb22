//! One connection to a backend server.
//!
//! A connection carries the statements of one exchange at a time. Each wait
//! has a deadline. A connection on which an answer is outstanding is never
//! reused.

mod login;
mod pooling;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use protocol::frame::{self, tag, WireFrame};
use socket2::{SockRef, TcpKeepalive};
use state::log::LogPosition;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout_at;

pub use login::BackendIdentity;

use crate::group_handle::TermWatch;

/// Idle time before the first keep-alive probe. With the interval and count
/// below a dead peer is noticed after 11 s, before another host takes over
/// the connection share of a dead host (`takeover_after`, 15 s).
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
const KEEPALIVE_PROBES: u32 = 3;

/// Space reserved for one read from the socket.
const READ_BYTES: usize = 16 << 10;

/// Largest frame accepted from a backend server.
const BACKEND_FRAME_MAX_BYTES: usize = 1 << 30;

/// Status of the database session as ReadyForQuery reports it.
pub const STATUS_IDLE: u8 = b'I';
/// Inside a transaction.
pub const STATUS_TRANSACTION: u8 = b'T';
/// Inside a failed transaction.
pub const STATUS_FAILED: u8 = b'E';

/// Result of an operation on a connection.
pub type Result<T> = std::result::Result<T, BackendError>;

/// Why an operation on a connection failed. The connection is then unusable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackendError {
    /// The connection could not be opened.
    Connect(String),
    /// The backend server refused the connection at start-up.
    Refused {
        /// SQLSTATE of the refusal.
        sqlstate: String,
        /// Message of the refusal.
        message: String,
    },
    /// The connection was closed or failed.
    Lost(String),
    /// The deadline passed.
    TimedOut,
    /// The backend server sent something that is not the protocol.
    Protocol(String),
}

/// SQLSTATE with which a server refuses a connection at its limit.
const TOO_MANY_CONNECTIONS: &str = "53300";

impl BackendError {
    /// Tells whether the server refused a connection because it has as many as
    /// it accepts.
    pub fn is_limit_refusal(&self) -> bool {
        matches!(self, Self::Refused { sqlstate, .. } if sqlstate == TOO_MANY_CONNECTIONS)
    }
}

impl std::fmt::Display for BackendError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Connect(reason) => write!(formatter, "cannot connect: {reason}"),
            Self::Refused { sqlstate, message } => {
                write!(formatter, "connection refused with {sqlstate}: {message}")
            }
            Self::Lost(reason) => write!(formatter, "connection lost: {reason}"),
            Self::TimedOut => formatter.write_str("deadline passed"),
            Self::Protocol(reason) => write!(formatter, "protocol violation: {reason}"),
        }
    }
}

/// Key of a database session for cancel requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackendCancelKey {
    /// Process id.
    pub process: i32,
    /// Secret key.
    pub secret: i32,
}

/// One connection.
///
/// # Invariants
///
/// `outstanding` counts the ReadyForQuery frames that are still to come. The
/// connection may be reused only while it is zero.
#[derive(Debug)]
pub struct BackendConnection {
    stream: TcpStream,
    address: SocketAddr,
    input: BytesMut,
    output: BytesMut,
    outstanding: u32,
    broken: bool,
    in_pipeline: bool,
    status: u8,
    cancel_key: Option<BackendCancelKey>,
    opened_at: Instant,
    received_at: Instant,
    known_position: LogPosition,
    prepared: HashSet<u128>,
    needs_discard: bool,
    /// While a statement of the primary uses the connection: the term that it
    /// may rely on. An operation fails when that term has ended.
    term: Option<TermWatch>,
}

impl BackendConnection {
    /// Connects and logs in.
    pub async fn connect(
        address: SocketAddr,
        identity: &BackendIdentity,
        deadline: Instant,
    ) -> Result<Self> {
        let stream = timeout_at(deadline.into(), TcpStream::connect(address))
            .await
            .map_err(|_| BackendError::TimedOut)?
            .map_err(|error| BackendError::Connect(error.to_string()))?;
        configure(&stream).map_err(|error| BackendError::Connect(error.to_string()))?;
        let now = Instant::now();
        let mut connection = Self {
            stream,
            address,
            input: BytesMut::new(),
            output: BytesMut::new(),
            outstanding: 0,
            broken: false,
            in_pipeline: false,
            status: STATUS_IDLE,
            cancel_key: None,
            opened_at: now,
            received_at: now,
            known_position: LogPosition::START,
            prepared: HashSet::new(),
            needs_discard: false,
            term: None,
        };
        login::log_in(&mut connection, identity, deadline).await?;
        Ok(connection)
    }

    /// Returns the address of the backend server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the key for cancel requests.
    pub fn cancel_key(&self) -> Option<BackendCancelKey> {
        self.cancel_key
    }

    /// Returns the instant before which nothing was known through this
    /// connection.
    pub fn opened_at(&self) -> Instant {
        self.opened_at
    }

    /// Returns the instant of the last received byte.
    pub fn received_at(&self) -> Instant {
        self.received_at
    }

    /// Returns the transaction status of the last ReadyForQuery.
    pub fn status(&self) -> u8 {
        self.status
    }

    /// Returns the highest position that the server showed on this connection.
    pub fn known_position(&self) -> LogPosition {
        self.known_position
    }

    /// Enters a position that the server showed on this connection.
    pub fn note_position(&mut self, position: LogPosition) {
        self.known_position = self.known_position.max(position);
    }

    /// Returns the keys of the statements prepared on this connection.
    pub fn prepared(&mut self) -> &mut HashSet<u128> {
        &mut self.prepared
    }

    /// Lets operations fail once the watched term has ended, or no longer.
    pub fn set_term(&mut self, term: Option<TermWatch>) {
        self.term = term;
    }

    /// Waits until the term that the connection relies on has ended.
    pub async fn term_ended(&mut self) {
        term_ended(&mut self.term).await;
    }

    /// Requires DISCARD ALL before the connection is reused.
    pub fn require_discard(&mut self) {
        self.needs_discard = true;
    }

    /// Tells whether DISCARD ALL is required.
    pub fn needs_discard(&self) -> bool {
        self.needs_discard
    }

    /// Enters that the state of the database session was discarded.
    pub fn note_discarded(&mut self) {
        self.needs_discard = false;
        self.prepared.clear();
    }

    /// Tells whether no answer is outstanding and the connection works.
    pub fn is_settled(&self) -> bool {
        !self.broken
            && !self.in_pipeline
            && self.outstanding == 0
            && self.input.is_empty()
            && self.output.is_empty()
    }

    /// Tells whether the connection may serve another session at once.
    pub fn is_clean(&self) -> bool {
        self.is_settled() && self.status == STATUS_IDLE && !self.needs_discard
    }

    /// Returns the buffer for frames to send. `ready_count` is the number of
    /// ReadyForQuery frames that the added frames will cause.
    pub fn compose(&mut self, ready_count: u32) -> &mut BytesMut {
        self.outstanding += ready_count;
        &mut self.output
    }

    /// Enters that frames were sent whose Sync is still to come.
    pub fn note_pipeline(&mut self) {
        self.in_pipeline = true;
    }

    /// Adds a Query.
    pub fn compose_query(&mut self, text: &str) {
        frame::put_query(self.compose(1), text);
    }

    /// Sends the composed frames.
    pub async fn send(&mut self, deadline: Instant) -> Result<()> {
        let sent = tokio::select! {
            biased;
            sent = timeout_at(deadline.into(), self.stream.write_all(&self.output)) => sent,
            () = term_ended(&mut self.term) => return Err(self.fail(superseded())),
        };
        self.output.clear();
        match sent {
            Ok(Ok(())) => Ok(()),
            Ok(Err(error)) => Err(self.fail(BackendError::Lost(error.to_string()))),
            Err(_) => Err(self.fail(BackendError::TimedOut)),
        }
    }

    /// Returns the next frame.
    pub async fn next_frame(&mut self, deadline: Instant) -> Result<WireFrame> {
        loop {
            match frame::split_frame(&mut self.input, BACKEND_FRAME_MAX_BYTES) {
                Ok(Some(frame)) => {
                    self.note_frame(&frame);
                    return Ok(frame);
                }
                Ok(None) => self.receive(deadline).await?,
                Err(error) => return Err(self.fail(BackendError::Protocol(error.to_string()))),
            }
        }
    }

    /// Tells whether the next frame needs no read from the socket.
    pub fn has_frame(&self) -> bool {
        frame::frame_length(&self.input, BACKEND_FRAME_MAX_BYTES)
            .is_ok_and(|length| length.is_some_and(|length| length <= self.input.len()))
    }

    /// Waits for the first byte of an answer; returns false when none has come
    /// by `instant`. The end of the term ends the wait too; the next read then
    /// fails with it.
    pub async fn has_input_by(&mut self, instant: Instant) -> bool {
        if !self.input.is_empty() {
            return true;
        }
        tokio::select! {
            biased;
            readable = timeout_at(instant.into(), self.stream.readable()) => readable.is_ok(),
            () = term_ended(&mut self.term) => true,
        }
    }

    /// Takes what has arrived; tells whether an answer has begun.
    pub fn is_readable(&mut self) -> bool {
        !self.input.is_empty() || !matches!(self.receive_ready(), Ok(false))
    }

    /// Waits until the socket has something to read, or was closed.
    pub async fn readable(&self) -> std::io::Result<()> {
        self.stream.readable().await
    }

    /// Tells whether an idle connection still works. A closed one, or one
    /// with unexpected bytes, does not. Only for connections that are not in
    /// use, since it may take a byte.
    pub fn is_alive(&self) -> bool {
        let mut probe = [0; 1];
        let read = self.stream.try_read(&mut probe);
        matches!(read, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Reads what has arrived already; returns false when there is nothing.
    pub fn receive_ready(&mut self) -> Result<bool> {
        self.input.reserve(READ_BYTES);
        match self.stream.try_read_buf(&mut self.input) {
            Ok(0) => Err(self.fail(BackendError::Lost("closed by the server".to_owned()))),
            Ok(_) => {
                self.received_at = Instant::now();
                Ok(true)
            }
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => Ok(false),
            Err(error) => Err(self.fail(BackendError::Lost(error.to_string()))),
        }
    }

    async fn receive(&mut self, deadline: Instant) -> Result<()> {
        self.input.reserve(READ_BYTES);
        let read = tokio::select! {
            biased;
            read = timeout_at(deadline.into(), self.stream.read_buf(&mut self.input)) => read,
            () = term_ended(&mut self.term) => return Err(self.fail(superseded())),
        };
        match read {
            Ok(Ok(0)) => Err(self.fail(BackendError::Lost("closed by the server".to_owned()))),
            Ok(Ok(_)) => {
                self.received_at = Instant::now();
                Ok(())
            }
            Ok(Err(error)) => Err(self.fail(BackendError::Lost(error.to_string()))),
            Err(_) => Err(self.fail(BackendError::TimedOut)),
        }
    }

    fn note_frame(&mut self, frame: &WireFrame) {
        if frame.tag() != tag::READY {
            return;
        }
        self.in_pipeline = false;
        self.status = frame.body().first().copied().unwrap_or(STATUS_FAILED);
        match self.outstanding.checked_sub(1) {
            Some(outstanding) => self.outstanding = outstanding,
            None => self.broken = true,
        }
    }

    fn fail(&mut self, error: BackendError) -> BackendError {
        // INVARIANT: a connection with a failed operation is never reused.
        self.broken = true;
        error
    }
}

/// Waits until the term has ended; never returns without a term.
async fn term_ended(term: &mut Option<TermWatch>) {
    match term {
        Some(term) => term.ended().await,
        None => std::future::pending().await,
    }
}

fn superseded() -> BackendError {
    BackendError::Lost("a higher term is known".to_owned())
}

pub(crate) fn configure(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}

/// Sends a cancel request for a database session on a connection of its own.
pub async fn cancel(address: SocketAddr, key: BackendCancelKey, deadline: Instant) -> Result<()> {
    let send = async {
        let mut stream = TcpStream::connect(address).await?;
        let mut out = BytesMut::new();
        postgres_protocol::message::frontend::cancel_request(key.process, key.secret, &mut out);
        stream.write_all(&out).await?;
        stream.shutdown().await
    };
    timeout_at(deadline.into(), send)
        .await
        .map_err(|_| BackendError::TimedOut)?
        .map_err(|error| BackendError::Connect(error.to_string()))
}
