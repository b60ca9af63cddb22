//! A TCP relay that simulates a faulty network path.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{sleep_until, Instant};

/// Largest number of bytes of one read.
const CHUNK_BYTES: usize = 16 * 1024;
/// Largest number of chunks in flight per direction. Reading stops beyond it, so
/// that a stalled relay exerts back pressure like a full network path.
const CHUNKS_IN_FLIGHT: usize = 64;

/// A running relay, which also sets its faults. Dropping it closes all
/// connections.
#[derive(Debug)]
pub struct TcpRelay {
    address: SocketAddr,
    path: Arc<RelayPath>,
    task: JoinHandle<()>,
}

#[derive(Debug)]
struct RelayPath {
    target: SocketAddr,
    faults: watch::Sender<RelayFaults>,
}

#[derive(Clone, Copy, Debug, Default)]
struct RelayFaults {
    is_cut: bool,
    is_stalled: bool,
    /// Connections with a lower number are silenced: they forward nothing.
    silent_below: u64,
    next_connection: u64,
    delay_to_target: Duration,
    delay_to_caller: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RelayDirection {
    ToTarget,
    ToCaller,
}

impl RelayFaults {
    fn blocks(&self, connection: u64) -> bool {
        self.is_stalled || connection < self.silent_below
    }

    fn delay(&self, direction: RelayDirection) -> Duration {
        match direction {
            RelayDirection::ToTarget => self.delay_to_target,
            RelayDirection::ToCaller => self.delay_to_caller,
        }
    }
}

impl TcpRelay {
    /// Starts a relay to `target` on a free loopback port.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let path = Arc::new(RelayPath {
            target,
            faults: watch::Sender::new(RelayFaults::default()),
        });
        let task = tokio::spawn(accept_connections(path.clone(), listener));
        Ok(Self {
            address,
            path,
            task,
        })
    }

    /// Returns the address that callers connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts the path or restores it. A cut closes all connections; new ones are
    /// reset right after they are accepted, so that the port stays reserved.
    pub fn set_cut(&self, is_cut: bool) {
        self.modify(|faults| faults.is_cut = is_cut);
    }

    /// Sets the delay of each direction, for bytes that arrive from now on.
    pub fn set_delay(&self, to_target: Duration, to_caller: Duration) {
        self.modify(|faults| {
            faults.delay_to_target = to_target;
            faults.delay_to_caller = to_caller;
        });
    }

    /// Silences the connections that are open now, permanently: they stay open
    /// but forward nothing. New connections work.
    pub fn silence(&self) {
        self.modify(|faults| faults.silent_below = faults.next_connection);
    }

    /// Stalls all connections, including new ones, or resumes them. Bytes that
    /// arrive during a stall are forwarded after it, as after a network
    /// partition.
    pub fn set_stalled(&self, is_stalled: bool) {
        self.modify(|faults| faults.is_stalled = is_stalled);
    }

    fn modify(&self, change: impl FnOnce(&mut RelayFaults)) {
        self.path.faults.send_modify(change);
    }
}

impl Drop for TcpRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_connections(path: Arc<RelayPath>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            Ok((caller, _)) = listener.accept() => {
                let mut number = 0;
                path.faults.send_modify(|faults| {
                    number = faults.next_connection;
                    faults.next_connection += 1;
                });
                connections.spawn(relay_connection(path.clone(), caller, number));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn relay_connection(path: Arc<RelayPath>, caller: TcpStream, number: u64) -> io::Result<()> {
    let mut faults = path.faults.subscribe();
    if faults.borrow().is_cut {
        return caller.set_zero_linger();
    }
    tokio::select! {
        _ = faults.wait_for(|faults| faults.is_cut) => Ok(()),
        result = forward_both(&path, caller, number) => result,
    }
}

async fn forward_both(path: &RelayPath, caller: TcpStream, number: u64) -> io::Result<()> {
    let target = TcpStream::connect(path.target).await?;
    caller.set_nodelay(true)?;
    target.set_nodelay(true)?;
    let (caller_read, caller_write) = caller.into_split();
    let (target_read, target_write) = target.into_split();
    let forwarder = |direction| DirectionForwarder {
        faults: path.faults.subscribe(),
        number,
        direction,
    };
    // An error in one direction closes both. An end of stream in one direction
    // leaves the other open, as in TCP.
    tokio::try_join!(
        forwarder(RelayDirection::ToTarget).run(caller_read, target_write),
        forwarder(RelayDirection::ToCaller).run(target_read, caller_write),
    )?;
    Ok(())
}

#[derive(Debug)]
struct DirectionForwarder {
    faults: watch::Receiver<RelayFaults>,
    number: u64,
    direction: RelayDirection,
}

#[derive(Debug)]
struct DelayedChunk {
    due: Instant,
    bytes: Vec<u8>,
}

impl DirectionForwarder {
    async fn run(self, input: OwnedReadHalf, output: OwnedWriteHalf) -> io::Result<()> {
        let (sender, receiver) = mpsc::channel(CHUNKS_IN_FLIGHT);
        let faults = self.faults.clone();
        let reading = read_chunks(input, sender, faults, self.direction);
        tokio::try_join!(reading, self.write_chunks(output, receiver))?;
        Ok(())
    }

    async fn write_chunks(
        mut self,
        mut output: OwnedWriteHalf,
        mut chunks: mpsc::Receiver<DelayedChunk>,
    ) -> io::Result<()> {
        while let Some(chunk) = chunks.recv().await {
            sleep_until(chunk.due).await;
            self.wait_until_unblocked().await;
            output.write_all(&chunk.bytes).await?;
        }
        self.wait_until_unblocked().await;
        output.shutdown().await
    }

    async fn wait_until_unblocked(&mut self) {
        let number = self.number;
        let is_unblocked = |faults: &RelayFaults| !faults.blocks(number);
        let is_relay_dropped = self.faults.wait_for(is_unblocked).await.is_err();
        if is_relay_dropped {
            std::future::pending::<()>().await;
        }
    }
}

async fn read_chunks(
    mut input: OwnedReadHalf,
    chunks: mpsc::Sender<DelayedChunk>,
    faults: watch::Receiver<RelayFaults>,
    direction: RelayDirection,
) -> io::Result<()> {
    loop {
        let mut bytes = vec![0; CHUNK_BYTES];
        let length = input.read(&mut bytes).await?;
        if length == 0 {
            return Ok(());
        }
        bytes.truncate(length);
        let due = Instant::now() + faults.borrow().delay(direction);
        if chunks.send(DelayedChunk { due, bytes }).await.is_err() {
            return Ok(());
        }
    }
}
