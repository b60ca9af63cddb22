//! One exchange with a backend server: sends the work, passes its answer on
//! frame by frame, and reads the position behind it.

use std::time::{Duration, Instant};

use protocol::frame::{self, tag, WireFrame};
use state::log::LogPosition;
use state::member::MemberRole;

use super::io::CallerIo;
use super::plan::{ExpectedReply, ReplyPlan};
use super::work::Work;
use coordination::retry::SendProgress;

use crate::backend::{BackendConnection, BackendError};
use crate::pool::PooledConnection;

/// Text of the position query.
pub(super) const POSITION_QUERY: &str = "SELECT role, term, \"offset\" FROM cassia_position";

/// Answer bytes that are kept before they are sent to the caller while the
/// answer is not held.
const STREAM_BYTES: usize = 32 << 10;
/// Answer bytes of a write that are held for its confirmation.
const HOLD_BYTES: usize = 1 << 20;
/// Message to a server that expects COPY data.
const COPY_REFUSAL: &str = "COPY FROM STDIN is not supported here (cassia_code=1010)";

/// What to do in one exchange.
#[derive(Debug)]
pub(super) struct ExchangeOrder<'a> {
    /// Queries in front of the work, whose answers the caller does not see.
    pub(super) prefix: &'a [String],
    /// Whether the work's answer is dropped when a prefix query fails.
    pub(super) needs_prefix: bool,
    /// The work.
    pub(super) work: &'a Work<'a>,
    /// Whether the position query follows.
    pub(super) ask_position: bool,
    /// Whether the final CommandComplete is held.
    pub(super) hold: bool,
    /// Instant by which the answer must begin.
    pub(super) deadline: Instant,
    /// Longest silence once the answer has begun.
    pub(super) patience: Duration,
}

/// SQLSTATE of an error.
pub(super) type SqlState = [u8; 5];

/// What an exchange brought.
#[derive(Debug, Default)]
pub(super) struct ExchangeReport {
    /// Error of a prefix query, with its index.
    pub(super) prefix_error: Option<(usize, SqlState)>,
    /// First error of the work.
    pub(super) error: Option<SqlState>,
    /// Whether the error ends the connection.
    pub(super) fatal: bool,
    /// Command tag of the last complete statement of the work.
    pub(super) command_tag: Option<String>,
    /// Transaction status after the work.
    pub(super) status: u8,
    /// Position behind the work.
    pub(super) position: Option<PositionReading>,
    /// Names whose Parse failed.
    pub(super) failed_names: Vec<Box<str>>,
}

/// Answer to the position query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PositionReading {
    /// Role of the member.
    pub(super) role: MemberRole,
    /// Its position.
    pub(super) position: LogPosition,
}

/// Why an exchange has no report.
#[derive(Debug)]
pub(super) enum ExchangeFailure {
    /// The connection to the backend server failed.
    Backend {
        /// Error.
        error: BackendError,
        /// How far it had come.
        progress: SendProgress,
    },
    /// The caller's connection failed.
    Caller(std::io::Error),
}

/// Runs exchanges for one caller.
pub(super) struct ExchangeRunner<'a> {
    io: &'a mut CallerIo,
    connection: &'a mut PooledConnection,
    /// When the connection counts as silent, until its first byte has arrived.
    silent_at: Option<Instant>,
    /// Where the answer starts in the caller's output.
    floor: usize,
    /// Start of the CommandComplete that is held, if it is the last frame.
    last_complete: Option<usize>,
    answer_started: bool,
    discard: bool,
    report: ExchangeReport,
}

/// Runs one exchange. On a failure nothing of the answer is left in the
/// caller's output, unless a part was sent already.
pub(super) async fn run(
    io: &mut CallerIo,
    connection: &mut PooledConnection,
    order: &ExchangeOrder<'_>,
) -> Result<ExchangeReport, ExchangeFailure> {
    let floor = io.output.len();
    let now = Instant::now();
    let silent_at = now + order.deadline.saturating_duration_since(now) / 2;
    let mut runner = ExchangeRunner {
        io,
        connection,
        silent_at: Some(silent_at),
        floor,
        last_complete: None,
        answer_started: false,
        discard: false,
        report: ExchangeReport::default(),
    };
    match runner.run(order).await {
        Ok(()) => Ok(runner.report),
        Err(RelayError::Caller(error)) => Err(ExchangeFailure::Caller(error)),
        Err(RelayError::Backend(error)) => Err(runner.fail(error)),
    }
}

enum RelayError {
    Backend(BackendError),
    Caller(std::io::Error),
}

impl From<BackendError> for RelayError {
    fn from(error: BackendError) -> Self {
        Self::Backend(error)
    }
}

