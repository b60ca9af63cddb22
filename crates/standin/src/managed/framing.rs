//! Messages of the line protocol: text that ends at CR LF.

use std::io;

use tokio::io::{AsyncRead, AsyncReadExt};

/// End of a message. A CR or LF alone is part of the text.
const MESSAGE_END: &[u8] = b"\r\n";
/// Buffer space reserved for one read, in bytes.
const READ_BYTES: usize = 4 << 10;

/// Reads messages from a byte stream.
///
/// # Invariants
///
/// No message ends within the first `searched` bytes of `input`.
#[derive(Debug)]
pub(super) struct MessageReader<R> {
    stream: R,
    input: Vec<u8>,
    searched: usize,
}

impl<R: AsyncRead + Unpin> MessageReader<R> {
    pub(super) fn new(stream: R) -> Self {
        Self {
            stream,
            input: Vec::new(),
            searched: 0,
        }
    }

    /// Returns the stream, for writes.
    pub(super) fn stream_mut(&mut self) -> &mut R {
        &mut self.stream
    }

    /// Returns the next message without its end, or `None` at the end of the stream.
    pub(super) async fn next(&mut self) -> io::Result<Option<String>> {
        loop {
            let mut pairs = self.input[self.searched..].windows(MESSAGE_END.len());
            if let Some(end) = pairs.position(|pair| pair == MESSAGE_END) {
                let end = std::mem::take(&mut self.searched) + end;
                let rest = self.input.split_off(end + MESSAGE_END.len());
                let mut message = std::mem::replace(&mut self.input, rest);
                message.truncate(end);
                return Ok(Some(String::from_utf8_lossy(&message).into_owned()));
            }
            // A CR at the end may belong to the end of the message.
            self.searched = self.input.len().saturating_sub(MESSAGE_END.len() - 1);
            self.input.reserve(READ_BYTES);
            if self.stream.read_buf(&mut self.input).await? == 0 {
                return Ok(None);
            }
        }
    }
}
