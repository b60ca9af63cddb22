//! The simulated platform: the rows of the store, the members, their replication
//! and their promotion.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use coordination::managed::era::EraRow;
use coordination::managed::primary_view::GroupRow;
use coordination::managed::promotion_lease::PromotionLease;
use state::log::{LogPosition, Term};
use state::member::MemberRole;
use state::reading::StoreEra;
use state::server_list::{ListedServer, ServerState};

use super::{Answer, MemberRequest, RowValue};

/// Time after which a superseded primary that receives from its successor becomes
/// its replica.
const SUPERSEDED_AFTER: Duration = Duration::from_secs(1);
/// Time without a heartbeat after which the store drops a member from the list:
/// three heartbeat intervals.
const ENTRY_LIFETIME: Duration = Duration::from_millis(3_600);
/// Port of the first member.
const FIRST_PORT: u16 = 5_432;
pub const MEMBERS: usize = 3;

/// An entry of a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogEntry {
    pub term: u64,
    pub write: u64,
}

#[derive(Clone, Debug)]
pub struct Member {
    pub alive: bool,
    pub draining: bool,
    pub leads: bool,
    pub term: u64,
    pub log: Vec<LogEntry>,
    pub applied: usize,
    /// Probability that a replica applies its received log in a replication tick.
    pub apply_chance: f64,
    pub started_ms: u64,
    /// Term below which the member receives nothing until the next promotion; 0 if it is not
    /// paused.
    paused_below: u64,
    heartbeat: u64,
    heartbeat_at: Instant,
    successor_seen_at: Option<Instant>,
}

impl Member {
    pub fn position(&self) -> LogPosition {
        position_of(&self.log[..self.applied])
    }

    pub fn received(&self) -> LogPosition {
        position_of(&self.log)
    }

    fn holds(&self, position: LogPosition) -> bool {
        let Some(index) = position.offset.checked_sub(1) else {
            return true;
        };
        let applied = &self.log[..self.applied];
        let entry = applied.get(usize::try_from(index).expect("a small log"));
        entry.is_some_and(|entry| entry.term == position.term.0)
    }

    fn follow(&mut self, term: u64, log: &[LogEntry]) {
        let common = self
            .log
            .iter()
            .zip(log)
            .rposition(|(own, other)| own == other)
            .map_or(0, |last| last + 1);
        self.log.truncate(common);
        self.log.extend_from_slice(&log[common..]);
        self.applied = self.applied.min(common);
        self.term = term;
    }
}

fn position_of(log: &[LogEntry]) -> LogPosition {
    log.last().map_or(LogPosition::START, |entry| {
        LogPosition::new(entry.term, log.len() as u64)
    })
}

#[derive(Clone, Debug)]
struct StoredRow<T> {
    value: Option<T>,
    revision: u64,
}

/// A promotion that took effect.
#[derive(Clone, Copy, Debug)]
pub struct Promotion {
    pub at: Instant,
    pub term: u64,
}

#[derive(Debug)]
pub struct Platform {
    base: Instant,
    pub members: Vec<Member>,
    pub promotions: Vec<Promotion>,
    /// Number of times that the store returned from an older copy.
    returns: u64,
    contents: Contents,
    /// The contents after each write, and when they were written.
    copies: Vec<(Instant, Contents)>,
}

/// The rows of the store, which it loses when it returns from an older copy.
#[derive(Clone, Debug)]
struct Contents {
    lease: StoredRow<PromotionLease>,
    group_row: StoredRow<GroupRow>,
    /// The era of the marker row, and the row.
    marker: (StoreEra, StoredRow<EraRow>),
    revision: u64,
}

impl Contents {
    /// Returns whether the marker row is the one that a write is conditional on.
    fn matches(&self, guard: (StoreEra, u64)) -> bool {
        let (era, row) = &self.marker;
        guard == (*era, row.revision) && row.value.is_some()
    }
}

