//! State that the sessions and tasks of an entry host share.

use std::collections::HashMap;
use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use coordination::managed::drain::DrainSchedule;
use coordination::managed::holder::{HolderMap, HostLayout, HostRoster};
use coordination::managed::plan_view::{PlanChange, PlanView};
use coordination::retry::{RetryBudget, RetryPolicy};
use slotmap::SlotMap;
use state::clock::MonotonicClock;
use state::entry::EntrySettings;
use state::keys::CustomerKey;
use state::plan::RoutePlan;
use state::reading::{LiveHost, PlanReading, RejectedEntry, StoreRevision};
use tokio::sync::watch;
use tokio::time::sleep_until;

use super::account_limits::AccountLimits;
use super::codec::StatementCodec;
use super::group_runtime::GroupRuntime;
use super::hop::HopClient;
use super::metrics::EntryMetrics;
use super::relay::{EraOrder, RelayHub};
use super::store_follower::ServerListHistory;

/// Retries per 100 requests, in addition to [`RETRY_FLOOR_PER_S`]; as in
/// `AdmissionLimits`.
const RETRY_PERCENT: u64 = 10;
/// Retries per second that are always allowed; as in `AdmissionLimits`.
const RETRY_FLOOR_PER_S: u64 = 10;

/// Phase of the process between start and stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServicePhase {
    /// Callers are served.
    Serving,
    /// Each session ends as soon as it is idle outside of transactions.
    Draining,
    /// Like `Draining`, and open transactions end after a short time without a statement.
    Closing,
    /// All sessions end at once.
    Stopping,
}

/// Shared state of an entry host.
#[derive(Debug)]
pub(crate) struct HostContext<K: StatementCodec, C> {
    /// Settings at the start of the process.
    pub(crate) settings: EntrySettings,
    /// Settings with the changes that were applied since the start.
    current: Mutex<EntrySettings>,
    /// Names of the data centres in the host's region.
    pub(crate) region: Vec<String>,
    pub(crate) clock: C,
    pub(crate) metrics: EntryMetrics,
    pub(crate) phase: watch::Sender<ServicePhase>,
    /// Until when a host that was told to stop works; `None` before that.
    drain: watch::Sender<Option<DrainSchedule>>,
    pub(super) relay: Arc<RelayHub<C>>,
    /// Usage caps of the client accounts.
    pub(super) limits: AccountLimits<C>,
    plan: Mutex<PlanView>,
    /// Whether a plan is in force.
    has_plan: watch::Sender<bool>,
    groups: Mutex<HashMap<String, Arc<GroupRuntime<K, C>>>>,
    roster: Mutex<HostRoster>,
    customers: Mutex<CustomerTable>,
    hop: Arc<HopClient>,
    /// Number of other hosts' running statements and open transactions.
    forwarded: watch::Sender<usize>,
    retries: Mutex<RetryPolicy>,
    server_list_history: Mutex<ServerListHistory>,
    sessions: watch::Sender<usize>,
}

#[derive(Debug, Default)]
struct CustomerTable {
    keys: SlotMap<CustomerKey, ()>,
    by_account: HashMap<String, CustomerKey>,
    /// Customers that stand for the callers of a route without accounts, by database.
    by_route: HashMap<String, CustomerKey>,
}

impl<K: StatementCodec, C: MonotonicClock> HostContext<K, C> {
    pub(crate) fn new(settings: EntrySettings, clock: C) -> Arc<Self> {
        let own = settings.region_of(&settings.data_centre);
        let region: Vec<String> = settings
            .regions
            .iter()
            .filter(|(_, region)| *region == own)
            .map(|(data_centre, _)| data_centre.clone())
            .collect();
        let budget = RetryBudget::new(RETRY_PERCENT, RETRY_FLOOR_PER_S, Instant::now());
        let metrics = EntryMetrics::default();
        let hop = HopClient::new(&settings, metrics.forward.clone());
        Arc::new(Self {
            current: Mutex::new(settings.clone()),
            hop: Arc::new(hop),
            forwarded: watch::Sender::new(0),
            metrics,
            phase: watch::Sender::new(ServicePhase::Serving),
            drain: watch::Sender::new(None),
            relay: Arc::new(RelayHub::new(&settings, &region, clock.clone())),
            limits: AccountLimits::new(&settings.host, clock.clone()),
            plan: Mutex::default(),
            has_plan: watch::Sender::new(false),
            groups: Mutex::default(),
            customers: Mutex::default(),
            retries: Mutex::new(RetryPolicy::new(budget)),
            server_list_history: Mutex::default(),
            sessions: watch::Sender::new(0),
            roster: Mutex::new(HostRoster::new(LiveHost {
                name: settings.host.clone(),
                data_centre: settings.data_centre.clone(),
                relay_address: settings.relay_address,
                joined_ms: 0,
            })),
            region,
            settings,
            clock,
        })
    }

