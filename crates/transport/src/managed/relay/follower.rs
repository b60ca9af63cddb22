//! Fetches readings from the host's reader.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coordination::managed::reader::ReaderFailure;
use protocol::relay::{
    KnownReadings, ReadingsRequest, RelayServiceClient, RelayedReadings, RelayedTable,
};
use state::clock::MonotonicClock;
use state::reading::{LiveHost, StoreRevision, TableReading};
use tarpc::client::{self, NewClient};

use super::{RelayHub, CALL_WAIT, FRAME_LIMIT_BYTES};
use crate::managed::codec::StatementCodec;
use crate::managed::context::HostContext;
use crate::managed::store_follower::{apply_group_rows, apply_server_list};
use crate::rpc::{frame_stream, ControlMeter, RpcChannel, RpcConnection, RpcOptions};

/// Time in addition to [`CALL_WAIT`] after which the reader counts as lost.
const CALL_SLACK: Duration = Duration::from_millis(100);
/// Interval at which a host that reads the store itself looks for a reader.
const CHOICE_INTERVAL: Duration = Duration::from_millis(200);
/// Time without a new reading of the groups' rows after which another reader is
/// asked: the wait of one call, less the time that its answer takes.
const LATE_READING: Duration = Duration::from_millis(700);

/// Fetches readings from the reader until the returned future is dropped.
pub(in crate::managed) async fn follow_reader<K: StatementCodec, C: MonotonicClock>(
    context: Arc<HostContext<K, C>>,
) {
    let mut known = KnownReadings::default();
    let mut channel: Option<(SocketAddr, RpcChannel<RelayServiceClient>)> = None;
    loop {
        let hub = &context.relay;
        let Some(reader) = hub.choose_reader() else {
            channel = None;
            hub.await_hosts(CHOICE_INTERVAL).await;
            continue;
        };
        let (address, rpc) = channel
            .take()
            .filter(|(address, _)| *address == reader.relay_address)
            .unwrap_or_else(|| {
                log::info!(host = reader.name.as_str(); "readings come from another host");
                (
                    reader.relay_address,
                    open_channel(reader.relay_address, CALL_SLACK),
                )
            });
        let asked_at = hub.clock.now();
        let request = {
            let state = hub.lock();
            ReadingsRequest {
                known,
                era: state.era,
                reports: state.presence.recent_reports(asked_at),
            }
        };
        let call = move |client: RelayServiceClient, context| async move {
            client.next_readings(context, request).await
        };
        match rpc.call(CALL_WAIT, call).await {
            Ok(readings) => {
                let known_digests = known.digests;
                known = readings.known;
                apply(&context, &readings, known_digests, asked_at);
                if readings.group_rows.is_some() {
                    hub.lock().choice.record_success(&reader.name);
                }
                channel = Some((address, rpc));
                hub.drop_late_reader(&reader.name);
            }
            Err(error) => {
                let (host, reason) = (reader.name.as_str(), error.to_string());
                log::warn!(host, reason = reason.as_str(); "reading host lost");
                let now = hub.clock.now();
                let failure = ReaderFailure::Lost;
                hub.lock().choice.record_failure(&reader.name, failure, now);
            }
        }
    }
}

/// Creates a channel to the relay service of another host.
pub(in crate::managed) fn open_channel(
    address: SocketAddr,
    timeout: Duration,
) -> RpcChannel<RelayServiceClient> {
    let options = RpcOptions {
        address,
        timeout,
        meter: ControlMeter::default(),
    };
    RpcChannel::new(options, |stream| {
        let meter = stream.meter().clone();
        let transport = frame_stream(stream, FRAME_LIMIT_BYTES);
        let NewClient { client, dispatch } =
            RelayServiceClient::new(client::Config::default(), transport);
        RpcConnection::spawn(client, dispatch, meter)
    })
}

