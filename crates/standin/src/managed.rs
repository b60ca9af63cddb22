//! Stand-in for the users' platform: members that speak the line protocol, the
//! metadata store and the promotion call, all on loopback.
//!
//! All state is in memory. The stand-in gives the published guarantees that the
//! adapter relies on, and tests can inject faults.

mod caller;
mod framing;
mod identity;
mod member;
mod store;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::Value;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::sleep;

pub use caller::{LineCaller, NOT_APPLIED_CODES};
use identity::IdentityCheck;
pub use member::{AnswerRepeat, MemberSnapshot, RanStatement};
use member::{GroupState, MemberPlace, MemberState};
use store::{StoreState, StoreView};

/// Name of the stand-in's first group.
pub const GROUP: &str = "birds-db";
/// Interval of the members' heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(200);
/// Time between the answer to a promotion call and the change of primary.
const PROMOTION_TIME: Duration = Duration::from_millis(150);
/// Time from the store's return until the operator writes the newest configuration
/// again.
const OPERATOR_DELAY: Duration = Duration::from_millis(300);

/// State that the members and the store share.
#[derive(Debug, Default)]
struct SiteState {
    store: StoreState,
    /// The first one is [`GROUP`].
    groups: Vec<GroupState>,
    identity: IdentityCheck,
    /// The newest configuration that the operator wrote.
    configuration: Option<Vec<u8>>,
}

/// Limits of a route.
#[derive(Clone, Copy, Debug)]
pub struct RouteLimits {
    /// Longest time of a statement, in milliseconds.
    pub timeout_ms: u64,
    /// Largest age of what a read returns, in milliseconds.
    pub max_staleness_ms: u64,
}

/// A running platform stand-in. Dropping it aborts all its tasks.
#[derive(Debug)]
pub struct ManagedSite {
    state: Arc<Mutex<SiteState>>,
    service: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
    /// Tasks of the first group's members.
    members: Vec<JoinHandle<()>>,
    /// Listeners of these members. They stay open while a member is killed, so
    /// that its address stays reserved.
    listeners: Vec<Arc<TcpListener>>,
}

impl Drop for ManagedSite {
    fn drop(&mut self) {
        for task in self.tasks.iter().chain(&self.members) {
            task.abort();
        }
    }
}

impl ManagedSite {
    /// Starts a store and a group of `members` members, whose first member is
    /// the primary. Writes version 1 of the configuration with one route of
    /// each kind: `current`, `bounded` and `own`.
    pub async fn start(members: usize) -> std::io::Result<Self> {
        let state = Arc::new(Mutex::new(SiteState::default()));
        let loopback = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let listener = TcpListener::bind(loopback).await?;
        let service = listener.local_addr()?;
        let view = StoreView {
            site: state.clone(),
            endpoints: Arc::default(),
        };
        let mut site = Self {
            tasks: vec![tokio::spawn(store::serve(listener, view))],
            members: Vec::new(),
            listeners: Vec::new(),
            state,
            service,
        };
        let (listeners, tasks) = site.start_members(GROUP, members).await?;
        (site.listeners, site.members) = (listeners, tasks);
        site.tasks
            .push(tokio::spawn(write_heartbeats(site.state.clone())));
        site.configure(1, &["current", "bounded", "own"]);
        Ok(site)
    }

    /// Starts another group of `members` members, whose first member is the primary. Returns
    /// its number; [`GROUP`] has number 0.
    pub async fn add_group(&mut self, name: &str, members: usize) -> std::io::Result<usize> {
        let (_, tasks) = self.start_members(name, members).await?;
        self.tasks.extend(tasks);
        Ok(self.lock().groups.len() - 1)
    }

