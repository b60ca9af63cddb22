//! One connection to a member of a managed group.

use std::collections::{BTreeMap, VecDeque};
use std::io::ErrorKind;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use protocol::forward::HolderRefusal;
use protocol::statement::{
    ForwardBody, MemberMessage, MemberRefusal, MemberStatement, PreparedShape, TransactionState,
};
use state::log::LogPosition;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout_at;

use super::answer_record::{AnswerRecord, AwaitedAnswer, ReceivedAnswer};
use super::codec::{MessageInput, StatementCodec};
use super::prepared_names::PreparedNames;
use super::statement_request::{MemberRequest, StatementBody};
use crate::backend;
use crate::pool::{IdleState, ReleaseState, ServerConnection};

/// Buffer space reserved for one read from the socket, in bytes.
const READ_BYTES: usize = 8 << 10;
/// Time limit for resetting a connection. A connection that takes longer is closed.
const RESET_TIMEOUT: Duration = Duration::from_secs(1);
/// Connections that one host opens to a member at the same time. Each costs 12 ms of a
/// slot of the member; after a loss of many hosts, all others open connections at once.
const ATTEMPTS_MAX: usize = 2;
/// Answers after which a connection is replaced. Its record must hold all of them, since a
/// second answer may come at any time; the hashes of so many take less than 64 KiB. Another
/// connection costs 12 ms of a slot.
const ANSWERS_MAX: u64 = 2_048;
/// Number of the connection that was opened last.
static LAST_NUMBER: AtomicU64 = AtomicU64::new(0);

/// Result of an operation on a connection.
pub(crate) type Result<T> = std::result::Result<T, ConnectionError>;

/// Why an operation failed. The connection is unusable afterwards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionError {
    /// The connection could not be opened.
    Connect(String),
    /// The member is at its connection limit: it said so, or it accepted the connection
    /// and closed or reset it before it answered the greeting.
    TurnedAway(String),
    /// The member refused the greeting.
    Refused(MemberRefusal),
    /// The connection was closed or failed.
    Lost(String),
    /// The deadline passed.
    TimedOut,
    /// The member's bytes violate the protocol.
    Protocol(String),
    /// An answer may belong to an earlier statement of the connection, or bytes arrived
    /// that no statement waits for. It is no failure of the member.
    Mismatched(String),
    /// No holder ran the forwarded statement, and no byte of it reached the member;
    /// `None` if no holder could be reached.
    NotForwarded(Option<HolderRefusal>),
    /// The member refused to prepare the holder's connection for the statement, which
    /// was not sent.
    SetupRefused(MemberRefusal),
    /// This host or the holder observed this failure before a byte of the statement was
    /// sent.
    BeforeStatement(Box<ConnectionError>),
    /// The statement was sent to a holder, whose reply did not come.
    ReplyLost(String),
}

impl ConnectionError {
    /// Returns the failure of the member that the error shows, if any. A failure of a
    /// holder says nothing about the member.
    pub(crate) fn member_failure(&self) -> Option<&Self> {
        match self {
            Self::NotForwarded(_)
            | Self::SetupRefused(_)
            | Self::ReplyLost(_)
            | Self::Mismatched(_) => None,
            Self::BeforeStatement(error) => error.member_failure(),
            other => Some(other),
        }
    }

    /// Returns whether an answer could not be attributed to a statement, so that another
    /// connection to the same member may run the statement.
    pub(crate) fn is_mismatch(&self) -> bool {
        match self {
            Self::Mismatched(_) => true,
            Self::BeforeStatement(error) => error.is_mismatch(),
            _ => false,
        }
    }

    /// Returns whether it is certain that the member received no byte of the statement.
    pub(crate) fn is_before_statement(&self) -> bool {
        matches!(
            self,
            Self::NotForwarded(_) | Self::SetupRefused(_) | Self::BeforeStatement(_)
        )
    }
}

impl ConnectionError {
    /// Returns the error of a connection that a member at its limit turned away.
    pub(crate) fn at_limit() -> Self {
        Self::TurnedAway(MemberRefusal::ConnectionLimit.name().to_owned())
    }
}

