//! Server of the peer service, which answers the calls of other daemons.

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

/// Maximum number of open connections: one for each of the 2,800 daemons of the
/// target size, plus operators' tools.
const CONNECTION_LIMIT: usize = 3_000;
/// Maximum number of calls in progress on one connection.
const CALLS_PER_CONNECTION: usize = 16;
/// Time without a call after which a connection is closed. Gossip picks its peers
/// at random, so most connections are not used again soon.
const IDLE_LIMIT: Duration = Duration::from_secs(30);
/// Wait after a failed `accept`, for example when the process is out of file
/// descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(100);

/// Implementation of the calls that a daemon answers for its peers.
pub trait PeerHandler: Send + Sync + 'static {
    /// Applies a peer's digest and returns this daemon's.
    fn exchange(&self, digest: PeerDigest) -> PeerDigest;
    /// Returns the document in force if its version is at least `version`.
    fn document(&self, version: u64) -> Option<DocumentBody>;
    /// Cancels the running statement of a session of this daemon; returns whether
    /// the session exists.
    fn cancel(&self, key: CancelKey) -> impl Future<Output = bool> + Send;
    /// Grants connection shares to a peer.
    fn grant_shares(&self, request: &GrantRequest) -> GrantReply;
    /// Lends idle connections to a peer.
    fn lend_connections(&self, request: &BorrowRequest) -> BorrowReply;
    /// Returns the status of this daemon.
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
                log::warn!("a peer connection could not be accepted: {error}");
                tokio::time::sleep(ACCEPT_RETRY).await;
                continue;
            }
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            log::warn!(
                "peer connection refused: the limit of {CONNECTION_LIMIT} connections is reached"
            );
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
