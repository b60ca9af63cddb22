//! What the failover machine knows of the members.

use std::time::{Duration, Instant};

use slotmap::SecondaryMap;
use state::keys::MemberKey;
use state::log::Term;
use state::member::{majority, MemberReport, MemberRole};

use crate::repair::RecentReport;

/// Why the primary is suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspicionReason {
    /// No member is primary at the highest promised term.
    NoPrimary,
    /// The primary has not answered for `suspect_after`, or refuses connections.
    Silent(MemberKey),
    /// The primary answers, but too few members hear it to confirm a write.
    Unfollowed(MemberKey),
    /// The primary is leaving, and a majority of other members can replace it.
    Leaving(MemberKey),
}

/// Result of asking the members whether they hear the primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HeardResult {
    /// The primary and those that hear it may make a majority. `youngest` is
    /// the least age of a heartbeat.
    MayServe { youngest: Duration },
    /// They cannot.
    CannotServe,
}

#[derive(Clone, Copy, Debug, Default)]
struct MemberHealth {
    report: Option<MemberReport>,
    /// Instant at which the newest answered question was sent.
    answered_at: Option<Instant>,
    /// Instant at which the newest unanswered question was sent.
    failed_at: Option<Instant>,
    connection_refused: bool,
    leaving: bool,
}

/// The members of one group.
///
/// # Invariants
///
/// `highest_term` never falls.
#[derive(Clone, Debug)]
pub(super) struct GroupHealth {
    members: SecondaryMap<MemberKey, MemberHealth>,
    highest_term: Term,
    suspect_after: Duration,
}

impl GroupHealth {
    pub(super) fn new(
        members: impl IntoIterator<Item = MemberKey>,
        suspect_after: Duration,
    ) -> Self {
        let mut health = SecondaryMap::new();
        for member in members {
            health.insert(member, MemberHealth::default());
        }
        assert!(!health.is_empty(), "a group has at least one member");
        Self {
            members: health,
            highest_term: Term::default(),
            suspect_after,
        }
    }

    /// Enters a report. An older report does not replace one of a higher term.
    pub(super) fn note_report(&mut self, key: MemberKey, report: &MemberReport, asked_at: Instant) {
        let Some(member) = self.members.get_mut(key) else {
            return;
        };
        let newer = member.report.is_none_or(|known| {
            (known.promised_term, member.answered_at) <= (report.promised_term, Some(asked_at))
        });
        if newer {
            member.report = Some(*report);
        }
        member.answered_at = member.answered_at.max(Some(asked_at));
        if member.answered_at >= member.failed_at {
            member.connection_refused = false;
        }
        self.note_term(report.promised_term);
    }

    pub(super) fn note_failure(&mut self, key: MemberKey, asked_at: Instant, refused: bool) {
        let Some(member) = self.members.get_mut(key) else {
            return;
        };
        member.failed_at = member.failed_at.max(Some(asked_at));
        if member.failed_at > member.answered_at {
            member.connection_refused |= refused;
        }
    }

    pub(super) fn note_term(&mut self, term: Term) {
        self.highest_term = self.highest_term.max(term);
    }

    pub(super) fn set_leaving(&mut self, key: MemberKey, leaving: bool) {
        if let Some(member) = self.members.get_mut(key) {
            member.leaving = leaving;
        }
    }

    pub(super) fn highest_term(&self) -> Term {
        self.highest_term
    }

