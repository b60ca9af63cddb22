//! Accepts callers' connections and starts a session for each.

use std::sync::Arc;
use std::time::Duration;

use state::clock::MonotonicClock;
use tokio::net::TcpListener;
use tokio::time::sleep;

use super::codec::StatementCodec;
use super::context::HostContext;
use super::session::ManagedSession;

/// File descriptors reserved for connections to members and to the store, and
/// for probes.
const RESERVED_DESCRIPTORS: u64 = 300;
/// Pause after `accept` failed, for example because the process is out of file
/// descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Accepts callers until the returned future is dropped.
pub(super) async fn accept_callers<K: StatementCodec, C: MonotonicClock>(
    context: Arc<HostContext<K, C>>,
    listener: TcpListener,
) {
    let sessions = context.sessions();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(
                    reason = error.to_string().as_str();
                    "cannot accept a caller's connection"
                );
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let limit = context.descriptor_limit();
        let limit = limit.saturating_sub(RESERVED_DESCRIPTORS).max(1);
        if *sessions.borrow() as u64 >= limit {
            log::warn!(limit; "too many callers; the connection is closed");
            continue;
        }
        if let Err(error) = stream.set_nodelay(true) {
            log::warn!(
                reason = error.to_string().as_str();
                "cannot configure a caller's connection"
            );
            continue;
        }
        let session = ManagedSession::new(context.clone(), stream);
        tokio::spawn(async move {
            if let Err(error) = session.run().await {
                log::debug!(reason = error.to_string().as_str(); "a caller's connection was lost");
            }
        });
    }
}
