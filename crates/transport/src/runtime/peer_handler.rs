//! Answers the calls that peers make to a daemon.

use std::time::Instant;

use coordination::view::GroupView;
use protocol::peer::{
    BorrowReply, BorrowRequest, CancelKey, DaemonStatus, DocumentBody, GrantReply, GrantRequest,
    GroupStatus, PeerDigest,
};

use super::callers::CallerRuntime;
use super::groups::GroupTable;
use super::share_hub::ShareHub;
use crate::document_follower::FollowerHandle;
use crate::document_store::version_of;
use crate::membership_hub::MembershipHub;
use crate::peer::{OwnDigest, PeerHandler};

/// The parts of a daemon that are needed to answer calls of other daemons.
#[derive(Debug)]
pub(super) struct DaemonPeer {
    pub(super) digest: OwnDigest,
    pub(super) follower: FollowerHandle,
    pub(super) hub: MembershipHub,
    pub(super) groups: GroupTable,
    pub(super) callers: CallerRuntime,
    pub(super) shares: ShareHub,
}

impl PeerHandler for DaemonPeer {
    fn exchange(&self, digest: PeerDigest) -> PeerDigest {
        self.follower.submit_digest(digest);
        self.digest.current()
    }

    fn document(&self, version: u64) -> Option<DocumentBody> {
        let adopted = self.follower.current()?;
        (adopted.stamp.version >= version).then(|| DocumentBody {
            version: version_of(&adopted.stamp),
            text: adopted.text.clone(),
        })
    }

    async fn cancel(&self, key: CancelKey) -> bool {
        match self.callers.context() {
            Some(context) => context.cancels.cancel(key).await,
            None => false,
        }
    }

    fn grant_shares(&self, request: &GrantRequest) -> GrantReply {
        self.shares.grant(request, Instant::now())
    }

    fn lend_connections(&self, request: &BorrowRequest) -> BorrowReply {
        self.shares.lend(request, Instant::now())
    }

    fn status(&self) -> DaemonStatus {
        let handles = self.groups.handles();
        DaemonStatus {
            digest: self.digest.current(),
            groups: handles
                .iter()
                .map(|handle| group_status(&handle.view()))
                .collect(),
            peers: self.hub.peers(Instant::now()),
            callers: self.callers.count(),
        }
    }
}

fn group_status(view: &GroupView) -> GroupStatus {
    let primary = view.primary().and_then(|key| view.members.get(key));
    let reachable = view.members.values().filter(|member| member.reachable);
    GroupStatus {
        group: view.name.clone(),
        term: view.highest_term().0,
        primary: primary.map(|member| member.name.clone()),
        reachable: reachable.count() as u32,
        members: view.members.len() as u32,
    }
}
