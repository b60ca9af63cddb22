//! One exchange with a backend server: sends the caller's request, forwards the
//! answer frame by frame, and then reads the member's log position.

use std::time::{Duration, Instant};

use protocol::frame::{self, tag, WireFrame};
use state::log::LogPosition;
use state::member::MemberRole;

use super::io::CallerIo;
use super::replies::{ExpectedReply, ReplyQueue};
use super::request::CallerRequest;
use coordination::retry::SendProgress;

use crate::backend::{BackendConnection, BackendError};
use crate::pool::PooledConnection;

/// Query for the member's role and log position.
pub(super) const POSITION_QUERY: &str = "SELECT role, term, \"offset\" FROM cassia_position";

/// Number of answer bytes that are buffered before they are sent to the caller,
/// when the answer is not held back.
const STREAM_BYTES: usize = 32 << 10;
/// Number of answer bytes of a write that are buffered until its confirmation.
const HELD_BYTES: usize = 1 << 20;
/// CopyFail message for a server that expects COPY data.
const COPY_REFUSAL: &str = "COPY FROM STDIN is not supported here (cassia_code=1010)";

/// Request, surrounding queries and time limits of one exchange.
#[derive(Debug)]
pub(super) struct ExchangeSpec<'a> {
    /// Queries sent before the request; their answers are not forwarded.
    pub(super) prefix: &'a [String],
    /// Whether the answer to the request is dropped when a prefix query fails.
    pub(super) needs_prefix: bool,
    /// The caller's request.
    pub(super) request: &'a CallerRequest<'a>,
    /// Whether the position query follows the request.
    pub(super) ask_position: bool,
    /// Whether the final CommandComplete is held back until the commit is
    /// confirmed.
    pub(super) hold: bool,
    /// Instant by which the answer must begin.
    pub(super) deadline: Instant,
    /// Longest time without input from the server once the answer has begun.
    pub(super) idle_timeout: Duration,
}

/// The five characters of a SQLSTATE.
pub(super) type SqlState = [u8; 5];

/// Result of an exchange.
#[derive(Debug, Default)]
pub(super) struct ExchangeReport {
    /// First error of a prefix query, with the index of the query.
    pub(super) prefix_error: Option<(usize, SqlState)>,
    /// First error in the answer to the request.
    pub(super) error: Option<SqlState>,
    /// Whether the severity of an error was FATAL or PANIC, which ends the
    /// connection.
    pub(super) fatal: bool,
    /// Command tag of the last complete statement of the request.
    pub(super) command_tag: Option<String>,
    /// Transaction status after the request.
    pub(super) status: u8,
    /// Position that the member reported after the request.
    pub(super) position: Option<PositionReading>,
    /// Names of the prepared statements whose Parse failed.
    pub(super) failed_names: Vec<Box<str>>,
}

/// Answer to the position query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PositionReading {
    /// Role of the member.
    pub(super) role: MemberRole,
    /// Log position of the member.
    pub(super) position: LogPosition,
}

/// Failure of a connection during an exchange.
#[derive(Debug)]
pub(super) enum ExchangeFailure {
    /// The connection to the backend server failed.
    Backend {
        /// Error of the connection.
        error: BackendError,
        /// How much of the exchange had happened before the failure.
        progress: SendProgress,
    },
    /// The caller's connection failed.
    Caller(std::io::Error),
}

/// State of one running exchange.
pub(super) struct ExchangeRunner<'a> {
    io: &'a mut CallerIo,
    connection: &'a mut PooledConnection,
    /// Instant at which the server is probed over a new connection if no byte has
    /// arrived; `None` once the first frame was awaited.
    probe_at: Option<Instant>,
    /// Offset at which the answer starts in the caller's output.
    answer_start: usize,
    /// Offset of the last frame in the caller's output if that frame is a
    /// CommandComplete.
    last_complete: Option<usize>,
    answer_started: bool,
    discard_answer: bool,
    report: ExchangeReport,
}

