//! A pool of this host's connections to one backend server.
//!
//! The pool keeps the number of open connections, idle ones included, within
//! the host's share of the server's connection limit. The share can change at
//! run time.
//!
//! Each connection belongs to one owner, on whose behalf it was opened, and is handed
//! out only to requests of this owner. Where all connections have the same owner, no
//! connection is closed for another one.

mod attempts;
mod connection;
mod gate;
mod pooled_connection;
mod reset;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::{oneshot, Mutex as AsyncMutex};
use tokio::time::{sleep_until, timeout_at};

use crate::backend::{BackendConnection, BackendError};

use attempts::ConnectAttempts;

pub use attempts::ConnectionCounts;
pub use connection::{IdleState, ReleaseState, ServerConnection};
pub use gate::{AdmissionGate, AdmissionPermit};
pub use pooled_connection::PooledConnection;

/// Limit on the time to open a connection. It is shorter than a statement's
/// deadline, so that after an attempt at a dead server there is time left to
/// try another server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time for which the result of a server probe is reused.
const PROBE_REUSE: Duration = Duration::from_millis(250);

/// Result of checking out a connection.
pub type Result<T, E = BackendError> = std::result::Result<T, PoolError<E>>;

/// Why no connection could be checked out. No statement was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PoolError<E = BackendError> {
    /// No connection became free by the deadline.
    Exhausted,
    /// The server is at its connection limit, and the pool has no connection to it to
    /// wait for.
    AtLimit {
        /// Time of the next attempt to open a connection.
        retry_at: Instant,
        /// Whether this request met the refusal, and not an earlier one.
        was_attempted: bool,
    },
    /// A connection could not be opened.
    Connect(E),
}

/// The connection pool of one backend server, with the server's admission queue.
#[derive(Debug)]
pub struct MemberPool<C: ServerConnection = BackendConnection> {
    name: String,
    address: SocketAddr,
    identity: C::Identity,
    gate: Arc<AdmissionGate>,
    in_use: AtomicUsize,
    last_probe: AsyncMutex<Option<ServerProbe>>,
    state: Mutex<PoolState<C>>,
}

/// Result of the last attempt to open a connection only to see whether the
/// server answers.
#[derive(Clone, Copy, Debug)]
struct ServerProbe {
    ended_at: Instant,
    answered: bool,
}

/// The part of a pool that its lock protects.
///
/// # Invariants
///
/// `open` counts the connections that are idle, in use, being opened or being
/// reset. A new connection is opened only while `attempts` allows it, and while
/// `open < share` or in the place of an idle one that is closed.
#[derive(Debug)]
struct PoolState<C: ServerConnection> {
    /// Idle connections; the one that was returned first is the first.
    idle: Vec<IdleConnection<C>>,
    open: usize,
    share: usize,
    attempts: ConnectAttempts,
    /// Waiting requests by deadline and arrival.
    waiters: BTreeMap<(Instant, u64), PoolWaiter<C>>,
    arrivals: u64,
    /// Number of connections that were open when the server last refused one
    /// at its limit; `None` once `take_limit_refusal` has returned it.
    open_at_refusal: Option<u32>,
}

#[derive(Debug)]
struct IdleConnection<C: ServerConnection> {
    owner: C::Owner,
    connection: C,
}

/// A request that waits for a connection.
#[derive(Debug)]
struct PoolWaiter<C: ServerConnection> {
    owner: C::Owner,
    sender: oneshot::Sender<PooledConnection<C>>,
}

/// What a request gets from the pool's connections.
enum Capacity<C> {
    /// An idle connection of the request's owner.
    Idle(C),
    /// Permission to open a connection.
    New,
    /// Permission to open a connection in the place of this one, which must be closed.
    Replaced(C),
}

impl<C: ServerConnection> MemberPool<C> {
    /// Creates a pool without open connections. `share` is the largest number
    /// of connections that may be open.
    pub fn new(
        name: &str,
        address: SocketAddr,
        identity: C::Identity,
        share: usize,
        gate: Arc<AdmissionGate>,
    ) -> Arc<Self> {
        Arc::new(Self {
            name: name.to_owned(),
            address,
            identity,
            gate,
            in_use: AtomicUsize::new(0),
            last_probe: AsyncMutex::new(None),
            state: Mutex::new(PoolState {
                idle: Vec::new(),
                open: 0,
                share,
                attempts: ConnectAttempts::default(),
                waiters: BTreeMap::new(),
                arrivals: 0,
                open_at_refusal: None,
            }),
        })
    }

    /// Returns the name of the backend server.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the address of the backend server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the server's admission queue.
    pub fn gate(&self) -> &Arc<AdmissionGate> {
        &self.gate
    }

