//! Deletes request ids whose retention has ended. For each group one of the live
//! daemons does this, in small batches.

use std::time::{Duration, Instant};

use coordination::rendezvous;
use coordination::request_record::{pause_after_purge, PURGE_IDLE_PAUSE};

use super::callers::CallerRuntime;
use crate::document_follower::FollowerHandle;
use crate::membership_hub::MembershipHub;
use crate::session::purge::purge_batch;

/// Limit on the duration of one batch.
const BATCH_DEADLINE: Duration = Duration::from_secs(5);

/// The parts of a daemon that the purge uses.
pub(super) struct PurgeContext {
    pub(super) host: String,
    pub(super) callers: CallerRuntime,
    pub(super) follower: FollowerHandle,
    pub(super) hub: MembershipHub,
}

/// Purges until the returned future is dropped. The pause at the beginning gives
/// a daemon time to learn which hosts are live, so that few daemons purge the same
/// group.
pub(super) async fn purge_requests(purge: PurgeContext) {
    let mut pause = PURGE_IDLE_PAUSE;
    loop {
        tokio::time::sleep(pause).await;
        pause = purge.purge_own_groups().await;
    }
}

impl PurgeContext {
    /// Deletes one batch in each group for which rendezvous hashing chooses this
    /// host; returns the pause before the next batch.
    async fn purge_own_groups(&self) -> Duration {
        let (Some(context), Some(adopted)) = (self.callers.context(), self.follower.current())
        else {
            return PURGE_IDLE_PAUSE;
        };
        let retention = Duration::from_secs(adopted.document.limits.request_retention_s);
        let live = self.hub.live_peers(Instant::now());
        let mut pause = PURGE_IDLE_PAUSE;
        for group in context.groups() {
            let others = live.others.iter().flat_map(|(_, hosts)| hosts);
            let hosts = live.own.iter().chain(others).chain([&self.host]);
            let chosen = rendezvous::choose(&group.name, hosts.map(String::as_str), 1);
            if chosen != [self.host.as_str()] {
                continue;
            }
            let deadline = Instant::now() + BATCH_DEADLINE;
            let deleted = purge_batch(&group, retention, deadline).await;
            pause = pause.min(pause_after_purge(deleted));
        }
        pause
    }
}
