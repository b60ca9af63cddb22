//! The connections of this host to one backend server.
//!
//! The number of open connections, idle ones included, stays within the host's
//! share of the server's limit. The share may change at run time.

mod clean;
mod connection;
mod gate;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::ops::{Deref, DerefMut};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::{oneshot, Mutex as AsyncMutex};
use tokio::time::{sleep_until, timeout_at};

use crate::backend::{BackendConnection, BackendError};

pub use connection::{ReleaseState, ServerConnection};
pub use gate::{AdmissionGate, AdmissionPass};

/// Longest time to open a connection, below the statement's own deadline, so
/// that a dead server leaves time for another one.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time for which the outcome of a sibling probe is used again.
const PROBE_SPACING: Duration = Duration::from_millis(250);

/// Result of taking a connection.
pub type Result<T, E = BackendError> = std::result::Result<T, PoolError<E>>;

/// Pause after the server refused a connection at its limit.
const LIMIT_REFUSAL_PAUSE: Duration = Duration::from_millis(50);

/// Why no connection could be taken. No statement was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PoolError<E = BackendError> {
    /// No connection became free by the deadline.
    Exhausted,
    /// A connection could not be opened.
    Connect(E),
}

/// The connections to one member.
#[derive(Debug)]
pub struct MemberPool<C: ServerConnection = BackendConnection> {
    name: String,
    address: SocketAddr,
    identity: C::Identity,
    gate: Arc<AdmissionGate>,
    in_use: AtomicUsize,
    sibling: AsyncMutex<Option<SiblingProbe>>,
    state: Mutex<PoolState<C>>,
}

/// Outcome of the last probe with a new connection.
#[derive(Clone, Copy, Debug)]
struct SiblingProbe {
    ended_at: Instant,
    answered: bool,
}

/// # Invariants
///
/// `open` counts the connections that are idle, in use, being opened or being
/// cleaned. A new one is opened only while `open < share`.
#[derive(Debug)]
struct PoolState<C: ServerConnection> {
    idle: Vec<C>,
    open: usize,
    share: usize,
    waiters: VecDeque<oneshot::Sender<PooledConnection<C>>>,
    /// Connections that were open when the server last refused one at its
    /// limit, until the refusal is taken.
    refused_at: Option<u32>,
}

