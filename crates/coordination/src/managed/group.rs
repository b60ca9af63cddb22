//! What one entry host knows of a managed group: its listed members, what their
//! answers showed, the primary and the watermarks.

use std::time::{Duration, Instant};

use slotmap::SlotMap;
use state::keys::MemberKey;
use state::log::LogPosition;
use state::server_list::{ListedServer, ServerState};

use crate::managed::reign::{ReignEvent, ReignRow, ReignView};
use crate::view::GroupWatermark;
use crate::watermark::WatermarkHistory;

/// Time after a return of the store within which members are back in the list
/// if they live. The platform states about two seconds.
pub const RELIST_GRACE: Duration = Duration::from_millis(2_500);
/// Weight of a new sample in the average of answer times: about ten statements
/// replace a former load.
const LATENCY_WEIGHT: f64 = 0.1;
/// Answer time that is assumed before the first answer.
const INITIAL_LATENCY: Duration = Duration::from_millis(20);
/// First pause before a failing member is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause: a member that is back gets work again within this time.
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(1_000);
/// Time for which a replica that lacked a position is not asked for it again.
const LAG_PAUSE: Duration = Duration::from_millis(100);

/// How an attempt to use a member failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachFailure {
    /// No process listens at its address, or the connection was reset.
    Refused,
    /// It did not answer in time.
    Silent,
    /// Another member answers at its address.
    Replaced,
}

/// Whether a member answers this host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberReach {
    /// Instant of the last answer.
    pub answered_at: Option<Instant>,
    /// Instant of the first failure since the last answer.
    pub failing_since: Option<Instant>,
    /// Failures since the last answer.
    pub failures: u32,
    /// The newest failure.
    pub failure: Option<ReachFailure>,
    /// Instant before which reads avoid the member.
    pub retry_at: Option<Instant>,
}

/// A replica that lacked a position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LagSight {
    /// The position that it lacked.
    pub position: LogPosition,
    /// When it said so.
    pub seen_at: Instant,
}

/// One member of a managed group.
#[derive(Clone, Debug)]
pub struct ManagedMember {
    /// Its entry in the list.
    pub server: ListedServer,
    /// Instant at which its newest heartbeat was first seen.
    pub heartbeat_at: Instant,
    /// Instant since which the list lacks it.
    pub missing_since: Option<Instant>,
    /// Whether it answers.
    pub reach: MemberReach,
    /// Highest position that it showed.
    pub position: LogPosition,
    /// Its newest refusal for lack of a position.
    pub lag: Option<LagSight>,
    /// Average time of an answer.
    pub latency: Duration,
    /// Statements of this host in flight at the member.
    pub in_flight: u32,
}

impl ManagedMember {
    fn new(server: ListedServer, now: Instant) -> Self {
        Self {
            server,
            heartbeat_at: now,
            missing_since: None,
            reach: MemberReach::default(),
            position: LogPosition::START,
            lag: None,
            latency: INITIAL_LATENCY,
            in_flight: 0,
        }
    }

    /// Tells whether new reads may go to the member.
    pub fn takes_reads(&self, now: Instant) -> bool {
        self.server.state == ServerState::Ready
            && self.reach.retry_at.is_none_or(|instant| instant <= now)
    }

    /// Tells whether it recently said that it lacks a position.
    pub fn lacks(&self, required: LogPosition, now: Instant) -> bool {
        self.lag.is_some_and(|lag| {
            lag.position <= required
                && self.position < required
                && now.saturating_duration_since(lag.seen_at) < LAG_PAUSE
        })
    }
}

/// A change of the member list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListEvent {
    /// A member was added.
    Added(String),
    /// A member started again under its identity.
    Restarted(String),
    /// A member was removed from the list.
    Removed(String),
    /// A member is about to stop.
    Draining(String),
}

/// A managed group.
#[derive(Clone, Debug, Default)]
pub struct ManagedGroup {
    /// Members.
    pub members: SlotMap<MemberKey, ManagedMember>,
    /// The primary.
    pub reign: ReignView,
    /// Instant at which the present reign was first seen.
    reign_seen_at: Option<Instant>,
    /// Instant of the newest list.
    listed_at: Option<Instant>,
    anchors: WatermarkHistory,
}

impl ManagedGroup {
    /// Returns the key of a member.
    pub fn find(&self, id: &str) -> Option<MemberKey> {
        let found = self.members.iter().find(|(_, one)| one.server.id == id);
        found.map(|(key, _)| key)
    }

    /// Returns the key of the primary that takes work.
    pub fn primary(&self) -> Option<MemberKey> {
        self.reign.primary().and_then(|(id, _)| self.find(id))
    }

    /// Enters a read of the group's row that was asked at `asked_at`.
    pub fn observe_row(
        &mut self,
        row: &ReignRow,
        revision: u64,
        asked_at: Instant,
        now: Instant,
    ) -> Option<ReignEvent> {
        let event = self.reign.observe_row(row, revision, asked_at);
        self.note_reign(event.as_ref(), now);
        event
    }

    /// Takes a successor into use that members showed.
    pub fn adopt_successor(&mut self, now: Instant) -> Option<ReignEvent> {
        let event = self.reign.adopt_successor(now);
        self.note_reign(event.as_ref(), now);
        event
    }

    fn note_reign(&mut self, event: Option<&ReignEvent>, now: Instant) {
        if let Some(ReignEvent::Settled { .. }) = event {
            self.reign_seen_at = Some(now);
        }
    }

