//! State that all caller sessions of a daemon share.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::{Duration, Instant};

use coordination::admission::AdmissionSettings;
use coordination::retry::{RetryBudget, RetryPolicy};
use coordination::view::MemberView;
use protocol::peer::CancelKey;
use slotmap::{SecondaryMap, SlotMap};
use state::document::IntentDocument;
use state::keys::{ClassKey, CustomerKey, MemberKey};
use state::settings::DaemonSettings;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep_until;

use super::cancel::CancelRegistry;
use super::classification_cache::ClassificationCache;
use super::metrics::CallerMetrics;
use super::scram::PasswordTable;
use crate::backend::BackendIdentity;
use crate::group_handle::GroupHandle;
use crate::pool::{AdmissionGate, MemberPool};

/// User name with which the proxy logs in to backend servers.
pub const BACKEND_USER: &str = "cassia";

/// Statements in flight per slot of the host's share: while one statement executes
/// in the slot, another one is in transit.
const IN_FLIGHT_PER_SLOT: usize = 2;

/// Service time that is assumed until a statement has been timed.
const INITIAL_SERVICE: Duration = Duration::from_millis(1);

/// The intent document in force, with its version.
#[derive(Clone, Debug)]
pub struct DocumentInForce {
    /// Version of the document.
    pub version: u64,
    /// The document.
    pub document: IntentDocument,
}

/// This host's share of one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberShare {
    /// Maximum number of connections, including idle ones.
    pub connections: usize,
    /// Maximum number of statements in flight.
    pub in_flight: usize,
}

/// Shared state of the caller sessions.
#[derive(Debug)]
pub struct CallerContext {
    /// Settings of the daemon.
    pub settings: DaemonSettings,
    /// Region of the daemon's data centre.
    pub region: String,
    /// The document in force.
    pub document: watch::Receiver<Arc<DocumentInForce>>,
    /// Becomes true when the daemon shuts down.
    pub shutdown: watch::Receiver<bool>,
    /// Instant by which statements of a daemon that shuts down have an answer.
    answers_end: watch::Sender<Option<Instant>>,
    /// Channel for cancel requests whose session belongs to another daemon.
    pub peer_cancels: Option<mpsc::Sender<CancelKey>>,
    /// Metrics of the caller sessions.
    pub metrics: CallerMetrics,
    /// Cancel keys of this daemon's sessions.
    pub cancels: CancelRegistry,
    pub(crate) passwords: Arc<PasswordTable>,
    pub(crate) classifications: ClassificationCache,
    pub(crate) retry: Mutex<RetryPolicy>,
    groups: RwLock<HashMap<String, Arc<GroupContext>>>,
    queue_keys: Mutex<QueueKeys>,
}

/// Keys of customers and read classes in the admission queues. A name keeps its key
/// when the document changes.
#[derive(Debug, Default)]
struct QueueKeys {
    customers: SlotMap<CustomerKey, ()>,
    classes: SlotMap<ClassKey, ()>,
    customer_keys: HashMap<String, CustomerKey>,
    class_keys: HashMap<String, ClassKey>,
}

impl CallerContext {
    /// Builds a context without groups.
    pub fn new(
        settings: DaemonSettings,
        document: watch::Receiver<Arc<DocumentInForce>>,
        shutdown: watch::Receiver<bool>,
        metrics: CallerMetrics,
    ) -> Self {
        let in_force = document.borrow().clone();
        let limits = in_force.document.limits;
        let data_centre = in_force
            .document
            .data_centre
            .iter()
            .find(|data_centre| data_centre.name == settings.data_centre);
        let region = data_centre.map(|data_centre| data_centre.region.clone());
        let budget = RetryBudget::new(
            limits.retry_budget_percent,
            limits.retry_floor_per_second,
            Instant::now(),
        );
        Self {
            passwords: Arc::new(PasswordTable::new(&settings.credential)),
            settings,
            region: region.unwrap_or_default(),
            document,
            shutdown,
            answers_end: watch::Sender::new(None),
            peer_cancels: None,
            metrics,
            cancels: CancelRegistry::default(),
            classifications: ClassificationCache::default(),
            retry: Mutex::new(RetryPolicy::new(budget)),
            groups: RwLock::default(),
            queue_keys: Mutex::default(),
        }
    }

    /// Sets the instant by which all statements must have an answer.
    pub(crate) fn set_answers_end(&self, answers_end: Instant) {
        self.answers_end.send_replace(Some(answers_end));
    }

    /// Returns whether that instant has passed.
    pub(crate) fn has_answers_ended(&self) -> bool {
        let answers_end = *self.answers_end.borrow();
        answers_end.is_some_and(|answers_end| answers_end <= Instant::now())
    }

    /// Waits for that instant.
    pub(crate) async fn answers_end(&self) {
        let mut known = self.answers_end.subscribe();
        let answers_end = known.wait_for(Option::is_some).await;
        match answers_end.ok().and_then(|answers_end| *answers_end) {
            Some(answers_end) => sleep_until(answers_end.into()).await,
            // The sender is this context's.
            None => std::future::pending().await,
        }
    }

    /// Returns the document in force.
    pub fn current_document(&self) -> Arc<DocumentInForce> {
        self.document.borrow().clone()
    }

    /// Adds or replaces a group. Open sessions keep the replaced one.
    pub fn set_group(&self, group: Arc<GroupContext>) {
        let mut groups = self.groups.write().unwrap_or_else(PoisonError::into_inner);
        groups.insert(group.name.clone(), group);
    }

    /// Removes a group. Open sessions keep it.
    pub fn remove_group(&self, name: &str) {
        let mut groups = self.groups.write().unwrap_or_else(PoisonError::into_inner);
        groups.remove(name);
    }