/// Runs one exchange. After a failure of the backend connection the caller's output
/// holds nothing of the answer; a part may have been sent to the caller already.
pub(super) async fn run(
    io: &mut CallerIo,
    connection: &mut PooledConnection,
    spec: &ExchangeSpec<'_>,
) -> Result<ExchangeReport, ExchangeFailure> {
    let answer_start = io.output.len();
    let now = Instant::now();
    let probe_at = now + spec.deadline.saturating_duration_since(now) / 2;
    let mut runner = ExchangeRunner {
        io,
        connection,
        probe_at: Some(probe_at),
        answer_start,
        last_complete: None,
        answer_started: false,
        discard_answer: false,
        report: ExchangeReport::default(),
    };
    match runner.run(spec).await {
        Ok(()) => Ok(runner.report),
        Err(ExchangeError::Caller(error)) => Err(ExchangeFailure::Caller(error)),
        Err(ExchangeError::Backend(error)) => Err(runner.fail(error)),
    }
}

enum ExchangeError {
    Backend(BackendError),
    Caller(std::io::Error),
}

impl From<BackendError> for ExchangeError {
    fn from(error: BackendError) -> Self {
        Self::Backend(error)
    }
}

impl From<std::io::Error> for ExchangeError {
    fn from(error: std::io::Error) -> Self {
        Self::Caller(error)
    }
}

impl ExchangeRunner<'_> {
    async fn run(&mut self, spec: &ExchangeSpec<'_>) -> Result<(), ExchangeError> {
        for query in spec.prefix {
            self.connection.compose_query(query);
        }
        let mut replies = spec.request.encode(self.connection);
        if spec.ask_position {
            self.connection.compose_query(POSITION_QUERY);
        }
        self.connection.send(spec.deadline).await?;
        for index in 0..spec.prefix.len() {
            self.read_prefix(index, spec).await?;
        }
        self.discard_answer = spec.needs_prefix && self.report.prefix_error.is_some();
        self.forward_answer(&mut replies, spec).await?;
        self.report.status = self.connection.status();
        if spec.ask_position {
            self.report.position = read_position(self.connection, spec.deadline).await?;
        }
        Ok(())
    }

    async fn read_prefix(
        &mut self,
        index: usize,
        spec: &ExchangeSpec<'_>,
    ) -> Result<(), ExchangeError> {
        loop {
            let frame = self.next_frame(spec.deadline).await?;
            match frame.tag() {
                tag::READY => return Ok(()),
                tag::ERROR if self.report.prefix_error.is_none() => {
                    self.report.prefix_error = Some((index, sqlstate(&frame)));
                }
                _ => {}
            }
        }
    }

    /// Returns the next frame. If no byte has arrived after half of the time to the
    /// deadline, a new connection shows whether the server or only this connection
    /// has failed. When the server answers on the new connection, this one counts
    /// as lost.
    async fn next_frame(&mut self, deadline: Instant) -> Result<WireFrame, ExchangeError> {
        if let Some(probe_at) = self.probe_at.take() {
            if !self.connection.has_input_by(probe_at).await {
                let pool = self.connection.pool().clone();
                let answers = tokio::select! {
                    answers = pool.probe_server(deadline) => answers,
                    () = self.connection.term_ended() => false,
                };
                if answers && !self.connection.is_readable() {
                    pool.close_idle_before(self.connection.received_at());
                    let reason = "silent while the server answers others";
                    return Err(BackendError::Lost(reason.to_owned()).into());
                }
            }
        }
        Ok(self.connection.next_frame(deadline).await?)
    }

    async fn forward_answer(
        &mut self,
        replies: &mut ReplyQueue,
        spec: &ExchangeSpec<'_>,
    ) -> Result<(), ExchangeError> {
        let mut deadline = spec.deadline;
        loop {
            while let Some(answer) = replies.take_answer() {
                self.io.output.extend_from_slice(&answer);
            }
            if replies.is_done() {
                return Ok(());
            }
            let frame = self.next_frame(deadline).await?;
            self.take_frame(&frame, replies, spec).await?;
            if !self.connection.has_frame() {
                deadline = deadline.max(Instant::now() + spec.idle_timeout);
            }
            self.flush_if_large(spec).await?;
        }
    }

    async fn take_frame(
        &mut self,
        frame: &WireFrame,
        replies: &mut ReplyQueue,
        spec: &ExchangeSpec<'_>,
    ) -> Result<(), ExchangeError> {
        let ended = replies.take_ended(frame.tag());
        match frame.tag() {
            tag::READY => {
                replies.end();
                return Ok(());
            }
            tag::ERROR => {
                self.record_error(frame);
                self.report.failed_names.extend(replies.skip_to_sync());
            }
            tag::COPY_IN | tag::COPY_BOTH => return self.refuse_copy(spec).await,
            tag::COMMAND_COMPLETE => {
                let command_tag = frame.reader().text().unwrap_or_default();
                self.report.command_tag = Some(command_tag.to_owned());
            }
            _ => {}
        }
        if let Some(ExpectedReply::Parse { key, name }) = ended {
            if let Some(key) = key {
                self.connection.prepared().insert(key);
            }
            if name.is_none() {
                return Ok(());
            }
        }
        self.forward(frame);
        Ok(())
    }

    fn forward(&mut self, frame: &WireFrame) {
        if self.discard_answer {
            return;
        }
        let is_complete = frame.tag() == tag::COMMAND_COMPLETE;
        self.last_complete = is_complete.then_some(self.io.output.len());
        self.io.output.extend_from_slice(frame.bytes());
    }

    fn record_error(&mut self, frame: &WireFrame) {
        let severity = frame::error_field(frame, b'V').unwrap_or_default();
        self.report.fatal |= matches!(severity, "FATAL" | "PANIC");
        if self.report.error.is_none() {
            self.report.error = Some(sqlstate(frame));
        }
    }

    async fn refuse_copy(&mut self, spec: &ExchangeSpec<'_>) -> Result<(), ExchangeError> {
        let out = self.connection.compose(0);
        postgres_protocol::message::frontend::copy_fail(COPY_REFUSAL, out)?;
        self.connection.send(spec.deadline).await?;
        Ok(())
    }

    /// Sends the buffered part of a large answer to the caller, to bound the memory.
    async fn flush_if_large(&mut self, spec: &ExchangeSpec<'_>) -> Result<(), ExchangeError> {
        let limit = if spec.hold { HELD_BYTES } else { STREAM_BYTES };
        let length = self.io.output.len();
        if length - self.answer_start.min(length) < limit {
            return Ok(());
        }
        let held_from = self.last_complete.filter(|_| spec.hold);
        let sent = held_from.unwrap_or(length);
        self.io.flush_front(sent).await?;
        self.answer_started = true;
        self.answer_start = 0;
        self.last_complete = self.last_complete.map(|start| start.saturating_sub(sent));
        Ok(())
    }

    fn fail(&mut self, error: BackendError) -> ExchangeFailure {
        self.io.output.truncate(self.answer_start);
        let progress = match self.answer_started {
            true => SendProgress::AnswerStarted,
            false => SendProgress::Sent,
        };
        ExchangeFailure::Backend { error, progress }
    }
}