    /// Enters the group's part of the list. `returned_at` is the instant at
    /// which the store answered again after an outage: entries that lapsed
    /// meanwhile have [`RELIST_GRACE`] to come back.
    pub fn apply_list(
        &mut self,
        servers: &[ListedServer],
        returned_at: Option<Instant>,
        now: Instant,
    ) -> Vec<ListEvent> {
        let mut events = Vec::new();
        self.listed_at = Some(now);
        for server in servers {
            self.enter(server, now, &mut events);
        }
        let in_grace = returned_at.is_some_and(|instant| now < instant + RELIST_GRACE);
        self.members.retain(|_, member| {
            if servers.iter().any(|server| server.id == member.server.id) {
                return true;
            }
            let since = *member.missing_since.get_or_insert(now);
            let answers = member
                .reach
                .answered_at
                .is_some_and(|instant| now.saturating_duration_since(instant) < RELIST_GRACE);
            if in_grace || (answers && now < since + RELIST_GRACE) {
                return true;
            }
            events.push(ListEvent::Removed(member.server.id.clone()));
            false
        });
        events
    }

    fn enter(&mut self, server: &ListedServer, now: Instant, events: &mut Vec<ListEvent>) {
        let Some(key) = self.find(&server.id) else {
            events.push(ListEvent::Added(server.id.clone()));
            self.members.insert(ManagedMember::new(server.clone(), now));
            return;
        };
        let member = &mut self.members[key];
        if member.server.started_ms != server.started_ms || member.server.address != server.address
        {
            events.push(ListEvent::Restarted(server.id.clone()));
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
        member.missing_since = None;
        member.server = server.clone();
    }

    /// Enters an answer of a member to a statement that was sent at `asked_at`.
    pub fn note_answer(
        &mut self,
        key: MemberKey,
        position: Option<LogPosition>,
        asked_at: Instant,
        now: Instant,
    ) {
        let Some(member) = self.members.get_mut(key) else {
            return;
        };
        member.reach = MemberReach {
            answered_at: Some(now),
            ..MemberReach::default()
        };
        let Some(position) = position else {
            return;
        };
        member.position = member.position.max(position);
        if self.primary() == Some(key) {
            self.note_watermark(position, asked_at);
        }
    }

    /// Enters how long a member took to answer a statement.
    pub fn note_latency(&mut self, key: MemberKey, latency: Duration) {
        if let Some(member) = self.members.get_mut(key) {
            let known = member.latency.mul_f64(1.0 - LATENCY_WEIGHT);
            member.latency = known + latency.mul_f64(LATENCY_WEIGHT);
        }
    }

    /// The primary's answer covers every commit that was acknowledged before
    /// the question, as far as the primary is certain to have been the only one.
    fn note_watermark(&mut self, position: LogPosition, asked_at: Instant) {
        let Some(assured_until) = self.reign.assured_until() else {
            return;
        };
        self.anchors.push(GroupWatermark {
            asked_at: asked_at.min(assured_until),
            position,
        });
    }

    /// Enters a failed attempt to use a member.
    pub fn note_failure(&mut self, key: MemberKey, failure: ReachFailure, now: Instant) {
        let Some(member) = self.members.get_mut(key) else {
            return;
        };
        let reach = &mut member.reach;
        reach.failing_since.get_or_insert(now);
        reach.failure = Some(failure);
        reach.failures += 1;
        let doubled = RETRY_PAUSE.saturating_mul(1 << reach.failures.min(8));
        reach.retry_at = Some(now + doubled.min(RETRY_PAUSE_MAX));
    }

    /// Enters that a statement sent at `sent_at` was not answered in time. A
    /// member that answered others meanwhile is slow and not silent.
    pub fn note_silence(&mut self, key: MemberKey, sent_at: Instant, now: Instant) {
        let answered_at = self.members.get(key).and_then(|one| one.reach.answered_at);
        if answered_at.is_none_or(|instant| instant <= sent_at) {
            self.note_failure(key, ReachFailure::Silent, now);
        }
    }

    /// Tells whether the list has lacked the primary's entry for long enough to
    /// be sure: the row may name a member that is about to be listed.
    pub fn is_primary_unlisted(&self) -> bool {
        let Some(row) = self.reign.row() else {
            return false;
        };
        let lists_since = self.listed_at.zip(self.reign_seen_at);
        self.find(&row.primary).is_none()
            && lists_since.is_some_and(|(listed_at, seen_at)| listed_at >= seen_at + RELIST_GRACE)
    }

    /// Enters that a replica lacked a position.
    pub fn note_lag(&mut self, key: MemberKey, position: LogPosition, now: Instant) {
        if let Some(member) = self.members.get_mut(key) {
            member.lag = Some(LagSight {
                position,
                seen_at: now,
            });
        }
    }

    /// Returns a position that covers every commit acknowledged before
    /// `instant`: that of the oldest sufficient watermark.
    pub fn position_at(&self, instant: Instant) -> Option<LogPosition> {
        let anchors = self.anchors.watermarks();
        let first = anchors.partition_point(|anchor| anchor.asked_at < instant);
        anchors.get(first).map(|anchor| anchor.position)
    }

    /// Returns a position that covers every commit of earlier reigns that was
    /// kept: that of the oldest watermark of the present reign.
    pub fn first_position_of_reign(&self) -> Option<LogPosition> {
        self.position_at(self.reign_seen_at?)
    }

    /// Returns when the newest watermark was asked for.
    pub fn newest_watermark_at(&self) -> Option<Instant> {
        self.anchors
            .watermarks()
            .last()
            .map(|anchor| anchor.asked_at)
    }
}