    /// Returns the number of connections that are checked out.
    pub fn in_use(&self) -> u32 {
        u32::try_from(self.in_use.load(Ordering::Relaxed)).unwrap_or(u32::MAX)
    }

    /// Returns the largest number of connections that may be open.
    pub fn share(&self) -> usize {
        self.lock().share
    }

    /// Returns the number of open connections, idle ones included.
    pub fn open(&self) -> usize {
        self.lock().open
    }

    /// Returns the number of connections that can be checked out without waiting:
    /// the idle ones and those that may still be opened.
    pub fn spare(&self) -> usize {
        let state = self.lock();
        let used = state.open - state.idle.len();
        state.share.saturating_sub(used)
    }

    /// Changes the share. Surplus connections are closed: idle ones at once,
    /// those in use when they are returned.
    pub fn set_share(self: &Arc<Self>, share: usize) {
        let mut closed = Vec::new();
        let mut state = self.lock();
        state.share = share;
        while state.open > share {
            let Some(connection) = state.idle.pop() else {
                break;
            };
            state.open -= 1;
            closed.push(connection);
        }
        self.serve_waiters(state);
    }

    /// Closes the idle connections that last received a byte before `instant`.
    pub fn close_idle_before(self: &Arc<Self>, instant: Instant) {
        let mut state = self.lock();
        let (closed, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut state.idle)
            .into_iter()
            .partition(|idle| idle.connection.received_at() < instant);
        state.idle = kept;
        state.open -= closed.len();
        self.serve_waiters(state);
    }

    /// Closes idle connections that last received a byte before `instant`, as
    /// long as more than one connection is open. Unused connections would count
    /// against the server's limit when hosts that lost power come back.
    pub fn close_unused_before(&self, instant: Instant) {
        let mut state = self.lock();
        let mut closed = Vec::new();
        while state.open > 1 {
            // Connections are reused last in, first out, so the first is the oldest.
            let oldest = state.idle.first();
            let oldest = oldest.map(|idle| idle.connection.received_at());
            if oldest.is_none_or(|received_at| received_at >= instant) {
                break;
            }
            state.open -= 1;
            closed.push(state.idle.remove(0));
        }
    }

    /// Checks out a connection of `owner`; of the waiting requests, the one with the
    /// earliest deadline is served first. If no more connections may be opened, an idle
    /// connection of another owner is replaced. If the server refuses a new connection at its limit,
    /// the share shrinks, and the request waits for one of the existing connections or
    /// until a connection may be opened again.
    ///
    /// # Errors
    ///
    /// [`PoolError::Exhausted`] if no connection is free by `deadline`, and
    /// [`PoolError::Connect`] if a connection cannot be opened.
    pub async fn check_out(
        self: &Arc<Self>,
        owner: &C::Owner,
        deadline: Instant,
    ) -> Result<PooledConnection<C>, C::Error> {
        loop {
            match self.check_out_below_limit(owner, deadline).await {
                Err(PoolError::AtLimit { retry_at, .. }) if retry_at < deadline => {
                    sleep_until(retry_at.into()).await;
                }
                Err(PoolError::AtLimit { .. }) => return Err(PoolError::Exhausted),
                other => return other,
            }
        }
    }

    /// Checks out a connection like [`check_out`](Self::check_out), but does not wait
    /// while the server is at its limit and the pool has no connection to it, so that
    /// the request can go to another server.
    ///
    /// # Errors
    ///
    /// [`PoolError::AtLimit`] in that case, and the errors of `check_out`.
    pub async fn check_out_below_limit(
        self: &Arc<Self>,
        owner: &C::Owner,
        deadline: Instant,
    ) -> Result<PooledConnection<C>, C::Error> {
        let began_at = Instant::now();
        let checked_out = self.wait_and_open(owner, deadline).await;
        self.lock().attempts.record_wait(began_at.elapsed());
        checked_out
    }

    async fn wait_and_open(
        self: &Arc<Self>,
        owner: &C::Owner,
        deadline: Instant,
    ) -> Result<PooledConnection<C>, C::Error> {
        let mut was_attempted = false;
        loop {
            let mut pooled = match self.try_check_out(owner, deadline) {
                CheckOutStep::Granted(pooled) => pooled,
                CheckOutStep::Wait { receiver, until } => {
                    match timeout_at(until.into(), receiver).await {
                        Ok(Ok(pooled)) => pooled,
                        Err(_) if until >= deadline => return Err(PoolError::Exhausted),
                        // A pause has ended or begun.
                        Err(_) | Ok(Err(_)) => continue,
                    }
                }
                CheckOutStep::AtLimit { retry_at } => {
                    return Err(PoolError::AtLimit {
                        retry_at,
                        was_attempted,
                    })
                }
            };
            if self.can_reuse(pooled.connection.as_ref()) {
                return Ok(pooled);
            }
            if !pooled.is_attempt {
                // The connection was closed while it was idle.
                pooled.close();
                continue;
            }
            match pooled.open_or_replace(deadline).await {
                Ok(()) => return Ok(pooled),
                Err(PoolError::Connect(error)) if C::is_limit_refusal(&error) => {
                    was_attempted = true;
                    // Before the permission is returned, so that no other request uses it.
                    self.record_limit_refusal();
                    drop(pooled);
                }
                Err(error) => return Err(error),
            }
        }
    }

