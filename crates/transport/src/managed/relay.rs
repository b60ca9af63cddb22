//! The readings of the store that this host has, by its own calls or from the host
//! that it fetches readings from, and offers to other hosts.

mod follower;
mod service;

use std::cmp::Ordering;
use std::collections::HashSet;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use coordination::managed::era::EraMarker;
use coordination::managed::group::RELIST_GRACE;
use coordination::managed::presence::{with_known_hosts, PresenceKeeper, PresenceRow};
use coordination::managed::reader::{ReaderChoice, ReadingSource, RelayedAge};
use coordination::managed::store_clock::StoreClock;
use protocol::relay::{KnownReadings, ReadingsRequest, RelayedReadings, RelayedTable};
use state::clock::MonotonicClock;
use state::entry::EntrySettings;
use state::reading::{
    HostReport, LiveHost, PlanReading, ServerListReading, StoreEra, StoredRow, TableReading,
};
use tokio::sync::{watch, Notify};

pub(super) use follower::{follow_reader, open_channel};
pub(super) use service::serve_relay;

/// Largest message: a plan of several hundred routes and the rows of all groups
/// and servers of a site.
pub(super) const FRAME_LIMIT_BYTES: usize = 4 << 20;
/// Longest wait of one call at the reader, which normally has a new reading every
/// 600 ms.
const CALL_WAIT: Duration = Duration::from_millis(750);
/// Age of the last relayed reading of the groups' rows up to which the host does
/// not read the rows itself.
const GROUP_ROWS_MAX_AGE: Duration = Duration::from_millis(850);
/// The same limit for the server list and the plan, which are read less often.
const LIST_AND_PLAN_MAX_AGE: Duration = Duration::from_millis(3_000);

/// Shortest time between two answers that are sent only for their digests.
const DIGEST_INTERVAL: Duration = Duration::from_millis(100);
/// Age of the last answer or request up to which two hosts count as connected.
const SERVED_MAX_AGE: Duration = Duration::from_millis(1_000);

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

/// How the era of an answer compares to the newest known one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EraOrder {
    /// The answer must not be used.
    Former,
    /// The era is the newest known one, or the first one.
    Current,
    /// The store returned from an older copy; holds the era before.
    Newer(StoreEra),
}

/// The newest readings, the choice of the reader and the presence of hosts.
#[derive(Debug)]
pub(super) struct RelayHub<C> {
    clock: C,
    data_centre: String,
    region: Vec<String>,
    state: Mutex<RelayState>,
    changed: watch::Sender<u64>,
    /// Notified when the live hosts changed or a host joined.
    hosts_changed: Notify,
}

#[derive(Debug)]
struct RelayState {
    choice: ReaderChoice,
    presence: PresenceKeeper,
    store_clock: StoreClock,
    /// Newest known era of the store; `None` before the first answer.
    era: Option<StoreEra>,
    /// Marker of `era`, as it was read last.
    marker: Option<EraMarker>,
    /// Whether a marker has shown an era that was settled.
    is_era_known: bool,
    /// When the newest era was first seen, unless it is the first one.
    returned_at: Option<Instant>,
    /// When the host first tried to read the live hosts. Until then it does not know
    /// whether another host reads the store.
    started_at: Option<Instant>,
    own: OwnReadings,
    /// The groups' rows that the reader sent last.
    relayed_rows: Vec<StoredRow>,
    /// When the reader last answered.
    answered_at: Option<Instant>,
    /// When another host last asked for readings.
    asked_at: Option<Instant>,
    digests_offered_at: Option<Instant>,
    /// When the reader last sent rows of the groups.
    group_rows_at: Option<Instant>,
    /// Ages of the relayed readings.
    group_rows: RelayedAge,
    server_list: RelayedAge,
    plan: RelayedAge,
}

/// The readings that this host offers.
#[derive(Debug)]
struct OwnReadings {
    known: KnownReadings,
    group_rows: Option<TableReading>,
    /// Number of the first reading with the rows of `group_rows`.
    same_rows_since: u64,
    server_list: Option<ServerListReading>,
    plan: Option<PlanReading>,
    hosts: Vec<LiveHost>,
}

