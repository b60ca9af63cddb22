//! A stand-in of the users' platform: members that speak the line protocol, the
//! metadata store and the promotion call, all on loopback.
//!
//! Borders: small and in memory. It keeps the published promises that the
//! adapter relies on and has switches for faults.

mod caller;
mod member;
mod store;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::sleep;

pub use caller::{LineCaller, PROMISE_CODES};
pub use member::MemberSnapshot;
use member::{GroupState, MemberState};
use store::{StoreState, StoreView};

/// Name of the stand-in's only group.
pub const GROUP: &str = "birds-db";
/// Interval of the members' heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(200);
/// Time that a promotion takes.
const PROMOTION_TIME: Duration = Duration::from_millis(150);

/// State behind all parts of the stand-in.
#[derive(Debug, Default)]
struct SiteState {
    store: StoreState,
    group: GroupState,
}

/// A running stand-in; dropping it ends all its tasks.
#[derive(Debug)]
pub struct ManagedSite {
    state: Arc<Mutex<SiteState>>,
    service: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
    members: Vec<JoinHandle<()>>,
    /// Listeners of the members; a killed member keeps its address.
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
    /// Starts a store and a group of `members` members, the first of them
    /// primary, and writes a configuration with one route of each kind:
    /// `current`, `bounded` and `own`.
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
        for index in 0..members {
            let listener = Arc::new(TcpListener::bind(loopback).await?);
            let member = MemberState::new(index, listener.local_addr()?);
            site.lock().group.members.push(member);
            let serving = member::serve(listener.clone(), index, site.state.clone());
            site.members.push(tokio::spawn(serving));
            site.listeners.push(listener);
        }
        site.tasks.push(tokio::spawn(beat(site.state.clone())));
        site.configure(1, &["current", "bounded", "own"]);
        Ok(site)
    }

    /// Returns the address of the store and of the promotion call.
    pub fn service(&self) -> SocketAddr {
        self.service
    }

    /// Serves the store and the promotion call at another address, with other
    /// addresses for the members, in their order.
    pub async fn add_view(&mut self, endpoints: &[SocketAddr]) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await?;
        let address = listener.local_addr()?;
        let by_id = {
            let site = self.lock();
            let members = site.group.members.iter().zip(endpoints);
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
        self.lock().group.members[index].address
    }

    /// Tells whether a member is not killed.
    pub fn is_alive(&self, index: usize) -> bool {
        self.lock().group.members[index].alive
    }

    /// Starts a killed member again, with its log.
    pub fn restart(&mut self, index: usize) {
        self.members[index].abort();
        let listener = self.listeners[index].clone();
        let serving = member::serve(listener, index, self.state.clone());
        self.members[index] = tokio::spawn(serving);
        self.lock().group.restart(index);
    }

    /// Returns the data of commits that promotions dropped.
    pub fn rolled_back(&self) -> Vec<String> {
        self.lock().group.rolled_back.clone()
    }

    /// Writes a version of the configuration with the given routes.
    pub fn configure(&self, version: u64, databases: &[&str]) {
        let value = store::configuration(version, databases);
        self.lock().store.put("op", "config", value.into_bytes());
    }

    /// Lets the store answer every call with 503, or serve again.
    pub fn set_store_down(&self, down: bool) {
        self.lock().store.down = down;
    }

    /// Stops replication to the replicas, or lets them catch up.
    pub fn hold_replication(&self, hold: bool) {
        let mut state = self.lock();
        state.group.hold = hold;
        state.group.replicate();
    }

    /// Kills a member: its connections close, its address refuses, and its
    /// entry is removed.
    pub fn kill(&mut self, index: usize) {
        self.members[index].abort();
        let refusing = member::refuse(self.listeners[index].clone());
        self.members[index] = tokio::spawn(refusing);
        let mut state = self.lock();
        state.group.members[index].alive = false;
        let id = state.group.members[index].id.clone();
        state.store.remove("servers", &id);
    }

    /// Marks a member as about to stop.
    pub fn drain(&self, index: usize) {
        self.lock().group.members[index].draining = true;
    }

    /// Returns the index of the primary of the newest term.
    pub fn primary(&self) -> usize {
        self.lock().group.primary()
    }

    /// Returns what a member holds.
    pub fn member(&self, index: usize) -> MemberSnapshot {
        self.lock().group.members[index].snapshot()
    }

    /// Returns the fencing tokens of the promotions, in order.
    pub fn promotions(&self) -> Vec<u64> {
        self.lock().group.promotions.clone()
    }

    fn lock(&self) -> MutexGuard<'_, SiteState> {
        lock(&self.state)
    }
}

fn lock(state: &Mutex<SiteState>) -> MutexGuard<'_, SiteState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Writes the members' entries.
async fn beat(state: Arc<Mutex<SiteState>>) {
    loop {
        {
            let mut site = lock(&state);
            let SiteState { store, group } = &mut *site;
            group.demote_superseded();
            for member in group.members.iter_mut().filter(|member| member.alive) {
                member.heartbeat += 1;
                store.put("servers", &member.id, member.entry().into_bytes());
            }
        }
        sleep(HEARTBEAT).await;
    }
}