    pub(super) fn keys(&self) -> impl Iterator<Item = MemberKey> + '_ {
        self.members.keys()
    }

    pub(super) fn len(&self) -> usize {
        self.members.len()
    }

    pub(super) fn is_leaving(&self, key: MemberKey) -> bool {
        self.members.get(key).is_some_and(|member| member.leaving)
    }

    /// Returns the primary of the highest term and the instant at which its
    /// newest answered question was sent.
    pub(super) fn primary(&self) -> Option<(MemberKey, Instant)> {
        self.members.iter().find_map(|(key, member)| {
            let report = member.report?;
            let leads =
                report.role == MemberRole::Primary && report.promised_term == self.highest_term;
            leads.then_some((key, member.answered_at?))
        })
    }

    /// Tells why the primary is suspected, if it is.
    pub(super) fn suspicion(&self, now: Instant) -> Option<SuspicionReason> {
        let Some((primary, answered_at)) = self.primary() else {
            return Some(SuspicionReason::NoPrimary);
        };
        let silent = now.saturating_duration_since(answered_at) >= self.suspect_after;
        if silent || self.members[primary].connection_refused {
            return Some(SuspicionReason::Silent(primary));
        }
        if self.members.len() > 1 && self.possible_followers(primary, now) < self.needed() {
            return Some(SuspicionReason::Unfollowed(primary));
        }
        if self.members[primary].leaving && self.staying(now) >= majority(self.members.len()) {
            return Some(SuspicionReason::Leaving(primary));
        }
        None
    }

    /// Tells whether the primary may serve a majority that this daemon does not
    /// see.
    ///
    /// With a heartbeat heard by any member, members without a recent answer
    /// are taken to hear it too. Without one, the primary is down for everyone
    /// that a majority of members can speak for.
    pub(super) fn heard(&self, primary: MemberKey, now: Instant) -> HeardResult {
        let youngest = self
            .others(primary)
            .filter_map(|member| self.heartbeat_age(member, now))
            .min();
        match youngest {
            Some(youngest) if self.possible_followers(primary, now) >= self.needed() => {
                HeardResult::MayServe { youngest }
            }
            _ => HeardResult::CannotServe,
        }
    }

    /// Returns how many members answered a question that was sent at or after
    /// `since` and within `suspect_after`.
    pub(super) fn answered_since(&self, since: Instant, now: Instant) -> usize {
        let fresh = |member: &&MemberHealth| {
            self.is_recent(member, now) && member.answered_at.is_some_and(|at| at >= since)
        };
        self.members.values().filter(fresh).count()
    }

    /// Returns the recent reports.
    pub(super) fn recent(&self, now: Instant) -> impl Iterator<Item = RecentReport> + '_ {
        self.members
            .iter()
            .filter(move |(_, member)| self.is_recent(member, now))
            .filter_map(|(key, member)| {
                Some(RecentReport {
                    member: key,
                    report: member.report?,
                })
            })
    }

    /// Returns how many members, other than the primary itself, must follow.
    fn needed(&self) -> usize {
        majority(self.members.len()) - 1
    }

    fn others(&self, primary: MemberKey) -> impl Iterator<Item = &MemberHealth> {
        self.members
            .iter()
            .filter(move |(key, _)| *key != primary)
            .map(|(_, member)| member)
    }

    fn possible_followers(&self, primary: MemberKey, now: Instant) -> usize {
        let may_hear = |member: &&MemberHealth| {
            !self.is_recent(member, now) || self.heartbeat_age(member, now).is_some()
        };
        self.others(primary).filter(may_hear).count()
    }

    fn staying(&self, now: Instant) -> usize {
        let stays = |member: &&MemberHealth| !member.leaving && self.is_recent(member, now);
        self.members.values().filter(stays).count()
    }

    /// Returns the age of the last heartbeat of the primary of the highest
    /// term, if a recent report shows one below `suspect_after`.
    fn heartbeat_age(&self, member: &MemberHealth, now: Instant) -> Option<Duration> {
        if !self.is_recent(member, now) {
            return None;
        }
        let report = member.report?;
        if report.promised_term != self.highest_term {
            return None;
        }
        report
            .primary_heartbeat_age
            .filter(|age| *age < self.suspect_after)
    }

    fn is_recent(&self, member: &MemberHealth, now: Instant) -> bool {
        member
            .answered_at
            .is_some_and(|at| now.saturating_duration_since(at) < self.suspect_after)
    }
}
