//! Which member of a group is the primary, and the assurance that it is the only
//! one: an instant up to which no other primary can have acknowledged a commit.
//!
//! # Why an assurance holds
//!
//! A read of the group's row that was sent at `t` and shows no announced change
//! assures the primary until `t + ASSURANCE_DURATION`. A host that changes the
//! primary first writes an announcement to the row, and uses the new primary
//! only when `ASSURANCE_DURATION` has passed since that write was acknowledged.
//! So no commit of the new primary is acknowledged before every assurance of the
//! former one has ended.
//!
//! While the store cannot be read, the host asks the members themselves. If
//! every member other than the primary answers as a replica of the same term, no
//! other member had been promoted when the questions were sent.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use state::log::Term;
use state::member::MemberRole;
use state::reading::{StoreEra, StoreRevision};

/// Time for which one read of the row assures the primary. Each unplanned change
/// of primary waits for this time (target for the whole change: 8 s). It must
/// exceed [`READ_INTERVAL`] by at least the time of a slow answer of the store.
pub const ASSURANCE_DURATION: Duration = Duration::from_millis(1_000);
/// Interval between reads of the row, short enough that one read may be lost or
/// slow before an assurance ends.
pub const READ_INTERVAL: Duration = Duration::from_millis(600);
/// Interval between reads of the row while the successor's row is expected.
const READ_INTERVAL_CHANGING: Duration = Duration::from_millis(100);
/// Time from the first read of an announcement until the successor's row is
/// expected. That row is written after all assurances have ended, and the
/// announcement may be as old as the previous read.
const SUCCESSOR_ROW_DELAY: Duration =
    Duration::from_millis((ASSURANCE_DURATION.as_millis() - READ_INTERVAL.as_millis()) as u64);
/// Time after which a change counts as stuck, and the row is read at the usual
/// interval again.
const STUCK_CHANGE_AGE: Duration = Duration::from_secs(3);
/// Extra wait before a successor is used that was found without the store. It
/// covers the difference between the instants at which hosts last read the row.
const ADOPTION_MARGIN: Duration = Duration::from_millis(500);

/// Value of a group's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct GroupRow {
    /// Identity of the primary, or of the former one while a change is announced.
    pub primary: String,
    /// Term of that primary.
    pub term: Term,
    /// The announced change, if there is one. Unless it is orderly, no new work
    /// goes to the primary.
    pub change: Option<AnnouncedChange>,
}

impl GroupRow {
    /// Returns a value by which the rows of a group are ordered. The store's revisions
    /// agree with it as long as no write is lost: an announcement is followed by a row
    /// of a later term.
    pub fn progress(&self) -> (Term, bool) {
        (self.term, self.change.is_some())
    }
}

/// A change of primary that has been announced in the group's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct AnnouncedChange {
    /// Host that announced it.
    pub host: String,
    /// Fencing token of that host's promotion lease.
    pub fencing_token: u64,
    /// Whether the primary is asked to step down while it still answers. It then
    /// gets work until it refuses, as long as it is assured.
    pub orderly: bool,
}

/// The answer of one member in a round of questions about role and term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoundReply<'a> {
    /// Identity of the member.
    pub member: &'a str,
    /// Role and newest term, also one for which the member is paused; `None` if it did not
    /// answer.
    pub answer: Option<(MemberRole, Term)>,
}

/// Whether the primary of a term is known to have been the only one at an
/// instant, so that its answer may be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AssuranceState {
    /// The primary was the only one.
    Valid,
    /// Not known yet; a later observation may show it.
    Pending,
    /// It cannot be shown any more: another term is in force.
    Superseded,
}

/// A reading of a group's row.
#[derive(Clone, Copy, Debug)]
pub struct RowReading<'a> {
    /// The row.
    pub row: &'a GroupRow,
    /// Revision of the row.
    pub revision: StoreRevision,
    /// Instant before the read was sent.
    pub asked_at: Instant,
    /// Whether the era is old enough that a row without an announced change assures
    /// its primary.
    pub is_settled: bool,
}

/// A change of the primary that an observation showed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PrimaryEvent {
    /// Another primary or term is in force.
    Changed {
        /// Identity of the primary.
        primary: String,
        /// Term of the primary.
        term: Term,
    },
    /// A change of primary was announced.
    Announced {
        /// Host that announced it.
        host: String,
    },
}

/// A member that answered as the primary of a later term than the row's.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ObservedSuccessor {
    primary: String,
    term: Term,
    seen_at: Instant,
}

