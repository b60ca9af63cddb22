//! One connection to a member of a managed group.

use std::collections::{BTreeMap, HashSet};
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use protocol::statement::{
    MemberMessage, MemberRefusal, MemberStatement, PreparedShape, StatementAccess, TransactionState,
};
use state::log::LogPosition;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout_at;

use super::codec::StatementCodec;
use crate::backend;
use crate::pool::{ReleaseState, ServerConnection};

/// Space reserved for one read from the socket.
const READ_BYTES: usize = 8 << 10;
/// Longest time to clean a connection; after it the connection is closed.
const CLEAN_TIMEOUT: Duration = Duration::from_secs(1);

/// Result of an operation on a connection.
pub(crate) type Result<T> = std::result::Result<T, LinkError>;

/// Why an operation failed. The connection is then unusable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum LinkError {
    /// The connection could not be opened.
    Connect(String),
    /// The member refused the greeting.
    Refused(MemberRefusal),
    /// The connection was closed or failed.
    Lost(String),
    /// The deadline passed.
    TimedOut,
    /// The member sent something that is not the protocol.
    Protocol(String),
}

impl std::fmt::Display for LinkError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Connect(reason) => write!(formatter, "cannot connect: {reason}"),
            Self::Refused(refusal) => write!(formatter, "greeting refused: {}", refusal.name()),
            Self::Lost(reason) => write!(formatter, "connection lost: {reason}"),
            Self::TimedOut => formatter.write_str("deadline passed"),
            Self::Protocol(reason) => write!(formatter, "protocol violation: {reason}"),
        }
    }
}

/// Who connects to which member.
#[derive(Clone, Debug)]
pub(crate) struct LinkIdentity {
    pub(crate) group: String,
    pub(crate) member: String,
    pub(crate) client: String,
}

/// The answer to one statement.
#[derive(Clone, Debug)]
pub(crate) struct LinkAnswer {
    pub(crate) rows: Vec<Bytes>,
    /// The member's signature, or why it refused.
    pub(crate) outcome: std::result::Result<Bytes, (MemberRefusal, String)>,
    pub(crate) position: Option<LogPosition>,
}

/// State that a caller's session expects on a connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LinkSetup<'a> {
    /// Values of the session.
    pub(crate) values: &'a BTreeMap<String, String>,
    /// Statement that is about to run.
    pub(crate) shape: Option<&'a PreparedShape>,
    /// Beginning of a transaction.
    pub(crate) begin: Option<MemberStatement<'a>>,
}

/// One connection.
///
/// # Invariants
///
/// `outstanding` counts the answers that are still to come; the connection is
/// reused only while it is zero. `values` and `prepared` are what the member
/// acknowledged on this connection.
#[derive(Debug)]
pub(crate) struct MemberLink<K> {
    stream: TcpStream,
    input: BytesMut,
    output: BytesMut,
    outstanding: u32,
    broken: bool,
    state: TransactionState,
    received_at: Instant,
    values: BTreeMap<String, String>,
    prepared: HashSet<PreparedShape>,
    codec: PhantomData<K>,
}

impl<K: StatementCodec> MemberLink<K> {
    async fn open(address: SocketAddr, identity: &LinkIdentity, deadline: Instant) -> Result<Self> {
        let stream = timeout_at(deadline.into(), TcpStream::connect(address))
            .await
            .map_err(|_| LinkError::TimedOut)?
            .map_err(|error| LinkError::Connect(error.to_string()))?;
        backend::configure(&stream).map_err(|error| LinkError::Connect(error.to_string()))?;
        let mut link = Self {
            stream,
            input: BytesMut::new(),
            output: BytesMut::new(),
            outstanding: 1,
            broken: false,
            state: TransactionState::Idle,
            received_at: Instant::now(),
            values: BTreeMap::new(),
            prepared: HashSet::new(),
            codec: PhantomData,
        };
        let LinkIdentity {
            group,
            member,
            client,
        } = identity;
        K::put_connect(&mut link.output, group, client, member);
        link.send(deadline).await?;
        match link.next_message(deadline).await? {
            MemberMessage::Ready { .. } => {
                link.outstanding = 0;
                Ok(link)
            }
            MemberMessage::Refused { refusal, .. } => Err(LinkError::Refused(refusal)),
            other => Err(LinkError::Protocol(format!("{other:?} after the greeting"))),
        }
    }

    /// Returns the state of the transaction.
    pub(crate) fn state(&self) -> TransactionState {
        self.state
    }

    /// Returns the name under which a prepared statement is known here.
    pub(crate) fn prepared_name(shape: &PreparedShape) -> String {
        let kind = match shape.access {
            StatementAccess::Read => 'r',
            StatementAccess::Write => 'w',
        };
        format!("{kind}{}", shape.shape)
    }

    /// Tells whether the session's values can be set without forgetting others,
    /// which would also forget prepared statements.
    pub(crate) fn can_hold(&self, setup: &LinkSetup<'_>) -> bool {
        self.values.keys().all(|key| setup.values.contains_key(key))
    }