impl std::fmt::Display for ConnectionError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Connect(reason) => write!(formatter, "cannot connect: {reason}"),
            Self::TurnedAway(reason) => write!(formatter, "turned away: {reason}"),
            Self::Refused(refusal) => write!(formatter, "greeting refused: {}", refusal.name()),
            Self::Lost(reason) => write!(formatter, "connection lost: {reason}"),
            Self::TimedOut => formatter.write_str("deadline passed"),
            Self::Protocol(reason) => write!(formatter, "protocol violation: {reason}"),
            Self::Mismatched(reason) => write!(formatter, "answer not attributed: {reason}"),
            Self::NotForwarded(Some(reason)) => {
                write!(formatter, "not run by a holder: {}", reason.name())
            }
            Self::NotForwarded(None) => formatter.write_str("no holder could be reached"),
            Self::SetupRefused(refusal) => write!(formatter, "set-up refused: {}", refusal.name()),
            Self::BeforeStatement(error) => write!(formatter, "before the statement: {error}"),
            Self::ReplyLost(reason) => write!(formatter, "no reply of the holder: {reason}"),
        }
    }
}

/// Name of the account whose statements a connection runs; `None` for statements of
/// callers without an account and for the host's own questions.
pub(crate) type ConnectionOwner = Option<Arc<str>>;

/// Names that this host sends in the greeting of a connection.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionIdentity {
    pub(crate) group: String,
    pub(crate) member: String,
    /// Name of this host, which the member receives if the connection has no account.
    pub(crate) host: String,
}

/// Where an answer was read, for logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct AnswerOrigin {
    /// Number of the connection in this process; 0 for an answer that a holder read.
    pub(crate) connection: u64,
    /// Position of the answer among those of the connection; the first one is 1.
    pub(crate) ordinal: u64,
}

/// A member's answer to one statement.
#[derive(Clone, Debug)]
pub(crate) struct MemberAnswer {
    pub(crate) origin: AnswerOrigin,
    pub(crate) rows: Vec<Bytes>,
    /// The member's signature, which is empty for statements of this host, or its refusal
    /// with the text of the refusal.
    pub(crate) outcome: std::result::Result<Bytes, (MemberRefusal, String)>,
    pub(crate) position: Option<LogPosition>,
    /// Whether this is certainly no second answer to an earlier statement.
    pub(crate) is_first: bool,
}

/// State that a caller's session needs on a connection before its statement.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionSetup<'a> {
    /// Values of the session.
    pub(crate) values: &'a BTreeMap<String, String>,
    /// Prepared statement that is about to run.
    pub(crate) shape: Option<&'a PreparedShape>,
    /// Statement that begins a transaction.
    pub(crate) begin: Option<MemberStatement<'a>>,
    /// Database and priority under which a holder queues the statement.
    pub(crate) database: &'a str,
    pub(crate) priority: u8,
    /// Instant by which an answer is on target, for the holder's queue.
    pub(crate) target: Option<Instant>,
}

/// One connection to a member.
///
/// # Invariants
///
/// `awaited` holds the answers that the member still owes, in order. The connection is
/// reused only while it is empty, no refusal was received, and every answer so far was
/// attributed to its statement. `values` and `prepared` hold what the member acknowledged
/// on this connection. `origin` is that of the last answer.
#[derive(Debug)]
pub(crate) struct MemberConnection<K> {
    origin: AnswerOrigin,
    /// Id of the member, for logs.
    member: String,
    stream: TcpStream,
    input: MessageInput,
    output: BytesMut,
    awaited: VecDeque<AwaitedAnswer>,
    record: AnswerRecord,
    broken: bool,
    /// Whether the connection broke because of an answer that was not attributed.
    is_mismatched: bool,
    state: TransactionState,
    received_at: Instant,
    values: BTreeMap<String, String>,
    prepared: PreparedNames,
    codec: PhantomData<K>,
}

