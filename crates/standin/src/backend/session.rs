//! The statement port: connections, execution slots and limits.

use std::collections::HashMap;
use std::io;
use std::sync::atomic::{AtomicI32, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore};
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::member::GroupMemberState;
use super::settings::BackendSettings;
use super::startup::{BackendKey, MessageStream, StartupRequest};

mod exchange;
mod execute;

use exchange::Session;

/// Serves statement connections of one member.
#[derive(Debug)]
pub struct StatementServer {
    member: Arc<GroupMemberState>,
    slots: Semaphore,
    connection_limit: usize,
    connection_delay: Duration,
    service_time: Mutex<Duration>,
    connections: AtomicUsize,
    statements: AtomicU64,
    next_process_id: AtomicI32,
    cancel_signals: Mutex<HashMap<BackendKey, Arc<Notify>>>,
}

impl StatementServer {
    /// Creates the statement server of `member`.
    pub fn new(member: Arc<GroupMemberState>, settings: &BackendSettings) -> Arc<Self> {
        Arc::new(Self {
            member,
            slots: Semaphore::new(settings.slots),
            connection_limit: settings.connection_limit,
            connection_delay: settings.connection_delay,
            service_time: Mutex::new(settings.service_time),
            connections: AtomicUsize::new(0),
            statements: AtomicU64::new(0),
            next_process_id: AtomicI32::new(1),
            cancel_signals: Mutex::new(HashMap::new()),
        })
    }

    /// Accepts connections. Aborting the task closes all of them.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                Ok((socket, _)) = listener.accept() => {
                    connections.spawn(self.clone().serve_connection(socket));
                }
                Some(_) = connections.join_next() => {}
            }
        }
    }

    /// Sets the time for which each statement occupies its slot.
    pub fn set_service_time(&self, time: Duration) {
        *lock(&self.service_time) = time;
    }

    /// Returns the number of open statement connections.
    pub fn connection_count(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Returns the number of statements that have been executed.
    pub fn statement_count(&self) -> u64 {
        self.statements.load(Ordering::Relaxed)
    }

    async fn serve_connection(self: Arc<Self>, socket: TcpStream) -> io::Result<()> {
        let mut close_signals = self.member.close_signals();
        tokio::select! {
            biased;
            // A fence of a primary closes the connection at once: queued answers
            // are not sent, and the open transaction rolls back.
            _ = close_signals.changed() => Ok(()),
            result = self.clone().run_connection(socket) => result,
        }
    }

    async fn run_connection(self: Arc<Self>, socket: TcpStream) -> io::Result<()> {
        let mut stream = MessageStream::new(socket)?;
        match stream.receive_startup().await? {
            Some(StartupRequest::Session) => {}
            Some(StartupRequest::Cancel(key)) => {
                self.cancel(key);
                return Ok(());
            }
            None => return Ok(()),
        }
        let Some(guard) = ConnectionGuard::register(&self) else {
            return stream
                .refuse_session("53300", "sorry, too many clients already")
                .await;
        };
        sleep(self.connection_delay).await;
        stream.accept_session(guard.key).await?;
        Session::new(self.clone(), stream, &guard).run().await
    }

    fn cancel(&self, key: BackendKey) {
        if let Some(notify) = lock(&self.cancel_signals).get(&key) {
            notify.notify_waiters();
        }
    }
}

/// Registration of an open connection. Dropping it removes the connection from
/// the count and from the targets of cancel requests.
#[derive(Debug)]
struct ConnectionGuard {
    server: Arc<StatementServer>,
    key: BackendKey,
    cancel: Arc<Notify>,
}

impl ConnectionGuard {
    /// Registers a connection. Returns `None` if the connection limit is reached.
    fn register(server: &Arc<StatementServer>) -> Option<Self> {
        let limit = server.connection_limit;
        server
            .connections
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |count| {
                (count < limit).then_some(count + 1)
            })
            .ok()?;
        let key = BackendKey {
            process_id: server.next_process_id.fetch_add(1, Ordering::Relaxed),
            secret_key: rand::random(),
        };
        let cancel = Arc::new(Notify::new());
        lock(&server.cancel_signals).insert(key, cancel.clone());
        Some(Self {
            server: server.clone(),
            key,
            cancel,
        })
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        lock(&self.server.cancel_signals).remove(&self.key);
        self.server.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