/// One host's knowledge of a group's primary.
///
/// # Invariants
///
/// `revision` never decreases. `row` only moves on in the order of
/// [`GroupRow::progress`], also if the store lost it. `assured_until` belongs to the
/// primary of `row`, and commits of later primaries are acknowledged only after it.
#[derive(Clone, Debug, Default)]
pub struct PrimaryView {
    row: Option<GroupRow>,
    /// The row that the store has, as it was read last.
    stored: Option<GroupRow>,
    /// Revision of `stored`; number 0 if the store has no row.
    revision: StoreRevision,
    /// Instant since which `row` is ahead of `stored`.
    ahead_since: Option<Instant>,
    assured_until: Option<Instant>,
    successor: Option<ObservedSuccessor>,
    /// The primary of `row` answered that it is not the primary.
    stepped_down: bool,
    /// Instant since which no primary takes work; `None` while one does.
    no_primary_since: Option<Instant>,
    /// Instant at which the current change of primary was first seen.
    changing_since: Option<Instant>,
}

impl PrimaryView {
    /// Returns the newest row that this host knows.
    pub fn row(&self) -> Option<&GroupRow> {
        self.row.as_ref()
    }

    /// Returns the row that the store has, as it was read last.
    pub fn stored(&self) -> Option<&GroupRow> {
        self.stored.as_ref()
    }

    /// Returns the instant since which the store's row is behind the one that this host
    /// knows, as of the last call of [`update_change_times`](Self::update_change_times).
    pub fn ahead_since(&self) -> Option<Instant> {
        self.ahead_since
    }

    /// Returns whether the store's row is behind the one that this host knows: the
    /// store lost it, or a successor was adopted without the store.
    pub fn is_ahead(&self) -> bool {
        let stored = self.stored.as_ref().map(GroupRow::progress);
        self.row.as_ref().map(GroupRow::progress) > stored
    }

    /// Returns the revision of the stored row; number 0 if there is none.
    pub fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Returns the term of the row, or the initial term if it was never read.
    pub fn term(&self) -> Term {
        self.row.as_ref().map(|row| row.term).unwrap_or_default()
    }

    /// Returns the primary that takes work, if there is one.
    pub fn primary(&self) -> Option<(&str, Term)> {
        let row = self.row.as_ref()?;
        let abrupt = row.change.as_ref().is_some_and(|change| !change.orderly);
        if abrupt || self.stepped_down || self.successor.is_some() {
            return None;
        }
        Some((&row.primary, row.term))
    }

    /// Returns whether a change of primary is announced or the known primary takes
    /// no work.
    pub fn is_changing(&self) -> bool {
        let announced = self.row.as_ref().is_some_and(|row| row.change.is_some());
        announced || (self.row.is_some() && self.primary().is_none())
    }

    /// Returns the instant since which no primary takes work, or `None` while one
    /// does, as of the last call of
    /// [`update_change_times`](Self::update_change_times).
    pub fn no_primary_since(&self) -> Option<Instant> {
        self.no_primary_since
    }

    /// Returns the time until the next read of the row.
    pub fn read_interval(&self, now: Instant) -> Duration {
        let Some(since) = self.changing_since else {
            return READ_INTERVAL;
        };
        let elapsed = now.saturating_duration_since(since);
        if elapsed >= STUCK_CHANGE_AGE {
            return READ_INTERVAL;
        }
        let left = SUCCESSOR_ROW_DELAY.saturating_sub(elapsed);
        left.max(READ_INTERVAL_CHANGING)
    }

    /// Updates the instants since which a change is under way and since which no
    /// primary takes work. Must be called at short intervals.
    pub fn update_change_times(&mut self, now: Instant) {
        self.ahead_since = match self.is_ahead() {
            true => self.ahead_since.or(Some(now)),
            false => None,
        };
        self.changing_since = match self.is_changing() {
            true => self.changing_since.or(Some(now)),
            false => None,
        };
        match self.primary() {
            Some(_) => self.no_primary_since = None,
            None => {
                self.no_primary_since.get_or_insert(now);
            }
        }
    }

    /// Records whether a member answered that it is the primary.
    pub fn observe_role(&mut self, member: &str, leads: bool) {
        if self.row.as_ref().is_some_and(|row| row.primary == member) {
            self.stepped_down = !leads;
        }
    }

    /// Returns the instant up to which the primary is assured to be the only one.
    pub fn assured_until(&self) -> Option<Instant> {
        self.assured_until
    }

    /// Returns whether the primary is assured to be the only one at an instant.
    pub fn is_assured(&self, instant: Instant) -> bool {
        self.assured_until.is_some_and(|until| until >= instant)
    }

