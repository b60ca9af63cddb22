//! Answers other hosts' requests for readings.

use std::sync::Arc;
use std::time::Duration;

use coordination::managed::store_clock::StoreClock;
use futures::StreamExt;
use protocol::forward::{ForwardReply, ForwardRequest, TransactionEnd};
use protocol::relay::{ReadingsRequest, RelayService, RelayedReadings};
use state::allotment::{AllotmentReply, AllotmentRequest};
use state::clock::MonotonicClock;
use state::reading::{GroupDigest, StoreRevision};
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::{CALL_WAIT, FRAME_LIMIT_BYTES};
use crate::managed::codec::StatementCodec;
use crate::managed::context::HostContext;
use crate::managed::hop::{ForwardServer, CALLS_MAX};
use crate::rpc::{frame_stream, ControlMeter, MeteredStream};

/// Pause after `accept` failed, for example because the process is out of file
/// descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

#[derive(Debug)]
struct RelayServer<K: StatementCodec, C> {
    context: Arc<HostContext<K, C>>,
    forward: ForwardServer<K, C>,
}

impl<K: StatementCodec, C> Clone for RelayServer<K, C> {
    fn clone(&self) -> Self {
        Self {
            context: self.context.clone(),
            forward: self.forward.clone(),
        }
    }
}

impl<K: StatementCodec, C: MonotonicClock> RelayService for RelayServer<K, C> {
    async fn next_readings(self, _: Context, request: ReadingsRequest) -> RelayedReadings {
        let context = self.context;
        let hub = &context.relay;
        if let Some(era) = request.era {
            // A host that did not see the store's return learns of it here.
            context.admit_era(StoreRevision::new(era, 0));
        }
        let (asked_in, _) = hub.era_clock();
        let latest_time = hub.record_request(&request);
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
        let readings = timeout(CALL_WAIT, wait).await.unwrap_or(nothing_new);
        // The times and digests of an answer are of one era.
        let (era, store_clock) = hub.era_clock();
        RelayedReadings {
            era,
            latest_time: latest_time.filter(|_| era == asked_in),
            earliest_time: store_clock.earliest_time_at(hub.clock.now()),
            digests: digests(&context, &store_clock),
            ..readings
        }
    }

    async fn forward_statement(self, _: Context, request: ForwardRequest) -> ForwardReply {
        self.forward.forward(request).await
    }

    async fn end_transaction(self, _: Context, request: TransactionEnd) -> u32 {
        self.forward.end_transaction(request)
    }

    async fn request_allotments(self, _: Context, request: AllotmentRequest) -> AllotmentReply {
        let context = self.context;
        let confirmed_at = context.plan_confirmed_at();
        context.limits.grant(&request, confirmed_at)
    }
}

/// Returns what this host knows of the groups' primaries.
fn digests<K: StatementCodec, C: MonotonicClock>(
    context: &HostContext<K, C>,
    store_clock: &StoreClock,
) -> Vec<GroupDigest> {
    let groups = context.groups();
    let digests = groups.iter().filter_map(|group| {
        group.with(|state| {
            state.digest(&group.name, |instant| store_clock.earliest_time_at(instant))
        })
    });
    digests.collect()
}

/// Answers the other hosts' requests until the returned future is dropped.
pub(in crate::managed) async fn serve_relay<K: StatementCodec, C: MonotonicClock>(
    listener: TcpListener,
    context: Arc<HostContext<K, C>>,
) {
    // The connections, and with them the transactions of other hosts, end with the host.
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
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
        connections.spawn(serve_connection(context.clone(), stream));
    }
}

/// Answers the requests of one connection until it ends.
async fn serve_connection<K: StatementCodec, C: MonotonicClock>(
    context: Arc<HostContext<K, C>>,
    stream: TcpStream,
) {
    let peer = stream.peer_addr().map(|address| address.to_string());
    let server = RelayServer {
        forward: ForwardServer::new(context.clone()),
        context,
    };
    let metered = MeteredStream::new(stream, ControlMeter::default());
    let channel = BaseChannel::with_defaults(frame_stream(metered, FRAME_LIMIT_BYTES));
    let requests = channel.max_concurrent_requests(CALLS_MAX).requests();
    let serve = requests
        .take_while(|request| {
            if let Err(error) = request {
                let (host, reason) = (peer.as_deref().unwrap_or("unknown"), error.to_string());
                log::warn!(host, reason = reason.as_str(); "connection of an entry host failed");
            }
            std::future::ready(request.is_ok())
        })
        .filter_map(|request| std::future::ready(request.ok()))
        .for_each_concurrent(None, |request| request.execute(server.clone().serve()));
    tokio::select! {
        () = serve => {}
        () = server.forward.end_idle_transactions() => {}
    }
}