impl Platform {
    pub fn new(base: Instant) -> Self {
        let member = |index: usize| Member {
            alive: true,
            draining: false,
            leads: index == 0,
            term: 1,
            log: Vec::new(),
            applied: 0,
            apply_chance: 0.5,
            started_ms: 1,
            paused_below: 0,
            heartbeat: 0,
            heartbeat_at: base,
            successor_seen_at: None,
        };
        let group_row = GroupRow {
            primary: member_id(0),
            term: Term(1),
            change: None,
        };
        let mut platform = Self {
            base,
            members: (0..MEMBERS).map(member).collect(),
            promotions: Vec::new(),
            returns: 0,
            contents: Contents {
                lease: StoredRow {
                    value: None,
                    revision: 0,
                },
                group_row: StoredRow {
                    value: Some(group_row),
                    revision: 1,
                },
                marker: (
                    StoreEra(0),
                    StoredRow {
                        value: None,
                        revision: 0,
                    },
                ),
                revision: 1,
            },
            copies: Vec::new(),
        };
        platform.copies.push((base, platform.contents.clone()));
        platform
    }

    fn era(&self) -> StoreEra {
        StoreEra(self.returns + 1)
    }

    /// Lets the store return from its copy of `instant`, in a new era.
    pub fn restore(&mut self, instant: Instant) {
        self.copies.retain(|(at, _)| *at <= instant);
        if let Some((_, copy)) = self.copies.last() {
            self.contents = copy.clone();
        }
        self.returns += 1;
    }

    pub fn read_rows(&self, now: Instant) -> Answer {
        let contents = &self.contents;
        let group_row = contents.group_row.value.clone();
        let lease = contents.lease.value.clone();
        let (era, marker) = &contents.marker;
        let marker = marker.value.filter(|_| *era == self.era());
        Answer::Rows {
            era: self.era(),
            marker: marker.map(|row| (row, contents.marker.1.revision)),
            group_row: group_row.map(|row| (row, contents.group_row.revision)),
            lease: lease.map(|row| (row, contents.lease.revision)),
            store_time: now - self.base,
        }
    }

    /// Writes a row if it has the expected revision and the marker row matches `guard`.
    pub fn write_row(
        &mut self,
        expected: u64,
        guard: Option<(StoreEra, u64)>,
        value: RowValue,
        now: Instant,
    ) -> Answer {
        let contents = &mut self.contents;
        let known = match &value {
            RowValue::Lease(_) => contents.lease.revision,
            RowValue::Group(_) => contents.group_row.revision,
            RowValue::Marker(era, _) if *era == contents.marker.0 => contents.marker.1.revision,
            RowValue::Marker(..) => 0,
        };
        if known != expected || guard.is_some_and(|guard| !contents.matches(guard)) {
            return Answer::Conflict;
        }
        contents.revision += 1;
        let revision = contents.revision;
        match value {
            RowValue::Lease(row) => {
                contents.lease = StoredRow {
                    value: Some(row),
                    revision,
                }
            }
            RowValue::Group(row) => {
                contents.group_row = StoredRow {
                    value: Some(row),
                    revision,
                }
            }
            RowValue::Marker(era, row) => {
                let value = Some(row);
                contents.marker = (era, StoredRow { value, revision });
            }
        }
        self.copies.push((now, contents.clone()));
        Answer::Written { revision }
    }

    pub fn list(&self, now: Instant) -> Answer {
        let listed = self.members.iter().enumerate();
        let listed = listed.filter(|(_, one)| now - one.heartbeat_at < ENTRY_LIFETIME);
        Answer::List(
            listed
                .map(|(index, one)| ListedServer {
                    id: member_id(index),
                    group: "birds".to_owned(),
                    address: SocketAddr::from((Ipv4Addr::LOCALHOST, FIRST_PORT + index as u16)),
                    data_centre: format!("dc-{index}"),
                    state: match one.draining {
                        true => ServerState::Draining,
                        false => ServerState::Ready,
                    },
                    role: role_of(one),
                    slots: 3,
                    warm_up_left: Duration::ZERO,
                    started_ms: one.started_ms,
                    heartbeat: one.heartbeat,
                })
                .collect(),
        )
    }

    /// Records a heartbeat of a member at the store.
    pub fn record_heartbeat(&mut self, index: usize, now: Instant) {
        let member = &mut self.members[index];
        member.heartbeat += 1;
        member.heartbeat_at = now;
    }