fn sqlstate(frame: &WireFrame) -> SqlState {
    frame::error_sqlstate(frame)
        .and_then(|text| text.as_bytes().try_into().ok())
        .unwrap_or(*b"XX000")
}

/// Reads the answer to the position query. Returns `None` when the query failed,
/// for instance in a failed transaction.
pub(super) async fn read_position(
    connection: &mut BackendConnection,
    deadline: Instant,
) -> Result<Option<PositionReading>, BackendError> {
    let mut reading = None;
    loop {
        let frame = connection.next_frame(deadline).await?;
        match frame.tag() {
            tag::DATA_ROW => reading = parse_position(&frame),
            tag::READY => {
                if let Some(PositionReading { position, .. }) = reading {
                    connection.record_position(position);
                }
                return Ok(reading);
            }
            _ => {}
        }
    }
}

fn parse_position(frame: &WireFrame) -> Option<PositionReading> {
    let columns = frame::text_columns(frame).ok()?;
    let [Some(role), Some(term), Some(offset)] = columns.as_slice() else {
        return None;
    };
    let role = match *role {
        "primary" => MemberRole::Primary,
        "replica" => MemberRole::Replica,
        _ => return None,
    };
    Some(PositionReading {
        role,
        position: LogPosition::new(term.parse().ok()?, offset.parse().ok()?),
    })
}
