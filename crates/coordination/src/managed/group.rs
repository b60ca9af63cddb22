//! One entry host's state of a managed group: the listed members and their
//! answers, the primary and the watermarks.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use slotmap::SlotMap;
use state::keys::MemberKey;
use state::log::LogPosition;
use state::reading::{GroupDigest, WatermarkDigest};
use state::server_list::{ListedServer, ServerState};

use crate::managed::primary_view::{GroupRow, PrimaryEvent, PrimaryView, RowReading};
use crate::managed::spread::{self, SelectionRule};
use crate::view::GroupWatermark;
use crate::watermark::WatermarkHistory;

/// Time after the end of a store outage within which live members are back in
/// the list. The platform states about two seconds.
pub const RELIST_GRACE: Duration = Duration::from_millis(2_500);
/// Weight of a new sample in the moving average of answer times: after a change
/// of load, the average follows within about ten statements.
const LATENCY_WEIGHT: f64 = 0.1;
/// Answer time that is assumed before the first answer.
const INITIAL_LATENCY: Duration = Duration::from_millis(20);
/// Base of the pause during which reads avoid a failing member. It is doubled
/// with each failure since the last answer, the first one included.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Longest such pause: a member that answers again gets work within this time.
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(1_000);
/// Time for which a replica that refused a read because it lags behind is not
/// asked for the same or a later position.
const LAG_PAUSE: Duration = Duration::from_millis(100);

/// Time for which a removed member is remembered, so that an entry of it in an older
/// copy of the list is recognised. The store returns from copies that are some seconds
/// old, and drops the entry of a silent member after seconds.
const DEPARTED_MEMORY: Duration = Duration::from_secs(120);

/// Age of a member's newest heartbeat in the list up to which it shows that the member
/// runs: two readings of the list, which are 1.5 s apart.
const HEARTBEAT_MAX_AGE: Duration = Duration::from_millis(3_000);
/// Age of the last answer on another connection that shows the same.
const ANSWER_MAX_AGE: Duration = Duration::from_millis(1_000);

/// Time after which a member that goes on counting below its newest entry is believed:
/// that entry is of another writer. Entries that another host passes on are at most 4.5 s
/// old; then each host reads the list itself.
const OUTRANKED_MAX_AGE: Duration = Duration::from_millis(4_500);

/// How an attempt to use a member failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContactFailure {
    /// No process listens at the member's address, or the connection was reset.
    Refused,
    /// The member did not answer in time.
    TimedOut,
    /// Another member answers at the member's address.
    WrongMember,
    /// The member turned a new connection away, and nothing else shows that it runs.
    TurnedAway,
}

/// Answers and failures of a member as this host sees them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberContact {
    /// Instant of the last answer.
    pub answered_at: Option<Instant>,
    /// Instant of the first failure since the last answer.
    pub failing_since: Option<Instant>,
    /// Failures since the last answer.
    pub failures: u32,
    /// The newest failure since the last answer.
    pub failure: Option<ContactFailure>,
    /// Instant until which no reads are sent to the member.
    pub retry_at: Option<Instant>,
}

/// A replica's refusal of a read whose position it had not applied yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LagRefusal {
    /// The position that the read required.
    pub position: LogPosition,
    /// Instant at which the refusal was received.
    pub seen_at: Instant,
}

/// Entries of a member's process that are older than its newest one.
#[derive(Clone, Copy, Debug)]
struct OutrankedEntries {
    /// Instant of the first one since the newest entry.
    seen_since: Instant,
    /// Highest heartbeat among them.
    heartbeat: u64,
}