    /// Runs a statement or another request at a member.
    pub fn run(&mut self, index: usize, request: MemberRequest) -> Answer {
        let member = &mut self.members[index];
        match request {
            MemberRequest::Write { .. } if !member.leads => Answer::ReadOnly,
            MemberRequest::Write { write } => {
                let term = member.term;
                member.log.push(LogEntry { term, write });
                member.applied = member.log.len();
                Answer::Done {
                    position: member.position(),
                }
            }
            MemberRequest::Read { since, .. } => {
                if since.is_some_and(|position| !member.holds(position)) {
                    return Answer::Lagging;
                }
                Answer::Done {
                    position: member.position(),
                }
            }
            MemberRequest::StepDown { term } => {
                if member.term < term.0 {
                    member.leads = false;
                }
                status(member)
            }
            MemberRequest::Pause { term } => {
                if !member.leads && term.0 > member.term {
                    member.paused_below = term.0;
                }
                status(member)
            }
            MemberRequest::Resume => {
                member.paused_below = 0;
                status(member)
            }
            MemberRequest::Status => status(member),
        }
    }

    /// Promotes a member: it becomes the primary of the next term with the log that
    /// it received. Does nothing if the member is down or is the newest primary.
    pub fn promote(&mut self, index: usize, now: Instant) {
        let primaries = self.members.iter().filter(|one| one.leads);
        let newest = primaries.map(|one| one.term).max();
        let term = self.members.iter().map(|one| one.term).max();
        let member = &mut self.members[index];
        if !member.alive || (member.leads && Some(member.term) == newest) {
            return;
        }
        member.term = term.unwrap_or(0) + 1;
        member.leads = true;
        member.applied = member.log.len();
        let term = member.term;
        self.promotions.push(Promotion { at: now, term });
        for member in &mut self.members {
            member.paused_below = 0;
        }
    }

    /// Restarts a member. A replica that lost its data starts with an empty log.
    pub fn restart(&mut self, index: usize, lost_data: bool) {
        let newest = self.members.iter().filter(|one| one.leads);
        let newest = newest.map(|one| one.term).max().unwrap_or(0);
        let member = &mut self.members[index];
        member.alive = true;
        member.draining = false;
        member.started_ms += 1;
        member.heartbeat = 0;
        member.successor_seen_at = None;
        member.leads &= member.term >= newest;
        member.paused_below = 0;
        if lost_data && !member.leads {
            member.log.clear();
            member.applied = 0;
        }
    }

    /// Lets each member receive the log of the newest primary that it reaches, and
    /// apply what it received.
    pub fn replicate(
        &mut self,
        now: Instant,
        reaches: impl Fn(usize, usize) -> bool,
        mut draw: impl FnMut() -> f64,
    ) {
        for index in 0..self.members.len() {
            if !self.members[index].alive {
                continue;
            }
            let source = (0..self.members.len())
                .filter(|other| *other != index && self.members[*other].alive)
                .filter(|other| self.members[*other].leads && reaches(*other, index))
                .filter(|_| self.members[index].paused_below == 0)
                .max_by_key(|other| self.members[*other].term);
            if let Some(source) = source {
                let (term, log) = {
                    let source = &self.members[source];
                    (source.term, source.log.clone())
                };
                self.members[index].receive(term, &log, now);
            }
            let member = &mut self.members[index];
            if member.leads || draw() < member.apply_chance {
                member.applied = member.log.len();
            }
        }
    }
}

impl Member {
    fn receive(&mut self, term: u64, log: &[LogEntry], now: Instant) {
        if term <= self.term && self.leads || term < self.term {
            return;
        }
        if self.leads {
            let since = *self.successor_seen_at.get_or_insert(now);
            if now - since < SUPERSEDED_AFTER {
                return;
            }
            self.leads = false;
        }
        self.successor_seen_at = None;
        self.follow(term, log);
    }
}

fn status(member: &Member) -> Answer {
    Answer::Status {
        role: role_of(member),
        term: Term(member.term),
        position: member.received(),
        paused_below: Term(member.paused_below),
    }
}

fn role_of(member: &Member) -> MemberRole {
    match member.leads {
        true => MemberRole::Primary,
        false => MemberRole::Replica,
    }
}

pub fn member_id(index: usize) -> String {
    format!("m-{index}")
}

pub fn member_index(id: &str) -> usize {
    let (_, index) = id.split_once('-').expect("an identity of the model");
    index.parse().expect("an identity of the model")
}
