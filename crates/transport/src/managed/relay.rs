//! Passes readings of the store on to the other entry hosts of the data centre, or
//! fetches them from the host that reads the store for the others.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use coordination::managed::reader::{ReaderChoice, ReaderHost};
use coordination::managed::store_clock::StoreClock;
use futures::StreamExt;
use protocol::relay::{KnownReadings, RelayService, RelayServiceClient, RelayedReadings};
use state::clock::MonotonicClock;
use state::reading::{PlanReading, ServerListReading, TableReading};
use tarpc::client::{self, NewClient};
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::codec::StatementCodec;
use super::context::HostContext;
use super::store_follower::{apply_group_rows, apply_server_list};
use crate::rpc::{
    frame_stream, ControlMeter, MeteredStream, RpcChannel, RpcConnection, RpcOptions,
};

/// Largest message: a plan of several hundred routes and the rows of all groups
/// and servers of a site.
const FRAME_LIMIT_BYTES: usize = 4 << 20;
/// Longest wait of one call at the reader, which normally has a new reading every
/// 600 ms.
const CALL_WAIT: Duration = Duration::from_millis(750);
/// Time in addition to [`CALL_WAIT`] after which the reader counts as lost.
const CALL_SLACK: Duration = Duration::from_millis(100);
/// Interval at which a host that reads the store itself looks for a reader.
const CHOICE_INTERVAL: Duration = Duration::from_millis(200);
/// Age of the last relayed reading of the groups' rows up to which the host does
/// not read the rows itself.
const GROUP_ROWS_MAX_AGE: Duration = Duration::from_millis(850);
/// The same limit for the server list and the plan, which are read less often.
const LIST_AND_PLAN_MAX_AGE: Duration = Duration::from_millis(3_000);
/// Pause after `accept` failed, for example because the process is out of file
/// descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// What a reading holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadingKind {
    /// The groups' rows.
    GroupRows,
    /// The list of backend servers.
    ServerList,
    /// The plan.
    Plan,
}

/// The host's own readings, which other hosts fetch, and the arrival times of the
/// readings that this host fetched from its reader.
#[derive(Debug)]
pub(super) struct RelayHub<C> {
    clock: C,
    state: Mutex<RelayState>,
    changed: watch::Sender<u64>,
}

#[derive(Debug)]
struct RelayState {
    choice: ReaderChoice<SocketAddr>,
    store_clock: StoreClock,
    own: RelayedReadings,
    /// Instants at which the last relayed reading of each kind arrived.
    group_rows_at: Option<Instant>,
    server_list_at: Option<Instant>,
    plan_at: Option<Instant>,
}

impl<C: MonotonicClock> RelayHub<C> {
    pub(super) fn new(host: &str, clock: C) -> Self {
        let own = RelayedReadings {
            known: KnownReadings {
                incarnation: rand::random(),
                ..KnownReadings::default()
            },
            ..RelayedReadings::default()
        };
        Self {
            clock,
            state: Mutex::new(RelayState {
                choice: ReaderChoice::new(host),
                store_clock: StoreClock::default(),
                own,
                group_rows_at: None,
                server_list_at: None,
                plan_at: None,
            }),
            changed: watch::Sender::new(0),
        }
    }

    /// Returns whether a recent reading of this kind came from the reader, so that the
    /// host need not read the store itself.
    pub(super) fn has_recent_reading(&self, kind: ReadingKind) -> bool {
        let now = self.clock.now();
        let state = self.lock();
        if state.choice.reader(now).is_none() {
            return false;
        }
        let (arrived_at, max_age) = match kind {
            ReadingKind::GroupRows => (state.group_rows_at, GROUP_ROWS_MAX_AGE),
            ReadingKind::ServerList => (state.server_list_at, LIST_AND_PLAN_MAX_AGE),
            ReadingKind::Plan => (state.plan_at, LIST_AND_PLAN_MAX_AGE),
        };
        arrived_at.is_some_and(|instant| now.saturating_duration_since(instant) < max_age)
    }

    /// Sets the live entry hosts of the data centre.
    pub(super) fn set_hosts(&self, hosts: Vec<ReaderHost<SocketAddr>>) {
        self.lock().choice.set_hosts(hosts);
    }

    /// Offers the host's own reading of the groups' rows to the other hosts.
    pub(super) fn publish_group_rows(&self, reading: &TableReading, asked_at: Instant) {
        let mut state = self.lock();
        state.store_clock.record_call(asked_at, reading.store_time);
        state.own.known.reigns += 1;
        state.own.reigns = Some(reading.clone());
        drop(state);
        self.signal();
    }

    /// Offers the host's own reading of the server list to the other hosts.
    pub(super) fn publish_server_list(&self, reading: &ServerListReading) {
        let mut state = self.lock();
        state.own.known.listing += 1;
        state.own.listing = Some(reading.clone());
        drop(state);
        self.signal();
    }

