//! Runs a daemon from its first document to the end of its graceful shutdown.

use std::time::{Duration, Instant};

use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::DaemonParts;
use crate::caller::serve_callers;

/// Limit on the wait for peers that have just started and still need a grant of
/// this host. Such peers ask every 250 ms.
const GRANT_WAIT: Duration = Duration::from_secs(1);
/// Interval at which the daemon checks whether a peer still needs a grant.
const GRANT_POLL: Duration = Duration::from_millis(20);

/// Runs a daemon until it has shut down, then ends its tasks.
///
/// A control task ends only when it panics because an invariant is violated. The
/// daemon then ends too, since without that task it would give wrong answers.
pub(super) async fn run(
    parts: DaemonParts,
    listener: TcpListener,
    mut control: JoinSet<()>,
    shutdown: watch::Receiver<bool>,
) {
    tokio::select! {
        () = serve(&parts, listener, shutdown) => log::info!("shut down"),
        ended = control.join_next() => {
            log::error!("a control task ended unexpectedly, so the daemon ends: {ended:?}");
        }
    }
    // Waits until the tasks have ended, so that the daemon's addresses are free
    // when `DaemonHandle::wait` returns.
    control.shutdown().await;
    parts.groups.clear();
}

/// Serves callers until the shutdown has ended all their sessions.
///
/// The monitors, the document follower and the peer server continue while
/// sessions drain, because commits in flight still need to be confirmed.
async fn serve(parts: &DaemonParts, listener: TcpListener, mut shutdown: watch::Receiver<bool>) {
    let callers = tokio::select! {
        callers = start_callers(parts, listener) => Some(callers),
        _ = shutdown.wait_for(|shutdown| *shutdown) => None,
    };
    let _ = shutdown.wait_for(|shutdown| *shutdown).await;
    log::info!("shutting down: informing the peers and finishing transactions in flight");
    parts.digest.set_leaving();
    parts.follower.announce_leaving();
    if let Some(mut callers) = callers {
        while callers.join_next().await.is_some() {}
    }
    let deadline = Instant::now() + GRANT_WAIT;
    while parts.shares.has_ungranted_peer(Instant::now()) && Instant::now() < deadline {
        sleep(GRANT_POLL).await;
    }
}

/// Starts to accept callers once the document in force is known to be the
/// newest and has been applied. Until then connections wait in the listener's
/// backlog.
async fn start_callers(parts: &DaemonParts, listener: TcpListener) -> JoinSet<()> {
    let mut serving = parts.follower.serving.clone();
    let mut callers = JoinSet::new();
    if serving.wait_for(|serving| *serving).await.is_err() {
        return callers;
    }
    let mut ready = parts.ready.clone();
    let _ = ready.wait_for(|ready| *ready).await;
    if let Some(context) = parts.callers.context() {
        callers.spawn(serve_callers(listener, context.clone()));
    }
    callers
}
