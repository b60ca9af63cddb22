//! A client connection that is opened on first use and replaced after a
//! failure.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tarpc::client::RpcError;
use tarpc::context::{self, Context};
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::task::AbortHandle;

use super::{ControlMeter, MeteredStream};
use crate::services::{Result, ServiceError};

/// How to reach a service.
#[derive(Clone, Debug)]
pub struct RpcOptions {
    /// Address of the service.
    pub address: SocketAddr,
    /// Time that a call may take beyond the time that its own wait takes.
    pub timeout: Duration,
    /// Counts the cost of the connection.
    pub meter: ControlMeter,
}

/// An open connection: the `tarpc` client and the task that serves it.
#[derive(Debug)]
pub struct RpcConnection<C> {
    client: C,
    dispatch: AbortHandle,
}

impl<C> RpcConnection<C> {
    /// Spawns the dispatch task of a client.
    pub fn spawn<D>(client: C, dispatch: D, meter: ControlMeter) -> Self
    where
        D: Future + Send + 'static,
        D::Output: Send,
    {
        let dispatch = tokio::spawn(async move { meter.run(dispatch).await }).abort_handle();
        Self { client, dispatch }
    }

    fn is_open(&self) -> bool {
        !self.dispatch.is_finished()
    }
}

impl<C> Drop for RpcConnection<C> {
    fn drop(&mut self) {
        // Ends the other calls in flight on a connection that failed, so that
        // they do not wait for their own deadlines.
        self.dispatch.abort();
    }
}

/// A lazily connected client that is shared by its clones.
#[derive(Debug)]
pub struct RpcChannel<C> {
    options: RpcOptions,
    open: fn(MeteredStream) -> RpcConnection<C>,
    slot: Arc<Mutex<ChannelSlot<C>>>,
}

#[derive(Debug)]
struct ChannelSlot<C> {
    connection: Option<RpcConnection<C>>,
    /// Rises with each connection, so that a late failure of an old connection
    /// does not close its successor.
    generation: u64,
}

impl<C> Clone for RpcChannel<C> {
    fn clone(&self) -> Self {
        Self {
            options: self.options.clone(),
            open: self.open,
            slot: self.slot.clone(),
        }
    }
}

impl<C: Clone> RpcChannel<C> {
    /// Builds a channel; connects at the first call.
    pub fn new(options: RpcOptions, open: fn(MeteredStream) -> RpcConnection<C>) -> Self {
        let slot = ChannelSlot {
            connection: None,
            generation: 0,
        };
        Self {
            options,
            open,
            slot: Arc::new(Mutex::new(slot)),
        }
    }

    /// Makes a call that may itself wait for `wait` before it answers. Any
    /// failure closes the connection: a connection that stopped responding
    /// looks the same as a slow answer, and only a new one tells them apart.
    pub async fn call<T, F, Fut>(&self, wait: Duration, call: F) -> Result<T>
    where
        F: FnOnce(C, Context) -> Fut + Send,
        Fut: Future<Output = std::result::Result<T, RpcError>> + Send,
    {
        let limit = wait + self.options.timeout;
        let deadline = tokio::time::Instant::now() + limit;
        let opened = tokio::time::timeout_at(deadline, self.client()).await;
        let (client, generation) = opened.map_err(|_| no_answer("connect timed out"))??;
        let mut context = context::current();
        context.deadline = Instant::now() + limit;
        let answer = tokio::time::timeout_at(deadline, call(client, context)).await;
        let error = match answer {
            Ok(Ok(answer)) => return Ok(answer),
            Ok(Err(error)) => error.to_string(),
            Err(_) => "deadline passed".to_owned(),
        };
        self.close(generation).await;
        Err(ServiceError::NoAnswer(error))
    }

    async fn client(&self) -> Result<(C, u64)> {
        let mut slot = self.slot.lock().await;
        // A connection that the other side closed while it was idle is replaced
        // before the call, since the call would fail on it.
        if let Some(connection) = slot.connection.as_ref().filter(|one| one.is_open()) {
            return Ok((connection.client.clone(), slot.generation));
        }
        let stream = TcpStream::connect(self.options.address)
            .await
            .map_err(connect_error)?;
        stream.set_nodelay(true).map_err(connect_error)?;
        let counted = MeteredStream::new(stream, self.options.meter.clone());
        let connection = (self.open)(counted);
        let client = connection.client.clone();
        slot.connection = Some(connection);
        slot.generation += 1;
        Ok((client, slot.generation))
    }

    async fn close(&self, generation: u64) {
        let mut slot = self.slot.lock().await;
        if slot.generation == generation {
            slot.connection = None;
        }
    }
}

fn connect_error(error: std::io::Error) -> ServiceError {
    if error.kind() == std::io::ErrorKind::ConnectionRefused {
        return ServiceError::Unreachable(error.to_string());
    }
    ServiceError::NoAnswer(error.to_string())
}

fn no_answer(reason: &str) -> ServiceError {
    ServiceError::NoAnswer(reason.to_owned())
}