impl<K: StatementCodec> MemberConnection<K> {
    async fn open(
        address: SocketAddr,
        identity: &ConnectionIdentity,
        owner: &ConnectionOwner,
        deadline: Instant,
    ) -> Result<Self> {
        let stream = timeout_at(deadline.into(), TcpStream::connect(address))
            .await
            .map_err(|_| ConnectionError::TimedOut)?
            .map_err(|error| match error.kind() {
                // The member accepted the connection and reset it before the host looked:
                // an address without a listener refuses it.
                ErrorKind::ConnectionReset => ConnectionError::TurnedAway(error.to_string()),
                _ => ConnectionError::Connect(error.to_string()),
            })?;
        backend::configure(&stream)
            .map_err(|error| ConnectionError::TurnedAway(error.to_string()))?;
        let mut connection = Self {
            origin: AnswerOrigin {
                connection: LAST_NUMBER.fetch_add(1, Ordering::Relaxed) + 1,
                ordinal: 0,
            },
            member: identity.member.clone(),
            stream,
            input: MessageInput::default(),
            output: BytesMut::new(),
            awaited: VecDeque::new(),
            record: AnswerRecord::new(),
            broken: false,
            is_mismatched: false,
            state: TransactionState::Idle,
            received_at: Instant::now(),
            values: BTreeMap::new(),
            prepared: PreparedNames::default(),
            codec: PhantomData,
        };
        let ConnectionIdentity {
            group,
            member,
            host,
        } = identity;
        let client = owner.as_deref().unwrap_or(host);
        K::put_connect(&mut connection.output, group, client, member);
        match connection.greet(deadline).await.map_err(turned_away)? {
            MemberMessage::Ready { .. } => Ok(connection),
            MemberMessage::Refused { refusal, .. } => Err(match refusal {
                MemberRefusal::ConnectionLimit => ConnectionError::at_limit(),
                _ => ConnectionError::Refused(refusal),
            }),
            other => Err(ConnectionError::Protocol(format!(
                "{other:?} after the greeting"
            ))),
        }
    }

    async fn greet(&mut self, deadline: Instant) -> Result<MemberMessage> {
        self.send(deadline).await?;
        self.next_message(deadline).await
    }

    /// Returns the state of the transaction as of the member's last answer.
    pub(crate) fn state(&self) -> TransactionState {
        self.state
    }

    /// Returns whether the connection has answered a statement.
    pub(crate) fn has_answered(&self) -> bool {
        self.origin.ordinal > 0
    }

    /// Returns whether the session's values can be set without a reset. A reset removes
    /// the values of other sessions, and with them all prepared statements.
    pub(crate) fn can_apply(&self, setup: &ConnectionSetup<'_>) -> bool {
        self.values.keys().all(|key| setup.values.contains_key(key))
    }

    /// Brings the connection into the state that a session needs. Sends all
    /// statements for that at once, and returns the first refusal, if any.
    pub(crate) async fn prepare(
        &mut self,
        setup: &ConnectionSetup<'_>,
        deadline: Instant,
    ) -> Result<Option<MemberRefusal>> {
        self.check_silence()?;
        if !self.can_apply(setup) {
            self.enqueue(&MemberStatement::Reset);
            self.values.clear();
            self.prepared.clear();
        }
        for (name, value) in setup.values {
            if self.values.get(name) != Some(value) {
                self.enqueue(&MemberStatement::Set { name, value });
                self.values.insert(name.clone(), value.clone());
            }
        }
        let mut assigned = None;
        if let Some(shape) = setup.shape.filter(|shape| !self.prepared.contains(shape)) {
            for name in self.prepared.make_room(shape) {
                self.enqueue(&MemberStatement::Deallocate { name: &name });
            }
            let name = self.prepared.assign();
            self.enqueue(&MemberStatement::Prepare { name: &name, shape });
            assigned = Some((shape, name));
        }
        if let Some(begin) = &setup.begin {
            self.enqueue(begin);
        }
        if self.awaited.is_empty() {
            return Ok(None);
        }
        self.send(deadline).await?;
        let mut refused = None;
        while !self.awaited.is_empty() {
            let is_begin = setup.begin.is_some() && self.awaited.len() == 1;
            // Only the statement that begins a transaction follows PREPARE.
            let is_prepare = self.awaited.len() == 1 + usize::from(setup.begin.is_some());
            let outcome = self.answer(deadline).await?.outcome;
            let prepared = assigned.take_if(|_| is_prepare);
            match outcome {
                Ok(_) => {
                    if let Some((shape, name)) = prepared {
                        self.prepared.insert(shape, name);
                    }
                }
                Err((refusal, _)) => {
                    refused.get_or_insert(refusal);
                    // The state of the session at the member is no longer known.
                    self.broken |= !is_begin;
                }
            }
        }
        Ok(refused)
    }

