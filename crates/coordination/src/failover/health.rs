//! Health of a group's members as one daemon observes it.

use std::time::{Duration, Instant};

use slotmap::SecondaryMap;
use state::keys::MemberKey;
use state::log::Term;
use state::member::{majority, MemberReport, MemberRole};

use crate::follow_order::RecentReport;

/// Why the primary is suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspicionReason {
    /// No member is primary at the highest promised term.
    NoPrimary,
    /// The primary has not answered for `suspect_after`, or its host refuses
    /// connections.
    Unreachable(MemberKey),
    /// The primary answers, but too few members receive its heartbeats to
    /// confirm a write.
    QuorumLost(MemberKey),
    /// The primary is leaving, and a majority of the members answer and are not
    /// leaving.
    Leaving(MemberKey),
}

/// Whether the primary may reach a majority, according to the members' reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PrimaryReachability {
    /// The primary and the members that may receive its heartbeats are a
    /// majority. `min_heartbeat_age` is the age of the newest reported heartbeat.
    MayServe { min_heartbeat_age: Duration },
    /// No member reports a recent heartbeat, or too few members can receive one.
    CannotServe,
}

#[derive(Clone, Copy, Debug, Default)]
struct MemberHealth {
    report: Option<MemberReport>,
    /// Instant at which the newest answered call was sent.
    answered_at: Option<Instant>,
    /// Instant at which the newest failed call was sent.
    failed_at: Option<Instant>,
    connection_refused: bool,
    leaving: bool,
}

/// Health of the members of one group.
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
        let mut member_health = SecondaryMap::new();
        for member in members {
            member_health.insert(member, MemberHealth::default());
        }
        assert!(
            !member_health.is_empty(),
            "a group must have at least one member"
        );
        Self {
            members: member_health,
            highest_term: Term::default(),
            suspect_after,
        }
    }

    /// Records a report. A report is replaced only by one of a higher term, or of
    /// the same term whose call was sent at the same time or later.
    pub(super) fn record_report(
        &mut self,
        key: MemberKey,
        report: &MemberReport,
        asked_at: Instant,
    ) {
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
        self.record_term(report.promised_term);
    }

    pub(super) fn record_failure(&mut self, key: MemberKey, asked_at: Instant, refused: bool) {
        let Some(member) = self.members.get_mut(key) else {
            return;
        };
        member.failed_at = member.failed_at.max(Some(asked_at));
        if member.failed_at > member.answered_at {
            member.connection_refused |= refused;
        }
    }

    pub(super) fn record_term(&mut self, term: Term) {
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

    /// Returns whether the member's host refuses connections.
    pub(super) fn is_down(&self, key: MemberKey) -> bool {
        self.members
            .get(key)
            .is_some_and(|member| member.connection_refused)
    }

    /// Returns the primary of the highest term and the instant at which its
    /// newest answered call was sent.
    pub(super) fn primary(&self) -> Option<(MemberKey, Instant)> {
        self.members.iter().find_map(|(key, member)| {
            let report = member.report?;
            let is_primary =
                report.role == MemberRole::Primary && report.promised_term == self.highest_term;
            is_primary.then_some((key, member.answered_at?))
        })
    }

    /// Returns why the primary is suspected, or `None` if it is not.
    pub(super) fn suspicion(&self, now: Instant) -> Option<SuspicionReason> {
        let Some((primary, answered_at)) = self.primary() else {
            return Some(SuspicionReason::NoPrimary);
        };
        let silent = now.saturating_duration_since(answered_at) >= self.suspect_after;
        if silent || self.members[primary].connection_refused {
            return Some(SuspicionReason::Unreachable(primary));
        }
        if self.members.len() > 1
            && self.possible_followers(primary, now) < self.required_followers()
        {
            return Some(SuspicionReason::QuorumLost(primary));
        }
        if self.members[primary].leaving
            && self.replacement_candidates(now) >= majority(self.members.len())
        {
            return Some(SuspicionReason::Leaving(primary));
        }
        None
    }

    /// Returns whether the primary may still reach a majority although this
    /// daemon cannot reach it.
    ///
    /// If any member reports a recent heartbeat, members without a recent answer
    /// are assumed to receive heartbeats too. If none does, the primary counts
    /// as down; the attempt still needs recent answers of a majority.
    pub(super) fn reachability(&self, primary: MemberKey, now: Instant) -> PrimaryReachability {
        let min_heartbeat_age = self
            .other_members(primary)
            .filter_map(|member| self.heartbeat_age(member, now))
            .min();
        match min_heartbeat_age {
            Some(min_heartbeat_age)
                if self.possible_followers(primary, now) >= self.required_followers() =>
            {
                PrimaryReachability::MayServe { min_heartbeat_age }
            }
            _ => PrimaryReachability::CannotServe,
        }
    }

    /// Returns how many members answered a call that was sent at or after `since`
    /// and less than `suspect_after` ago.
    pub(super) fn answered_since(&self, since: Instant, now: Instant) -> usize {
        let fresh = |member: &&MemberHealth| {
            self.answered_recently(member, now) && member.answered_at.is_some_and(|at| at >= since)
        };
        self.members.values().filter(fresh).count()
    }

    /// Returns the reports of the members that answered recently.
    pub(super) fn recent_reports(&self, now: Instant) -> impl Iterator<Item = RecentReport> + '_ {
        self.members
            .iter()
            .filter(move |(_, member)| self.answered_recently(member, now))
            .filter_map(|(key, member)| {
                Some(RecentReport {
                    member: key,
                    report: member.report?,
                })
            })
    }

    /// Returns how many members must follow the primary to confirm a write.
    fn required_followers(&self) -> usize {
        majority(self.members.len()) - 1
    }

    fn other_members(&self, primary: MemberKey) -> impl Iterator<Item = &MemberHealth> {
        self.members
            .iter()
            .filter(move |(key, _)| *key != primary)
            .map(|(_, member)| member)
    }

    fn possible_followers(&self, primary: MemberKey, now: Instant) -> usize {
        let may_follow = |member: &&MemberHealth| {
            !self.answered_recently(member, now) || self.heartbeat_age(member, now).is_some()
        };
        self.other_members(primary).filter(may_follow).count()
    }

    fn replacement_candidates(&self, now: Instant) -> usize {
        let can_replace =
            |member: &&MemberHealth| !member.leaving && self.answered_recently(member, now);
        self.members.values().filter(can_replace).count()
    }

    /// Returns the age of the last heartbeat that the member received from the
    /// primary of the highest term, if a recent report shows an age below
    /// `suspect_after`.
    fn heartbeat_age(&self, member: &MemberHealth, now: Instant) -> Option<Duration> {
        if !self.answered_recently(member, now) {
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

    fn answered_recently(&self, member: &MemberHealth, now: Instant) -> bool {
        member
            .answered_at
            .is_some_and(|at| now.saturating_duration_since(at) < self.suspect_after)
    }
}
