//! The side of the host that has no connections to the group: passes statements on to a
//! holder.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use coordination::managed::forwarding::{HolderFailure, HolderRecord};
use coordination::managed::holder::HolderMap;
use protocol::forward::{
    ForwardBegin, ForwardReply, ForwardRequest, ForwardedBody, HolderRefusal, MemberFailureKind,
    TransactionEnd, FORWARD_VERSION,
};
use protocol::relay::RelayServiceClient;
use protocol::statement::{MemberRefusal, MemberStatement, TransactionState};
use state::entry::EntrySettings;
use state::reading::LiveHost;
use tarpc::client::{self, NewClient, RpcError};
use tarpc::context::{self, Context};
use tokio::sync::{watch, Mutex as AsyncMutex};
use tokio::time::timeout_at;

use crate::managed::member_connection::{
    AnswerOrigin, ConnectionError, ConnectionOwner, ConnectionSetup, MemberAnswer, Result,
};
use crate::managed::metrics::ForwardMetrics;
use crate::managed::relay::FRAME_LIMIT_BYTES;
use crate::managed::statement_request::{MemberRequest, StatementBody};
use crate::pool::ReleaseState;
use crate::rpc::{frame_stream, ControlMeter, RpcChannel, RpcConnection, RpcOptions};

/// Longest time to open an RPC connection and to get the answer to its greeting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Part of the remaining time that the holder leaves for its reply, so that it is the
/// holder that reports a member that does not answer.
const REPLY_RESERVE: Duration = Duration::from_millis(20);
/// Longest wait for the end of a transaction. The holder ends an idle one by itself.
const END_TIMEOUT: Duration = Duration::from_secs(1);
/// Space of a frame for what is not text of a request: its numbers, the lengths of its
/// fields and the header of the call, in bytes. By the sizes of their types they take less
/// than 300 bytes.
const REQUEST_OVERHEAD_BYTES: usize = 4 << 10;
/// Space for the lengths of the name and the text of a session value, in bytes.
const VALUE_OVERHEAD_BYTES: usize = 16;
/// Calls in flight per RPC connection.
pub(in crate::managed) const CALLS_MAX: usize = 4_096;

/// The RPC connections to holders, which all groups share.
#[derive(Debug)]
pub(in crate::managed) struct HopClient {
    host: String,
    data_centre: String,
    channels: Mutex<HashMap<SocketAddr, Arc<HolderChannel>>>,
    record: Mutex<HolderRecord>,
    metrics: ForwardMetrics,
}

/// The RPC connection to one holder.
#[derive(Debug)]
struct HolderChannel {
    name: String,
    channel: RpcChannel<RelayServiceClient>,
    /// Number of the connection whose greeting was answered. A statement is sent only on
    /// such a connection, because an older build would end it without an answer.
    greeted: AsyncMutex<u64>,
}

/// An open RPC connection to a holder.
#[derive(Clone, Debug)]
struct OpenHolder {
    channel: Arc<HolderChannel>,
    client: RelayServiceClient,
    generation: u64,
}

impl HopClient {
    pub(in crate::managed) fn new(settings: &EntrySettings, metrics: ForwardMetrics) -> Self {
        Self {
            host: settings.host.clone(),
            data_centre: settings.data_centre.clone(),
            channels: Mutex::default(),
            record: Mutex::default(),
            metrics,
        }
    }

    /// Closes the connections to hosts that are no longer live.
    pub(in crate::managed) fn set_hosts(&self, live: &[LiveHost]) {
        let is_live = |address: &SocketAddr| live.iter().any(|host| host.relay_address == *address);
        lock(&self.channels).retain(|address, _| is_live(address));
    }

    /// Returns whether this host passes the statements of a group on: it holds no
    /// connections, and a holder knows the forwarding messages.
    pub(in crate::managed) fn is_relaying(&self, holders: &HolderMap) -> bool {
        if holders.holds(&self.host) {
            return false;
        }
        let known = holders.holders_for(&self.host, &self.data_centre);
        !lock(&self.record).is_unsupported(&known, Instant::now())
    }