impl<C: ServerConnection> MemberPool<C> {
    /// Builds an empty pool.
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
            sibling: AsyncMutex::new(None),
            state: Mutex::new(PoolState {
                idle: Vec::new(),
                open: 0,
                share,
                waiters: VecDeque::new(),
                refused_at: None,
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

    /// Returns the queue in front of the member.
    pub fn gate(&self) -> &Arc<AdmissionGate> {
        &self.gate
    }

    /// Returns the number of connections that are in use.
    pub fn in_use(&self) -> u32 {
        u32::try_from(self.in_use.load(Ordering::Relaxed)).unwrap_or(u32::MAX)
    }

    /// Returns the share.
    pub fn share(&self) -> usize {
        self.lock().share
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.lock().open
    }

    /// Returns how many connections of the share are not in use.
    pub fn spare(&self) -> usize {
        let state = self.lock();
        let used = state.open - state.idle.len();
        state.share.saturating_sub(used)
    }

    /// Changes the share. Idle connections above it are closed at once, those
    /// in use when they are returned.
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
            .partition(|connection| connection.received_at() < instant);
        state.idle = kept;
        state.open -= closed.len();
        self.serve_waiters(state);
    }

    /// Closes idle connections that last received a byte before `instant`, but
    /// keeps one. Connections that stay open without use would count against
    /// the server's limit when hosts that lost power come back.
    pub fn close_unused_before(&self, instant: Instant) {
        let mut state = self.lock();
        let mut closed = Vec::new();
        while state.open > 1 {
            // The connection that was returned last is used first.
            let oldest = state.idle.first().map(C::received_at);
            if oldest.is_none_or(|received_at| received_at >= instant) {
                break;
            }
            state.open -= 1;
            closed.push(state.idle.remove(0));
        }
    }

    /// Takes a connection, in order of arrival. A refusal by the server at its
    /// limit shrinks the share, and the request waits for the connections that
    /// there are.
    pub async fn check_out(
        self: &Arc<Self>,
        deadline: Instant,
    ) -> Result<PooledConnection<C>, C::Error> {
        loop {
            let mut pooled = self.wait_for_place(deadline).await?;
            if pooled.connection.as_ref().is_some_and(C::is_alive) {
                return Ok(pooled);
            }
            match pooled.open(deadline).await {
                Ok(()) => return Ok(pooled),
                Err(PoolError::Connect(error)) if C::is_limit_refusal(&error) => {
                    self.note_limit_refusal();
                    drop(pooled);
                }
                Err(error) => return Err(error),
            }
            let retry_at = Instant::now() + LIMIT_REFUSAL_PAUSE;
            if retry_at >= deadline {
                return Err(PoolError::Exhausted);
            }
            sleep_until(retry_at.into()).await;
        }
    }

    async fn wait_for_place(
        self: &Arc<Self>,
        deadline: Instant,
    ) -> Result<PooledConnection<C>, C::Error> {
        match self.take_now() {
            Ok(pooled) => Ok(pooled),
            Err(waiter) => timeout_at(deadline.into(), waiter)
                .await
                .map_err(|_| PoolError::Exhausted)?
                .map_err(|_| PoolError::Exhausted),
        }
    }

    /// Returns how many connections were open when the server refused one at
    /// its limit, once for each refusal.
    pub fn take_limit_refusal(&self) -> Option<u32> {
        self.lock().refused_at.take()
    }

    /// Shrinks the share to the connections beside the one that was refused.
    /// One place always stays, so that the server is asked again.
    fn note_limit_refusal(&self) {
        let mut state = self.lock();
        let accepted = state.open.saturating_sub(1);
        state.share = state.share.min(accepted.max(1));
        state.refused_at = Some(u32::try_from(accepted).unwrap_or(u32::MAX));
    }

    /// Tells whether a new connection is answered, which shows that the server
    /// is alive. Silent exchanges that ask at the same time share one probe.
    pub async fn sibling_answers(&self, deadline: Instant) -> bool {
        let mut last = self.sibling.lock().await;
        if let Some(probe) = *last {
            if probe.ended_at.elapsed() < PROBE_SPACING {
                return probe.answered;
            }
        }
        let deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let opened = C::connect(self.address, &self.identity, deadline).await;
        // A refusal, for instance at the connection limit, is an answer too.
        let answered = opened.map_or_else(|error| C::is_refusal(&error), |_| true);
        *last = Some(SiblingProbe {
            ended_at: Instant::now(),
            answered,
        });
        answered
    }

    fn take_now(
        self: &Arc<Self>,
    ) -> std::result::Result<PooledConnection<C>, oneshot::Receiver<PooledConnection<C>>> {
        let mut state = self.lock();
        if let Some(connection) = state.idle.pop() {
            return Ok(self.wrap(Some(connection)));
        }
        if state.open < state.share {
            state.open += 1;
            return Ok(self.wrap(None));
        }
        let (sender, receiver) = oneshot::channel();
        state.waiters.push_back(sender);
        Err(receiver)
    }

    fn wrap(self: &Arc<Self>, connection: Option<C>) -> PooledConnection<C> {
        self.in_use.fetch_add(1, Ordering::Relaxed);
        PooledConnection {
            pool: Some(self.clone()),
            connection,
        }
    }

    /// Takes back a connection, or the place of a closed one.
    fn check_in(self: &Arc<Self>, connection: Option<C>) {
        self.in_use.fetch_sub(1, Ordering::Relaxed);
        let mut state = self.lock();
        match connection {
            Some(connection) if state.open <= state.share => state.idle.push(connection),
            _ => state.open -= 1,
        }
        self.serve_waiters(state);
    }

    /// Hands free connections and places to the waiting requests in order.
    fn serve_waiters(self: &Arc<Self>, mut state: MutexGuard<'_, PoolState<C>>) {
        while !state.waiters.is_empty() {
            let connection = state.idle.pop();
            if connection.is_none() {
                if state.open >= state.share {
                    return;
                }
                state.open += 1;
            }
            let Some(waiter) = state.waiters.pop_front() else {
                return;
            };
            let Err(refused) = waiter.send(self.wrap(connection)) else {
                continue;
            };
            // The request has gone: the next one gets the connection.
            match refused.dissolve() {
                Some(connection) => state.idle.push(connection),
                None => state.open -= 1,
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, PoolState<C>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection that was taken from a pool. Dropping it returns it: a clean
/// one is reused, one with a transaction or session state is cleaned first,
/// one with an outstanding answer is closed.
#[derive(Debug)]
pub struct PooledConnection<C: ServerConnection = BackendConnection> {
    pool: Option<Arc<MemberPool<C>>>,
    connection: Option<C>,
}

impl<C: ServerConnection> PooledConnection<C> {
    /// Closes the connection instead of returning it.
    pub fn close(mut self) {
        self.connection = None;
    }

    /// Returns the pool that it came from.
    pub fn pool(&self) -> &Arc<MemberPool<C>> {
        self.pool.as_ref().expect("a pooled connection has a pool")
    }

    async fn open(&mut self, deadline: Instant) -> Result<(), C::Error> {
        self.connection = None;
        let pool = self.pool().clone();
        let deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let connection = C::connect(pool.address, &pool.identity, deadline)
            .await
            .map_err(PoolError::Connect)?;
        self.connection = Some(connection);
        Ok(())
    }

    /// Takes the connection out without returning its place to the pool.
    fn dissolve(mut self) -> Option<C> {
        if let Some(pool) = self.pool.take() {
            pool.in_use.fetch_sub(1, Ordering::Relaxed);
        }
        self.connection.take()
    }
}

impl<C: ServerConnection> Deref for PooledConnection<C> {
    type Target = C;

    fn deref(&self) -> &C {
        self.connection.as_ref().expect("connection is open")
    }
}

impl<C: ServerConnection> DerefMut for PooledConnection<C> {
    fn deref_mut(&mut self) -> &mut C {
        self.connection.as_mut().expect("connection is open")
    }
}

impl<C: ServerConnection> Drop for PooledConnection<C> {
    fn drop(&mut self) {
        let Some(pool) = self.pool.take() else {
            return;
        };
        let Some(mut connection) = self.connection.take() else {
            return pool.check_in(None);
        };
        match connection.release() {
            ReleaseState::Clean => pool.check_in(Some(connection)),
            ReleaseState::Unclean => clean::spawn(pool, connection),
            ReleaseState::Broken => pool.check_in(None),
        }
    }
}