    /// Returns the group with this name.
    pub fn find_group(&self, name: &str) -> Option<Arc<GroupContext>> {
        let groups = self.groups.read().unwrap_or_else(PoisonError::into_inner);
        groups.get(name).cloned()
    }

    /// Returns all groups, in no particular order.
    pub fn groups(&self) -> Vec<Arc<GroupContext>> {
        let groups = self.groups.read().unwrap_or_else(PoisonError::into_inner);
        groups.values().cloned().collect()
    }

    /// Updates the gauge of queued statements; called before metrics are read.
    pub fn observe_queues(&self) {
        for pool in self.groups().iter().flat_map(|group| group.pools()) {
            let queued = i64::try_from(pool.gate().queued()).unwrap_or(i64::MAX);
            let gauge = self.metrics.queued.with_label_values(&[pool.name()]);
            gauge.set(queued);
        }
    }

    pub(crate) fn customer_key(&self, name: &str) -> CustomerKey {
        let mut queue_keys = self
            .queue_keys
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(key) = queue_keys.customer_keys.get(name) {
            return *key;
        }
        let key = queue_keys.customers.insert(());
        queue_keys.customer_keys.insert(name.to_owned(), key);
        key
    }

    pub(crate) fn class_key(&self, name: &str) -> ClassKey {
        let mut queue_keys = self
            .queue_keys
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(key) = queue_keys.class_keys.get(name) {
            return *key;
        }
        let key = queue_keys.classes.insert(());
        queue_keys.class_keys.insert(name.to_owned(), key);
        key
    }
}

/// A database group with its monitor's handle and its connection pools.
#[derive(Debug)]
pub struct GroupContext {
    /// Name of the group.
    pub name: String,
    /// Handle of the group's monitor.
    pub handle: GroupHandle,
    state: RwLock<PoolTable>,
}

#[derive(Debug)]
struct PoolTable {
    pools: SecondaryMap<MemberKey, Arc<MemberPool>>,
    shares: HashMap<String, MemberShare>,
    hosts: usize,
    queue_length: usize,
}

impl GroupContext {
    /// Builds a group without pools. Until [`GroupContext::set_share`] is called for a
    /// member, its limits are divided by the number of entry hosts in the document.
    pub fn new(name: &str, handle: GroupHandle, document: &IntentDocument) -> Arc<Self> {
        Arc::new(Self {
            name: name.to_owned(),
            handle,
            state: RwLock::new(PoolTable {
                pools: SecondaryMap::new(),
                shares: HashMap::new(),
                hosts: document.entry_host.len().max(1),
                queue_length: document.limits.queue_length as usize,
            }),
        })
    }

    /// Sets this host's share of a member.
    pub fn set_share(&self, member: &str, share: MemberShare) {
        let mut state = self.state.write().unwrap_or_else(PoisonError::into_inner);
        state.shares.insert(member.to_owned(), share);
        for pool in state.pools.values().filter(|pool| pool.name() == member) {
            pool.set_share(share.connections);
            pool.gate().set_in_flight_limit(share.in_flight.max(1));
        }
    }

    /// Sets the maximum length of each customer's and read class's queue.
    pub fn set_queue_length(&self, length: usize) {
        let mut state = self.state.write().unwrap_or_else(PoisonError::into_inner);
        state.queue_length = length;
        for pool in state.pools.values() {
            pool.gate().set_queue_length(length);
        }
    }

    /// Returns the pools that have been created so far.
    pub fn pools(&self) -> Vec<Arc<MemberPool>> {
        let state = self.state.read().unwrap_or_else(PoisonError::into_inner);
        state.pools.values().cloned().collect()
    }

    /// Returns the number of connections in use at a member.
    pub fn in_use(&self, key: MemberKey) -> u32 {
        let state = self.state.read().unwrap_or_else(PoisonError::into_inner);
        state.pools.get(key).map_or(0, |pool| pool.in_use())
    }

    /// Returns the pool of a member; creates it on first use, and again when the
    /// member's address has changed.
    pub fn pool_of(&self, key: MemberKey, member: &MemberView) -> Arc<MemberPool> {
        let state = self.state.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(pool) = state.pools.get(key) {
            if pool.address() == member.address && pool.name() == member.name {
                return pool.clone();
            }
        }
        drop(state);
        let mut state = self.state.write().unwrap_or_else(PoisonError::into_inner);
        let current = state.pools.get(key).cloned();
        if let Some(pool) = current.filter(|pool| pool.address() == member.address) {
            return pool;
        }
        let pool = state.create_pool(&self.name, member);
        state.pools.insert(key, pool.clone());
        pool
    }
}

impl PoolTable {
    fn create_pool(&self, group: &str, member: &MemberView) -> Arc<MemberPool> {
        let share_of = |limit: u64| (limit as usize / self.hosts).max(1);
        let default_share = MemberShare {
            connections: share_of(member.connection_limit),
            in_flight: share_of(member.slots) * IN_FLIGHT_PER_SLOT,
        };
        let share = self.shares.get(&member.name).copied();
        let share = share.unwrap_or(default_share);
        let gate = AdmissionGate::new(AdmissionSettings {
            in_flight_limit: share.in_flight.max(1),
            queue_length: self.queue_length,
            initial_service: INITIAL_SERVICE,
        });
        let identity = BackendIdentity {
            user: BACKEND_USER.to_owned(),
            password: None,
            database: group.to_owned(),
        };
        MemberPool::new(
            &member.name,
            member.address,
            identity,
            share.connections,
            gate,
        )
    }
}