    fn order(&self, holders: &HolderMap) -> Vec<LiveHost> {
        let holders = holders.holders_for(&self.host, &self.data_centre);
        let ordered = lock(&self.record).order(&holders, Instant::now());
        ordered.into_iter().cloned().collect()
    }

    fn channel(&self, holder: &LiveHost) -> Arc<HolderChannel> {
        let mut channels = lock(&self.channels);
        let channel = channels
            .entry(holder.relay_address)
            .or_insert_with(|| Arc::new(HolderChannel::new(holder)));
        channel.clone()
    }

    /// Asks the holders in turn to run a statement outside of an open transaction.
    async fn forward(
        &self,
        holders: &HolderMap,
        request: &ForwardRequest,
        deadline: Instant,
    ) -> Result<(ForwardReply, OpenHolder)> {
        let mut refusal = None;
        for holder in self.order(holders) {
            let channel = self.channel(&holder);
            let open = match channel.open(deadline).await {
                Ok(open) => open,
                Err(failure) => {
                    self.record_failure(&holder.name, failure, "no connection");
                    self.metrics.count("requested", "unreachable");
                    continue;
                }
            };
            match self.exchange(&open, request.clone(), deadline).await? {
                ForwardReply::NotRun { reason } => refusal = Some(reason),
                reply => return Ok((reply, open)),
            }
        }
        Err(ConnectionError::NotForwarded(refusal))
    }

    /// Sends one request on an open RPC connection and waits for its reply.
    async fn exchange(
        &self,
        open: &OpenHolder,
        mut request: ForwardRequest,
        deadline: Instant,
    ) -> Result<ForwardReply> {
        let started = Instant::now();
        let remaining = deadline.saturating_duration_since(started);
        request.remaining = remaining.saturating_sub(REPLY_RESERVE);
        if request.remaining.is_zero() {
            let reason = HolderRefusal::DeadlineTooShort;
            return Ok(ForwardReply::NotRun { reason });
        }
        let call = open
            .client
            .forward_statement(rpc_context(deadline), request);
        let name = open.channel.name.as_str();
        let reply = match timeout_at(deadline.into(), call).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(RpcError::Server(error))) if error.kind == std::io::ErrorKind::WouldBlock => {
                // The holder has too many calls in flight.
                let reason = HolderRefusal::QueueFull;
                ForwardReply::NotRun { reason }
            }
            Ok(Err(error)) => {
                open.channel.channel.close(open.generation).await;
                return Err(self.lose_reply(name, &error.to_string()));
            }
            Err(_) => {
                open.channel.distrust(open.generation).await;
                return Err(self.lose_reply(name, "no reply by the deadline"));
            }
        };
        self.metrics.count("requested", reply.name());
        self.metrics.observe("requested", started.elapsed());
        if lock(&self.record).record_reply(name) {
            log::info!(host = name; "holder regained");
        }
        Ok(reply)
    }

    fn lose_reply(&self, holder: &str, reason: &str) -> ConnectionError {
        self.record_failure(holder, HolderFailure::ReplyLost, reason);
        self.metrics.count("requested", "reply_lost");
        ConnectionError::ReplyLost(reason.to_owned())
    }

    /// Records a failure. Only the first one since the holder's last reply is logged.
    fn record_failure(&self, holder: &str, failure: HolderFailure, reason: &str) {
        let is_first = lock(&self.record).record_failure(holder, failure, Instant::now());
        if is_first {
            let kind = format!("{failure:?}");
            log::warn!(host = holder, kind = kind.as_str(), reason; "holder lost");
        }
    }
}