    /// Returns whether an idle connection can be used again.
    fn can_reuse(&self, connection: Option<&C>) -> bool {
        match connection.map(C::idle_state) {
            Some(IdleState::Alive) => true,
            Some(IdleState::Surplus) => {
                self.lock().attempts.record_surplus();
                false
            }
            Some(IdleState::Closed) | None => false,
        }
    }

    /// Records that a connection broke because of an answer that was not attributed.
    fn record_mismatch(&self) {
        self.lock().attempts.record_mismatch();
    }

    /// Returns an idle connection, if there is one that is open.
    pub fn take_idle(self: &Arc<Self>) -> Option<PooledConnection<C>> {
        loop {
            let IdleConnection { owner, connection } = self.lock().idle.pop()?;
            let pooled = self.wrap(owner, Capacity::Idle(connection));
            if self.can_reuse(pooled.connection.as_ref()) {
                return Some(pooled);
            }
            pooled.close();
        }
    }

    /// Returns what was counted since the last call.
    pub fn take_counts(&self) -> ConnectionCounts {
        let mut state = self.lock();
        let open = state.open;
        state.attempts.take_counts(open)
    }

    /// Returns how many connections were open when the server last refused one
    /// at its limit. The same refusal is returned only once.
    pub fn take_limit_refusal(&self) -> Option<u32> {
        self.lock().open_at_refusal.take()
    }

    /// Shrinks the share to the number of connections that the server has
    /// accepted, and begins a pause. The share stays at least 1, so that the pool tries
    /// again. The connection that was refused still counts as open.
    fn record_limit_refusal(&self) {
        let mut state = self.lock();
        let accepted = state.open.saturating_sub(1);
        state.share = state.share.min(accepted.max(1));
        state.open_at_refusal = Some(u32::try_from(accepted).unwrap_or(u32::MAX));
        let jitter = rand::random_range(0.75..1.25);
        state.attempts.record_refusal(jitter, Instant::now());
        // The requests wait again, at most until the pause ends.
        state.waiters.clear();
    }

    /// Opens a connection to find out whether the server is alive, and closes
    /// it. Exchanges without an answer that call this at the same time share
    /// one probe. A refusal counts as a sign of life.
    pub async fn probe_server(&self, deadline: Instant) -> bool {
        let mut last = self.last_probe.lock().await;
        if let Some(probe) = *last {
            if probe.ended_at.elapsed() < PROBE_REUSE {
                return probe.answered;
            }
        }
        let deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let owner = C::Owner::default();
        let opened = C::connect(self.address, &self.identity, &owner, deadline).await;
        // A server that refuses, for instance at its connection limit, is alive.
        let answered = opened.map_or_else(|error| C::is_refusal(&error), |_| true);
        *last = Some(ServerProbe {
            ended_at: Instant::now(),
            answered,
        });
        answered
    }

    /// Checks out a connection or the permission to open one, or queues the request
    /// and returns the receiver of its connection.
    fn try_check_out(self: &Arc<Self>, owner: &C::Owner, deadline: Instant) -> CheckOutStep<C> {
        let now = Instant::now();
        let mut state = self.lock();
        if let Some(capacity) = state.take(owner, now) {
            drop(state);
            return CheckOutStep::Granted(self.wrap(owner.clone(), capacity));
        }
        let paused_until = state.attempts.paused_until(now);
        if let Some(retry_at) = paused_until.filter(|_| state.open == 0) {
            return CheckOutStep::AtLimit { retry_at };
        }
        let (sender, receiver) = oneshot::channel();
        state.arrivals += 1;
        let key = (deadline, state.arrivals);
        let owner = owner.clone();
        state.waiters.insert(key, PoolWaiter { owner, sender });
        // A request whose sender gave up is removed when its turn comes, or here.
        state.waiters.retain(|_, waiter| !waiter.sender.is_closed());
        let until = paused_until.map_or(deadline, |instant| instant.min(deadline));
        CheckOutStep::Wait { receiver, until }
    }

