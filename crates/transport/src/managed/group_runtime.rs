//! A managed group at run time: its state behind a lock, one connection pool per
//! member, and a signal to the tasks that wait for a change.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use coordination::admission::AdmissionSettings;
use coordination::managed::forwarding::serves_others;
use coordination::managed::group::{ContactFailure, ListEvent, ManagedGroup};
use coordination::managed::holder::HolderMap;
use coordination::managed::primary_view::{AssuranceState, PrimaryEvent, RowReading};
use protocol::statement::{MemberRefusal, MemberStatement, MemberStatus};
use slotmap::SecondaryMap;
use state::clock::MonotonicClock;
use state::keys::MemberKey;
use state::log::Term;
use state::member::MemberRole;
use state::reading::StoreRevision;
use state::server_list::ListedServer;
use tokio::sync::watch;
use tokio::time::timeout_at;

use super::codec::StatementCodec;
use super::hop::{HopClient, LinkIdentity, MemberLink, RelayedIdentity};
use super::member_connection::{ConnectionError, ConnectionIdentity, MemberAnswer};
pub(crate) use super::member_pools::ConnectionPool;
use super::member_pools::MemberPools;
use super::metrics::EntryMetrics;
use crate::pool::{AdmissionGate, MemberPool, PoolError, PooledConnection};

/// Largest number of queued statements per member, client account and class. It
/// only bounds memory: deadlines normally keep the queue shorter.
const QUEUE_LENGTH: usize = 256;
/// Service time that is assumed until the first statement has been answered.
const INITIAL_SERVICE: Duration = Duration::from_millis(20);
/// Statements in flight per slot of a member, over all hosts: one that runs and
/// two that wait at the member, so that no slot is idle for a round trip.
const IN_FLIGHT_PER_SLOT: u32 = 3;

/// Relayed links per member and statements in flight over them. The holder does the
/// queueing, so that this only bounds memory.
const RELAYED_LINKS: usize = 64;

/// One instant on two clocks: on the clock that also counts time while the machine
/// is suspended, which the group's state uses, and on the clock of socket
/// deadlines.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SendInstant {
    pub(crate) boot_time: Instant,
    pub(crate) socket_time: Instant,
}

/// Why a request to a member has no usable answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AskError {
    /// No connection was free, or the answer could not be attributed. This says nothing
    /// about the state of the member.
    NoConnection,
    /// The member refused the request for the given reason.
    Refused(MemberRefusal),
    /// The member could not be reached, did not answer, or sent a status that cannot
    /// be decoded.
    Failed,
}

impl AskError {
    /// Returns the name used in logs.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::NoConnection => "no_connection",
            Self::Refused(refusal) => refusal.name(),
            Self::Failed => "failed",
        }
    }
}

/// What a status that may be the second answer to an earlier question counts as if the
/// member takes no other connection for the question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RepeatedStatus {
    /// An answer. A member at its connection limit would otherwise count as lost.
    Answer,
    /// No answer.
    Nothing,
}

/// A managed group with the connections to its members.
#[derive(Debug)]
pub(crate) struct GroupRuntime<K: StatementCodec, C> {
    pub(crate) name: String,
    host: String,
    clock: C,
    state: Mutex<ManagedGroup>,
    /// The pools of connections of this host.
    pools: Mutex<SecondaryMap<MemberKey, MemberPools<K>>>,
    /// The pools of links over holders' connections; empty while this host is a holder.
    relayed: Mutex<SecondaryMap<MemberKey, ConnectionPool<K>>>,
    hop: Arc<HopClient>,
    holders: watch::Sender<Arc<HolderMap>>,
    /// When this host last stopped being a holder.
    held_until: Mutex<Option<Instant>>,
    changed: watch::Sender<u64>,
}

impl<K: StatementCodec, C: MonotonicClock> GroupRuntime<K, C> {
    pub(crate) fn new(name: &str, host: &str, hop: Arc<HopClient>, clock: C) -> Arc<Self> {
        Arc::new(Self {
            name: name.to_owned(),
            host: host.to_owned(),
            clock,
            state: Mutex::default(),
            pools: Mutex::default(),
            relayed: Mutex::default(),
            hop,
            // One connection per member until the plan and the live hosts are known.
            holders: watch::Sender::new(Arc::new(HolderMap::unknown(name))),
            held_until: Mutex::default(),
            changed: watch::Sender::new(0),
        })
    }

