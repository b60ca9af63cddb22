//! Forwards cancel requests to the daemon that has the session.

use std::time::Instant;

use futures::stream::{self, StreamExt};
use protocol::peer::CancelKey;
use tokio::sync::mpsc;

use crate::document_follower::FollowerHandle;
use crate::membership_hub::MembershipHub;
use crate::peer::{PeerClient, PeerFactory};

/// Largest number of peers that are asked at the same time.
const MAX_CONCURRENT_CALLS: usize = 16;
/// Largest number of waiting cancel requests. Further ones are dropped, which
/// the protocol allows.
pub(super) const CANCEL_BUFFER: usize = 64;

/// Forwards requests until the returned future is dropped.
///
/// The load balancer sends a cancel request to any daemon, and the key does not
/// tell which daemon has the session. The live peers are therefore asked, those
/// in the own data centre first, until one has found the session.
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
        let mut found = answers.buffer_unordered(MAX_CONCURRENT_CALLS);
        while let Some(found) = found.next().await {
            if found {
                break;
            }
        }
    }
}