impl From<std::io::Error> for RelayError {
    fn from(error: std::io::Error) -> Self {
        Self::Caller(error)
    }
}

impl ExchangeRunner<'_> {
    async fn run(&mut self, order: &ExchangeOrder<'_>) -> Result<(), RelayError> {
        for query in order.prefix {
            self.connection.compose_query(query);
        }
        let mut plan = order.work.encode(self.connection);
        if order.ask_position {
            self.connection.compose_query(POSITION_QUERY);
        }
        self.connection.send(order.deadline).await?;
        for index in 0..order.prefix.len() {
            self.read_prefix(index, order).await?;
        }
        self.discard = order.needs_prefix && self.report.prefix_error.is_some();
        self.relay(&mut plan, order).await?;
        self.report.status = self.connection.status();
        if order.ask_position {
            self.report.position = read_position(self.connection, order.deadline).await?;
        }
        Ok(())
    }

    async fn read_prefix(
        &mut self,
        index: usize,
        order: &ExchangeOrder<'_>,
    ) -> Result<(), RelayError> {
        loop {
            let frame = self.next_frame(order.deadline).await?;
            match frame.tag() {
                tag::READY => return Ok(()),
                tag::ERROR if self.report.prefix_error.is_none() => {
                    self.report.prefix_error = Some((index, sqlstate(&frame)));
                }
                _ => {}
            }
        }
    }

    /// Returns the next frame. When half the deadline has passed without a
    /// byte, a new connection tells whether the server or the connection is at
    /// fault; a silent connection of a live server is given up.
    async fn next_frame(&mut self, deadline: Instant) -> Result<WireFrame, RelayError> {
        if let Some(silent_at) = self.silent_at.take() {
            if !self.connection.has_input_by(silent_at).await {
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

    async fn relay(
        &mut self,
        plan: &mut ReplyPlan,
        order: &ExchangeOrder<'_>,
    ) -> Result<(), RelayError> {
        let mut deadline = order.deadline;
        loop {
            while let Some(answer) = plan.take_answer() {
                self.io.output.extend_from_slice(&answer);
            }
            if plan.is_done() {
                return Ok(());
            }
            let frame = self.next_frame(deadline).await?;
            self.take_frame(&frame, plan, order).await?;
            if !self.connection.has_frame() {
                deadline = deadline.max(Instant::now() + order.patience);
            }
            self.relieve(order).await?;
        }
    }

    async fn take_frame(
        &mut self,
        frame: &WireFrame,
        plan: &mut ReplyPlan,
        order: &ExchangeOrder<'_>,
    ) -> Result<(), RelayError> {
        let ended = plan.take_ended(frame.tag());
        match frame.tag() {
            tag::READY => {
                plan.end();
                return Ok(());
            }
            tag::ERROR => {
                self.note_error(frame);
                self.report.failed_names.extend(plan.skip_to_sync());
            }
            tag::COPY_IN | tag::COPY_BOTH => return self.refuse_copy(order).await,
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
        if self.discard {
            return;
        }
        let is_complete = frame.tag() == tag::COMMAND_COMPLETE;
        self.last_complete = is_complete.then_some(self.io.output.len());
        self.io.output.extend_from_slice(frame.bytes());
    }

    fn note_error(&mut self, frame: &WireFrame) {
        let severity = frame::error_field(frame, b'V').unwrap_or_default();
        self.report.fatal |= matches!(severity, "FATAL" | "PANIC");
        if self.report.error.is_none() {
            self.report.error = Some(sqlstate(frame));
        }
    }

    async fn refuse_copy(&mut self, order: &ExchangeOrder<'_>) -> Result<(), RelayError> {
        let out = self.connection.compose(0);
        postgres_protocol::message::frontend::copy_fail(COPY_REFUSAL, out)?;
        self.connection.send(order.deadline).await?;
        Ok(())
    }

    /// Sends a part of a large answer to the caller, which bounds the memory.
    async fn relieve(&mut self, order: &ExchangeOrder<'_>) -> Result<(), RelayError> {
        let limit = if order.hold { HOLD_BYTES } else { STREAM_BYTES };
        let length = self.io.output.len();
        if length - self.floor.min(length) < limit {
            return Ok(());
        }
        let held_from = self.last_complete.filter(|_| order.hold);
        let sent = held_from.unwrap_or(length);
        self.io.flush_front(sent).await?;
        self.answer_started = true;
        self.floor = 0;
        self.last_complete = self.last_complete.map(|start| start.saturating_sub(sent));
        Ok(())
    }

    fn fail(&mut self, error: BackendError) -> ExchangeFailure {
        self.io.output.truncate(self.floor);
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

/// Reads the answer to the position query. An error, for instance in a failed
/// transaction, gives no reading.
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