    /// Applies changed settings. Returns the changed keys that take effect only
    /// after a restart.
    pub(crate) fn reload(&self, settings: &EntrySettings) -> Vec<&'static str> {
        lock(&self.current).reload(settings)
    }

    /// Returns the grace period: the time from the stop signal until the platform
    /// kills the process.
    pub(crate) fn grace(&self) -> Duration {
        Duration::from_secs_f64(lock(&self.current).grace_s)
    }

    /// Returns the number of file descriptors that the process may use.
    pub(crate) fn descriptor_limit(&self) -> u64 {
        lock(&self.current).descriptor_limit
    }

    /// Returns the plan in force.
    pub(crate) fn plan(&self) -> Option<Arc<RoutePlan>> {
        lock(&self.plan).plan().cloned()
    }

    /// Applies the number of synchronous replicas of the plan in force, if it names the group.
    pub(super) fn settle_sync_replicas(&self, group: &GroupRuntime<K, C>) {
        let plan = self.plan();
        let settings = plan.as_ref().and_then(|plan| plan.groups.get(&group.name));
        if let Some(settings) = settings {
            group.with(|group| group.set_sync_replicas(settings.sync_replicas));
        }
    }

    /// Waits until a plan is in force, but no longer than `max_wait`.
    pub(crate) async fn await_plan(&self, max_wait: Duration) {
        let mut known = self.has_plan.subscribe();
        // The caller looks for the plan in both cases.
        let _in_time = tokio::time::timeout(max_wait, known.wait_for(|known| *known)).await;
    }

    /// Returns whether the plan was confirmed to be the newest one lately.
    pub(crate) fn is_plan_fresh(&self) -> bool {
        lock(&self.plan).is_fresh(self.clock.now())
    }

    /// Returns when the request was sent whose answer last confirmed the plan.
    pub(super) fn plan_confirmed_at(&self) -> Option<Instant> {
        lock(&self.plan).confirmed_at()
    }

    /// Records a reading of the plan that was requested at `asked_at`, and offers the
    /// newest known plan to other hosts.
    pub(super) fn observe_plan(&self, reading: &PlanReading, asked_at: Instant) {
        let mut view = lock(&self.plan);
        let was_awaited = view.is_awaited();
        let change = view.observe(reading, asked_at);
        let known = view.plan().map_or(0, |plan| plan.version);
        match (was_awaited, view.is_awaited()) {
            (false, true) => {
                let stored = view.stored_version().unwrap_or(0);
                log::warn!(
                    version = known, stored;
                    "the store lost the plan in force, which the operators have to write again"
                );
            }
            (true, false) => log::info!(version = known; "the store has the plan in force"),
            _ => {}
        }
        self.relay.offer_plan(PlanReading {
            plan: view.plan().map(|plan| RoutePlan::clone(plan)),
            stored_version: view.stored_version(),
            rejected: Vec::new(),
            ..*reading
        });
        drop(view);
        let Some(PlanChange { former, plan }) = change else {
            return;
        };
        let (version, routes) = (plan.version, plan.routes.len());
        log::info!(version, routes, former = former.unwrap_or(0); "plan in force");
        for RejectedEntry { key, reason } in &reading.rejected {
            log::warn!(
                version, entry = key.as_str(), reason = reason.as_str();
                "plan entry ignored"
            );
        }
        self.metrics.set_plan_version(version);
        self.has_plan.send_replace(true);
        self.limits.set_plan(&plan);
        for name in plan.groups.keys() {
            let group = self.group(name);
            self.update_holders(&group);
        }
    }

    /// Returns whether the plan may name a group: it does, or it is not known yet. Members
    /// of other groups are of another writer, and a group lasts as long as the process.
    pub(super) fn may_serve(&self, group: &str) -> bool {
        let plan = self.plan();
        plan.is_none_or(|plan| plan.groups.contains_key(group))
    }

    /// Records the era of an answer of the store, at a revision of the answer. Returns
    /// `false` if the answer is of a former era and must not be used.
    ///
    /// The first answer of a newer era is logged with what the store may have lost.
    pub(super) fn admit_era(&self, revision: StoreRevision) -> bool {
        let StoreRevision { era, number } = revision;
        let former = match self.relay.observe_era(era) {
            EraOrder::Former => return false,
            EraOrder::Current => return true,
            EraOrder::Newer(former) => former,
        };
        let plan = self.plan().map_or(0, |plan| plan.version);
        let newest = self.groups().into_iter();
        let newest = newest.map(|group| group.with(|group| group.primary_view.revision().number));
        log::warn!(
            era = era.0, former = former.0, revision = number, plan,
            newest_group_row = newest.max().unwrap_or(0);
            "the store returned from an older copy"
        );
        self.metrics.set_store_era(era.0);
        self.server_list_history().record_return(self.clock.now());
        true
    }

    /// Applies the live entry hosts, which share the members' connections.
    pub(super) fn apply_hosts(&self, live: &[LiveHost]) {
        let live = self.relay.complete_hosts(live);
        if !self.relay.set_hosts(&live) {
            return;
        }
        let count = {
            let mut roster = lock(&self.roster);
            roster.set_hosts(&live, self.clock.now());
            roster.len()
        };
        log::info!(hosts = count; "live entry hosts");
        self.hop.set_hosts(&live);
        self.limits.set_hosts(&live);
        self.update_all_holders();
    }

    /// Divides the members' connections anew once the live hosts are known. Must be
    /// called at short intervals.
    pub(super) fn settle_hosts(&self) {
        if lock(&self.roster).settle(self.clock.now()) {
            self.update_all_holders();
        }
    }

    fn update_all_holders(&self) {
        for group in self.groups() {
            self.update_holders(&group);
        }
    }

    /// Computes which hosts hold connections to the members of a group. Without a plan
    /// or the live hosts, the group keeps one connection per member.
    fn update_holders(&self, group: &GroupRuntime<K, C>) {
        // Held to the end, so that a map of older hosts or an older plan cannot replace
        // a newer one.
        let roster = lock(&self.roster);
        let plan = self.plan();
        let settings = plan.as_ref().and_then(|plan| plan.groups.get(&group.name));
        let limit = settings.map(|settings| settings.connection_limit);
        if let Some((limit, hosts)) = limit.zip(roster.hosts()) {
            let regions = &self.settings.regions;
            let layout = HostLayout { regions, hosts };
            group.set_holders(HolderMap::compute(&group.name, limit, &layout));
        }
    }

    /// Returns the group with this name, and creates it if it does not exist.
    pub(crate) fn group(&self, name: &str) -> Arc<GroupRuntime<K, C>> {
        let mut groups = lock(&self.groups);
        if let Some(group) = groups.get(name) {
            return group.clone();
        }
        let group = GroupRuntime::new(
            name,
            &self.settings.host,
            self.hop.clone(),
            self.clock.clone(),
        );
        groups.insert(name.to_owned(), group.clone());
        group
    }

    /// Returns all groups.
    pub(crate) fn groups(&self) -> Vec<Arc<GroupRuntime<K, C>>> {
        lock(&self.groups).values().cloned().collect()
    }

    /// Returns the key under which the statements of a client account are queued.
    pub(crate) fn account_customer(&self, account: &str) -> CustomerKey {
        let CustomerTable {
            keys, by_account, ..
        } = &mut *lock(&self.customers);
        customer(keys, by_account, account)
    }

    /// Returns the key under which the statements for a database are queued whose
    /// callers have no account.
    pub(crate) fn route_customer(&self, database: &str) -> CustomerKey {
        let CustomerTable { keys, by_route, .. } = &mut *lock(&self.customers);
        customer(keys, by_route, database)
    }

    /// Returns the record of earlier readings of the server list.
    pub(super) fn server_list_history(&self) -> MutexGuard<'_, ServerListHistory> {
        lock(&self.server_list_history)
    }

    /// Returns the retry policy.
    pub(crate) fn retries(&self) -> MutexGuard<'_, RetryPolicy> {
        lock(&self.retries)
    }

    /// Returns whether new callers can be served: the host is not stopping, has a
    /// plan and knows at least one member. A host that starts just after the store
    /// returned from an older copy waits until the operators had time to write the
    /// newest plan again.
    pub(crate) fn is_ready(&self) -> bool {
        if !self.relay.is_era_known() {
            return false;
        }
        let knows_members = || {
            let groups = lock(&self.groups);
            groups
                .values()
                .any(|group| group.with(|group| !group.members.is_empty()))
        };
        *self.phase.borrow() == ServicePhase::Serving && self.plan().is_some() && knows_members()
    }

    /// Counts a session as open until the returned guard is dropped.
    pub(crate) fn enter_session(self: &Arc<Self>) -> SessionGuard<K, C> {
        self.sessions.send_modify(|count| *count += 1);
        SessionGuard {
            context: self.clone(),
        }
    }

    /// Counts a statement or transaction of another host until the returned guard is
    /// dropped.
    pub(super) fn enter_forwarded(&self) -> ForwardedGuard {
        self.forwarded.send_modify(|count| *count += 1);
        ForwardedGuard(self.forwarded.clone())
    }

    /// Returns a receiver of the number of other hosts' running statements and open
    /// transactions.
    pub(super) fn forwarded(&self) -> watch::Receiver<usize> {
        self.forwarded.subscribe()
    }

    /// Begins to drain. Statements that wait and are not expected to be answered before the
    /// host stops are refused at once.
    pub(super) fn begin_drain(&self, schedule: DrainSchedule) {
        self.drain.send_replace(Some(schedule));
        self.phase.send_replace(ServicePhase::Draining);
        self.refuse_unservable();
    }

    /// Refuses waiting statements that are not expected to be answered before the host stops.
    /// Must be called at short intervals, since the estimates change.
    pub(super) fn refuse_unservable(&self) {
        let Some(schedule) = *self.drain.borrow() else {
            return;
        };
        for group in self.groups() {
            group.limit_deadlines(schedule.answers_end);
        }
    }

    /// Returns whether the host was told to stop.
    pub(super) fn is_stopping(&self) -> bool {
        self.drain.borrow().is_some()
    }

    /// Returns the deadline of a statement, which on a stopping host is at most the end of
    /// its answers.
    pub(super) fn limit(&self, deadline: Instant) -> Instant {
        let schedule = *self.drain.borrow();
        schedule.map_or(deadline, |schedule| deadline.min(schedule.answers_end))
    }

    /// Runs `work` until it is done. Returns `None` if the host stops and has to answer
    /// before that.
    pub(super) async fn until_stop<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        let mut drain = self.drain.subscribe();
        let answers_end = async {
            let stopping = drain.wait_for(Option::is_some).await;
            match stopping.ok().and_then(|schedule| *schedule) {
                Some(schedule) => sleep_until(schedule.answers_end.into()).await,
                // The sender is this context's.
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            done = work => Some(done),
            () = answers_end => None,
        }
    }

    /// Returns how many statements wait in this host's queues, and how many have no answer
    /// of their member yet.
    pub(crate) fn unanswered(&self) -> (u32, u32) {
        let groups = self.groups();
        let counts = groups.iter().map(|group| {
            group.with(|group| {
                let members = || group.members.values();
                let waiting: u32 = members().map(|member| member.waiting).sum();
                let in_flight: u32 = members().map(|member| member.in_flight).sum();
                (waiting, in_flight)
            })
        });
        counts.fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1))
    }

    /// Returns a receiver of the number of open sessions.
    pub(crate) fn sessions(&self) -> watch::Receiver<usize> {
        self.sessions.subscribe()
    }
}

/// Counts one session as open until it is dropped.
#[derive(Debug)]
pub(crate) struct SessionGuard<K: StatementCodec, C> {
    context: Arc<HostContext<K, C>>,
}

impl<K: StatementCodec, C> Drop for SessionGuard<K, C> {
    fn drop(&mut self) {
        self.context.sessions.send_modify(|count| *count -= 1);
    }
}

fn customer(
    keys: &mut SlotMap<CustomerKey, ()>,
    by_name: &mut HashMap<String, CustomerKey>,
    name: &str,
) -> CustomerKey {
    if let Some(key) = by_name.get(name) {
        return *key;
    }
    let key = keys.insert(());
    by_name.insert(name.to_owned(), key);
    key
}

/// Counts one forwarded statement or transaction until it is dropped.
#[derive(Debug)]
pub(super) struct ForwardedGuard(watch::Sender<usize>);

impl Drop for ForwardedGuard {
    fn drop(&mut self) {
        self.0.send_modify(|count| *count -= 1);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