    /// Offers the host's own reading of the plan to the other hosts. A reading
    /// without a newer version confirms the known plan.
    pub(super) fn publish_plan(&self, reading: &PlanReading, asked_at: Instant) {
        let mut state = self.lock();
        state.store_clock.record_call(asked_at, reading.store_time);
        state.own.known.plan += 1;
        let known = state.own.plan.take().and_then(|known| known.plan);
        let newest = match (known, &reading.plan) {
            (Some(known), Some(plan)) if plan.version < known.version => Some(known),
            (known, None) => known,
            (_, Some(plan)) => Some(plan.clone()),
        };
        state.own.plan = Some(PlanReading {
            plan: newest,
            ..reading.clone()
        });
        drop(state);
        self.signal();
    }

    fn signal(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    fn lock(&self) -> MutexGuard<'_, RelayState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the readings that are newer than those known to the asking host.
    fn newer_than(&self, known: &KnownReadings) -> Option<RelayedReadings> {
        let state = self.lock();
        let own = &state.own;
        let same = known.incarnation == own.known.incarnation;
        let is_new = |ours: u64, theirs: u64| ours > 0 && (!same || ours > theirs);
        let reply = RelayedReadings {
            known: own.known,
            reigns: own
                .reigns
                .clone()
                .filter(|_| is_new(own.known.reigns, known.reigns)),
            listing: own
                .listing
                .clone()
                .filter(|_| is_new(own.known.listing, known.listing)),
            plan: own
                .plan
                .clone()
                .filter(|_| is_new(own.known.plan, known.plan)),
        };
        let has_any = reply.reigns.is_some() || reply.listing.is_some() || reply.plan.is_some();
        has_any.then_some(reply)
    }
}

#[derive(Debug)]
struct RelayServer<C>(Arc<RelayHub<C>>);

impl<C> Clone for RelayServer<C> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<C: MonotonicClock> RelayService for RelayServer<C> {
    async fn next_readings(self, _: Context, known: KnownReadings) -> RelayedReadings {
        let hub = self.0;
        let now = hub.clock.now();
        hub.lock().choice.record_asked(now);
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
        timeout(CALL_WAIT, wait).await.unwrap_or(RelayedReadings {
            known,
            ..RelayedReadings::default()
        })
    }
}

/// Answers the other hosts' calls for readings until the returned future is
/// dropped.
pub(super) async fn serve_relay<C: MonotonicClock>(listener: TcpListener, hub: Arc<RelayHub<C>>) {
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

/// Fetches readings from the data centre's reader until the returned future is
/// dropped.
pub(super) async fn follow_reader<K: StatementCodec, C: MonotonicClock>(
    context: Arc<HostContext<K, C>>,
) {
    let mut known = KnownReadings::default();
    let mut channel: Option<(SocketAddr, RpcChannel<RelayServiceClient>)> = None;
    loop {
        let hub = &context.relay;
        let reader = hub.lock().choice.reader(hub.clock.now()).cloned();
        let Some(reader) = reader else {
            channel = None;
            sleep(CHOICE_INTERVAL).await;
            continue;
        };
        let (address, rpc) = channel
            .take()
            .filter(|(address, _)| *address == reader.address)
            .unwrap_or_else(|| {
                log::info!(host = reader.name.as_str(); "readings come from another host");
                (reader.address, open_channel(reader.address))
            });
        let asked = known;
        let call = move |client: RelayServiceClient, context| async move {
            client.next_readings(context, asked).await
        };
        match rpc.call(CALL_WAIT, call).await {
            Ok(readings) => {
                known = readings.known;
                apply(&context, &readings);
                channel = Some((address, rpc));
            }
            Err(error) => {
                let (host, reason) = (reader.name.as_str(), error.to_string());
                log::warn!(host, reason = reason.as_str(); "reading host lost");
                let now = hub.clock.now();
                hub.lock().choice.record_failure(&reader.name, now);
            }
        }
    }
}

fn open_channel(address: SocketAddr) -> RpcChannel<RelayServiceClient> {
    let options = RpcOptions {
        address,
        timeout: CALL_SLACK,
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

/// Applies relayed readings. A reading is skipped if its age is unknown because
/// this host has not called the store yet. The server list needs no age.
fn apply<K: StatementCodec, C: MonotonicClock>(
    context: &HostContext<K, C>,
    readings: &RelayedReadings,
) {
    let hub = &context.relay;
    let now = hub.clock.now();
    if let Some(reading) = &readings.reigns {
        let asked_at = hub.lock().store_clock.instant_of(reading.store_time);
        if let Some(asked_at) = asked_at {
            apply_group_rows(context, reading, asked_at);
            hub.lock().group_rows_at = Some(now);
        }
    }
    if let Some(reading) = &readings.listing {
        apply_server_list(context, reading);
        hub.lock().server_list_at = Some(now);
    }
    if let Some(reading) = &readings.plan {
        let asked_at = hub.lock().store_clock.instant_of(reading.store_time);
        if let Some(asked_at) = asked_at {
            context.observe_plan(reading.plan.clone(), asked_at);
            hub.lock().plan_at = Some(now);
        }
    }
}
