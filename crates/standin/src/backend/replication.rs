//! Replication: replicas pull log entries from the primary's control port.

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

/// First byte on a replication connection, which distinguishes it from member
/// control: frames of member control start with a big-endian length below 8 MiB,
/// so their first byte is zero.
pub const REPLICATION_PREAMBLE: u8 = b'R';
/// Longest time for which the primary holds a pull. The empty answer after this
/// time is the heartbeat, so the time must be well below the suspicion timeout
/// of 600 ms.
const PULL_MAX_WAIT: Duration = Duration::from_millis(100);
/// Time limit for connecting to the primary and for the answer to a pull.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before a replica connects to its primary again after a failure.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);

/// Request of a replica for the entries that its log lacks.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct PullRequest {
    /// Term of the primary that the replica follows.
    pub term: Term,
    /// Last position of each term in the replica's log.
    pub ends: Vec<LogPosition>,
    /// Age that an entry must reach before it is sent.
    pub lag: Duration,
    /// Longest time to wait for entries before the answer.
    pub max_wait: Duration,
}

/// The primary's entries that follow the common prefix with the replica's log.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct PullBatch {
    /// Length of the common prefix, in entries.
    pub common: u64,
    /// Entries that follow the common prefix. An empty batch is a heartbeat and
    /// does not truncate the replica's log.
    pub entries: Vec<LogEntry>,
}

/// Answer to a pull.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PullAnswer {
    /// Entries or a heartbeat, from the primary of the requested term.
    Batch(PullBatch),
    /// The member is not the primary of the requested term.
    Refused {
        /// Term that the member has promised.
        promised: Term,
    },
}

/// Replication calls between the members of a group.
#[tarpc::service]
pub trait ReplicationService {
    /// Returns entries as soon as there are any, or an empty batch after
    /// `request.max_wait`.
    async fn pull(request: PullRequest) -> PullAnswer;
}

/// Serves replication calls on a member.
#[derive(Clone, Debug)]
pub struct ReplicationServer {
    /// Member whose log is replicated.
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

/// Pulls entries from the primary that the member follows. Reconnects after
/// failures and when the followed primary changes.
pub async fn follow_primary(member: Arc<GroupMemberState>, routes: ReplicationRoutes) {
    let mut targets = member.follow_targets();
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
            Some(()) = pulls => sleep(RECONNECT_DELAY).await,
        }
    }
}

/// Applies received entries as their apply lag passes.
pub async fn apply_due_entries(member: Arc<GroupMemberState>) {
    let mut changes = member.changes();
    loop {
        changes.mark_unchanged();
        let due = member.apply_due(Instant::now());
        wait_for_change(&mut changes, due).await;
    }
}

/// Waits for a change of the member's state, but at most until `due`.
async fn wait_for_change(changes: &mut watch::Receiver<u64>, due: Option<Instant>) {
    let wait: OptionFuture<_> = due.map(|instant| sleep_until(instant.into())).into();
    tokio::select! {
        _ = changes.changed() => {}
        Some(()) = wait => {}
    }
}

/// Pulls entries from `target` until a call fails, the primary refuses a pull or
/// the member no longer follows `target`.
async fn pull_until_failure(
    member: &Arc<GroupMemberState>,
    routes: &ReplicationRoutes,
    target: FollowTarget,
) {
    let Some(client) = connect(routes.resolve(target.primary)).await else {
        return;
    };
    while let Some(request) = member.pull_request(target, PULL_MAX_WAIT) {
        let answer = timeout(
            PULL_TIMEOUT,
            client.pull(tarpc::context::current(), request),
        )
        .await;
        match answer {
            Ok(Ok(PullAnswer::Batch(batch))) => member.accept_batch(target, batch),
            Ok(Ok(PullAnswer::Refused { promised })) => {
                log::debug!(
                    "pull refused by member at {}: its promised term is {promised}",
                    target.primary
                );
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
    stream.write_u8(REPLICATION_PREAMBLE).await.ok()?;
    let transport = control::transport(stream);
    let client = ReplicationServiceClient::new(tarpc::client::Config::default(), transport);
    Some(client.spawn())
}