    fn wrap(self: &Arc<Self>, owner: C::Owner, capacity: Capacity<C>) -> PooledConnection<C> {
        self.in_use.fetch_add(1, Ordering::Relaxed);
        let is_replacement = matches!(capacity, Capacity::Replaced(_));
        let connection = match capacity {
            Capacity::Idle(connection) => Some(connection),
            Capacity::New | Capacity::Replaced(_) => None,
        };
        PooledConnection {
            pool: Some(self.clone()),
            owner,
            is_attempt: connection.is_none(),
            is_replacement,
            connection,
        }
    }

    /// Ends an attempt to open a connection, which lets the next one begin.
    fn end_attempt(self: &Arc<Self>, succeeded: bool) {
        let mut state = self.lock();
        state.attempts.end(succeeded);
        self.serve_waiters(state);
    }

    /// Takes back a connection; `None` stands for one that was closed.
    fn check_in(self: &Arc<Self>, owner: C::Owner, connection: Option<C>) {
        self.in_use.fetch_sub(1, Ordering::Relaxed);
        let mut state = self.lock();
        match connection {
            Some(connection) if state.open <= state.share => {
                state.idle.push(IdleConnection { owner, connection });
            }
            _ => state.open -= 1,
        }
        self.serve_waiters(state);
    }

    /// Gives idle connections, and permission to open new ones, to the waiting
    /// requests, the earliest deadline first. A request for which there is no connection
    /// does not hold up a later one of another owner.
    fn serve_waiters(self: &Arc<Self>, mut state: MutexGuard<'_, PoolState<C>>) {
        let now = Instant::now();
        let waiting: Vec<(Instant, u64)> = state.waiters.keys().copied().collect();
        for key in waiting {
            if state.idle.is_empty() && !state.may_open(now) {
                break;
            }
            let Some(PoolWaiter { owner, sender }) = state.waiters.remove(&key) else {
                continue;
            };
            // No connection is closed for a request that no longer waits.
            if sender.is_closed() {
                continue;
            }
            let Some(capacity) = state.take(&owner, now) else {
                state.waiters.insert(key, PoolWaiter { owner, sender });
                continue;
            };
            if let Err(unclaimed) = sender.send(self.wrap(owner, capacity)) {
                // The request is no longer waiting, so the next one gets the connection.
                state.take_back(unclaimed);
            }
        }
        if state.open == 0 && !state.may_open(now) {
            // There is no connection to wait for any more: the requests look again, and
            // learn how long the pause lasts.
            state.waiters.clear();
        }
    }

    fn lock(&self) -> MutexGuard<'_, PoolState<C>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Result of a request for a connection.
enum CheckOutStep<C: ServerConnection> {
    Granted(PooledConnection<C>),
    /// The request waits for a connection, at most until an instant.
    Wait {
        receiver: oneshot::Receiver<PooledConnection<C>>,
        until: Instant,
    },
    AtLimit {
        retry_at: Instant,
    },
}

impl<C: ServerConnection> PoolState<C> {
    /// Returns whether another connection may be opened.
    fn may_open(&self, now: Instant) -> bool {
        self.open < self.share && self.may_attempt(now)
    }

    fn may_attempt(&self, now: Instant) -> bool {
        self.attempts.running() < C::ATTEMPTS_MAX && self.attempts.paused_until(now).is_none()
    }

    /// Takes a connection, or the permission to open one, for a request of `owner`.
    /// Returns `None` if the request has to wait.
    fn take(&mut self, owner: &C::Owner, now: Instant) -> Option<Capacity<C>> {
        // The connection that was used last is the least likely to be closed by now.
        if let Some(index) = self.idle.iter().rposition(|idle| idle.owner == *owner) {
            return Some(Capacity::Idle(self.idle.remove(index).connection));
        }
        if !self.may_attempt(now) {
            return None;
        }
        if self.open < self.share {
            self.open += 1;
            self.attempts.begin();
            return Some(Capacity::New);
        }
        // A limit refusal may have reduced the share below the number of connections.
        while self.open > self.share && self.idle.len() > 1 {
            self.idle.remove(0);
            self.open -= 1;
        }
        if self.idle.is_empty() {
            return None;
        }
        self.attempts.begin();
        Some(Capacity::Replaced(self.idle.remove(0).connection))
    }

    /// Takes back what a request did not claim.
    fn take_back(&mut self, mut pooled: PooledConnection<C>) {
        if let Some(pool) = pooled.pool.take() {
            pool.in_use.fetch_sub(1, Ordering::Relaxed);
        }
        match pooled.connection.take() {
            Some(connection) => {
                let owner = pooled.owner.clone();
                self.idle.push(IdleConnection { owner, connection });
            }
            None => {
                self.open -= 1;
                self.attempts.end(false);
            }
        }
    }
}
