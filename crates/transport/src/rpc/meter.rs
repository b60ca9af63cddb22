//! Counts the bytes and the run time of control work.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use futures::future::poll_fn;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Counts the bytes and the run time of a daemon's control work. Its clones
/// share the counts.
#[derive(Clone, Debug, Default)]
pub struct ControlMeter {
    counts: Arc<MeterCounts>,
}

#[derive(Debug, Default)]
struct MeterCounts {
    bytes: AtomicU64,
    busy_nanos: AtomicU64,
}

impl ControlMeter {
    /// Returns the number of payload bytes sent and received so far.
    pub fn bytes(&self) -> u64 {
        self.counts.bytes.load(Ordering::Relaxed)
    }

    /// Returns the time for which control tasks have run. It is an upper limit
    /// of their CPU time, because a thread that the operating system suspends
    /// meanwhile counts as running.
    pub fn busy(&self) -> Duration {
        Duration::from_nanos(self.counts.busy_nanos.load(Ordering::Relaxed))
    }

    /// Runs a control task and counts its run time.
    pub async fn run<F: Future>(&self, task: F) -> F::Output {
        let mut task = std::pin::pin!(task);
        poll_fn(|context| {
            let start = Instant::now();
            let poll = task.as_mut().poll(context);
            let nanos = start.elapsed().as_nanos() as u64;
            self.counts.busy_nanos.fetch_add(nanos, Ordering::Relaxed);
            poll
        })
        .await
    }

    fn add_bytes(&self, count: usize) {
        self.counts.bytes.fetch_add(count as u64, Ordering::Relaxed);
    }
}

/// A TCP connection whose bytes are counted.
#[derive(Debug)]
pub struct MeteredStream {
    stream: TcpStream,
    meter: ControlMeter,
}

impl MeteredStream {
    /// Wraps a connection, whose bytes `meter` counts.
    pub fn new(stream: TcpStream, meter: ControlMeter) -> Self {
        Self { stream, meter }
    }

    /// Returns the meter that counts the connection's bytes.
    pub fn meter(&self) -> &ControlMeter {
        &self.meter
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.meter.add_bytes(buffer.filled().len() - before);
        poll
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(count)) = &poll {
            self.meter.add_bytes(*count);
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
