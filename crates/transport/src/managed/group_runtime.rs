//! A managed group at run time: its state behind a lock, a pool per member, and
//! a signal for those who wait for a change.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use coordination::admission::AdmissionSettings;
use coordination::managed::group::{ContactFailure, ListEvent, ManagedGroup};
use coordination::managed::primary_view::{AssuranceState, GroupRow, PrimaryEvent};
use protocol::statement::{MemberStatement, MemberStatus};
use slotmap::SecondaryMap;
use state::clock::MonotonicClock;
use state::keys::MemberKey;
use state::log::Term;
use state::member::MemberRole;
use state::server_list::ListedServer;
use tokio::sync::watch;
use tokio::time::timeout_at;

use super::codec::StatementCodec;
use super::link::{LinkAnswer, LinkError, LinkIdentity, MemberLink};
use crate::pool::{AdmissionGate, MemberPool, PoolError};

/// Queued statements per member, client account and class. Deadlines bound the
/// queue first; this only limits memory.
const QUEUE_LENGTH: usize = 256;
/// Time of a statement that is assumed before the first one.
const INITIAL_SERVICE: Duration = Duration::from_millis(20);
/// Statements in flight per slot, all hosts together: one that runs and two
/// that wait at the member, so that a slot never idles for a round trip.
const IN_FLIGHT_PER_SLOT: u32 = 3;

/// Time without use after which a connection is closed: opening another one
/// costs 12 ms, and busy connections are used several times a second.
const UNUSED_AFTER: Duration = Duration::from_secs(3);

/// An instant on the clock that counts suspension, which beliefs rest on, and
/// on the clock of sockets.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SendInstant {
    pub(crate) belief: Instant,
    pub(crate) socket: Instant,
}

/// The pool of one member.
pub(crate) type LinkPool<K> = Arc<MemberPool<MemberLink<K>>>;

/// Why a question to a member has no answer.
#[derive(Debug)]
pub(crate) enum AskError {
    /// No connection was free; nothing is known about the member.
    NoConnection,
    /// The member was not reached or did not answer.
    Failed,
}

/// A managed group.
#[derive(Debug)]
pub(crate) struct GroupRuntime<K: StatementCodec, C> {
    pub(crate) name: String,
    host: String,
    clock: C,
    state: Mutex<ManagedGroup>,
    pools: Mutex<SecondaryMap<MemberKey, LinkPool<K>>>,
    connection_limit: AtomicU32,
    host_count: AtomicU32,
    changed: watch::Sender<u64>,
}

impl<K: StatementCodec, C: MonotonicClock> GroupRuntime<K, C> {
    pub(crate) fn new(name: &str, host: &str, clock: C) -> Arc<Self> {
        Arc::new(Self {
            name: name.to_owned(),
            host: host.to_owned(),
            clock,
            state: Mutex::default(),
            pools: Mutex::default(),
            // Until the plan tells the limit, one connection per member.
            connection_limit: AtomicU32::new(1),
            host_count: AtomicU32::new(1),
            changed: watch::Sender::new(0),
        })
    }