/// One member of a managed group.
#[derive(Clone, Debug)]
pub struct ManagedMember {
    /// The member's entry in the list.
    pub server: ListedServer,
    /// Older entries that the list had since `server`; `None` if there was none.
    outranked: Option<OutrankedEntries>,
    /// Instant at which the newest heartbeat was first seen in the list.
    pub heartbeat_at: Instant,
    /// Instant since which the list has no entry of the member.
    pub missing_since: Option<Instant>,
    /// Answers and failures of the member.
    pub contact: MemberContact,
    /// Highest log position in the member's answers.
    pub position: LogPosition,
    /// Newest refusal because the member lagged behind.
    pub lag: Option<LagRefusal>,
    /// Moving average of the member's answer times.
    pub latency: Duration,
    /// Instant of the newest answer time; `None` before the first one.
    pub latency_at: Option<Instant>,
    /// Instant at which the member joined, or answered again after failures.
    pub serving_since: Instant,
    /// Statements of this host that the member has not answered yet.
    pub in_flight: u32,
    /// Instants at which these statements were sent, the oldest one first.
    pub unanswered: Vec<Instant>,
    /// Statements of this host that wait in its queue for the member.
    pub waiting: u32,
    /// Largest number of statements that this host has in flight at the member; at
    /// least 1.
    pub in_flight_limit: u32,
}

impl ManagedMember {
    fn new(server: ListedServer, now: Instant) -> Self {
        Self {
            server,
            outranked: None,
            heartbeat_at: now,
            missing_since: None,
            contact: MemberContact::default(),
            position: LogPosition::START,
            lag: None,
            latency: INITIAL_LATENCY,
            latency_at: None,
            serving_since: now,
            in_flight: 0,
            unanswered: Vec::new(),
            waiting: 0,
            in_flight_limit: 1,
        }
    }

    /// Records an older entry than the newest one. Returns whether it is to be used all the
    /// same: the member has gone on counting below the newest entry for
    /// [`OUTRANKED_MAX_AGE`]. An older copy of the list does not count on.
    fn observe_outranked(&mut self, entry: &ListedServer, now: Instant) -> bool {
        if entry.started_ms != self.server.started_ms {
            return false;
        }
        let Some(outranked) = &mut self.outranked else {
            self.outranked = Some(OutrankedEntries {
                seen_since: now,
                heartbeat: entry.heartbeat,
            });
            return false;
        };
        let has_risen = entry.heartbeat > outranked.heartbeat;
        outranked.heartbeat = outranked.heartbeat.max(entry.heartbeat);
        has_risen && now.saturating_duration_since(outranked.seen_since) >= OUTRANKED_MAX_AGE
    }

    /// Returns whether a member that turned a connection away is at its connection
    /// limit and not failing: its heartbeats arrive, or it answers on another
    /// connection.
    pub fn is_at_capacity(&self, now: Instant) -> bool {
        let is_recent = |at: Instant, max_age| now.saturating_duration_since(at) <= max_age;
        let answered_at = self.contact.answered_at;
        is_recent(self.heartbeat_at, HEARTBEAT_MAX_AGE)
            || answered_at.is_some_and(|at| is_recent(at, ANSWER_MAX_AGE))
    }

    /// Returns the member's copy of the log as one that was found lost at `now`.
    fn lost_copy(&self, now: Instant) -> LostCopy {
        LostCopy {
            member: self.server.id.clone(),
            address: self.server.address,
            position: self.position,
            is_handed_on: self.server.state == ServerState::Draining,
            until: now,
        }
    }

    /// Records that a statement was sent at `now`.
    pub fn record_sent(&mut self, now: Instant) {
        self.in_flight += 1;
        self.unanswered.push(now);
    }

    /// Records that a statement that was sent at `sent_at` has ended.
    pub fn record_end(&mut self, sent_at: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(index) = self.unanswered.iter().position(|at| *at == sent_at) {
            self.unanswered.remove(index);
        }
    }

    /// Returns whether new reads may go to the member.
    pub fn takes_reads(&self, now: Instant) -> bool {
        self.server.state == ServerState::Ready
            && self.contact.retry_at.is_none_or(|instant| instant <= now)
    }

    /// Returns whether the member recently refused `required` or an earlier position
    /// and has not shown since that it holds `required`.
    pub fn lags_behind(&self, required: LogPosition, now: Instant) -> bool {
        self.lag.is_some_and(|lag| {
            lag.position <= required
                && self.position < required
                && now.saturating_duration_since(lag.seen_at) < LAG_PAUSE
        })
    }
}

/// The last entry of a member that was removed from the list.
#[derive(Clone, Debug)]
struct DepartedMember {
    server: ListedServer,
    removed_at: Instant,
}

