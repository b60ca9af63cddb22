//! A connection to a backend server.
//!
//! A connection carries the statements of one exchange at a time. Each wait for
//! the server has a deadline. A connection with an outstanding answer is never
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
use crate::pool::IdleState;

/// Idle time before the first TCP keep-alive probe. With the interval and the
/// number of probes below, a dead peer is detected after 11 s. This is sooner
/// than another host takes over the connection share of a dead host
/// (`takeover_after`, 15 s).
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
const KEEPALIVE_PROBES: u32 = 3;

/// Buffer space that is reserved for one read from the socket, in bytes.
const READ_BYTES: usize = 16 << 10;

/// Largest frame accepted from a backend server.
const BACKEND_FRAME_MAX_BYTES: usize = 1 << 30;

/// Transaction status in ReadyForQuery: outside of a transaction.
pub const STATUS_IDLE: u8 = b'I';
/// Transaction status in ReadyForQuery: inside a transaction.
pub const STATUS_TRANSACTION: u8 = b'T';
/// Transaction status in ReadyForQuery: inside a failed transaction.
pub const STATUS_FAILED: u8 = b'E';

/// Result of an operation on a connection.
pub type Result<T> = std::result::Result<T, BackendError>;

/// Why an operation on a connection failed. The connection cannot be used any
/// more.
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
    /// The backend server violated the protocol.
    Protocol(String),
}

/// SQLSTATE of a refusal because the server's connection limit is reached.
const TOO_MANY_CONNECTIONS: &str = "53300";

impl BackendError {
    /// Returns whether the server refused the connection because its connection
    /// limit is reached.
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

/// Identifies a database session in a cancel request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackendCancelKey {
    /// Process id of the session at the backend server.
    pub process: i32,
    /// Secret key that authorises the request.
    pub secret: i32,
}

/// A connection to a backend server.
///
/// # Invariants
///
/// `outstanding` counts the ReadyForQuery frames that have not arrived yet. The
/// connection may be reused only while the count is zero.
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
    /// The term that a statement at the primary relies on; `None` if the current
    /// use of the connection does not depend on a term. Operations fail once the
    /// term has ended.
    term: Option<TermWatch>,
}

impl BackendConnection {
    /// Opens a connection and logs in.
    ///
    /// # Errors
    ///
    /// Fails if the server cannot be reached, refuses the login, or does not
    /// answer by `deadline`.
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

    /// Returns the key for cancel requests, if the server sent one.
    pub fn cancel_key(&self) -> Option<BackendCancelKey> {
        self.cancel_key
    }

    /// Returns the time at which the connection was opened. Nothing that was read
    /// from it can be older.
    pub fn opened_at(&self) -> Instant {
        self.opened_at
    }

    /// Returns the time at which the last byte was received.
    pub fn received_at(&self) -> Instant {
        self.received_at
    }

    /// Returns the transaction status in the last ReadyForQuery.
    pub fn status(&self) -> u8 {
        self.status
    }

    /// Returns the highest log position that the server has reported on this
    /// connection.
    pub fn known_position(&self) -> LogPosition {
        self.known_position
    }

    /// Records a log position that the server reported on this connection.
    pub fn record_position(&mut self, position: LogPosition) {
        self.known_position = self.known_position.max(position);
    }

    /// Returns the keys of the statements prepared on this connection.
    pub fn prepared(&mut self) -> &mut HashSet<u128> {
        &mut self.prepared
    }

    /// Sets the term with whose end operations fail; `None` removes it.
    pub fn set_term(&mut self, term: Option<TermWatch>) {
        self.term = term;
    }

    /// Waits until the term of [`Self::set_term`] has ended; without a term this
    /// never returns.
    pub async fn term_ended(&mut self) {
        term_ended(&mut self.term).await;
    }

    /// Requires DISCARD ALL before the connection is reused.
    pub fn require_discard(&mut self) {
        self.needs_discard = true;
    }

    /// Returns whether DISCARD ALL must run before the connection is reused.
    pub fn needs_discard(&self) -> bool {
        self.needs_discard
    }

    /// Records that DISCARD ALL has discarded the session state at the server.
    pub fn record_discard(&mut self) {
        self.needs_discard = false;
        self.prepared.clear();
    }