    /// Runs `look` on the group's state.
    pub(crate) fn with<R>(&self, look: impl FnOnce(&mut ManagedGroup) -> R) -> R {
        look(&mut self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, ManagedGroup> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a receiver that sees every later change of the group.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    fn signal(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Enters the group's part of the list of backend servers.
    pub(crate) fn apply_list(&self, servers: &[ListedServer], returned_at: Option<Instant>) {
        let now = self.clock.now();
        let events = self.with(|group| group.apply_list(servers, returned_at, now));
        for event in &events {
            let (change, member) = match event {
                ListEvent::Added(id) => ("added", id),
                ListEvent::Restarted(id) => ("restarted", id),
                ListEvent::Removed(id) => ("removed", id),
                ListEvent::Draining(id) => ("draining", id),
            };
            log::info!(group = self.name.as_str(), member = member.as_str(), change; "member list");
        }
        if !events.is_empty() {
            self.drop_old_pools();
            self.signal();
        }
    }

    fn drop_old_pools(&self) {
        let group = self.lock();
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        pools.retain(|key, pool| {
            let known = group.members.get(key);
            known.is_some_and(|member| member.server.address == pool.address())
        });
    }

    /// Enters a read of the group's row.
    pub(crate) fn observe_row(&self, row: &GroupRow, revision: u64, asked_at: Instant) {
        let now = self.clock.now();
        let event = self.with(|group| group.observe_row(row, revision, asked_at, now));
        self.report(event.as_ref(), revision);
        self.signal();
    }

    /// Takes a successor into use that members showed.
    pub(crate) fn adopt_successor(&self) {
        let event = self.with(|group| group.adopt_successor(self.clock.now()));
        if event.is_some() {
            self.report(event.as_ref(), 0);
            self.signal();
        }
    }

    fn report(&self, event: Option<&PrimaryEvent>, revision: u64) {
        let group = self.name.as_str();
        match event {
            Some(PrimaryEvent::Changed { primary, term }) => {
                log::info!(group, member = primary.as_str(), term = term.0, revision; "primary");
            }
            Some(PrimaryEvent::Announced { host }) => {
                log::info!(group, host = host.as_str(), revision; "change of primary announced");
            }
            None => {}
        }
    }

    /// Wakes everyone who waits for a change.
    pub(crate) fn wake(&self) {
        self.signal();
    }

    /// Enters the connection limit of each member.
    pub(crate) fn set_connection_limit(&self, limit: u32) {
        self.connection_limit.store(limit, Ordering::Relaxed);
        self.apply_limits();
    }

    /// Enters the number of live entry hosts.
    pub(crate) fn set_host_count(&self, count: u32) {
        self.host_count.store(count.max(1), Ordering::Relaxed);
        self.apply_limits();
    }

    fn apply_limits(&self) {
        let (share, hosts) = self.limits();
        let group = self.lock();
        let pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        for (key, pool) in &*pools {
            pool.set_share(share);
            if let Some(member) = group.members.get(key) {
                let limit = in_flight_limit(member.server.slots, hosts);
                pool.gate().set_in_flight_limit(limit);
            }
        }
    }

    fn limits(&self) -> (usize, u32) {
        let limit = self.connection_limit.load(Ordering::Relaxed);
        let hosts = self.host_count.load(Ordering::Relaxed);
        ((limit / hosts).max(1) as usize, hosts)
    }

    /// Returns the pool of a member.
    pub(crate) fn pool(&self, key: MemberKey) -> Option<LinkPool<K>> {
        let group = self.lock();
        let member = group.members.get(key)?;
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(pool) = pools.get(key) {
            return Some(pool.clone());
        }
        let (share, hosts) = self.limits();
        let gate = AdmissionGate::new(AdmissionSettings {
            in_flight_limit: in_flight_limit(member.server.slots, hosts),
            queue_length: QUEUE_LENGTH,
            initial_service: INITIAL_SERVICE,
        });
        let identity = LinkIdentity {
            group: self.name.clone(),
            member: member.server.id.clone(),
            client: self.host.clone(),
        };
        let server = &member.server;
        let pool = MemberPool::new(&server.id, server.address, identity, share, gate);
        pools.insert(key, pool.clone());
        Some(pool)
    }

    /// Enters that a statement sent at `sent_at` failed. When it was not
    /// answered, the connections that have been silent for longer are closed.
    pub(crate) fn note_failure(&self, key: MemberKey, error: &LinkError, sent_at: SendInstant) {
        let now = self.clock.now();
        let lost = self.with(|group| {
            let failures = group.members.get(key).map_or(0, |one| one.contact.failures);
            match error {
                LinkError::TimedOut | LinkError::Protocol(_) => {
                    group.note_timeout(key, sent_at.belief, now);
                }
                LinkError::Connect(_) | LinkError::Lost(_) => {
                    group.note_failure(key, ContactFailure::Refused, now);
                }
                LinkError::Refused(_) => group.note_failure(key, ContactFailure::WrongMember, now),
            }
            let member = group.members.get(key);
            member
                .filter(|one| failures == 0 && one.contact.failures > 0)
                .map(|one| one.server.id.clone())
        });
        if let Some(member) = lost {
            let (group, reason) = (self.name.as_str(), error.to_string());
            log::warn!(group, member = member.as_str(), reason = reason.as_str(); "member lost");
        }
        if *error != LinkError::TimedOut {
            return;
        }
        let pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(pool) = pools.get(key) {
            pool.close_idle_before(sent_at.socket);
        }
    }

    /// Returns the present instant on both clocks.
    pub(crate) fn send_instant(&self) -> SendInstant {
        SendInstant {
            belief: self.clock.now(),
            socket: Instant::now(),
        }
    }

    /// Closes connections that are open without use, and takes back what
    /// refusals at the members' limits took from the shares.
    pub(crate) fn tidy_pools(&self) {
        self.apply_limits();
        let unused = Instant::now().checked_sub(UNUSED_AFTER);
        let pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        for pool in pools.values() {
            if let Some(instant) = unused {
                pool.close_unused_before(instant);
            }
        }
    }

    /// Enters an answer of a member.
    pub(crate) fn note_answer(&self, key: MemberKey, answer: &LinkAnswer, asked_at: Instant) {
        let now = self.clock.now();
        let regained = self.with(|group| {
            let failing = group
                .members
                .get(key)
                .filter(|one| one.contact.failures > 0);
            let regained = failing.map(|one| one.server.id.clone());
            group.note_answer(key, answer.position, asked_at, now);
            regained
        });
        if let Some(member) = regained {
            log::info!(group = self.name.as_str(), member = member.as_str(); "member regained");
            self.signal();
        }
    }

    /// Asks a member for its status.
    pub(crate) async fn ask_status(
        &self,
        key: MemberKey,
        max_wait: Duration,
    ) -> Result<MemberStatus, AskError> {
        self.ask(key, &MemberStatement::Status, max_wait).await
    }

    /// Makes a member a replica if it leads a term below `term`.
    pub(crate) async fn step_down(
        &self,
        key: MemberKey,
        term: Term,
        max_wait: Duration,
    ) -> Result<MemberStatus, AskError> {
        let statement = MemberStatement::StepDown { term };
        self.ask(key, &statement, max_wait).await
    }

    async fn ask(
        &self,
        key: MemberKey,
        statement: &MemberStatement<'_>,
        max_wait: Duration,
    ) -> Result<MemberStatus, AskError> {
        let sent_at = self.send_instant();
        let deadline = sent_at.socket + max_wait;
        let pool = self.pool(key).ok_or(AskError::NoConnection)?;
        let mut link = match pool.check_out(deadline).await {
            Ok(link) => link,
            Err(PoolError::Exhausted) => return Err(AskError::NoConnection),
            Err(PoolError::Connect(error)) => {
                self.note_failure(key, &error, sent_at);
                return Err(AskError::Failed);
            }
        };
        let asked_at = self.clock.now();
        let answer = match link.ask(statement, deadline).await {
            Ok(answer) => answer,
            Err(error) => {
                self.note_failure(key, &error, sent_at);
                return Err(AskError::Failed);
            }
        };
        self.note_answer(key, &answer, asked_at);
        let row = answer.rows.first().filter(|_| answer.outcome.is_ok());
        let status = row.map(|row| K::parse_status(row));
        match status {
            Some(Ok(status)) => {
                self.observe_role(key, status.role == MemberRole::Primary);
                Ok(status)
            }
            Some(Err(error)) => {
                let reason = error.to_string();
                log::error!(group = self.name.as_str(), reason = reason.as_str(); "bad status");
                Err(AskError::Failed)
            }
            // A member whose slots are all taken answers so, too.
            None => Err(AskError::NoConnection),
        }
    }

    /// Enters whether a member says that it leads.
    pub(crate) fn observe_role(&self, key: MemberKey, leads: bool) {
        self.with(|group| {
            if let Some(member) = group.members.get(key) {
                group.primary_view.observe_role(&member.server.id, leads);
            }
        });
    }

    /// Waits until the primary of `term` is assured for `instant`; returns
    /// whether it is by the deadline.
    pub(crate) async fn await_assurance(
        &self,
        term: Term,
        instant: Instant,
        deadline: Instant,
    ) -> bool {
        let mut changes = self.subscribe();
        loop {
            match self.with(|group| group.primary_view.assurance_of(term, instant)) {
                AssuranceState::Valid => return true,
                AssuranceState::Superseded => return false,
                AssuranceState::Pending => {}
            }
            match timeout_at(deadline.into(), changes.changed()).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) | Err(_) => return false,
            }
        }
    }
}

/// Statements of one host in flight at a member.
fn in_flight_limit(slots: u32, hosts: u32) -> usize {
    (slots * IN_FLIGHT_PER_SLOT).div_ceil(hosts.max(1)).max(1) as usize
}