/// A copy of the log that a member held until it left or started again without its data.
#[derive(Clone, Debug)]
struct LostCopy {
    /// Identity of the member.
    member: String,
    address: SocketAddr,
    /// Highest log position in the member's answers.
    position: LogPosition,
    /// Whether the member was about to stop, so that its log is handed on to a new member at
    /// its address.
    is_handed_on: bool,
    /// Instant up to which commits may have been acknowledged because this copy had them.
    until: Instant,
}

/// A change of the member list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListEvent {
    /// A member was added.
    Added(String),
    /// A member restarted or changed its address; it is a new member here.
    Restarted(String),
    /// A member was removed from the list.
    Removed(String),
    /// A member is about to stop.
    Draining(String),
}

/// A managed group as one entry host knows it.
#[derive(Clone, Debug, Default)]
pub struct ManagedGroup {
    /// Members that are listed, or were until recently.
    pub members: SlotMap<MemberKey, ManagedMember>,
    /// Members that were removed from the list lately, by identity.
    departed: HashMap<String, DepartedMember>,
    /// Copies of the log that were lost lately.
    lost_copies: Vec<LostCopy>,
    /// Number of replicas that hold a commit before the primary acknowledges it; `None`
    /// before the plan is known.
    sync_replicas: Option<u32>,
    /// When the replicas were last asked whether they are paused.
    pub pauses_checked_at: Option<Instant>,
    /// The primary and its assurance.
    pub primary_view: PrimaryView,
    /// Instant at which the current primary and term were first seen.
    term_seen_at: Option<Instant>,
    /// Instant at which the newest list was received.
    listed_at: Option<Instant>,
    /// Whether that was soon after a return of the store.
    is_list_incomplete: bool,
    watermark_history: WatermarkHistory,
}

impl ManagedGroup {
    /// Returns the key of the member with an identity.
    pub fn find(&self, id: &str) -> Option<MemberKey> {
        let found = self
            .members
            .iter()
            .find(|(_, member)| member.server.id == id);
        found.map(|(key, _)| key)
    }

    /// Returns the key of the primary, if it takes work and is listed.
    pub fn primary(&self) -> Option<MemberKey> {
        self.primary_view
            .primary()
            .and_then(|(id, _)| self.find(id))
    }

    /// Sets how many replicas hold a commit before the primary acknowledges it.
    pub fn set_sync_replicas(&mut self, count: u32) {
        self.sync_replicas = Some(count);
    }

    /// Returns whether the primary is known to acknowledge commits only once replicas have
    /// received them.
    pub fn has_sync_replicas(&self) -> bool {
        self.sync_replicas.is_some_and(|count| count > 0)
    }

    /// Returns how many replicas have received each acknowledged commit. While the plan is
    /// not known, one is assumed, so that no commit is given up by mistake.
    pub fn required_copies(&self) -> u32 {
        self.sync_replicas.unwrap_or(1)
    }

    /// Returns whether the newest list may lack members, because the store had returned
    /// shortly before.
    pub fn is_list_incomplete(&self) -> bool {
        self.is_list_incomplete
    }

    /// Returns the members, other than `former`, whose copies of the log were lost and may
    /// have held an acknowledged commit that a member lacks which received the log up to
    /// `newest`. `received` returns what a member has received by its identity, if it
    /// answered.
    ///
    /// A copy is covered by a log with all that the primary had committed when the copy was
    /// found lost. If the primary showed nothing since, nothing was received since either,
    /// and a member that still reaches the position that it showed before, or else the one
    /// that the primary showed last, has kept its log.
    pub fn uncovered_copies(
        &self,
        former: &str,
        newest: Option<LogPosition>,
        received: impl Fn(&str) -> Option<LogPosition>,
    ) -> Vec<String> {
        let is_handed_on = |copy: &LostCopy| {
            let mut members = self.members.values();
            copy.is_handed_on
                && members.any(|heir| {
                    let is_heir = heir.server.address == copy.address;
                    is_heir && heir.server.id != copy.member && heir.position >= copy.position
                })
        };
        let is_covered = |copy: &LostCopy| match self.position_at(copy.until) {
            Some(committed) => newest >= Some(committed),
            None => {
                let known = Some(copy.position).filter(|at| *at > LogPosition::START);
                let known = known.or(self.newest_watermark());
                known.is_some() && received(&copy.member) >= known
            }
        };
        let copies = self.lost_copies.iter();
        copies
            .filter(|copy| copy.member != former && !is_handed_on(copy) && !is_covered(copy))
            .map(|copy| copy.member.clone())
            .collect()
    }