impl RelayState {
    /// Returns the age of the relayed readings of a kind.
    fn relayed(&self, kind: ReadingKind) -> RelayedAge {
        match kind {
            ReadingKind::GroupRows => self.group_rows,
            ReadingKind::ServerList => self.server_list,
            ReadingKind::Plan => self.plan,
        }
    }
}

impl<C: MonotonicClock> RelayHub<C> {
    pub(super) fn new(settings: &EntrySettings, region: &[String], clock: C) -> Self {
        let incarnation = rand::random();
        let report = HostReport {
            host: settings.host.clone(),
            data_centre: settings.data_centre.clone(),
            incarnation,
            relay_address: settings.relay_address,
        };
        let own = OwnReadings {
            known: KnownReadings {
                incarnation,
                ..KnownReadings::default()
            },
            group_rows: None,
            same_rows_since: 0,
            server_list: None,
            plan: None,
            hosts: Vec::new(),
        };
        Self {
            clock,
            data_centre: settings.data_centre.clone(),
            region: region.to_vec(),
            state: Mutex::new(RelayState {
                choice: ReaderChoice::new(&settings.host),
                presence: PresenceKeeper::new(report),
                store_clock: StoreClock::default(),
                era: None,
                marker: None,
                is_era_known: false,
                returned_at: None,
                started_at: None,
                own,
                relayed_rows: Vec::new(),
                answered_at: None,
                asked_at: None,
                digests_offered_at: None,
                group_rows_at: None,
                group_rows: RelayedAge::default(),
                server_list: RelayedAge::default(),
                plan: RelayedAge::default(),
            }),
            changed: watch::Sender::new(0),
            hosts_changed: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, RelayState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn signal(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Returns where the next reading of this kind comes from.
    pub(super) fn source(&self, kind: ReadingKind) -> ReadingSource {
        let now = self.clock.now();
        let state = self.lock();
        let Some(started_at) = state.started_at else {
            return ReadingSource::Reader;
        };
        let max_age = match kind {
            ReadingKind::GroupRows => GROUP_ROWS_MAX_AGE,
            ReadingKind::ServerList | ReadingKind::Plan => LIST_AND_PLAN_MAX_AGE,
        };
        let age = state.relayed(kind).age(started_at, max_age, now);
        let chance = rand::random_range(0.0..1.0);
        state.choice.source(age, chance, now)
    }

    /// Returns whether a reader has passed on a reading of this kind since the start of
    /// the host.
    pub(super) fn has_reading(&self, kind: ReadingKind) -> bool {
        self.lock().relayed(kind).is_known()
    }

    /// Records that the host has tried to read the live hosts.
    pub(super) fn record_start(&self) {
        let now = self.clock.now();
        self.lock().started_at.get_or_insert(now);
        self.hosts_changed.notify_waiters();
    }

    /// Records the era of an answer of the store or of another host.
    ///
    /// What was read in a former era is neither passed on nor compared with later
    /// readings, and the presence of hosts is written again.
    pub(super) fn observe_era(&self, era: StoreEra) -> EraOrder {
        let now = self.clock.now();
        let mut state = self.lock();
        let order = match state.era.cmp(&Some(era)) {
            Ordering::Greater => return EraOrder::Former,
            Ordering::Equal => return EraOrder::Current,
            Ordering::Less => state.era.map_or(EraOrder::Current, EraOrder::Newer),
        };
        state.era = Some(era);
        state.store_clock = StoreClock::default();
        state.marker = None;
        if let EraOrder::Newer(_) = order {
            state.returned_at = Some(now);
            state.presence.restart_renewals();
            state.own.group_rows = None;
            state.own.server_list = None;
            state.own.plan = None;
        }
        drop(state);
        self.hosts_changed.notify_waiters();
        order
    }

    /// Returns the newest known era of the store.
    pub(super) fn era(&self) -> StoreEra {
        self.lock().era.unwrap_or_default()
    }

    /// Returns the newest known era together with the bounds of its clock.
    fn era_clock(&self) -> (Option<StoreEra>, StoreClock) {
        let state = self.lock();
        (state.era, state.store_clock)
    }

    /// Records the marker of the newest era, from a reading of that era.
    pub(super) fn record_marker(&self, marker: EraMarker) {
        let mut state = self.lock();
        if state.era == Some(marker.era) {
            state.is_era_known |= marker.is_settled();
            state.marker = Some(marker);
        }
    }

    /// Returns the marker of the newest era, if it was read.
    pub(super) fn marker(&self) -> Option<EraMarker> {
        self.lock().marker
    }

    /// Returns whether an era has been seen long enough after its begin since the host
    /// started.
    pub(super) fn is_era_known(&self) -> bool {
        self.lock().is_era_known
    }

    /// Records a call of the store, which bounds the store's clock.
    pub(super) fn record_call(&self, era: StoreEra, asked_at: Instant, store_time: Duration) {
        let answered_at = self.clock.now();
        let mut state = self.lock();
        if state.era != Some(era) {
            return;
        }
        state
            .store_clock
            .record_call(asked_at, store_time, answered_at);
    }

    /// Returns the time until this host has to renew its data centre's row; `None` if
    /// it reports to another host of the data centre instead.
    pub(super) fn renewal_wait(&self) -> Option<Duration> {
        let now = self.clock.now();
        let state = self.lock();
        let reader = state.choice.reader(now);
        if reader.is_some_and(|reader| reader.data_centre == self.data_centre) {
            return None;
        }
        let due = state.presence.renewal_due();
        Some(due.map_or(Duration::ZERO, |due| due.saturating_duration_since(now)))
    }

    /// Records that the rows of live hosts were read in order to renew this data
    /// centre's.
    pub(super) fn record_renewal(&self) {
        let now = self.clock.now();
        self.lock().presence.record_renewal(now);
    }

    /// Returns the data centre's row with this host's knowledge added, from a reading
    /// of the row at `store_time`, and whether it has to be written.
    pub(super) fn renewed_row(
        &self,
        row: &PresenceRow,
        store_time: Duration,
    ) -> (PresenceRow, bool) {
        let now = self.clock.now();
        let state = self.lock();
        let renewed = state.presence.renewed_row(row, store_time, now);
        let has_to_write = state.presence.has_to_write(row, &renewed);
        (renewed, has_to_write)
    }

    /// Waits until the live hosts change, a host joins, or `max_wait` has passed.
    pub(super) async fn await_hosts(&self, max_wait: Duration) {
        // A change and the end of the wait both lead to a new look.
        let _changed = tokio::time::timeout(max_wait, self.hosts_changed.notified()).await;
    }

    /// Returns the live hosts of a reading, and soon after a return of the store also
    /// those that were known before.
    pub(super) fn complete_hosts(&self, live: &[LiveHost]) -> Vec<LiveHost> {
        let now = self.clock.now();
        let state = self.lock();
        let is_recent = |at: Instant| now.saturating_duration_since(at) < RELIST_GRACE;
        match state.returned_at.is_some_and(is_recent) {
            true => with_known_hosts(live, &state.own.hosts),
            false => live.to_vec(),
        }
    }

    /// Sets the live hosts, and offers them to other hosts if they changed. Returns
    /// whether they did.
    pub(super) fn set_hosts(&self, live: &[LiveHost]) -> bool {
        let mut state = self.lock();
        if state.own.hosts == live {
            return false;
        }
        state
            .choice
            .set_hosts(live, &self.data_centre, &self.region);
        state.own.hosts = live.to_vec();
        state.own.known.hosts += 1;
        drop(state);
        self.hosts_changed.notify_waiters();
        self.signal();
        true
    }

    /// Offers a reading of the groups' rows to the other hosts, unless it is older
    /// than the one that is offered already or of a former era.
    pub(super) fn offer_group_rows(&self, reading: &TableReading) {
        let mut state = self.lock();
        if state.era != Some(reading.revision.era) {
            return;
        }
        let own = &mut state.own;
        let known = own.group_rows.as_ref();
        if known.is_some_and(|known| known.store_time > reading.store_time) {
            return;
        }
        own.known.group_rows += 1;
        if known.is_none_or(|known| known.rows != reading.rows) {
            own.same_rows_since = own.known.group_rows;
        }
        own.group_rows = Some(reading.clone());
        drop(state);
        self.signal();
    }

    /// Offers a reading of the server list to the other hosts, unless it is of a former
    /// era.
    pub(super) fn offer_server_list(&self, reading: &ServerListReading) {
        let mut state = self.lock();
        if state.era != Some(reading.era) {
            return;
        }
        state.own.known.server_list += 1;
        state.own.server_list = Some(reading.clone());
        drop(state);
        self.signal();
    }

    /// Offers the plan in force to the other hosts, with the reading that confirmed or
    /// replaced it, unless that is of a former era.
    pub(super) fn offer_plan(&self, reading: PlanReading) {
        let mut state = self.lock();
        if state.era != Some(reading.revision.era) {
            return;
        }
        state.own.known.plan += 1;
        state.own.plan = Some(reading);
        drop(state);
        self.signal();
    }

    /// Answers other hosts soon because an assurance was renewed without the store.
    pub(super) fn offer_digests(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        let offered_at = state.digests_offered_at.replace(now);
        if offered_at.is_some_and(|at| now.saturating_duration_since(at) < DIGEST_INTERVAL) {
            state.digests_offered_at = offered_at;
            return;
        }
        state.own.known.digests += 1;
        drop(state);
        self.signal();
    }

    /// Returns whether another host passes readings and digests on to this one.
    pub(super) fn is_served(&self) -> bool {
        let now = self.clock.now();
        let state = self.lock();
        let answered_at = state.answered_at;
        state.choice.reader(now).is_some()
            && answered_at.is_some_and(|at| now.saturating_duration_since(at) < SERVED_MAX_AGE)
    }

    /// Returns whether other hosts fetch readings from this one.
    pub(super) fn is_asked(&self) -> bool {
        let now = self.clock.now();
        let asked_at = self.lock().asked_at;
        asked_at.is_some_and(|at| now.saturating_duration_since(at) < SERVED_MAX_AGE)
    }

    /// Records the reports of a request. Returns a time that the store's clock has
    /// not passed yet.
    fn record_request(&self, request: &ReadingsRequest) -> Option<Duration> {
        let now = self.clock.now();
        let mut state = self.lock();
        state.asked_at = Some(now);
        let listed: HashSet<&str> = state
            .own
            .hosts
            .iter()
            .map(|host| host.name.as_str())
            .collect();
        let joins = request
            .reports
            .iter()
            .any(|report| !listed.contains(report.host.as_str()));
        for report in &request.reports {
            state.presence.record_report(report.clone(), now);
        }
        let store_time = state.store_clock.latest_time_at(now);
        drop(state);
        if joins {
            self.hosts_changed.notify_waiters();
        }
        store_time
    }

    /// Returns the readings that are newer than those known to the asking host.
    fn newer_than(&self, known: &KnownReadings) -> Option<RelayedReadings> {
        let state = self.lock();
        let own = &state.own;
        let same = known.incarnation == own.known.incarnation;
        let is_new = |ours: u64, theirs: u64| ours > 0 && (!same || ours > theirs);
        let has_rows = same && known.group_rows >= own.same_rows_since;
        let group_rows = own.group_rows.as_ref().map(|reading| match has_rows {
            true => RelayedTable::SameRows {
                revision: reading.revision,
                store_time: reading.store_time,
            },
            false => RelayedTable::Whole(reading.clone()),
        });
        let reply = RelayedReadings {
            known: own.known,
            era: None,
            latest_time: None,
            earliest_time: None,
            digests: Vec::new(),
            group_rows: group_rows.filter(|_| is_new(own.known.group_rows, known.group_rows)),
            server_list: own
                .server_list
                .clone()
                .filter(|_| is_new(own.known.server_list, known.server_list)),
            plan: own
                .plan
                .clone()
                .filter(|_| is_new(own.known.plan, known.plan)),
            hosts: is_new(own.known.hosts, known.hosts).then(|| own.hosts.clone()),
        };
        let has_any = reply.group_rows.is_some()
            || reply.server_list.is_some()
            || reply.plan.is_some()
            || reply.hosts.is_some()
            || is_new(own.known.digests, known.digests);
        has_any.then_some(reply)
    }
}
