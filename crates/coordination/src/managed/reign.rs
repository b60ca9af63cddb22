//! Who is the primary of a group, and up to which instant this is certain.
//!
//! # Why an assurance holds
//!
//! A read of the group's row that was asked at `t` and shows no announced
//! change assures the primary until `t + ASSURANCE`. Whoever changes the
//! primary writes the announcement first and uses the next primary only when
//! `ASSURANCE` has passed since that write was acknowledged. So no commit of a
//! next primary is acknowledged before the end of any assurance.
//!
//! While the store cannot be read, the members themselves are asked: when every
//! other member answers as a replica of the same term, no member had been
//! promoted at the instant of the question.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use state::log::Term;
use state::member::MemberRole;

/// Time for which one read of the row assures the primary. It is part of each
/// unplanned change of primary (target: 8 s) and must exceed the interval of
/// the reads by a slow answer of the store.
pub const ASSURANCE: Duration = Duration::from_millis(1_000);
/// Interval of the reads of the row: one read may be lost or slow before an
/// assurance ends.
pub const READ_INTERVAL: Duration = Duration::from_millis(600);
/// The same while the row of a successor is expected.
const READ_INTERVAL_CHANGING: Duration = Duration::from_millis(100);
/// Time from the first sight of an announcement until the row of a successor is
/// expected: it follows all assurances, and the announcement may be as old as
/// the last read.
const SUCCESSOR_EXPECTED: Duration =
    Duration::from_millis((ASSURANCE.as_millis() - READ_INTERVAL.as_millis()) as u64);
/// Time after which a change is taken for stuck and read about as usual.
const CHANGE_STUCK: Duration = Duration::from_secs(3);
/// Extra wait of a successor that was found without the store: the difference
/// between the instants at which hosts may have read the row.
const ADOPTION_MARGIN: Duration = Duration::from_millis(500);

/// Value of a group's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct ReignRow {
    /// Identity of the primary, or of the last one while a change is announced.
    pub primary: String,
    /// Its term.
    pub term: Term,
    /// An announced change; no new work goes to the primary.
    pub change: Option<AnnouncedChange>,
}

/// A change of primary that has begun.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct AnnouncedChange {
    /// Host that announced it.
    pub host: String,
    /// Fencing token of its duty.
    pub fencing_token: u64,
    /// The primary steps down in order: it takes work until it refuses, as long
    /// as it is assured.
    pub orderly: bool,
}

/// What a member answered in a round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoundReply<'a> {
    /// Identity of the member.
    pub member: &'a str,
    /// Role and newest term, or nothing when it did not answer.
    pub answer: Option<(MemberRole, Term)>,
}

/// Whether an answer of the primary of a term counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AssuranceState {
    /// It does.
    Given,
    /// It may, after a later observation.
    Pending,
    /// It never will: another reign has begun.
    Lost,
}