    /// Sends a caller's statement and waits for its answer. A prepared statement that the
    /// member did not acknowledge on this connection is not sent.
    pub(super) async fn run(
        &mut self,
        request: &MemberRequest<'_>,
        deadline: Instant,
    ) -> Result<MemberAnswer> {
        self.check_silence()
            .map_err(|error| ConnectionError::BeforeStatement(Box::new(error)))?;
        let body = match request.body {
            StatementBody::Text(text) => ForwardBody::Text(text),
            StatementBody::Commit => ForwardBody::Commit,
            StatementBody::Execute { shape, arguments } => {
                let unknown = ConnectionError::SetupRefused(MemberRefusal::UnknownStatement);
                let name = self.prepared.use_name(shape).ok_or(unknown)?;
                ForwardBody::Execute { name, arguments }
            }
        };
        let statement = MemberStatement::Forward {
            id: request.id,
            since: request.since,
            body,
        };
        let awaited = AnswerRecord::expect(&statement);
        self.awaited.push_back(match request.is_repeatable {
            true => awaited.of_repeatable(),
            false => awaited,
        });
        K::put_statement(&mut self.output, &statement);
        self.send(deadline).await?;
        let answer = self.answer(deadline).await?;
        if let (Some(shape), Err((MemberRefusal::UnknownStatement, _))) =
            (request.body.shape(), &answer.outcome)
        {
            self.prepared.remove(shape);
        }
        Ok(answer)
    }

    /// Sends a statement of this host and waits for its answer.
    pub(crate) async fn ask(
        &mut self,
        statement: &MemberStatement<'_>,
        deadline: Instant,
    ) -> Result<MemberAnswer> {
        self.check_silence()
            .map_err(|error| ConnectionError::BeforeStatement(Box::new(error)))?;
        self.enqueue(statement);
        self.send(deadline).await?;
        self.answer(deadline).await
    }

    fn enqueue(&mut self, statement: &MemberStatement<'_>) {
        K::put_statement(&mut self.output, statement);
        self.awaited.push_back(AnswerRecord::expect(statement));
    }

    /// Fails if bytes have arrived that no statement waits for: a second answer to an
    /// earlier statement, which would be read as that of the next one.
    fn check_silence(&mut self) -> Result<()> {
        if self.input.is_empty() {
            match self.stream.try_read_buf(self.input.space(READ_BYTES)) {
                Ok(0) => {
                    let reason = "closed by the member".to_owned();
                    return Err(self.fail(ConnectionError::Lost(reason)));
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) => return Err(self.fail(ConnectionError::Lost(error.to_string()))),
                Ok(_) => {}
            }
        }
        Err(self.mismatch("bytes before the statement"))
    }

    async fn send(&mut self, deadline: Instant) -> Result<()> {
        let sent = timeout_at(deadline.into(), self.stream.write_all_buf(&mut self.output)).await;
        match sent {
            Ok(Ok(())) => Ok(()),
            Ok(Err(error)) => Err(self.fail(ConnectionError::Lost(error.to_string()))),
            Err(_) => Err(self.fail(ConnectionError::TimedOut)),
        }
    }

    async fn answer(&mut self, deadline: Instant) -> Result<MemberAnswer> {
        let mut rows = Vec::new();
        let mut outcome = None;
        loop {
            match self.next_message(deadline).await? {
                MemberMessage::Row(row) if outcome.is_none() => rows.push(row),
                MemberMessage::Complete { signature } if outcome.is_none() => {
                    outcome = Some(Ok(signature));
                }
                MemberMessage::Refused { refusal, text } if outcome.is_none() => {
                    outcome = Some(Err((refusal, text)));
                }
                MemberMessage::Ready { state, position } => {
                    let Some(outcome) = outcome else {
                        return Err(self.mismatch("the end of an answer without a result"));
                    };
                    let received = ReceivedAnswer {
                        rows: &rows,
                        success: outcome.as_ref().ok().map(Option::as_ref),
                        state,
                        position,
                    };
                    let Some(awaited) = self.awaited.pop_front() else {
                        return Err(self.mismatch("an answer without a statement"));
                    };
                    let is_first = match self.record.admit(awaited, &received, self.state) {
                        Ok(is_first) => is_first,
                        Err(reason) => return Err(self.mismatch(reason)),
                    };
                    self.state = state;
                    self.origin.ordinal += 1;
                    return Ok(MemberAnswer {
                        origin: self.origin,
                        rows,
                        outcome: outcome.map(Option::unwrap_or_default),
                        position,
                        is_first,
                    });
                }
                _ => return Err(self.mismatch("a message after the result of an answer")),
            }
        }
    }

