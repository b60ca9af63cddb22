//! Client of the peer service of other daemons.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use coordination::gossip::PEER_CALL_TIMEOUT;
use protocol::peer::{
    BorrowReply, BorrowRequest, CancelKey, DaemonStatus, DocumentBody, GrantReply, GrantRequest,
    PeerDigest, PeerServiceClient,
};
use tarpc::client::{self, NewClient};

use super::FRAME_LIMIT_BYTES;
use crate::rpc::{
    frame_stream, ControlMeter, MeteredStream, RpcChannel, RpcConnection, RpcOptions,
};
use crate::services::Result;

/// Calls to one other daemon. Tests replace the network by implementing this
/// trait.
pub trait PeerClient: Clone + Send + Sync + 'static {
    /// Sends this daemon's digest and returns the peer's.
    fn exchange(&self, digest: PeerDigest) -> impl Future<Output = Result<PeerDigest>> + Send;
    /// Returns the peer's document in force if its version is at least `version`.
    fn fetch_document(
        &self,
        version: u64,
    ) -> impl Future<Output = Result<Option<DocumentBody>>> + Send;
    /// Cancels the running statement of a session of the peer; returns whether
    /// the peer has the session.
    fn cancel(&self, key: CancelKey) -> impl Future<Output = Result<bool>> + Send;
    /// Asks the peer to grant this daemon its connection shares.
    fn grant_shares(
        &self,
        request: GrantRequest,
    ) -> impl Future<Output = Result<GrantReply>> + Send;
    /// Borrows idle connections from the peer.
    fn borrow_connections(
        &self,
        request: BorrowRequest,
    ) -> impl Future<Output = Result<BorrowReply>> + Send;
    /// Returns the status of the peer.
    fn status(&self) -> impl Future<Output = Result<DaemonStatus>> + Send;
}

/// Creates the client of a daemon from its peer address.
pub trait PeerFactory: Clone + Send + Sync + 'static {
    /// Type of the clients that the factory creates.
    type Client: PeerClient;
    /// Creates the client of the daemon at `address`, which connects on its first
    /// call.
    fn client(&self, address: SocketAddr) -> Self::Client;
}

/// Creates [`PeerChannel`]s that count their traffic in one meter.
#[derive(Clone, Debug, Default)]
pub struct PeerChannelFactory {
    meter: ControlMeter,
}

impl PeerChannelFactory {
    /// Builds a factory whose clients count their bytes in `meter`.
    pub fn new(meter: ControlMeter) -> Self {
        Self { meter }
    }
}

impl PeerFactory for PeerChannelFactory {
    type Client = PeerChannel;

    fn client(&self, address: SocketAddr) -> PeerChannel {
        let options = RpcOptions {
            address,
            timeout: PEER_CALL_TIMEOUT,
            meter: self.meter.clone(),
        };
        PeerChannel {
            channel: RpcChannel::new(options, open_connection),
        }
    }
}

fn open_connection(stream: MeteredStream) -> RpcConnection<PeerServiceClient> {
    let meter = stream.meter().clone();
    let transport = frame_stream(stream, FRAME_LIMIT_BYTES);
    let NewClient { client, dispatch } =
        PeerServiceClient::new(client::Config::default(), transport);
    RpcConnection::spawn(client, dispatch, meter)
}

/// Client of one daemon; it reconnects after its connection has failed.
#[derive(Clone, Debug)]
pub struct PeerChannel {
    channel: RpcChannel<PeerServiceClient>,
}

impl PeerClient for PeerChannel {
    async fn exchange(&self, digest: PeerDigest) -> Result<PeerDigest> {
        let call = move |client: PeerServiceClient, context| async move {
            client.exchange(context, digest).await
        };
        self.channel.call(Duration::ZERO, call).await
    }

    async fn fetch_document(&self, version: u64) -> Result<Option<DocumentBody>> {
        let call = move |client: PeerServiceClient, context| async move {
            client.fetch_document(context, version).await
        };
        self.channel.call(Duration::ZERO, call).await
    }

    async fn cancel(&self, key: CancelKey) -> Result<bool> {
        let call = move |client: PeerServiceClient, context| async move {
            client.cancel(context, key).await
        };
        self.channel.call(Duration::ZERO, call).await
    }

    async fn grant_shares(&self, request: GrantRequest) -> Result<GrantReply> {
        let call = move |client: PeerServiceClient, context| async move {
            client.grant_shares(context, request).await
        };
        self.channel.call(Duration::ZERO, call).await
    }

    async fn borrow_connections(&self, request: BorrowRequest) -> Result<BorrowReply> {
        let call = move |client: PeerServiceClient, context| async move {
            client.borrow_connections(context, request).await
        };
        self.channel.call(Duration::ZERO, call).await
    }

    async fn status(&self) -> Result<DaemonStatus> {
        let call = |client: PeerServiceClient, context| async move { client.status(context).await };
        self.channel.call(Duration::ZERO, call).await
    }
}