    /// Returns whether no answer is outstanding and no operation has failed.
    pub fn is_quiescent(&self) -> bool {
        !self.broken
            && !self.in_pipeline
            && self.outstanding == 0
            && self.input.is_empty()
            && self.output.is_empty()
    }

    /// Returns whether another session may use the connection at once.
    pub fn is_reusable(&self) -> bool {
        self.is_quiescent() && self.status == STATUS_IDLE && !self.needs_discard
    }

    /// Returns the buffer of the frames to send. `ready_count` is the number of
    /// ReadyForQuery frames with which the server will answer the added frames.
    pub fn compose(&mut self, ready_count: u32) -> &mut BytesMut {
        self.outstanding += ready_count;
        &mut self.output
    }

    /// Records that frames of a pipeline were sent without the Sync that ends it.
    pub fn record_pipeline(&mut self) {
        self.in_pipeline = true;
    }

    /// Adds a Query message with `text` to the frames to send.
    pub fn compose_query(&mut self, text: &str) {
        frame::put_query(self.compose(1), text);
    }

    /// Sends the composed frames.
    ///
    /// # Errors
    ///
    /// Fails if the connection is lost, the deadline passes or the term ends.
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

    /// Returns the next frame from the server.
    ///
    /// # Errors
    ///
    /// Fails if the connection is lost, the server violates the protocol, the
    /// deadline passes or the term ends.
    pub async fn next_frame(&mut self, deadline: Instant) -> Result<WireFrame> {
        loop {
            match frame::split_frame(&mut self.input, BACKEND_FRAME_MAX_BYTES) {
                Ok(Some(frame)) => {
                    self.record_frame(&frame);
                    return Ok(frame);
                }
                Ok(None) => self.receive(deadline).await?,
                Err(error) => return Err(self.fail(BackendError::Protocol(error.to_string()))),
            }
        }
    }

    /// Returns whether the next frame has been received as a whole.
    pub fn has_frame(&self) -> bool {
        frame::frame_length(&self.input, BACKEND_FRAME_MAX_BYTES)
            .is_ok_and(|length| length.is_some_and(|length| length <= self.input.len()))
    }

    /// Waits for the first byte of an answer; returns false if none has arrived
    /// by `instant`. Also returns true when the term ends; the next read then
    /// fails for that reason.
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

    /// Reads the bytes that have arrived; returns whether an answer has begun or
    /// the read failed.
    pub fn is_readable(&mut self) -> bool {
        !self.input.is_empty() || !matches!(self.receive_ready(), Ok(false))
    }

    /// Waits until the socket has something to read or is closed.
    pub async fn readable(&self) -> std::io::Result<()> {
        self.stream.readable().await
    }

    /// Returns what the socket of an idle connection shows. It must not be called
    /// while the connection is in use, because the check may consume a byte.
    pub fn idle_state(&self) -> IdleState {
        idle_state(&self.stream)
    }

    /// Reads the bytes that have arrived, without waiting; returns false if there
    /// are none.
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

    /// Waits for more bytes and reads them.
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

    /// Updates the state of the connection if the frame is a ReadyForQuery.
    fn record_frame(&mut self, frame: &WireFrame) {
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

    /// Marks the connection as unusable and returns `error`.
    fn fail(&mut self, error: BackendError) -> BackendError {
        // INVARIANT: a connection with a failed operation is never reused.
        self.broken = true;
        error
    }
}

/// Waits until the term has ended; without a term this never returns.
async fn term_ended(term: &mut Option<TermWatch>) {
    match term {
        Some(term) => term.ended().await,
        None => std::future::pending().await,
    }
}

fn superseded() -> BackendError {
    BackendError::Lost("a higher term is known".to_owned())
}

/// Turns on TCP_NODELAY and keep-alive probes.
pub(crate) fn configure(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}

/// Returns what the socket of an idle connection shows. The check may consume a byte.
pub(crate) fn idle_state(stream: &TcpStream) -> IdleState {
    let mut probe = [0; 1];
    match stream.try_read(&mut probe) {
        Ok(0) => IdleState::Closed,
        Ok(_) => IdleState::Surplus,
        Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => IdleState::Alive,
        Err(_) => IdleState::Closed,
    }
}

/// Sends a cancel request for a database session, on a separate connection as
/// the protocol requires.
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
