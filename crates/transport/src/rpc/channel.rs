//! A client that connects on first use and reconnects after a failure.

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

/// Address, timeout and meter of the connections to a service.
#[derive(Clone, Debug)]
pub struct RpcOptions {
    /// Address of the service.
    pub address: SocketAddr,
    /// Limit on the duration of a call, on top of the time for which the service
    /// may wait before it answers.
    pub timeout: Duration,
    /// Counts the bytes and the run time of the connections.
    pub meter: ControlMeter,
}

/// An open connection: the `tarpc` client and its dispatch task.
#[derive(Debug)]
pub struct RpcConnection<C> {
    client: C,
    dispatch: AbortHandle,
}

impl<C> RpcConnection<C> {
    /// Spawns the dispatch task of `client`, whose run time `meter` counts.
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
        // Makes the other calls in flight on a failed connection fail at once
        // instead of at their deadlines.
        self.dispatch.abort();
    }
}

/// A lazily connected client. Its clones share the connection.
#[derive(Debug)]
pub struct RpcChannel<C> {
    options: RpcOptions,
    open: fn(MeteredStream) -> RpcConnection<C>,
    state: Arc<Mutex<ChannelState<C>>>,
}

#[derive(Debug)]
struct ChannelState<C> {
    connection: Option<RpcConnection<C>>,
    /// Number of connections opened so far. It keeps a late failure of an old
    /// connection from closing its successor.
    generation: u64,
}

impl<C> Clone for RpcChannel<C> {
    fn clone(&self) -> Self {
        Self {
            options: self.options.clone(),
            open: self.open,
            state: self.state.clone(),
        }
    }
}

impl<C: Clone> RpcChannel<C> {
    /// Creates a channel, which connects at the first call. `open` builds the
    /// client of a new connection.
    pub fn new(options: RpcOptions, open: fn(MeteredStream) -> RpcConnection<C>) -> Self {
        let state = ChannelState {
            connection: None,
            generation: 0,
        };
        Self {
            options,
            open,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Makes a call that the service may answer as late as after `wait`.
    ///
    /// Any failure closes the connection. A connection that has stopped
    /// responding looks the same as a slow service; only a new connection shows
    /// the difference.
    ///
    /// # Errors
    ///
    /// [`ServiceError::Unreachable`] if the connection is refused, otherwise
    /// [`ServiceError::NoAnswer`].
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

    /// Returns the client of the open connection with the number of the connection, and
    /// opens one if there is none. For callers whose failed calls do not always close
    /// the connection.
    ///
    /// # Errors
    ///
    /// As for [`Self::call`].
    pub async fn connect(&self) -> Result<(C, u64)> {
        self.client().await
    }

    async fn client(&self) -> Result<(C, u64)> {
        let mut state = self.state.lock().await;
        // Replaces a connection that the other side closed while it was idle,
        // because the call would fail on it.
        if let Some(connection) = state.connection.as_ref().filter(|one| one.is_open()) {
            return Ok((connection.client.clone(), state.generation));
        }
        let stream = TcpStream::connect(self.options.address)
            .await
            .map_err(connect_error)?;
        stream.set_nodelay(true).map_err(connect_error)?;
        let counted = MeteredStream::new(stream, self.options.meter.clone());
        let connection = (self.open)(counted);
        let client = connection.client.clone();
        state.connection = Some(connection);
        state.generation += 1;
        Ok((client, state.generation))
    }

    /// Closes the connection with this number, unless it has been replaced already.
    pub async fn close(&self, generation: u64) {
        let mut state = self.state.lock().await;
        if state.generation == generation {
            state.connection = None;
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