/// What changed by an observation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReignEvent {
    /// Another primary or term is in force.
    Settled {
        /// Identity of the primary.
        primary: String,
        /// Its term.
        term: Term,
    },
    /// The primary is about to change.
    Announced {
        /// Host that changes it.
        host: String,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct SuccessorSight {
    primary: String,
    term: Term,
    seen_at: Instant,
}

/// One host's knowledge of a group's primary.
///
/// # Invariants
///
/// `revision` never falls. `assured_until` belongs to the primary of `row`, and
/// every acknowledged commit of a later primary comes after it.
#[derive(Clone, Debug, Default)]
pub struct ReignView {
    row: Option<ReignRow>,
    revision: u64,
    assured_until: Option<Instant>,
    successor: Option<SuccessorSight>,
    /// The primary of `row` said that it does not lead.
    stepped_down: bool,
    /// Instant at which the present lack of a primary was first seen.
    lacking_since: Option<Instant>,
    /// Instant at which the present change of primary was first seen.
    changing_since: Option<Instant>,
}

impl ReignView {
    /// Returns the row as last seen.
    pub fn row(&self) -> Option<&ReignRow> {
        self.row.as_ref()
    }

    /// Returns the revision of the row; 0 when it was never seen.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the term in force.
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

    /// Tells whether a change of primary is under way.
    pub fn is_changing(&self) -> bool {
        let announced = self.row.as_ref().is_some_and(|row| row.change.is_some());
        announced || (self.row.is_some() && self.primary().is_none())
    }

    /// Returns since when no primary takes work; nothing while one does.
    pub fn lacking_since(&self) -> Option<Instant> {
        self.lacking_since
    }

    /// Returns the time until the next read of the row.
    pub fn read_interval(&self, now: Instant) -> Duration {
        let Some(since) = self.changing_since else {
            return READ_INTERVAL;
        };
        let elapsed = now.saturating_duration_since(since);
        if elapsed >= CHANGE_STUCK {
            return READ_INTERVAL;
        }
        let left = SUCCESSOR_EXPECTED.saturating_sub(elapsed);
        left.max(READ_INTERVAL_CHANGING)
    }

    /// Enters the instant of a look at the group.
    pub fn observe_lack(&mut self, now: Instant) {
        self.changing_since = match self.is_changing() {
            true => self.changing_since.or(Some(now)),
            false => None,
        };
        match self.primary() {
            Some(_) => self.lacking_since = None,
            None => {
                self.lacking_since.get_or_insert(now);
            }
        }
    }

    /// Enters whether a member says that it leads.
    pub fn observe_role(&mut self, member: &str, leads: bool) {
        if self.row.as_ref().is_some_and(|row| row.primary == member) {
            self.stepped_down = !leads;
        }
    }

    /// Returns the instant up to which the primary is certain.
    pub fn assured_until(&self) -> Option<Instant> {
        self.assured_until
    }

    /// Tells whether the primary was the only one at an instant.
    pub fn is_assured(&self, instant: Instant) -> bool {
        self.assured_until.is_some_and(|until| until >= instant)
    }

    /// Tells whether the primary of `term` was the only one at an instant. An
    /// assurance of a later primary says nothing about its predecessor.
    pub fn assurance_of(&self, term: Term, instant: Instant) -> AssuranceState {
        if self.term() != term {
            return AssuranceState::Lost;
        }
        match self.is_assured(instant) {
            true => AssuranceState::Given,
            false => AssuranceState::Pending,
        }
    }

    /// Enters a read of the row that was asked at `asked_at`.
    pub fn observe_row(
        &mut self,
        row: &ReignRow,
        revision: u64,
        asked_at: Instant,
    ) -> Option<ReignEvent> {
        if revision < self.revision || self.is_behind(row) {
            return None;
        }
        self.revision = revision;
        let event = self.describe_change(row);
        let same_reign = self
            .row
            .as_ref()
            .is_some_and(|known| known.primary == row.primary && known.term == row.term);
        if !same_reign {
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
        if row.change.is_none() && self.successor.is_none() {
            self.extend(asked_at + ASSURANCE);
        }
        event
    }

    /// A successor that was adopted without the store may be ahead of the row.
    fn is_behind(&self, row: &ReignRow) -> bool {
        row.term < self.term()
    }

    fn describe_change(&self, row: &ReignRow) -> Option<ReignEvent> {
        if self.row.as_ref() == Some(row) {
            return None;
        }
        Some(match &row.change {
            Some(change) => ReignEvent::Announced {
                host: change.host.clone(),
            },
            None => ReignEvent::Settled {
                primary: row.primary.clone(),
                term: row.term,
            },
        })
    }

    /// Enters the replies of the members other than the primary to questions
    /// that were sent at `asked_at` or later.
    pub fn observe_round(&mut self, replies: &[RoundReply<'_>], asked_at: Instant, now: Instant) {
        let Some(row) = &self.row else {
            return;
        };
        let term = row.term;
        let mut all_follow = true;
        for reply in replies {
            match reply.answer {
                Some((MemberRole::Primary, seen)) if seen > term => {
                    self.note_successor(reply.member, seen, now);
                    return;
                }
                Some((MemberRole::Replica, seen)) if seen <= term => {}
                _ => all_follow = false,
            }
        }
        let undisturbed = row.change.is_none() && self.successor.is_none();
        if all_follow && undisturbed {
            self.extend(asked_at);
        }
    }

    fn note_successor(&mut self, member: &str, term: Term, now: Instant) {
        if self
            .successor
            .as_ref()
            .is_some_and(|seen| seen.term >= term)
        {
            return;
        }
        self.successor = Some(SuccessorSight {
            primary: member.to_owned(),
            term,
            seen_at: now,
        });
    }

    /// Takes a successor into use that members showed, once every assurance of
    /// its predecessor has ended.
    pub fn adopt_successor(&mut self, now: Instant) -> Option<ReignEvent> {
        let seen = self.successor.as_ref()?;
        if now < seen.seen_at + ASSURANCE + ADOPTION_MARGIN {
            return None;
        }
        let row = ReignRow {
            primary: seen.primary.clone(),
            term: seen.term,
            change: None,
        };
        self.successor = None;
        self.assured_until = None;
        self.stepped_down = false;
        let event = ReignEvent::Settled {
            primary: row.primary.clone(),
            term: row.term,
        };
        self.row = Some(row);
        Some(event)
    }

    fn extend(&mut self, until: Instant) {
        self.assured_until = self.assured_until.max(Some(until));
    }
}
