//! Test client of the line protocol.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::framing::MessageReader;

/// Number of the caller that was opened last.
static LAST_CALLER: AtomicU64 = AtomicU64::new(0);

/// Error codes which guarantee that no effect of the attempt is kept.
pub const NOT_APPLIED_CODES: [&str; 6] = [
    "BUSY",
    "ABORTED",
    "LAGGING",
    "READONLY",
    "MOVED",
    "CONNLIMIT",
];

/// A caller's connection that sends one message at a time.
///
/// # Invariants
///
/// No two statements of a process have the same id.
#[derive(Debug)]
pub struct LineCaller {
    stream: MessageReader<TcpStream>,
    number: u64,
    statements: u64,
}

impl LineCaller {
    /// Connects without opening a session.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        Ok(Self {
            stream: MessageReader::new(TcpStream::connect(address).await?),
            number: LAST_CALLER.fetch_add(1, Ordering::Relaxed) + 1,
            statements: 0,
        })
    }

    /// Connects and opens a session for a database. Each step may take up to
    /// `limit`. Fails when the answer does not end with `READY`.
    pub async fn connect(address: SocketAddr, database: &str, limit: Duration) -> io::Result<Self> {
        let mut caller = timeout(limit, Self::open(address)).await??;
        let greeting = caller.ask(&format!("CONNECT {database} u1"), limit).await?;
        match greeting.last() {
            Some(line) if line.starts_with("READY") => Ok(caller),
            _ => Err(io::Error::other(format!("greeting: {greeting:?}"))),
        }
    }

    /// Sends a line and returns the answer: all lines up to `READY`, or up to
    /// the end of the stream.
    pub async fn ask(&mut self, line: &str, limit: Duration) -> io::Result<Vec<String>> {
        let text = format!("{line}\r\n");
        let sent = self.stream.stream_mut().write_all(text.as_bytes());
        timeout(limit, sent).await??;
        let mut lines = Vec::new();
        while let Some(line) = timeout(limit, self.stream.next()).await?? {
            let is_end = line.starts_with("READY");
            lines.push(line);
            if is_end {
                break;
            }
        }
        Ok(lines)
    }

    /// Sends a statement with the next statement id and returns the answer.
    pub async fn run(&mut self, text: &str, limit: Duration) -> io::Result<Vec<String>> {
        self.statements += 1;
        let id = self.last_id();
        self.ask(&format!("QUERY {id} {text}"), limit).await
    }

    /// Returns the id of the statement that was sent last.
    pub fn last_id(&self) -> String {
        format!("q{}-{}", self.number, self.statements)
    }
}
