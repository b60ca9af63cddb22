//! Keeps the retention of request ids: one daemon of all deletes the old ids of
//! a group, in small batches.

use std::time::{Duration, Instant};

use coordination::rendezvous;
use coordination::request_record::{pause_after_purge, PURGE_IDLE_PAUSE};

use super::callers::CallerSide;
use crate::document_follower::FollowerHandle;
use crate::membership_hub::MembershipHub;
use crate::session::purge::purge_batch;

/// Deadline of one batch.
const BATCH_DEADLINE: Duration = Duration::from_secs(5);

/// What the purge works with.
pub(super) struct PurgeSeams {
    pub(super) host: String,
    pub(super) callers: CallerSide,
    pub(super) follower: FollowerHandle,
    pub(super) hub: MembershipHub,
}

/// Purges until the returned future is dropped. The first pause lets a daemon
/// learn who is live, so that few daemons purge the same group.
pub(super) async fn purge_requests(seams: PurgeSeams) {
    let mut pause = PURGE_IDLE_PAUSE;
    loop {
        tokio::time::sleep(pause).await;
        pause = seams.purge_own_groups().await;
    }
}

impl PurgeSeams {
    /// Deletes one batch in each group that this daemon looks after; returns
    /// the pause before the next batch.
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