    /// Records a reading of the group's row.
    pub fn observe_row(&mut self, reading: &RowReading<'_>, now: Instant) -> Option<PrimaryEvent> {
        let event = self.primary_view.observe_row(reading);
        self.record_term_start(event.as_ref(), now);
        event
    }

    /// Makes an observed successor the primary, once every assurance of its
    /// predecessor has ended.
    pub fn adopt_successor(&mut self, now: Instant) -> Option<PrimaryEvent> {
        let event = self.primary_view.adopt_successor(now);
        self.record_term_start(event.as_ref(), now);
        event
    }

    fn record_term_start(&mut self, event: Option<&PrimaryEvent>, now: Instant) {
        if let Some(PrimaryEvent::Changed { .. }) = event {
            self.term_seen_at = Some(now);
        }
    }

    /// Applies the group's part of the server list. `returned_at` is the instant
    /// at which the store answered again after an outage: members whose entries
    /// expired during the outage have [`RELIST_GRACE`] to be listed again.
    pub fn apply_list(
        &mut self,
        servers: &[ListedServer],
        returned_at: Option<Instant>,
        now: Instant,
    ) -> Vec<ListEvent> {
        let mut events = Vec::new();
        self.listed_at = Some(now);
        let is_remembered = |at: Instant| now.saturating_duration_since(at) < DEPARTED_MEMORY;
        self.departed.retain(|_, one| is_remembered(one.removed_at));
        self.lost_copies.retain(|copy| is_remembered(copy.until));
        let in_grace = returned_at.is_some_and(|instant| now < instant + RELIST_GRACE);
        self.is_list_incomplete = in_grace;
        for server in servers {
            self.apply_server(server, in_grace, now, &mut events);
        }
        let (departed, lost_copies) = (&mut self.departed, &mut self.lost_copies);
        self.members.retain(|_, member| {
            if servers.iter().any(|server| server.id == member.server.id) {
                return true;
            }
            let since = *member.missing_since.get_or_insert(now);
            let answers = member
                .contact
                .answered_at
                .is_some_and(|instant| now.saturating_duration_since(instant) < RELIST_GRACE);
            if in_grace || (answers && now < since + RELIST_GRACE) {
                return true;
            }
            let server = member.server.clone();
            events.push(ListEvent::Removed(server.id.clone()));
            lost_copies.push(member.lost_copy(now));
            let removed_at = now;
            departed.insert(server.id.clone(), DepartedMember { server, removed_at });
            false
        });
        events
    }

    fn apply_server(
        &mut self,
        server: &ListedServer,
        in_grace: bool,
        now: Instant,
        events: &mut Vec<ListEvent>,
    ) {
        let departed = self.departed.get(&server.id).map(|one| &one.server);
        if departed.is_some_and(|known| compare_entries(server, known, in_grace).is_le()) {
            return;
        }
        self.departed.remove(&server.id);
        let Some(key) = self.find(&server.id) else {
            events.push(ListEvent::Added(server.id.clone()));
            self.members.insert(ManagedMember::new(server.clone(), now));
            return;
        };
        let member = &mut self.members[key];
        member.missing_since = None;
        let is_older = compare_entries(server, &member.server, in_grace).is_lt();
        if is_older && !member.observe_outranked(server, now) {
            // An older copy of the entry, which the member is about to write again.
            return;
        }
        member.outranked = None;
        if member.server.started_ms != server.started_ms || member.server.address != server.address
        {
            events.push(ListEvent::Restarted(server.id.clone()));
            let copy = member.lost_copy(now);
            self.lost_copies.push(copy);
            self.members.remove(key);
            self.members.insert(ManagedMember::new(server.clone(), now));
            return;
        }
        if member.server.state != server.state && server.state == ServerState::Draining {
            events.push(ListEvent::Draining(server.id.clone()));
        }
        if member.server.heartbeat != server.heartbeat {
            member.heartbeat_at = now;
        }
        member.server = server.clone();
    }