impl HolderChannel {
    fn new(holder: &LiveHost) -> Self {
        let options = RpcOptions {
            address: holder.relay_address,
            timeout: CONNECT_TIMEOUT,
            meter: ControlMeter::default(),
        };
        let channel = RpcChannel::new(options, |stream| {
            let meter = stream.meter().clone();
            let transport = frame_stream(stream, FRAME_LIMIT_BYTES);
            let mut config = client::Config::default();
            config.max_in_flight_requests = CALLS_MAX;
            let NewClient { client, dispatch } = RelayServiceClient::new(config, transport);
            RpcConnection::spawn(client, dispatch, meter)
        });
        Self {
            name: holder.name.clone(),
            channel,
            greeted: AsyncMutex::new(0),
        }
    }

    /// Returns an open connection whose greeting was answered.
    async fn open(
        self: &Arc<Self>,
        deadline: Instant,
    ) -> std::result::Result<OpenHolder, HolderFailure> {
        let limit = Instant::now() + CONNECT_TIMEOUT;
        let end = limit.min(deadline);
        let unreachable = HolderFailure::Unreachable;
        let (client, generation) = timeout_at(end.into(), self.channel.connect())
            .await
            .map_err(|_| unreachable)?
            .map_err(|_| unreachable)?;
        let mut greeted = timeout_at(end.into(), self.greeted.lock())
            .await
            .map_err(|_| unreachable)?;
        if *greeted != generation {
            let greeting = TransactionEnd {
                version: FORWARD_VERSION,
                transaction: None,
            };
            let call = client.end_transaction(rpc_context(end), greeting);
            let failure = match timeout_at(end.into(), call).await {
                Ok(Ok(FORWARD_VERSION)) => None,
                Ok(Ok(_)) => Some(HolderFailure::Unsupported),
                Ok(Err(RpcError::Shutdown | RpcError::Channel(_))) => {
                    Some(HolderFailure::Unsupported)
                }
                Ok(Err(_)) | Err(_) => Some(unreachable),
            };
            if let Some(failure) = failure {
                // A greeting that had less time than usual says nothing.
                if failure != unreachable || end == limit {
                    self.channel.close(generation).await;
                }
                return Err(failure);
            }
            *greeted = generation;
        }
        drop(greeted);
        Ok(OpenHolder {
            channel: self.clone(),
            client,
            generation,
        })
    }

    /// Lets the next statement wait for the answer to another greeting. The connection
    /// stays open, because other calls on it may still be answered.
    async fn distrust(&self, generation: u64) {
        let mut greeted = self.greeted.lock().await;
        if *greeted == generation {
            *greeted = 0;
        }
    }
}

/// What a relayed link needs to reach its member.
#[derive(Clone, Debug)]
pub(in crate::managed) struct RelayedIdentity {
    pub(in crate::managed) group: String,
    pub(in crate::managed) member: String,
    pub(in crate::managed) hop: Arc<HopClient>,
    /// The current holders of the group.
    pub(in crate::managed) holders: watch::Receiver<Arc<HolderMap>>,
}

/// A link to a member over the connections of holders.
///
/// # Invariants
///
/// `transaction` is set only while the state is [`TransactionState::Open`]; all
/// statements of the transaction go to this holder. `is_asking` is set while a request
/// has no reply, so that a link whose request was abandoned is not used again.
#[derive(Debug)]
pub(crate) struct RelayedConnection {
    identity: RelayedIdentity,
    owner: ConnectionOwner,
    setup: KeptSetup,
    transaction: Option<(OpenHolder, u64)>,
    state: TransactionState,
    is_asking: bool,
    is_broken: bool,
    received_at: Instant,
}

/// The set-up that the next statement carries.
#[derive(Clone, Debug, Default)]
struct KeptSetup {
    values: BTreeMap<String, String>,
    begin: Option<ForwardBegin>,
    database: String,
    priority: u8,
    target: Option<Instant>,
}