    /// Brings the connection into the state that a session expects. Sends all
    /// steps at once; returns the first refusal.
    pub(crate) async fn prepare(
        &mut self,
        setup: &LinkSetup<'_>,
        deadline: Instant,
    ) -> Result<Option<MemberRefusal>> {
        if !self.can_hold(setup) {
            self.compose(&MemberStatement::Reset);
            self.values.clear();
            self.prepared.clear();
        }
        for (name, value) in setup.values {
            if self.values.get(name) != Some(value) {
                self.compose(&MemberStatement::Set { name, value });
                self.values.insert(name.clone(), value.clone());
            }
        }
        if let Some(shape) = setup.shape.filter(|shape| !self.prepared.contains(*shape)) {
            let name = Self::prepared_name(shape);
            self.compose(&MemberStatement::Prepare { name: &name, shape });
            self.prepared.insert(shape.clone());
        }
        if let Some(begin) = &setup.begin {
            self.compose(begin);
        }
        if self.outstanding == 0 {
            return Ok(None);
        }
        self.send(deadline).await?;
        let mut refused = None;
        while self.outstanding > 0 {
            let is_begin = setup.begin.is_some() && self.outstanding == 1;
            if let Err((refusal, _)) = self.answer(deadline).await?.outcome {
                refused.get_or_insert(refusal);
                // What the member holds for the session is no longer known.
                self.broken |= !is_begin;
            }
        }
        Ok(refused)
    }

    /// Sends a statement and waits for its answer.
    pub(crate) async fn ask(
        &mut self,
        statement: &MemberStatement<'_>,
        deadline: Instant,
    ) -> Result<LinkAnswer> {
        self.compose(statement);
        self.send(deadline).await?;
        self.answer(deadline).await
    }

    fn compose(&mut self, statement: &MemberStatement<'_>) {
        K::put_statement(&mut self.output, statement);
        self.outstanding += 1;
    }

    async fn send(&mut self, deadline: Instant) -> Result<()> {
        let sent = timeout_at(deadline.into(), self.stream.write_all_buf(&mut self.output)).await;
        match sent {
            Ok(Ok(())) => Ok(()),
            Ok(Err(error)) => Err(self.fail(LinkError::Lost(error.to_string()))),
            Err(_) => Err(self.fail(LinkError::TimedOut)),
        }
    }

    async fn answer(&mut self, deadline: Instant) -> Result<LinkAnswer> {
        let mut rows = Vec::new();
        let mut outcome = None;
        loop {
            match self.next_message(deadline).await? {
                MemberMessage::Row(row) => rows.push(row),
                MemberMessage::Complete { signature } => outcome = Some(Ok(signature)),
                MemberMessage::Refused { refusal, text } => outcome = Some(Err((refusal, text))),
                MemberMessage::Ready { state, position } => {
                    let Some(outcome) = outcome else {
                        let reason = "the end of an answer without a result";
                        return Err(self.fail(LinkError::Protocol(reason.to_owned())));
                    };
                    self.state = state;
                    self.outstanding -= 1;
                    return Ok(LinkAnswer {
                        rows,
                        outcome,
                        position,
                    });
                }
            }
        }
    }

    async fn next_message(&mut self, deadline: Instant) -> Result<MemberMessage> {
        loop {
            match K::take_member_message(&mut self.input) {
                Ok(Some(message)) => return Ok(message),
                Ok(None) => {}
                Err(error) => return Err(self.fail(LinkError::Protocol(error.to_string()))),
            }
            self.input.reserve(READ_BYTES);
            let received = self.stream.read_buf(&mut self.input);
            match timeout_at(deadline.into(), received).await {
                Ok(Ok(0)) => {
                    let reason = "closed by the member".to_owned();
                    return Err(self.fail(LinkError::Lost(reason)));
                }
                Ok(Ok(_)) => self.received_at = Instant::now(),
                Ok(Err(error)) => return Err(self.fail(LinkError::Lost(error.to_string()))),
                Err(_) => return Err(self.fail(LinkError::TimedOut)),
            }
        }
    }

    fn fail(&mut self, error: LinkError) -> LinkError {
        self.broken = true;
        error
    }
}

impl<K: StatementCodec> ServerConnection for MemberLink<K> {
    type Identity = LinkIdentity;
    type Error = LinkError;

    async fn connect(
        address: SocketAddr,
        identity: &LinkIdentity,
        deadline: Instant,
    ) -> Result<Self> {
        Self::open(address, identity, deadline).await
    }

    fn is_limit_refusal(error: &LinkError) -> bool {
        *error == LinkError::Refused(MemberRefusal::ConnectionLimit)
    }

    fn is_refusal(error: &LinkError) -> bool {
        matches!(error, LinkError::Refused(_))
    }

    fn is_alive(&self) -> bool {
        let mut probe = [0; 1];
        let read = self.stream.try_read(&mut probe);
        matches!(read, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
    }

    fn received_at(&self) -> Instant {
        self.received_at
    }

    fn release(&mut self) -> ReleaseState {
        if self.broken || self.outstanding > 0 || !self.input.is_empty() {
            return ReleaseState::Broken;
        }
        match self.state {
            TransactionState::Idle => ReleaseState::Reusable,
            TransactionState::Open | TransactionState::Failed => ReleaseState::NeedsReset,
        }
    }

    async fn reset(&mut self) -> bool {
        let deadline = Instant::now() + CLEAN_TIMEOUT;
        let answered = self.ask(&MemberStatement::Rollback, deadline).await;
        answered.is_ok() && self.release() == ReleaseState::Reusable
    }
}
