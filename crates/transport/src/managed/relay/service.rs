//! Answers other hosts' requests for readings.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use protocol::relay::{ReadingsRequest, RelayService, RelayedReadings};
use state::clock::MonotonicClock;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

use super::{RelayHub, CALL_WAIT, FRAME_LIMIT_BYTES};
use crate::rpc::{frame_stream, ControlMeter, MeteredStream};

/// Pause after `accept` failed, for example because the process is out of file
/// descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

#[derive(Debug)]
struct RelayServer<C>(Arc<RelayHub<C>>);

impl<C> Clone for RelayServer<C> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<C: MonotonicClock> RelayService for RelayServer<C> {
    async fn next_readings(self, _: Context, request: ReadingsRequest) -> RelayedReadings {
        let hub = self.0;
        let store_time = hub.record_request(&request);
        let known = request.known;
        let mut changes = hub.changed.subscribe();
        let wait = async {
            loop {
                if let Some(readings) = hub.newer_than(&known) {
                    return readings;
                }
                if changes.changed().await.is_err() {
                    return RelayedReadings::default();
                }
            }
        };
        let nothing_new = RelayedReadings {
            known,
            ..RelayedReadings::default()
        };
        RelayedReadings {
            store_time,
            ..timeout(CALL_WAIT, wait).await.unwrap_or(nothing_new)
        }
    }
}

/// Answers the other hosts' requests until the returned future is dropped.
pub(in crate::managed) async fn serve_relay<C: MonotonicClock>(
    listener: TcpListener,
    hub: Arc<RelayHub<C>>,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(
                    reason = error.to_string().as_str();
                    "cannot accept an entry host's connection"
                );
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let server = RelayServer(hub.clone());
        tokio::spawn(async move {
            let metered = MeteredStream::new(stream, ControlMeter::default());
            let channel = BaseChannel::with_defaults(frame_stream(metered, FRAME_LIMIT_BYTES));
            channel
                .execute(server.serve())
                .for_each_concurrent(None, |call| call)
                .await;
        });
    }
}