    /// Starts the members of a new group.
    async fn start_members(
        &self,
        name: &str,
        members: usize,
    ) -> std::io::Result<(Vec<Arc<TcpListener>>, Vec<JoinHandle<()>>)> {
        let mut state = GroupState::new(name);
        let group = self.lock().groups.len();
        let mut listeners = Vec::new();
        for index in 0..members {
            let loopback = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
            let listener = Arc::new(TcpListener::bind(loopback).await?);
            let (place, address) = (MemberPlace { group, index }, listener.local_addr()?);
            state.members.push(MemberState::new(place, name, address));
            listeners.push(listener);
        }
        self.lock().groups.push(state);
        let numbered = listeners.iter().enumerate();
        let tasks = numbered.map(|(index, listener)| {
            let place = MemberPlace { group, index };
            tokio::spawn(member::serve(listener.clone(), place, self.state.clone()))
        });
        let tasks = tasks.collect();
        Ok((listeners, tasks))
    }

    /// Returns the address of the store and of the promotion call.
    pub fn service(&self) -> SocketAddr {
        self.service
    }

    /// Serves the store and the promotion call at another address, which is
    /// returned. Readers there see `endpoints` instead of the addresses of the
    /// members, in the order of the members.
    pub async fn add_view(&mut self, endpoints: &[SocketAddr]) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await?;
        let address = listener.local_addr()?;
        let by_id = {
            let site = self.lock();
            let members = site.groups[0].members.iter().zip(endpoints);
            members
                .map(|(member, endpoint)| (member.id.clone(), *endpoint))
                .collect()
        };
        let view = StoreView {
            site: self.state.clone(),
            endpoints: Arc::new(by_id),
        };
        self.tasks.push(tokio::spawn(store::serve(listener, view)));
        Ok(address)
    }

    /// Returns the address of a member.
    pub fn member_address(&self, index: usize) -> SocketAddr {
        self.lock().groups[0].members[index].address
    }

    /// Returns whether a member runs, that is, has not been killed.
    pub fn is_alive(&self, index: usize) -> bool {
        self.lock().groups[0].members[index].alive
    }

    /// Restarts a killed member with the log that it had.
    pub fn restart(&mut self, index: usize) {
        self.members[index].abort();
        let listener = self.listeners[index].clone();
        let place = MemberPlace { group: 0, index };
        let serving = member::serve(listener, place, self.state.clone());
        self.members[index] = tokio::spawn(serving);
        self.lock().groups[0].restart(index);
    }

    /// Returns the data of the commits that promotions rolled back.
    pub fn rolled_back(&self) -> Vec<String> {
        self.lock().groups[0].rolled_back.clone()
    }

    /// Writes a version of the configuration with one route for each database.
    pub fn configure(&self, version: u64, databases: &[&str]) {
        self.configure_with(version, databases, |_| {});
    }

    /// Writes a version of the configuration after `change` has changed it.
    pub fn configure_with(
        &self,
        version: u64,
        databases: &[&str],
        change: impl FnOnce(&mut Value),
    ) {
        let mut configuration = store::configuration(version, databases);
        change(&mut configuration);
        let value = configuration.to_string().into_bytes();
        let mut site = self.lock();
        site.identity.observe(&configuration);
        site.configuration = Some(value.clone());
        site.store.put("op", "config", value);
    }

    /// Writes a version of the configuration in which each route leads to the group that is
    /// named beside it, after `change` has changed it.
    pub fn configure_groups(
        &self,
        version: u64,
        routes: &[(&str, &str)],
        change: impl FnOnce(&mut Value),
    ) {
        let databases: Vec<&str> = routes.iter().map(|(database, _)| *database).collect();
        let groups = self
            .lock()
            .groups
            .iter()
            .map(|group| group.name.clone())
            .collect::<Vec<_>>();
        self.configure_with(version, &databases, |configuration| {
            for (index, (_, group)) in routes.iter().enumerate() {
                configuration["routes"][index]["service"] = (*group).into();
            }
            let service = configuration["services"][0].clone();
            let services = groups.iter().map(|group| {
                let mut service = service.clone();
                service["name"] = group.as_str().into();
                service
            });
            configuration["services"] = services.collect();
            change(configuration);
        });
    }

    /// Like [`configure_groups`](Self::configure_groups), with the same limits for all routes.
    pub fn configure_limits(&self, version: u64, routes: &[(&str, &str)], limits: RouteLimits) {
        self.configure_groups(version, routes, |configuration| {
            let routes = configuration["routes"].as_array_mut();
            for route in routes.into_iter().flatten() {
                route["timeoutMs"] = limits.timeout_ms.into();
                route["maxStalenessMs"] = limits.max_staleness_ms.into();
            }
        });
    }

    /// Writes a version of the configuration in which each member takes
    /// `connection_limit` connections. The members do not enforce the limit.
    pub fn configure_limited(&self, version: u64, databases: &[&str], connection_limit: u32) {
        self.configure_with(version, databases, |configuration| {
            configuration["services"][0]["maxConns"] = connection_limit.into();
        });
    }

    /// Returns the statements that ran under a wrong account and the keys that reached
    /// a member. An item that is named `ACCOUNT/...` belongs to the account.
    pub fn identity_violations(&self) -> Vec<String> {
        self.lock().identity.violations.clone()
    }

    /// Returns the names in the greetings of all connections to members, in order.
    pub fn greeted(&self) -> Vec<String> {
        self.lock().identity.greeted.clone()
    }

    /// Lets the store return from a copy that is at least `lost` old, in a new era. The
    /// members write their entries again with the next heartbeat. After `OPERATOR_DELAY`,
    /// the newest configuration is written again, and the entries of dead members
    /// expire.
    pub fn restore_store(&self, lost: Duration) {
        let mut site = self.lock();
        site.store.restore(lost);
        drop(site);
        let state = self.state.clone();
        tokio::spawn(async move {
            sleep(OPERATOR_DELAY).await;
            let mut site = lock(&state);
            let SiteState {
                store,
                groups,
                configuration,
                ..
            } = &mut *site;
            let members = groups.iter().flat_map(|group| &group.members);
            for member in members.filter(|member| !member.alive) {
                store.remove("servers", &member.id);
            }
            if store.value("op", "config") != *configuration {
                let newest = configuration.clone().unwrap_or_default();
                store.put("op", "config", newest);
            }
        });
    }

    /// Makes the store omit its era from all answers, as older stores do.
    pub fn hide_store_era(&self) {
        self.lock().store.hides_era = true;
    }

    /// Sets the time that members take for each statement of a caller, and their slots.
    pub fn set_work(&self, work_time: Duration, slots: u32) {
        for group in &mut self.lock().groups {
            (group.work_time, group.slots) = (work_time, slots);
        }
    }

    /// Makes members answer each write only `delay` after it took effect.
    pub fn delay_writes(&self, delay: Duration) {
        self.lock().groups[0].write_delay = delay;
    }

    /// Makes members send answers a second time, or only once again. Answers to greetings
    /// are not repeated.
    pub fn repeat_answers(&self, repeat: Option<AnswerRepeat>) {
        self.lock().groups[0].repeat = repeat;
    }

    /// Makes each signature differ, also between statements with one id.
    pub fn sign_runs(&self) {
        self.lock().groups[0].signs_runs = true;
    }

    /// Makes members refuse the next `count` statements of callers as busy, without running
    /// them.
    pub fn refuse_as_busy(&self, count: u32) {
        self.lock().groups[0].busy_left = count;
    }

    /// Promotes a member without a call of the store, as another host does that the store
    /// serves.
    pub fn promote(&self, index: usize) {
        let mut site = self.lock();
        let group = &mut site.groups[0];
        let id = group.members[index].id.clone();
        group.promote(&id);
    }

    /// Returns the newest revision of the store.
    pub fn store_version(&self) -> u64 {
        self.lock().store.version()
    }

    /// Makes the store answer every call with status 503, or serve again.
    pub fn set_store_down(&self, down: bool) {
        self.lock().store.down = down;
    }

    /// Stops replication to the replicas, or lets them catch up.
    pub fn hold_replication(&self, hold: bool) {
        self.hold_replication_in(0, hold);
    }

    /// Like [`hold_replication`](Self::hold_replication), for the group with a number.
    pub fn hold_replication_in(&self, group: usize, hold: bool) {
        let state = &mut self.lock().groups[group];
        state.replication_held = hold;
        state.replicate();
    }

    /// Lets a member receive nothing, or catch up.
    pub fn deafen(&self, index: usize, deaf: bool) {
        let mut state = self.lock();
        state.groups[0].members[index].deaf = deaf;
        state.groups[0].replicate();
    }

    /// Makes a member refuse status questions because all its slots are in use.
    pub fn set_busy(&self, index: usize, busy: bool) {
        self.lock().groups[0].members[index].busy = busy;
    }

    /// Makes a member answer questions of hosts about itself only after `delay`.
    pub fn delay_questions(&self, index: usize, delay: Duration) {
        self.lock().groups[0].members[index].question_delay = delay;
    }

    /// Kills a member: closes its connections, resets new ones and removes its
    /// entry from the server list.
    pub fn kill(&mut self, index: usize) {
        self.members[index].abort();
        let resetting = member::reset_connections(self.listeners[index].clone());
        self.members[index] = tokio::spawn(resetting);
        let mut state = self.lock();
        state.groups[0].members[index].alive = false;
        let id = state.groups[0].members[index].id.clone();
        state.store.remove("servers", &id);
    }

    /// Makes a member reset new connections, as one at its connection limit does, or
    /// accept them again. Open connections are not affected.
    pub fn set_full(&self, index: usize, full: bool) {
        self.lock().groups[0].members[index].full = full;
    }

    /// Lists a member as draining from its next heartbeat on.
    pub fn drain(&self, index: usize) {
        self.drain_in(0, index);
    }

    /// Like [`drain`](Self::drain), for the group with a number.
    pub fn drain_in(&self, group: usize, index: usize) {
        self.lock().groups[group].members[index].draining = true;
    }

    /// Returns the index of the member that was promoted last.
    pub fn primary(&self) -> usize {
        self.primary_of(0)
    }

    /// Like [`primary`](Self::primary), for the group with a number.
    pub fn primary_of(&self, group: usize) -> usize {
        self.lock().groups[group].primary()
    }

    /// Returns a copy of the state of a member of the group with a number.
    pub fn member_of(&self, group: usize, index: usize) -> MemberSnapshot {
        self.lock().groups[group].members[index].snapshot()
    }

    /// Returns a copy of the state of a member.
    pub fn member(&self, index: usize) -> MemberSnapshot {
        self.lock().groups[0].members[index].snapshot()
    }

    /// Writes an entry of another writer to the server list. It stays until it is
    /// removed.
    pub fn put_entry(&self, key: &str, value: &[u8]) {
        self.lock().store.put("servers", key, value.to_vec());
    }

    /// Like [`put_entry`](Self::put_entry), but readers get `text` as it is instead of
    /// in base64.
    pub fn put_raw_entry(&self, key: &str, text: &str) {
        self.lock().store.put_raw("servers", key, text);
    }

    /// Removes an entry of another writer from the server list.
    pub fn remove_entry(&self, key: &str) {
        self.lock().store.remove("servers", key);
    }

    /// Returns the fencing tokens of all promotion calls, in order of arrival.
    /// Rejected calls are included.
    pub fn promotions(&self) -> Vec<u64> {
        self.lock().groups[0].promotions.clone()
    }

    fn lock(&self) -> MutexGuard<'_, SiteState> {
        lock(&self.state)
    }
}

fn lock(state: &Mutex<SiteState>) -> MutexGuard<'_, SiteState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Writes the server entries of the running members at each heartbeat.
async fn write_heartbeats(state: Arc<Mutex<SiteState>>) {
    loop {
        {
            let mut site = lock(&state);
            let SiteState { store, groups, .. } = &mut *site;
            for group in groups {
                group.demote_superseded();
                for member in group.members.iter_mut().filter(|member| member.alive) {
                    member.heartbeat += 1;
                    let entry = member.entry(group.slots).into_bytes();
                    store.put("servers", &member.id, entry);
                }
            }
            store.record_copy();
        }
        sleep(HEARTBEAT).await;
    }
}
