//! A caller that speaks the line protocol.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Codes of errors that promise that nothing of the attempt is kept.
pub const PROMISE_CODES: [&str; 6] = [
    "BUSY",
    "ABORTED",
    "LAGGING",
    "READONLY",
    "MOVED",
    "CONNLIMIT",
];

/// A connection of a caller.
#[derive(Debug)]
pub struct LineCaller {
    stream: BufReader<TcpStream>,
    statements: u64,
}

impl LineCaller {
    /// Connects without a greeting.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        Ok(Self {
            stream: BufReader::new(TcpStream::connect(address).await?),
            statements: 0,
        })
    }

    /// Connects and opens a session for a database.
    pub async fn connect(
        address: SocketAddr,
        database: &str,
        patience: Duration,
    ) -> io::Result<Self> {
        let mut caller = timeout(patience, Self::open(address)).await??;
        let greeting = caller
            .ask(&format!("CONNECT {database} u1"), patience)
            .await?;
        match greeting.last() {
            Some(line) if line.starts_with("READY") => Ok(caller),
            _ => Err(io::Error::other(format!("greeting: {greeting:?}"))),
        }
    }

    /// Sends a line and returns the lines up to READY or the end.
    pub async fn ask(&mut self, line: &str, patience: Duration) -> io::Result<Vec<String>> {
        let text = format!("{line}\r\n");
        timeout(patience, self.stream.write_all(text.as_bytes())).await??;
        let mut lines = Vec::new();
        loop {
            let mut line = String::new();
            if timeout(patience, self.stream.read_line(&mut line)).await?? == 0 {
                return Ok(lines);
            }
            lines.push(line.trim_end_matches(['\r', '\n']).to_owned());
            if line.starts_with("READY") {
                return Ok(lines);
            }
        }
    }

    /// Sends a statement with the next id.
    pub async fn run(&mut self, text: &str, patience: Duration) -> io::Result<Vec<String>> {
        self.statements += 1;
        let id = self.last_id();
        self.ask(&format!("QUERY {id} {text}"), patience).await
    }

    /// Returns the id of the last statement.
    pub fn last_id(&self) -> String {
        format!("q{}", self.statements)
    }
}