    /// Returns whether the primary of `term` is assured to be the only one at an
    /// instant. An assurance of a later primary says nothing about its
    /// predecessor.
    pub fn assurance_of(&self, term: Term, instant: Instant) -> AssuranceState {
        if self.term() != term {
            return AssuranceState::Superseded;
        }
        match self.is_assured(instant) {
            true => AssuranceState::Valid,
            false => AssuranceState::Pending,
        }
    }

    /// Records a reading of the row. A row that is behind the known one only tells on
    /// which revision the next write is conditional.
    pub fn observe_row(&mut self, reading: &RowReading<'_>) -> Option<PrimaryEvent> {
        let row = reading.row;
        if reading.revision < self.revision {
            return None;
        }
        self.revision = reading.revision;
        self.stored = Some(row.clone());
        if self.is_ahead() {
            return None;
        }
        let event = self.describe_change(row);
        let same_primary = self
            .row
            .as_ref()
            .is_some_and(|known| known.primary == row.primary && known.term == row.term);
        if !same_primary {
            self.assured_until = None;
            self.stepped_down = false;
        }
        self.row = Some(row.clone());
        if self
            .successor
            .as_ref()
            .is_some_and(|seen| seen.term <= row.term)
        {
            self.successor = None;
        }
        if row.change.is_none() && self.successor.is_none() && reading.is_settled {
            // A relayed reading may have any time. One that fits no instant says nothing.
            if let Some(until) = reading.asked_at.checked_add(ASSURANCE_DURATION) {
                self.extend_assurance(until);
            }
        }
        event
    }

    /// Records that the store has no row in a newer era.
    pub fn observe_absence(&mut self, era: StoreEra) {
        if era > self.revision.era {
            self.revision = StoreRevision::new(era, 0);
            self.stored = None;
        }
    }

    fn describe_change(&self, row: &GroupRow) -> Option<PrimaryEvent> {
        if self.row.as_ref() == Some(row) {
            return None;
        }
        Some(match &row.change {
            Some(change) => PrimaryEvent::Announced {
                host: change.host.clone(),
            },
            None => PrimaryEvent::Changed {
                primary: row.primary.clone(),
                term: row.term,
            },
        })
    }

    /// Records the replies of all members other than the primary to questions
    /// that were sent at `asked_at` or later. If there are any, and all are replicas of a
    /// term that is not newer and no change is under way, the primary is assured
    /// until `asked_at`. A primary of a newer term becomes the observed successor.
    pub fn observe_round(&mut self, replies: &[RoundReply<'_>], asked_at: Instant, now: Instant) {
        let Some(row) = &self.row else {
            return;
        };
        let term = row.term;
        // A host that has not read the server list yet knows no member to ask.
        let mut all_follow = !replies.is_empty();
        for reply in replies {
            match reply.answer {
                Some((MemberRole::Primary, seen)) if seen > term => {
                    self.record_successor(reply.member, seen, now);
                    return;
                }
                Some((MemberRole::Replica, seen)) if seen <= term => {}
                _ => all_follow = false,
            }
        }
        let no_change = row.change.is_none() && self.successor.is_none();
        if all_follow && no_change {
            self.extend_assurance(asked_at);
        }
    }

    /// Records that another host knows the primary of `term` to be the only one up to
    /// an instant.
    pub fn observe_assurance(&mut self, primary: &str, term: Term, until: Instant) {
        let is_same = |row: &GroupRow| row.primary == primary && row.term == term;
        if self.row.as_ref().is_some_and(is_same) {
            self.extend_assurance(until);
        }
    }

    fn record_successor(&mut self, member: &str, term: Term, now: Instant) {
        if self
            .successor
            .as_ref()
            .is_some_and(|seen| seen.term >= term)
        {
            return;
        }
        self.successor = Some(ObservedSuccessor {
            primary: member.to_owned(),
            term,
            seen_at: now,
        });
    }

    /// Makes an observed successor the primary, once every assurance of its
    /// predecessor has ended.
    pub fn adopt_successor(&mut self, now: Instant) -> Option<PrimaryEvent> {
        let seen = self.successor.as_ref()?;
        if now < seen.seen_at + ASSURANCE_DURATION + ADOPTION_MARGIN {
            return None;
        }
        let row = GroupRow {
            primary: seen.primary.clone(),
            term: seen.term,
            change: None,
        };
        self.successor = None;
        self.assured_until = None;
        self.stepped_down = false;
        let event = PrimaryEvent::Changed {
            primary: row.primary.clone(),
            term: row.term,
        };
        self.row = Some(row);
        Some(event)
    }

    fn extend_assurance(&mut self, until: Instant) {
        self.assured_until = self.assured_until.max(Some(until));
    }
}