    /// Runs `access` on the group's state while the lock is held.
    pub(crate) fn with<R>(&self, access: impl FnOnce(&mut ManagedGroup) -> R) -> R {
        access(&mut self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, ManagedGroup> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a receiver that is notified of every later change of the group.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    fn signal(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Applies the group's part of the list of backend servers. `returned_at` is
    /// when the store last became readable again after an outage.
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
            self.drop_outdated_pools();
            self.signal();
        }
    }

    fn drop_outdated_pools(&self) {
        let group = self.lock();
        lock(&self.pools).retain(|key, pools| {
            let known = group.members.get(key);
            known.is_some_and(|member| member.server.address == pools.statements.address())
        });
        lock(&self.relayed).retain(|key, pool| {
            let known = group.members.get(key);
            known.is_some_and(|member| member.server.address == pool.address())
        });
    }

    /// Records a reading of the group's row.
    pub(crate) fn observe_row(&self, reading: &RowReading<'_>) {
        let now = self.clock.now();
        let event = self.with(|group| group.observe_row(reading, now));
        self.log_event(event.as_ref(), reading.revision);
        self.signal();
    }

    /// Makes a successor the primary that the members' answers showed, as soon as the
    /// assurances of its predecessor have ended.
    pub(crate) fn adopt_successor(&self) {
        let event = self.with(|group| group.adopt_successor(self.clock.now()));
        if event.is_some() {
            self.log_event(event.as_ref(), StoreRevision::default());
            self.signal();
        }
    }

    fn log_event(&self, event: Option<&PrimaryEvent>, revision: StoreRevision) {
        let group = self.name.as_str();
        let (era, revision) = (revision.era.0, revision.number);
        match event {
            Some(PrimaryEvent::Changed { primary, term }) => {
                log::info!(group, member = primary.as_str(), term = term.0, era, revision; "primary");
            }
            Some(PrimaryEvent::Announced { host }) => {
                log::info!(group, host = host.as_str(), era, revision; "change of primary announced");
            }
            None => {}
        }
    }

    /// Wakes all tasks that wait for a change of the group.
    pub(crate) fn wake(&self) {
        self.signal();
    }

    /// Returns which hosts hold connections of the group.
    pub(crate) fn holders(&self) -> Arc<HolderMap> {
        self.holders.borrow().clone()
    }

    /// Sets which hosts hold connections of the group. Open transactions keep their
    /// links.
    pub(crate) fn set_holders(&self, holders: HolderMap) {
        let former = self.holders();
        if *former == holders {
            return;
        }
        let (held, holds) = (former.holds(&self.host), holders.holds(&self.host));
        log::info!(
            group = self.name.as_str(), holders = holders.holder_count(),
            share = holders.share(), is_sharing = holders.is_sharing(), holds;
            "connection holders"
        );
        if held && !holds {
            *lock(&self.held_until) = Some(self.clock.now());
        }
        self.holders.send_replace(Arc::new(holders));
        if holds {
            lock(&self.relayed).clear();
        }
        self.apply_limits();
    }

    /// Returns whether this host runs new statements of other hosts.
    pub(crate) fn serves_others(&self) -> bool {
        let holds = self.holders().holds(&self.host);
        serves_others(holds, *lock(&self.held_until), self.clock.now())
    }

    fn apply_limits(&self) {
        let (share, hosts) = self.limits();
        let mut group = self.lock();
        let pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        for (key, MemberPools { statements, .. }) in &*pools {
            statements.set_share(share);
            if let Some(member) = group.members.get_mut(key) {
                let limit = in_flight_limit(member.server.slots, hosts);
                member.in_flight_limit = limit;
                statements.gate().set_in_flight_limit(limit as usize);
            }
        }
    }

    /// Returns whether the members take too few connections for every host to hold its
    /// own.
    pub(crate) fn shares_connections(&self) -> bool {
        self.holders().is_sharing()
    }

    /// Returns the share of each member's connections, and the number of hosts between
    /// which the statements in flight are divided.
    fn limits(&self) -> (usize, u32) {
        let holders = self.holders();
        match holders.holds(&self.host) {
            true => (holders.share(), holders.holder_count()),
            // Only if no holder can be reached, out of the reserve.
            false => (1, holders.holder_count()),
        }
    }

    /// Returns the pool for callers' statements at a member, and creates it if it does
    /// not exist. Its links are relayed if this host is not a holder. Returns `None` if
    /// the member has left the group.
    pub(crate) fn pool(&self, key: MemberKey) -> Option<ConnectionPool<K>> {
        match self.hop.is_relaying(&self.holders.borrow()) {
            true => self.relayed_pool(key),
            false => self.direct_pool(key),
        }
    }

    fn relayed_pool(&self, key: MemberKey) -> Option<ConnectionPool<K>> {
        let group = self.lock();
        let server = &group.members.get(key)?.server;
        let mut pools = lock(&self.relayed);
        if let Some(pool) = pools.get(key) {
            return Some(pool.clone());
        }
        let identity = LinkIdentity::Relayed(RelayedIdentity {
            group: self.name.clone(),
            member: server.id.clone(),
            hop: self.hop.clone(),
            holders: self.holders.subscribe(),
        });
        let gate = AdmissionGate::new(AdmissionSettings {
            in_flight_limit: RELAYED_LINKS,
            queue_length: QUEUE_LENGTH,
            initial_service: INITIAL_SERVICE,
        });
        let pool = MemberPool::new(&server.id, server.address, identity, RELAYED_LINKS, gate);
        pools.insert(key, pool.clone());
        Some(pool)
    }

    /// Returns the pool of this host's connections for statements to a member. Returns
    /// `None` if the member has left the group.
    pub(crate) fn direct_pool(&self, key: MemberKey) -> Option<ConnectionPool<K>> {
        self.with_pools(key, |pools| pools.statements.clone())
    }

    /// Runs `access` on the pools of a member, which are created if they do not exist.
    /// Returns `None` if the member has left the group.
    fn with_pools<R>(
        &self,
        key: MemberKey,
        access: impl FnOnce(&MemberPools<K>) -> R,
    ) -> Option<R> {
        let mut group = self.lock();
        let member = group.members.get_mut(key)?;
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(pools) = pools.get(key) {
            return Some(access(pools));
        }
        let (share, hosts) = self.limits();
        let limit = in_flight_limit(member.server.slots, hosts);
        member.in_flight_limit = limit;
        let gate = AdmissionGate::new(AdmissionSettings {
            in_flight_limit: limit as usize,
            queue_length: QUEUE_LENGTH,
            initial_service: INITIAL_SERVICE,
        });
        let identity = LinkIdentity::Direct(ConnectionIdentity {
            group: self.name.clone(),
            member: member.server.id.clone(),
            host: self.host.clone(),
        });
        let server = &member.server;
        let created = MemberPools::new(&server.id, server.address, &identity, share, &gate);
        let result = access(&created);
        pools.insert(key, created);
        Some(result)
    }

    /// Lets no statement wait in a queue for longer than until `latest`, and refuses at once
    /// those that are not expected to be answered by then.
    pub(crate) fn limit_deadlines(&self, latest: Instant) {
        for pools in lock(&self.pools).values() {
            pools.statements.gate().limit_deadlines(latest);
        }
        for pool in lock(&self.relayed).values() {
            pool.gate().limit_deadlines(latest);
        }
    }

    /// Records that a statement sent at `sent_at` failed. After a timeout, also
    /// closes the idle connections that have received nothing since `sent_at`.
    pub(crate) fn record_failure(
        &self,
        key: MemberKey,
        error: &ConnectionError,
        sent_at: SendInstant,
    ) {
        let Some(error) = error.member_failure() else {
            return;
        };
        let now = self.clock.now();
        let lost = self.with(|group| {
            let failures = group.members.get(key).map_or(0, |one| one.contact.failures);
            match error {
                ConnectionError::TimedOut | ConnectionError::Protocol(_) => {
                    group.record_timeout(key, sent_at.boot_time, now);
                }
                ConnectionError::Connect(_) | ConnectionError::Lost(_) => {
                    group.record_failure(key, ContactFailure::Refused, now);
                }
                ConnectionError::TurnedAway(_) => {
                    group.record_turned_away(key, now);
                }
                ConnectionError::Refused(_) => {
                    group.record_failure(key, ContactFailure::WrongMember, now)
                }
                // `member_failure` does not return these.
                ConnectionError::NotForwarded(_)
                | ConnectionError::SetupRefused(_)
                | ConnectionError::BeforeStatement(_)
                | ConnectionError::Mismatched(_)
                | ConnectionError::ReplyLost(_) => {}
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
        if *error != ConnectionError::TimedOut {
            return;
        }
        let pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(pool) = pools.get(key) {
            pool.close_idle_before(sent_at.socket_time);
        }
    }

    /// Returns the current instant on both clocks.
    pub(crate) fn send_instant(&self) -> SendInstant {
        SendInstant {
            boot_time: self.clock.now(),
            socket_time: Instant::now(),
        }
    }

    /// Closes unused connections, and restores the shares that were reduced when
    /// members refused connections at their limit. Must be called at short intervals.
    pub(crate) fn maintain_pools(&self, metrics: &EntryMetrics) {
        self.apply_limits();
        let now = Instant::now();
        let holds = self.holders().holds(&self.host);
        for pools in lock(&self.pools).values_mut() {
            pools.maintain(&self.name, holds, metrics, now);
        }
    }

    /// Records a member's answer to a statement sent at `asked_at`.
    pub(crate) fn record_answer(&self, key: MemberKey, answer: &MemberAnswer, asked_at: Instant) {
        let now = self.clock.now();
        let regained = self.with(|group| {
            let failing = group
                .members
                .get(key)
                .filter(|one| one.contact.failures > 0);
            let regained = failing.map(|one| one.server.id.clone());
            group.record_answer(key, answer.position, asked_at, now);
            regained
        });
        if let Some(member) = regained {
            log::info!(group = self.name.as_str(), member = member.as_str(); "member regained");
            self.signal();
        }
    }

    /// Asks a member for its status. An answer that equals an earlier one of its connection
    /// may be the second answer to an earlier question; the question is then repeated on
    /// another connection. The rows of a member in use differ, so that this is rare there.
    pub(crate) async fn ask_status(
        &self,
        key: MemberKey,
        max_wait: Duration,
    ) -> Result<MemberStatus, AskError> {
        let repeated = RepeatedStatus::Nothing;
        self.ask(key, &MemberStatement::Status, repeated, max_wait)
            .await
    }

    /// Asks the primary for its status, to learn its position and whether it answers.
    pub(crate) async fn probe_status(
        &self,
        key: MemberKey,
        max_wait: Duration,
    ) -> Result<MemberStatus, AskError> {
        let repeated = RepeatedStatus::Answer;
        self.ask(key, &MemberStatement::Status, repeated, max_wait)
            .await
    }

    /// Asks a member to become a replica if it is the primary of a term below
    /// `term`.
    pub(crate) async fn step_down(
        &self,
        key: MemberKey,
        term: Term,
        max_wait: Duration,
    ) -> Result<MemberStatus, AskError> {
        let statement = MemberStatement::StepDown { term };
        let repeated = RepeatedStatus::Nothing;
        self.ask(key, &statement, repeated, max_wait).await
    }

    /// Asks a replica to receive nothing from primaries below `term`.
    pub(crate) async fn pause(
        &self,
        key: MemberKey,
        term: Term,
        max_wait: Duration,
    ) -> Result<MemberStatus, AskError> {
        let statement = MemberStatement::Pause { term };
        let repeated = RepeatedStatus::Nothing;
        self.ask(key, &statement, repeated, max_wait).await
    }

    /// Asks a replica to receive again.
    pub(crate) async fn resume(
        &self,
        key: MemberKey,
        max_wait: Duration,
    ) -> Result<MemberStatus, AskError> {
        let repeated = RepeatedStatus::Nothing;
        self.ask(key, &MemberStatement::Resume, repeated, max_wait)
            .await
    }

    async fn ask(
        &self,
        key: MemberKey,
        statement: &MemberStatement<'_>,
        repeated: RepeatedStatus,
        max_wait: Duration,
    ) -> Result<MemberStatus, AskError> {
        let sent_at = self.send_instant();
        let deadline = sent_at.socket_time + max_wait;
        let mut connection = self.status_connection(key, deadline).await?;
        let mut asked_at = self.clock.now();
        let mut asked = connection.ask(statement, deadline).await;
        let is_certain = asked
            .as_ref()
            .map_or_else(|error| !error.is_mismatch(), |answer| answer.is_first);
        if !is_certain {
            // A second answer to an earlier question would assure a primary for a time at
            // which another one may lead. A connection without earlier answers has none.
            drop(connection);
            if let Some(mut unused) = self.unused_status_connection(key, deadline).await {
                asked_at = self.clock.now();
                asked = unused.ask(statement, deadline).await;
            } else if repeated == RepeatedStatus::Nothing {
                return Err(AskError::NoConnection);
            }
        }
        let answer = match asked {
            Ok(answer) => answer,
            Err(error) if error.is_mismatch() => return Err(AskError::NoConnection),
            Err(error) => {
                self.record_failure(key, &error, sent_at);
                return Err(AskError::Failed);
            }
        };
        self.record_answer(key, &answer, asked_at);
        if let Err((refusal, _)) = answer.outcome {
            return Err(AskError::Refused(refusal));
        }
        let status = answer.rows.first().map(|row| K::parse_status(row));
        match status {
            Some(Ok(status)) => {
                self.observe_role(key, status.role == MemberRole::Primary);
                Ok(status)
            }
            Some(Err(error)) => {
                let reason = error.to_string();
                log::error!(
                    group = self.name.as_str(), reason = reason.as_str();
                    "cannot decode a member's status"
                );
                Err(AskError::Failed)
            }
            None => Err(AskError::NoConnection),
        }
    }

    /// Returns a connection for a status question: an idle one for statements, or else
    /// one of its own, so that the question does not wait for statements to end.
    async fn status_connection(
        &self,
        key: MemberKey,
        deadline: Instant,
    ) -> Result<PooledConnection<MemberLink<K>>, AskError> {
        let pools = self.with_pools(key, |pools| {
            (pools.statements.take_idle(), pools.status.clone())
        });
        let (idle, status) = pools.ok_or(AskError::NoConnection)?;
        if let Some(connection) = idle {
            return Ok(connection);
        }
        let sent_at = self.send_instant();
        match status.check_out_below_limit(&None, deadline).await {
            Ok(connection) => return Ok(connection),
            Err(PoolError::AtLimit {
                was_attempted: true,
                ..
            }) => self.record_failure(key, &ConnectionError::at_limit(), sent_at),
            Err(PoolError::Exhausted | PoolError::AtLimit { .. }) => {}
            Err(PoolError::Connect(error)) => {
                self.record_failure(key, &error, sent_at);
                return Err(AskError::Failed);
            }
        }
        Err(AskError::NoConnection)
    }

    /// Returns a connection for a status question that has not answered anything yet;
    /// `None` if the member takes no other connection.
    async fn unused_status_connection(
        &self,
        key: MemberKey,
        deadline: Instant,
    ) -> Option<PooledConnection<MemberLink<K>>> {
        let status = self.with_pools(key, |pools| pools.status.clone())?;
        loop {
            let connection = status.check_out_below_limit(&None, deadline).await.ok()?;
            if !connection.has_answered() {
                return Some(connection);
            }
            connection.close();
        }
    }

    /// Records whether a member reports that it is the primary.
    pub(crate) fn observe_role(&self, key: MemberKey, leads: bool) {
        self.with(|group| {
            if let Some(member) = group.members.get(key) {
                group.primary_view.observe_role(&member.server.id, leads);
            }
        });
    }

    /// Waits until the primary of `term` is assured for `instant`. Returns `false`
    /// if that primary was superseded or the deadline passed first.
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

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns how many statements this host may have in flight at a member.
fn in_flight_limit(slots: u32, hosts: u32) -> u32 {
    // Another host may pass on an entry with any number of slots.
    slots
        .saturating_mul(IN_FLIGHT_PER_SLOT)
        .div_ceil(hosts.max(1))
        .max(1)
}