/// Applies relayed readings of a request that was sent at `asked_at`, and offers
/// them to other hosts. `known_digests` is the number of the digests before. A reading is skipped if its age is unknown.
fn apply<K: StatementCodec, C: MonotonicClock>(
    context: &HostContext<K, C>,
    readings: &RelayedReadings,
    known_digests: u64,
    asked_at: Instant,
) {
    let hub = &context.relay;
    let now = hub.clock.now();
    let Some(era) = readings.era else {
        return;
    };
    if !context.admit_era(StoreRevision::new(era, 0)) {
        return;
    }
    hub.lock().answered_at = Some(now);
    if let Some(latest) = readings.latest_time {
        let mut state = hub.lock();
        let clock = &mut state.store_clock;
        clock.record_relayed(asked_at, latest, now, readings.earliest_time);
    }
    if let Some(hosts) = &readings.hosts {
        context.apply_hosts(hosts);
    }
    if let Some(reading) = hub.whole_table(readings.group_rows.as_ref()) {
        let read_at = hub.instant_of(reading.store_time);
        if let Some(read_at) = read_at.filter(|_| reading.revision.era == era) {
            apply_group_rows(context, &reading, read_at);
            let mut state = hub.lock();
            state.group_rows_at = Some(now);
            state.group_rows.record(read_at);
            drop(state);
            hub.offer_group_rows(&reading);
        }
    }
    let server_list = readings.server_list.as_ref();
    if let Some(reading) = server_list.filter(|reading| reading.era == era) {
        apply_server_list(context, reading);
        if let Some(read_at) = hub.instant_of(reading.store_time) {
            hub.lock().server_list.record(read_at);
        }
        hub.offer_server_list(reading);
    }
    if let Some(reading) = &readings.plan {
        let read_at = hub.instant_of(reading.store_time);
        if let Some(read_at) = read_at.filter(|_| reading.revision.era == era) {
            context.observe_plan(reading, read_at);
            hub.lock().plan.record(read_at);
        }
    }
    // The digests refer to the primaries of the rows above.
    let store_clock = hub.lock().store_clock;
    for digest in &readings.digests {
        let group = context.group(&digest.group);
        group.with(|state| state.observe_digest(digest, |time| store_clock.instant_of(time)));
        group.wake();
    }
    hub.offer_relayed_digests(known_digests, readings.known.digests);
}

impl<C: MonotonicClock> RelayHub<C> {
    fn choose_reader(&self) -> Option<LiveHost> {
        let now = self.clock.now();
        let mut state = self.lock();
        let reader = state.choice.reader(now).cloned()?;
        state.choice.record_chosen(&reader.name, now);
        Some(reader)
    }

    /// Turns to the next reader if the current one answers but has had no new reading
    /// of the groups' rows for some time.
    fn drop_late_reader(&self, reader: &str) {
        let now = self.clock.now();
        let mut state = self.lock();
        let last = state.group_rows_at.max(state.choice.chosen_at(reader));
        if last.is_none_or(|at| now.saturating_duration_since(at) < LATE_READING) {
            return;
        }
        state
            .choice
            .record_failure(reader, ReaderFailure::Late, now);
        drop(state);
        log::info!(host = reader; "reading host has no new reading");
    }

    /// Passes digests on that the reader sent for their own sake.
    fn offer_relayed_digests(&self, known: u64, newest: u64) {
        if newest > known {
            self.offer_digests();
        }
    }

    fn instant_of(&self, store_time: Duration) -> Option<Instant> {
        self.lock().store_clock.instant_of(store_time)
    }

    /// Returns a relayed reading of the groups' rows with its rows.
    fn whole_table(&self, relayed: Option<&RelayedTable>) -> Option<TableReading> {
        let mut state = self.lock();
        match relayed? {
            RelayedTable::Whole(reading) => {
                state.relayed_rows.clone_from(&reading.rows);
                Some(reading.clone())
            }
            RelayedTable::SameRows {
                revision,
                store_time,
            } => Some(TableReading {
                rows: state.relayed_rows.clone(),
                revision: *revision,
                store_time: *store_time,
            }),
        }
    }
}