    /// Records an answer of a member to a statement that was sent at `asked_at`,
    /// with the log position in the answer.
    pub fn record_answer(
        &mut self,
        key: MemberKey,
        position: Option<LogPosition>,
        asked_at: Instant,
        now: Instant,
    ) {
        let Some(member) = self.members.get_mut(key) else {
            return;
        };
        if member.contact.failures > 0 {
            member.serving_since = now;
        }
        member.contact = MemberContact {
            answered_at: Some(now),
            ..MemberContact::default()
        };
        let Some(position) = position else {
            return;
        };
        member.position = member.position.max(position);
        if self.primary() == Some(key) {
            self.record_watermark(position, asked_at);
        }
    }

    /// Returns what other hosts may know of the group's primary. `store_time` converts
    /// an instant to a time that the store's clock showed then or earlier.
    pub fn digest(
        &self,
        name: &str,
        store_time: impl Fn(Instant) -> Option<Duration>,
    ) -> Option<GroupDigest> {
        let (primary, term) = self.primary_view.primary()?;
        let newest = self.watermark_history.watermarks().last();
        Some(GroupDigest {
            group: name.to_owned(),
            primary: primary.to_owned(),
            term,
            assured_until: self.primary_view.assured_until().and_then(&store_time),
            watermark: newest.and_then(|watermark| {
                Some(WatermarkDigest {
                    asked_at: store_time(watermark.asked_at)?,
                    position: watermark.position,
                })
            }),
        })
    }

    /// Records what another host knows of the group's primary. A digest of another
    /// primary or term says nothing here. `instant` converts a time of the store's
    /// clock to an instant at or before it.
    pub fn observe_digest(
        &mut self,
        digest: &GroupDigest,
        instant: impl Fn(Duration) -> Option<Instant>,
    ) {
        let is_same = |row: &GroupRow| row.primary == digest.primary && row.term == digest.term;
        if !self.primary_view.row().is_some_and(is_same) {
            return;
        }
        if let Some(until) = digest.assured_until.and_then(&instant) {
            let view = &mut self.primary_view;
            view.observe_assurance(&digest.primary, digest.term, until);
        }
        let Some(watermark) = digest.watermark else {
            return;
        };
        if let Some(asked_at) = instant(watermark.asked_at) {
            self.watermark_history.push(GroupWatermark {
                asked_at,
                position: watermark.position,
            });
        }
    }

    /// Records how long a member took to answer a statement. If reads are chosen by
    /// `rule`, how much the sample counts may depend on the age of the one before.
    pub fn record_latency(
        &mut self,
        key: MemberKey,
        latency: Duration,
        rule: SelectionRule,
        now: Instant,
    ) {
        let Some(member) = self.members.get_mut(key) else {
            return;
        };
        let weight = match rule {
            SelectionRule::Least => LATENCY_WEIGHT,
            SelectionRule::Spread { .. } => {
                let age = member
                    .latency_at
                    .map(|instant| now.saturating_duration_since(instant));
                spread::sample_weight(LATENCY_WEIGHT, age)
            }
        };
        member.latency_at = Some(now);
        member.latency = member.latency.mul_f64(1.0 - weight) + latency.mul_f64(weight);
    }

    /// Adds a watermark: the position in a primary's answer covers every commit
    /// that was acknowledged before `asked_at`, but at most up to the instant
    /// until which the primary is assured to be the only one.
    fn record_watermark(&mut self, position: LogPosition, asked_at: Instant) {
        let Some(assured_until) = self.primary_view.assured_until() else {
            return;
        };
        self.watermark_history.push(GroupWatermark {
            asked_at: asked_at.min(assured_until),
            position,
        });
    }

    /// Records a failed attempt to use a member.
    pub fn record_failure(&mut self, key: MemberKey, failure: ContactFailure, now: Instant) {
        let Some(member) = self.members.get_mut(key) else {
            return;
        };
        let contact = &mut member.contact;
        contact.failing_since.get_or_insert(now);
        contact.failure = Some(failure);
        contact.failures += 1;
        let doubled = RETRY_PAUSE.saturating_mul(1 << contact.failures.min(8));
        contact.retry_at = Some(now + doubled.min(RETRY_PAUSE_MAX));
    }

