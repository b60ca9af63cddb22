//! Passes cancel requests on to the daemon that has the session.

use std::time::Instant;

use futures::stream::{self, StreamExt};
use protocol::peer::CancelKey;
use tokio::sync::mpsc;

use crate::document_follower::FollowerHandle;
use crate::membership_hub::MembershipHub;
use crate::peer::{PeerClient, PeerFactory};

/// Peers that are asked at the same time.
const PEERS_AT_ONCE: usize = 16;
/// Cancel requests that may wait; more are dropped, as a lost cancel request is
/// allowed to be.
pub(super) const CANCEL_BUFFER: usize = 64;

/// Passes requests on until the returned future is dropped. The balancer sends
/// a cancel request to any daemon, and the key does not tell which one has the
/// session, so the live peers are asked, those of the own data centre first.
pub(super) async fn forward_cancels<P: PeerFactory>(
    mut requests: mpsc::Receiver<CancelKey>,
    peers: P,
    follower: FollowerHandle,
    hub: MembershipHub,
) {
    while let Some(key) = requests.recv().await {
        let Some(adopted) = follower.current() else {
            continue;
        };
        let live = hub.live_peers(Instant::now());
        let others = live.others.into_iter().flat_map(|(_, hosts)| hosts);
        let names = live.own.into_iter().chain(others);
        let hosts = &adopted.document.entry_host;
        let address = |name: String| {
            let entry = hosts.iter().find(|entry| entry.name == name)?;
            Some(entry.peer_address)
        };
        let answers = stream::iter(names.filter_map(address)).map(|address| {
            let client = peers.client(address);
            async move { client.cancel(key).await.unwrap_or(false) }
        });
        let mut found = answers.buffer_unordered(PEERS_AT_ONCE);
        while let Some(found) = found.next().await {
            if found {
                break;
            }
        }
    }
}
