//! Answers the calls of other daemons.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use protocol::peer::{
    BorrowReply, BorrowRequest, CancelKey, DaemonStatus, DocumentBody, GrantReply, GrantRequest,
    PeerDigest, PeerService,
};
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

use super::FRAME_LIMIT_BYTES;
use crate::rpc::{frame_stream, ControlMeter, MeteredStream};

/// Connections from other daemons that are served at the same time: all
/// 2,800 daemons of the target size, and operators' tools.
const CONNECTION_LIMIT: usize = 3_000;
/// Calls in progress on one connection.
const CALLS_PER_CONNECTION: usize = 16;
/// Time after which a connection without calls is closed. Peers are chosen at
/// random, so most connections are not used again soon.
const IDLE_LIMIT: Duration = Duration::from_secs(30);
/// Wait after `accept` failed, as it does when the process has no free file
/// descriptor.
const ACCEPT_RETRY: Duration = Duration::from_millis(100);

/// What a daemon does for its peers.
pub trait PeerHandler: Send + Sync + 'static {
    /// Takes over a peer's digest and returns the own one.
    fn exchange(&self, digest: PeerDigest) -> PeerDigest;
    /// Returns the document in force if its version is at least `version`.
    fn document(&self, version: u64) -> Option<DocumentBody>;
    /// Cancels the statement of a session; returns whether it was found here.
    fn cancel(&self, key: CancelKey) -> impl Future<Output = bool> + Send;
    /// Grants the use of connection shares.
    fn grant_shares(&self, request: &GrantRequest) -> GrantReply;
    /// Lends idle connections.
    fn lend_connections(&self, request: &BorrowRequest) -> BorrowReply;
    /// Returns the daemon's state.
    fn status(&self) -> DaemonStatus;
}

struct PeerServer<H>(Arc<H>);

impl<H> Clone for PeerServer<H> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<H: PeerHandler> PeerService for PeerServer<H> {
    async fn exchange(self, _: Context, digest: PeerDigest) -> PeerDigest {
        self.0.exchange(digest)
    }

    async fn fetch_document(self, _: Context, version: u64) -> Option<DocumentBody> {
        self.0.document(version)
    }

    async fn cancel(self, _: Context, key: CancelKey) -> bool {
        self.0.cancel(key).await
    }

    async fn grant_shares(self, _: Context, request: GrantRequest) -> GrantReply {
        self.0.grant_shares(&request)
    }

    async fn borrow_connections(self, _: Context, request: BorrowRequest) -> BorrowReply {
        self.0.lend_connections(&request)
    }

    async fn status(self, _: Context) -> DaemonStatus {
        self.0.status()
    }
}

/// Serves other daemons until the returned future is dropped.
pub async fn serve_peers<H: PeerHandler>(
    listener: TcpListener,
    handler: Arc<H>,
    meter: ControlMeter,
) {
    let permits = Arc::new(Semaphore::new(CONNECTION_LIMIT));
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("accepting a peer connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY).await;
                continue;
            }
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            log::warn!("peer connection refused: {CONNECTION_LIMIT} are open");
            continue;
        };
        let server = PeerServer(handler.clone());
        let meter = meter.clone();
        connections.spawn(async move {
            serve_connection(stream, server, meter).await;
            drop(permit);
        });
    }
}

async fn serve_connection<H: PeerHandler>(
    stream: TcpStream,
    server: PeerServer<H>,
    meter: ControlMeter,
) {
    let _ = stream.set_nodelay(true);
    let transport = frame_stream(MeteredStream::new(stream, meter.clone()), FRAME_LIMIT_BYTES);
    let channel = BaseChannel::with_defaults(transport);
    let mut requests = Box::pin(channel.requests());
    let mut calls = JoinSet::new();
    loop {
        while calls.try_join_next().is_some() {}
        if calls.len() >= CALLS_PER_CONNECTION {
            calls.join_next().await;
        }
        match tokio::time::timeout(IDLE_LIMIT, requests.next()).await {
            Ok(Some(Ok(request))) => {
                let (meter, call) = (meter.clone(), request.execute(server.clone().serve()));
                calls.spawn(async move { meter.run(call).await });
            }
            Ok(Some(Err(error))) => {
                log::debug!("peer connection ended: {error}");
                return;
            }
            Ok(None) | Err(_) => return,
        }
    }
}