    /// Records that a statement sent at `sent_at` was not answered in time. It
    /// counts as a failure only if the member has answered nothing else since: a
    /// member that answers other statements is slow, not unreachable.
    pub fn record_timeout(&mut self, key: MemberKey, sent_at: Instant, now: Instant) {
        let answered_at = self
            .members
            .get(key)
            .and_then(|member| member.contact.answered_at);
        if answered_at.is_none_or(|instant| instant <= sent_at) {
            self.record_failure(key, ContactFailure::TimedOut, now);
        }
    }

    /// Records that a member accepted a connection and turned it away before it
    /// answered the greeting. Returns whether that counts as a failure.
    ///
    /// A member at its connection limit does not fail. That it accepts connections also
    /// refutes earlier lost and refused connections as a sign that its process ended;
    /// when a full member resets connections, the host may not get a new one for some
    /// time.
    pub fn record_turned_away(&mut self, key: MemberKey, now: Instant) -> bool {
        let Some(member) = self.members.get_mut(key) else {
            return false;
        };
        if !member.is_at_capacity(now) {
            self.record_failure(key, ContactFailure::TurnedAway, now);
            return true;
        }
        let contact = &mut member.contact;
        if let Some(ContactFailure::Refused | ContactFailure::TurnedAway) = contact.failure {
            *contact = MemberContact {
                answered_at: contact.answered_at,
                ..MemberContact::default()
            };
        }
        false
    }

    /// Returns whether the list was received recently enough that a missing heartbeat
    /// of a member says something about the member.
    pub fn is_list_recent(&self, now: Instant) -> bool {
        let listed_at = self.listed_at;
        listed_at.is_some_and(|at| now.saturating_duration_since(at) <= HEARTBEAT_MAX_AGE)
    }

    /// Returns whether the primary is missing from a list that was received at least
    /// [`RELIST_GRACE`] after the row first named that primary. Before that, the
    /// member may still be about to be listed.
    pub fn is_primary_unlisted(&self) -> bool {
        let Some(row) = self.primary_view.row() else {
            return false;
        };
        let lists_since = self.listed_at.zip(self.term_seen_at);
        self.find(&row.primary).is_none()
            && lists_since.is_some_and(|(listed_at, seen_at)| listed_at >= seen_at + RELIST_GRACE)
    }

    /// Records that a replica refused a read because it had not applied `position`.
    pub fn record_lag(&mut self, key: MemberKey, position: LogPosition, now: Instant) {
        if let Some(member) = self.members.get_mut(key) {
            member.lag = Some(LagRefusal {
                position,
                seen_at: now,
            });
        }
    }

    /// Returns a position that covers every commit acknowledged before `instant`,
    /// from the oldest watermark that is new enough; `None` if there is none.
    pub fn position_at(&self, instant: Instant) -> Option<LogPosition> {
        let watermarks = self.watermark_history.watermarks();
        let first = watermarks.partition_point(|watermark| watermark.asked_at < instant);
        watermarks.get(first).map(|watermark| watermark.position)
    }

    /// Returns a position that covers every surviving commit of earlier terms,
    /// from the oldest watermark of the current term; `None` if there is none.
    pub fn first_position_of_term(&self) -> Option<LogPosition> {
        self.position_at(self.term_seen_at?)
    }

    /// Returns the newest position that an assured primary showed.
    pub fn newest_watermark(&self) -> Option<LogPosition> {
        let newest = self.watermark_history.watermarks().last();
        newest.map(|watermark| watermark.position)
    }

    /// Returns the instant up to which the newest watermark covers commits.
    pub fn newest_watermark_at(&self) -> Option<Instant> {
        self.watermark_history
            .watermarks()
            .last()
            .map(|watermark| watermark.asked_at)
    }
}

/// Compares two entries of a member by the counts of the member itself. Start times of
/// different processes count only `in_grace`, after a return of the store, because the
/// clock of a member may be set back; otherwise `entry` is the newer one.
fn compare_entries(entry: &ListedServer, known: &ListedServer, in_grace: bool) -> Ordering {
    if entry.started_ms == known.started_ms {
        return entry.heartbeat.cmp(&known.heartbeat);
    }
    match in_grace {
        true => entry.started_ms.cmp(&known.started_ms),
        false => Ordering::Greater,
    }
}
