//! The life of a daemon from its first document to its graceful shutdown.

use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::DaemonParts;

/// Drain deadline of a daemon that has no document yet.
const DRAIN_WITHOUT_DOCUMENT: Duration = Duration::from_millis(100);

/// Runs a daemon until it has shut down; then its tasks end.
pub(super) async fn run(
    parts: DaemonParts,
    callers: TcpListener,
    control: JoinSet<()>,
    mut shutdown: watch::Receiver<bool>,
) {
    let _ = shutdown.wait_for(|shutdown| *shutdown).await;
    log::info!("shutting down");
    parts.digest.set_leaving();
    parts.follower.announce_leaving();
    drop(callers);
    tokio::time::sleep(DRAIN_WITHOUT_DOCUMENT).await;
    drop(control);
    log::info!("shut down");
}
