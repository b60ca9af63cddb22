//! Replication: replicas pull entries from the primary over the control port.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::OptionFuture;
use serde::{Deserialize, Serialize};
use state::log::{LogPosition, Term};
use tarpc::context::Context;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, timeout};

use super::control;
use super::entry::LogEntry;
use super::member::{FollowTarget, GroupMemberState};
use super::settings::ReplicationRoutes;

/// First byte of a replication connection. Frames of member control start with
/// a big-endian length below 8 MiB, so their first byte is zero.
pub const PREAMBLE: u8 = b'R';
/// Longest wait of a pull at the primary. An empty answer after it is the
/// heartbeat, so it stays well under the suspicion timeout of 600 ms.
const PULL_WAIT: Duration = Duration::from_millis(100);
/// Time after which a pull without an answer is given up.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before the connection to the primary is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// A replica's request for entries.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct PullRequest {
    /// Term that the replica follows.
    pub term: Term,
    /// Last position of each term in the replica's log.
    pub ends: Vec<LogPosition>,
    /// Age that entries must have to be sent.
    pub lag: Duration,
    /// Longest wait for entries.
    pub max_wait: Duration,
}

/// Entries behind the common prefix of two logs.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct PullBatch {
    /// Length of the common prefix.
    pub common: u64,
    /// Entries behind it. An empty batch is a heartbeat and cuts off nothing.
    pub entries: Vec<LogEntry>,
}

/// Answer to a pull.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PullAnswer {
    /// The member is the primary of the term.
    Batch(PullBatch),
    /// The member is not the primary of the term.
    Refused {
        /// Term that it has promised.
        promised: Term,
    },
}

/// Calls between the members of a group.
#[tarpc::service]
pub trait ReplicationService {
    /// Returns entries as soon as there are any, or an empty batch after the
    /// wait of the request.
    async fn pull(request: PullRequest) -> PullAnswer;
}

/// Serves `pull` on a member.
#[derive(Clone, Debug)]
pub struct ReplicationServer {
    /// The member.
    pub member: Arc<GroupMemberState>,
}

impl ReplicationService for ReplicationServer {
    async fn pull(self, _context: Context, request: PullRequest) -> PullAnswer {
        let deadline = Instant::now() + request.max_wait;
        let mut changes = self.member.changes();
        loop {
            changes.mark_unchanged();
            let now = Instant::now();
            let due = match self.member.answer_pull(&request, now) {
                Ok(answer) => return answer,
                Err(due) => due,
            };
            if now >= deadline {
                return PullAnswer::Batch(PullBatch::default());
            }
            let wake = due.map_or(deadline, |instant| instant.min(deadline));
            tokio::select! {
                _ = changes.changed() => {}
                () = sleep_until(wake.into()) => {}
            }
        }
    }
}

/// Pulls from the followed primary for as long as the member lives.
pub async fn follow_primary(member: Arc<GroupMemberState>, routes: ReplicationRoutes) {
    let mut targets = member.targets();
    loop {
        let target = *targets.borrow_and_update();
        let pulls: OptionFuture<_> = target
            .map(|target| pull_until_failure(&member, &routes, target))
            .into();
        tokio::select! {
            biased;
            changed = targets.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            Some(()) = pulls => sleep(RETRY_PAUSE).await,
        }
    }
}

/// Applies entries that wait for the apply lag.
pub async fn apply_due_entries(member: Arc<GroupMemberState>) {
    let mut changes = member.changes();
    loop {
        changes.mark_unchanged();
        let due = member.apply_due(Instant::now());
        wait_for_change(&mut changes, due).await;
    }
}

async fn wait_for_change(changes: &mut watch::Receiver<u64>, due: Option<Instant>) {
    let wait: OptionFuture<_> = due.map(|instant| sleep_until(instant.into())).into();
    tokio::select! {
        _ = changes.changed() => {}
        Some(()) = wait => {}
    }
}

async fn pull_until_failure(
    member: &Arc<GroupMemberState>,
    routes: &ReplicationRoutes,
    target: FollowTarget,
) {
    let Some(client) = connect(routes.find(target.primary)).await else {
        return;
    };
    while let Some(request) = member.pull_request(target, PULL_WAIT) {
        let answer = timeout(
            PULL_TIMEOUT,
            client.pull(tarpc::context::current(), request),
        )
        .await;
        match answer {
            Ok(Ok(PullAnswer::Batch(batch))) => member.accept_batch(target, batch),
            Ok(Ok(PullAnswer::Refused { promised })) => {
                log::debug!("primary {} has promised {promised}", target.primary);
                return;
            }
            Ok(Err(_)) | Err(_) => return,
        }
    }
}

async fn connect(primary: SocketAddr) -> Option<ReplicationServiceClient> {
    let connecting = timeout(PULL_TIMEOUT, TcpStream::connect(primary));
    let mut stream = connecting.await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    stream.write_u8(PREAMBLE).await.ok()?;
    let transport = control::transport(stream);
    let client = ReplicationServiceClient::new(tarpc::client::Config::default(), transport);
    Some(client.spawn())
}
