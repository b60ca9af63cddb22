//! Counts the bytes of control connections.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Payload bytes sent and received by all connections that share the counter.
#[derive(Clone, Debug, Default)]
pub struct ByteCounter {
    total: Arc<AtomicU64>,
}

impl ByteCounter {
    /// Returns the number of bytes so far.
    pub fn total(&self) -> u64 {
        self.total.load(Ordering::Relaxed)
    }

    fn add(&self, count: usize) {
        self.total.fetch_add(count as u64, Ordering::Relaxed);
    }
}

/// A connection whose bytes are counted.
#[derive(Debug)]
pub struct CountedStream {
    stream: TcpStream,
    counter: ByteCounter,
}

impl CountedStream {
    /// Wraps a connection.
    pub fn new(stream: TcpStream, counter: ByteCounter) -> Self {
        Self { stream, counter }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.counter.add(buffer.filled().len() - before);
        poll
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(count)) = &poll {
            self.counter.add(*count);
        }
        poll
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
