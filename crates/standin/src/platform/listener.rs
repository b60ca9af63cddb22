//! A listener whose connections a request handler can break, so that the
//! answer is never written.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

use axum::extract::connect_info::Connected;
use axum::serve::{IncomingStream, Listener};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};

/// Handle that breaks one connection.
#[derive(Clone, Debug, Default)]
pub struct ConnectionBreaker(Arc<AtomicBool>);

impl ConnectionBreaker {
    /// Makes all later writes to the connection fail, which closes it.
    pub fn break_connection(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// A TCP listener that gives each connection a [`ConnectionBreaker`].
#[derive(Debug)]
pub struct BreakableListener {
    inner: TcpListener,
}

impl BreakableListener {
    /// Wraps a bound listener.
    pub fn new(inner: TcpListener) -> Self {
        Self { inner }
    }
}

impl Listener for BreakableListener {
    type Io = BreakableStream;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (Self::Io, Self::Addr) {
        let (inner, address) = Listener::accept(&mut self.inner).await;
        let breaker = ConnectionBreaker::default();
        (BreakableStream { inner, breaker }, address)
    }

    fn local_addr(&self) -> io::Result<Self::Addr> {
        self.inner.local_addr()
    }
}

impl Connected<IncomingStream<'_, BreakableListener>> for ConnectionBreaker {
    fn connect_info(stream: IncomingStream<'_, BreakableListener>) -> Self {
        stream.io().breaker.clone()
    }
}

/// A connection whose writes fail once its [`ConnectionBreaker`] was used.
#[derive(Debug)]
pub struct BreakableStream {
    inner: TcpStream,
    breaker: ConnectionBreaker,
}

impl AsyncRead for BreakableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl AsyncWrite for BreakableStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.breaker.0.load(Ordering::Relaxed) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        Pin::new(&mut self.inner).poll_write(context, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