impl RelayedConnection {
    pub(super) fn new(identity: RelayedIdentity, owner: ConnectionOwner) -> Self {
        Self {
            identity,
            owner,
            setup: KeptSetup::default(),
            transaction: None,
            state: TransactionState::Idle,
            is_asking: false,
            is_broken: false,
            received_at: Instant::now(),
        }
    }

    pub(super) fn state(&self) -> TransactionState {
        self.state
    }

    pub(super) fn received_at(&self) -> Instant {
        self.received_at
    }

    /// Returns whether the session's values can be set without a reset, which is not
    /// possible inside a transaction.
    pub(super) fn can_apply(&self, setup: &ConnectionSetup<'_>) -> bool {
        let mut names = self.setup.values.keys();
        self.transaction.is_none() || names.all(|name| setup.values.contains_key(name))
    }

    /// Keeps the set-up for the next statement.
    pub(super) fn keep_setup(&mut self, setup: &ConnectionSetup<'_>) {
        let kept = &mut self.setup;
        if kept.values != *setup.values {
            kept.values.clone_from(setup.values);
        }
        kept.begin = setup.begin.and_then(|begin| match begin {
            MemberStatement::Begin { read_only, since } => Some(ForwardBegin { read_only, since }),
            _ => None,
        });
        setup.database.clone_into(&mut kept.database);
        kept.priority = setup.priority;
        kept.target = setup.target;
    }

    /// Sends a caller's statement to a holder and waits for its reply.
    pub(super) async fn run(
        &mut self,
        request: &MemberRequest<'_>,
        deadline: Instant,
    ) -> Result<MemberAnswer> {
        let request = self.request(request);
        if request_bytes(&request) > FRAME_LIMIT_BYTES {
            // The frame would end the connection, which all forwarded statements share.
            let id = request.id.as_str();
            log::info!(request = id, bytes = request_bytes(&request); "request exceeds a frame");
            let reason = HolderRefusal::NoConnection;
            return Err(ConnectionError::NotForwarded(Some(reason)));
        }
        self.is_asking = true;
        let hop = self.identity.hop.clone();
        let replied = match self.transaction.take() {
            Some((open, key)) => {
                let replied = hop.exchange(&open, request, deadline).await;
                if let Ok(ForwardReply::NotRun { .. }) = replied {
                    // The holder may still have the transaction, which a reset ends.
                    self.transaction = Some((open.clone(), key));
                }
                replied.map(|reply| (reply, open))
            }
            None => {
                let holders = self.identity.holders.borrow().clone();
                hop.forward(&holders, &request, deadline).await
            }
        };
        self.is_asking = false;
        self.received_at = Instant::now();
        let answer = replied.and_then(|(reply, open)| self.apply(reply, open));
        let is_usable = matches!(answer, Ok(_) | Err(ConnectionError::NotForwarded(_)));
        self.is_broken |= !is_usable;
        answer
    }

    fn request(&self, request: &MemberRequest<'_>) -> ForwardRequest {
        let setup = &self.setup;
        let transaction = self.transaction.as_ref().map(|(_, key)| *key);
        ForwardRequest {
            version: FORWARD_VERSION,
            group: self.identity.group.clone(),
            member: self.identity.member.clone(),
            account: self.owner.as_deref().map(str::to_owned),
            database: setup.database.clone(),
            priority: setup.priority,
            target: setup
                .target
                .map(|target| target.saturating_duration_since(Instant::now())),
            remaining: Duration::ZERO,
            values: setup.values.clone(),
            shape: request.body.shape().cloned(),
            begin: setup.begin.filter(|_| transaction.is_none()),
            transaction,
            id: request.id.to_owned(),
            since: request.since,
            body: match request.body {
                StatementBody::Text(text) => ForwardedBody::Text(text.to_owned()),
                StatementBody::Commit => ForwardedBody::Commit,
                StatementBody::Execute { arguments, .. } => ForwardedBody::Execute {
                    arguments: arguments.to_owned(),
                },
            },
        }
    }

