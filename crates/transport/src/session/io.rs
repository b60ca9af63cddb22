//! Socket of a caller with its input and output buffers.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use protocol::frame::{self, WireFrame, CALLER_FRAME_MAX_BYTES};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Buffer space that is reserved for one read from a caller.
const READ_BYTES: usize = 4 << 10;

/// Time limit for a write to a caller. A caller that stops reading must not hold a
/// connection to a backend server.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// Socket and buffers of one caller. The buffers are released while the caller is
/// idle.
#[derive(Debug)]
pub(crate) struct CallerIo {
    stream: TcpStream,
    pub(crate) input: BytesMut,
    pub(crate) output: BytesMut,
}

impl CallerIo {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            input: BytesMut::new(),
            output: BytesMut::new(),
        }
    }

    pub(crate) fn peer_address(&self) -> io::Result<SocketAddr> {
        self.stream.peer_addr()
    }

    /// Returns the next frame if it has arrived.
    pub(crate) fn take_frame(&mut self) -> io::Result<Option<WireFrame>> {
        frame::split_frame(&mut self.input, CALLER_FRAME_MAX_BYTES)
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error.to_string()))
    }

    /// Waits for the next frame; returns `None` when the caller has closed its
    /// connection.
    pub(crate) async fn next_frame(&mut self) -> io::Result<Option<WireFrame>> {
        loop {
            if let Some(frame) = self.take_frame()? {
                return Ok(Some(frame));
            }
            if !self.receive().await? {
                return Ok(None);
            }
        }
    }

    /// Waits for input and reads it into the buffer; returns false when the caller
    /// has closed its connection. Cancel safe: dropping the future loses no bytes.
    pub(crate) async fn receive(&mut self) -> io::Result<bool> {
        if self.input.is_empty() {
            self.input = BytesMut::new();
        }
        loop {
            self.stream.readable().await?;
            self.input.reserve(READ_BYTES);
            match self.stream.try_read_buf(&mut self.input) {
                Ok(count) => return Ok(count > 0),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.release_input();
                }
                Err(error) => return Err(error),
            }
        }
    }

    fn release_input(&mut self) {
        if self.input.is_empty() {
            self.input = BytesMut::new();
        }
    }

    /// Sends the whole output buffer.
    pub(crate) async fn flush(&mut self) -> io::Result<()> {
        let length = self.output.len();
        self.flush_front(length).await?;
        self.output = BytesMut::new();
        Ok(())
    }

    /// Sends the first `length` bytes of the output buffer. A caller that does not
    /// take them in time is an error.
    pub(crate) async fn flush_front(&mut self, length: usize) -> io::Result<()> {
        if length == 0 {
            return Ok(());
        }
        let front = self.output.split_to(length);
        match timeout(WRITE_TIMEOUT, self.stream.write_all(&front)).await {
            Ok(written) => written,
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }
}