    async fn next_message(&mut self, deadline: Instant) -> Result<MemberMessage> {
        loop {
            match K::take_member_message(&mut self.input) {
                Ok(Some(message)) => return Ok(message),
                Ok(None) => {}
                Err(error) => return Err(self.fail(ConnectionError::Protocol(error.to_string()))),
            }
            let received = self.stream.read_buf(self.input.space(READ_BYTES));
            match timeout_at(deadline.into(), received).await {
                Ok(Ok(0)) => {
                    let reason = "closed by the member".to_owned();
                    return Err(self.fail(ConnectionError::Lost(reason)));
                }
                Ok(Ok(_)) => self.received_at = Instant::now(),
                Ok(Err(error)) => return Err(self.fail(ConnectionError::Lost(error.to_string()))),
                Err(_) => return Err(self.fail(ConnectionError::TimedOut)),
            }
        }
    }

    fn fail(&mut self, error: ConnectionError) -> ConnectionError {
        self.broken = true;
        error
    }

    /// Breaks the connection because of an answer that may belong to another statement.
    fn mismatch(&mut self, reason: &str) -> ConnectionError {
        let AnswerOrigin {
            connection,
            ordinal,
        } = self.origin;
        // Bounded, unlike warnings: every refusal of an overloaded member may lead here.
        log::info!(
            member = self.member.as_str(), connection, ordinal, reason;
            "answer of a member not attributed"
        );
        self.is_mismatched = true;
        self.fail(ConnectionError::Mismatched(reason.to_owned()))
    }
}

/// Converts the error of a greeting. A member at its limit may reset a connection
/// instead of refusing it.
fn turned_away(error: ConnectionError) -> ConnectionError {
    match error {
        ConnectionError::Lost(reason) => ConnectionError::TurnedAway(reason),
        other => other,
    }
}

impl<K: StatementCodec> ServerConnection for MemberConnection<K> {
    type Identity = ConnectionIdentity;
    type Owner = ConnectionOwner;
    type Error = ConnectionError;
    const ATTEMPTS_MAX: usize = ATTEMPTS_MAX;

    async fn connect(
        address: SocketAddr,
        identity: &ConnectionIdentity,
        owner: &ConnectionOwner,
        deadline: Instant,
    ) -> Result<Self> {
        Self::open(address, identity, owner, deadline).await
    }

    fn is_limit_refusal(error: &ConnectionError) -> bool {
        matches!(error, ConnectionError::TurnedAway(_))
    }

    fn is_refusal(error: &ConnectionError) -> bool {
        matches!(
            error,
            ConnectionError::Refused(_) | ConnectionError::TurnedAway(_)
        )
    }

    fn idle_state(&self) -> IdleState {
        let state = backend::idle_state(&self.stream);
        if state == IdleState::Surplus {
            let AnswerOrigin {
                connection,
                ordinal,
            } = self.origin;
            let member = self.member.as_str();
            log::info!(member, connection, ordinal; "surplus bytes of a member");
        }
        state
    }

    fn received_at(&self) -> Instant {
        self.received_at
    }

    fn release(&mut self) -> ReleaseState {
        if !self.broken && self.awaited.is_empty() && !self.input.is_empty() {
            self.mismatch("bytes after an answer");
        }
        let is_used_up = self.record.has_refusal() || self.origin.ordinal >= ANSWERS_MAX;
        if self.broken || !self.awaited.is_empty() || is_used_up {
            return ReleaseState::Broken;
        }
        match self.state {
            TransactionState::Idle => ReleaseState::Reusable,
            TransactionState::Open | TransactionState::Failed => ReleaseState::NeedsReset,
        }
    }

    fn is_mismatched(&self) -> bool {
        self.is_mismatched
    }

    async fn reset(&mut self) -> bool {
        let deadline = Instant::now() + RESET_TIMEOUT;
        let answered = self.ask(&MemberStatement::Rollback, deadline).await;
        answered.is_ok() && self.release() == ReleaseState::Reusable
    }
}