    fn apply(&mut self, reply: ForwardReply, open: OpenHolder) -> Result<MemberAnswer> {
        match reply {
            ForwardReply::Answered {
                rows,
                outcome,
                position,
                state,
                transaction,
            } => {
                self.state = state;
                self.transaction = transaction.map(|key| (open, key));
                Ok(MemberAnswer {
                    origin: AnswerOrigin::default(),
                    rows: rows.into_iter().map(Bytes::from).collect(),
                    outcome: outcome.map(Bytes::from),
                    position,
                    is_first: true,
                })
            }
            ForwardReply::SetupRefused(refusal) => Err(ConnectionError::SetupRefused(refusal)),
            ForwardReply::NotRun { reason } => Err(ConnectionError::NotForwarded(Some(reason))),
            ForwardReply::MemberFailed {
                kind: MemberFailureKind::TurnedAway,
                ..
            } => {
                let reason = HolderRefusal::NoConnection;
                Err(ConnectionError::NotForwarded(Some(reason)))
            }
            ForwardReply::MemberFailed { kind, sent, detail } => {
                let error = member_error(kind, detail);
                Err(match sent {
                    true => error,
                    false => ConnectionError::BeforeStatement(Box::new(error)),
                })
            }
        }
    }

    pub(super) fn release(&mut self) -> ReleaseState {
        if self.is_broken || self.is_asking {
            return ReleaseState::Broken;
        }
        match self.state {
            TransactionState::Idle => ReleaseState::Reusable,
            TransactionState::Open | TransactionState::Failed => ReleaseState::NeedsReset,
        }
    }

    /// Ends an open transaction. Returns whether the link can be used again.
    pub(super) async fn end_transaction(&mut self) -> bool {
        self.state = TransactionState::Idle;
        let Some((open, key)) = self.transaction.take() else {
            return true;
        };
        let deadline = Instant::now() + END_TIMEOUT;
        let request = TransactionEnd {
            version: FORWARD_VERSION,
            transaction: Some(key),
        };
        let call = open.client.end_transaction(rpc_context(deadline), request);
        matches!(timeout_at(deadline.into(), call).await, Ok(Ok(_)))
    }
}

/// Returns the largest size that a request has in a frame.
fn request_bytes(request: &ForwardRequest) -> usize {
    let values = request.values.iter();
    let values = values.map(|(name, value)| name.len() + value.len() + VALUE_OVERHEAD_BYTES);
    let body = match &request.body {
        ForwardedBody::Text(text) => text.len(),
        ForwardedBody::Commit => 0,
        ForwardedBody::Execute { arguments } => arguments.len(),
    };
    let shape = request.shape.as_ref().map_or(0, |shape| shape.shape.len());
    let names = [
        &request.group,
        &request.member,
        &request.database,
        &request.id,
    ];
    let names = names.iter().map(|name| name.len()).sum::<usize>();
    let account = request.account.as_ref().map_or(0, String::len);
    values.sum::<usize>() + body + shape + names + account + REQUEST_OVERHEAD_BYTES
}

fn member_error(kind: MemberFailureKind, detail: String) -> ConnectionError {
    match kind {
        MemberFailureKind::ConnectFailed => ConnectionError::Connect(detail),
        MemberFailureKind::TurnedAway => ConnectionError::Refused(MemberRefusal::ConnectionLimit),
        MemberFailureKind::GreetingRefused(refusal) => ConnectionError::Refused(refusal),
        MemberFailureKind::Lost => ConnectionError::Lost(detail),
        MemberFailureKind::TimedOut => ConnectionError::TimedOut,
        MemberFailureKind::Protocol => ConnectionError::Protocol(detail),
        MemberFailureKind::Mismatched => ConnectionError::Mismatched(detail),
    }
}

fn rpc_context(deadline: Instant) -> Context {
    let mut context = context::current();
    context.deadline = deadline;
    context
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
