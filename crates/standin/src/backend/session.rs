//! The statement port: connections, slots and limits.

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

/// Serves statements of one member.
#[derive(Debug)]
pub struct StatementServer {
    member: Arc<GroupMemberState>,
    slots: Semaphore,
    connection_limit: usize,
    connection_delay: Duration,
    service_time: Mutex<Duration>,
    connections: AtomicUsize,
    statements: AtomicU64,
    next_process: AtomicI32,
    cancels: Mutex<HashMap<BackendKey, Arc<Notify>>>,
}

impl StatementServer {
    /// Creates the server of `member`.
    pub fn new(member: Arc<GroupMemberState>, settings: &BackendSettings) -> Arc<Self> {
        Arc::new(Self {
            member,
            slots: Semaphore::new(settings.slots),
            connection_limit: settings.connection_limit,
            connection_delay: settings.connection_delay,
            service_time: Mutex::new(settings.service_time),
            connections: AtomicUsize::new(0),
            statements: AtomicU64::new(0),
            next_process: AtomicI32::new(1),
            cancels: Mutex::new(HashMap::new()),
        })
    }

    /// Accepts connections. Aborting it closes them all.
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

    /// Sets the time that each statement holds its slot.
    pub fn set_service_time(&self, time: Duration) {
        *lock(&self.service_time) = time;
    }

    /// Returns the number of open connections.
    pub fn connection_count(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Returns the number of statements that have been executed.
    pub fn statement_count(&self) -> u64 {
        self.statements.load(Ordering::Relaxed)
    }

    async fn serve_connection(self: Arc<Self>, socket: TcpStream) -> io::Result<()> {
        let mut closings = self.member.closings();
        tokio::select! {
            biased;
            // A fence closes the connection at once: answers that were not sent
            // yet stay unsent, and the open transaction rolls back.
            _ = closings.changed() => Ok(()),
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
        if let Some(notify) = lock(&self.cancels).get(&key) {
            notify.notify_waiters();
        }
    }
}

/// Counts a connection while it lives.
#[derive(Debug)]
struct ConnectionGuard {
    server: Arc<StatementServer>,
    key: BackendKey,
    cancel: Arc<Notify>,
}

impl ConnectionGuard {
    /// Registers a connection unless the limit is reached.
    fn register(server: &Arc<StatementServer>) -> Option<Self> {
        let limit = server.connection_limit;
        server
            .connections
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |count| {
                (count < limit).then_some(count + 1)
            })
            .ok()?;
        let key = BackendKey {
            process: server.next_process.fetch_add(1, Ordering::Relaxed),
            secret: rand::random(),
        };
        let cancel = Arc::new(Notify::new());
        lock(&server.cancels).insert(key, cancel.clone());
        Some(Self {
            server: server.clone(),
            key,
            cancel,
        })
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        lock(&self.server.cancels).remove(&self.key);
        self.server.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
