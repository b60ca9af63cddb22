//! The failover of one group, as a state machine.
//!
//! Any daemon that reaches a majority of the members may act. The lease and the
//! jitter only keep daemons from disturbing each other. Safety rests on terms:
//! a member grants a term to one proposer, each attempt of this machine uses a
//! higher term than its previous ones, and it promotes at most one member per
//! term. A proposer that was paused past its lease is therefore harmless
//! whichever step it resumes at, and so is a lost or repeated answer.

mod event;
mod fence;
mod health;

use std::time::{Duration, Instant};

use slotmap::SecondaryMap;
use state::keys::MemberKey;
use state::log::Term;
use state::member::majority;

use crate::repair::{self, FollowOrder, RecentReport};
pub use event::{
    FailoverAction, FailoverEvent, FailoverPhase, FailoverTimes, JitterFraction, LeaseAnswer,
    ProposerNumber, StepAnswer,
};
pub use health::SuspicionReason;

use fence::FenceRound;
use health::{GroupHealth, HeardResult};

/// Timeout of the table service's answer; part of the 200 ms that the failover
/// budget has for lease or jitter.
pub const LEASE_TIMEOUT: Duration = Duration::from_millis(150);
/// Longest jittered wait in place of the lease.
const LEASE_JITTER: Duration = Duration::from_millis(200);
/// First backoff after a failed attempt; doubles with each further failure.
const BACKOFF_FIRST: Duration = Duration::from_millis(100);
/// Doublings after which the backoff stays the same (1.6 s).
const BACKOFF_DOUBLINGS: u32 = 4;
/// Shortest time between two checks of a suspected primary.
const RECHECK_SHORTEST: Duration = Duration::from_millis(20);
/// Multiple of `suspect_after` for which a primary that answers must stay
/// without followers: `follow` orders have to get their chance first.
const UNFOLLOWED_GRACE: u32 = 2;
/// Multiple of `suspect_after` between two attempts to move a leaving primary.
const LEAVING_RETRY: u32 = 10;

#[derive(Clone, Debug)]
enum MachineState {
    Steady,
    Suspect {
        since: Instant,
        /// No attempt before this instant: another daemon holds the lease, or
        /// the jitter takes the lease's place.
        not_before: Instant,
        probe_at: Instant,
    },
    Lease {
        give_up_at: Instant,
    },
    Fencing {
        round: FenceRound,
        avoided: Option<MemberKey>,
        resend_at: Option<Instant>,
        deadline: Instant,
    },
    Promoting {
        term: Term,
        member: MemberKey,
        resend_at: Option<Instant>,
        deadline: Instant,
    },
    Backoff {
        until: Instant,
    },
}

/// The failover machine of one group.
///
/// # Invariants
///
/// `attempted_term` rises with each fence, and a member is promoted only at the
/// term of a fence that a majority granted.
#[derive(Clone, Debug)]
pub struct FailoverMachine {
    times: FailoverTimes,
    proposer: ProposerNumber,
    health: GroupHealth,
    state: MachineState,
    attempted_term: Term,
    /// Highest term of an attempt at which a member had granted the term to
    /// another proposer, who may be about to promote.
    contested_term: Term,
    /// Highest term of which any member was told to be primary.
    promoted_term: Term,
    failures: u32,
    holds_lease: bool,
    /// Until when this machine may act, by lease or by jitter.
    authority_until: Option<Instant>,
    suspected_at: Option<Instant>,
    /// Instant at which the highest term was first seen.
    term_seen_at: Instant,
    leaving_retry_at: Option<Instant>,
    followed_at: SecondaryMap<MemberKey, Instant>,
    actions: Vec<FailoverAction>,
}

impl FailoverMachine {
    /// Creates a machine for a group with these members. When the members
    /// change, a new machine with a new proposer number replaces this one.
    pub fn new(
        members: impl IntoIterator<Item = MemberKey>,
        times: FailoverTimes,
        proposer: ProposerNumber,
        now: Instant,
    ) -> Self {
        Self {
            times,
            proposer,
            health: GroupHealth::new(members, times.suspect_after),
            state: MachineState::Steady,
            attempted_term: Term::default(),
            contested_term: Term::default(),
            promoted_term: Term::default(),
            failures: 0,
            holds_lease: false,
            authority_until: None,
            suspected_at: None,
            term_seen_at: now,
            leaving_retry_at: None,
            followed_at: SecondaryMap::new(),
            actions: Vec::new(),
        }
    }

    /// Returns the phase.
    pub fn phase(&self) -> FailoverPhase {
        match self.state {
            MachineState::Steady => FailoverPhase::Steady,
            MachineState::Suspect { .. } => FailoverPhase::Suspect,
            MachineState::Lease { .. } => FailoverPhase::Lease,
            MachineState::Fencing { .. } => FailoverPhase::Fencing,
            MachineState::Promoting { .. } => FailoverPhase::Promoting,
            MachineState::Backoff { .. } => FailoverPhase::Backoff,
        }
    }

    /// Returns why the primary is suspected at `now`, if it is.
    pub fn suspicion(&self, now: Instant) -> Option<SuspicionReason> {
        let reason = self.health.suspicion(now)?;
        let retry = self.leaving_retry_at.is_some_and(|at| now < at);
        let waits = retry && matches!(reason, SuspicionReason::Leaving(_));
        (!waits).then_some(reason)
    }

    /// Handles an event. The last action is always `WaitUntil`.
    pub fn handle(
        &mut self,
        event: FailoverEvent,
        now: Instant,
        jitter: JitterFraction,
    ) -> Vec<FailoverAction> {
        let highest = self.health.highest_term();
        self.note(event, now, jitter);
        if self.health.highest_term() > highest {
            self.term_seen_at = now;
        }
        self.abandon_if_superseded(now, jitter);
        self.step(now, jitter);
        let next = self.next_timer(now);
        self.actions.push(FailoverAction::WaitUntil(next));
        std::mem::take(&mut self.actions)
    }

    fn note(&mut self, event: FailoverEvent, now: Instant, jitter: JitterFraction) {
        match event {
            FailoverEvent::Report {
                member,
                report,
                asked_at,
            } => self.health.note_report(member, &report, asked_at),
            FailoverEvent::CallFailed {
                member,
                asked_at,
                refused,
            } => self.health.note_failure(member, asked_at, refused),
            FailoverEvent::Lease(answer) => self.note_lease(answer, now, jitter),
            FailoverEvent::Fence {
                member,
                term,
                answer,
                asked_at,
            } => {
                self.note_answer(member, answer, asked_at);
                self.note_fence(member, term, answer);
            }
            FailoverEvent::Promote {
                member,
                answer,
                asked_at,
                ..
            } => self.note_answer(member, answer, asked_at),
            FailoverEvent::Leaving { member, leaving } => {
                self.health.set_leaving(member, leaving);
            }
            FailoverEvent::Timer => {}
        }
    }

    fn note_answer(&mut self, member: MemberKey, answer: StepAnswer, asked_at: Instant) {
        match answer {
            StepAnswer::Accepted(report) => self.health.note_report(member, &report, asked_at),
            StepAnswer::StaleTerm(promised) => self.health.note_term(promised),
            StepAnswer::WrongProposer => {}
            StepAnswer::NoAnswer => self.health.note_failure(member, asked_at, false),
        }
    }

    fn note_fence(&mut self, member: MemberKey, term: Term, answer: StepAnswer) {
        let MachineState::Fencing { round, .. } = &mut self.state else {
            return;
        };
        if round.term != term {
            return;
        }
        match answer {
            // A report of a higher term means that another proposer came after.
            StepAnswer::Accepted(report) if report.promised_term == term => {
                round.grant(member, report.log);
            }
            StepAnswer::Accepted(_) | StepAnswer::StaleTerm(_) | StepAnswer::WrongProposer => {
                round.refuse(member);
                self.contested_term = term;
            }
            StepAnswer::NoAnswer => {}
        }
    }

    fn note_lease(&mut self, answer: LeaseAnswer, now: Instant, jitter: JitterFraction) {
        // A late answer to an earlier request still tells who holds the lease.
        if let LeaseAnswer::HeldByUs { until } = answer {
            if until > now {
                self.holds_lease = true;
                self.authority_until = self.authority_until.max(Some(until));
            }
        }
        if !matches!(self.state, MachineState::Lease { .. }) {
            return;
        }
        let not_before = match answer {
            LeaseAnswer::HeldByUs { until } if until > now => now,
            LeaseAnswer::HeldByOther { until } => until.min(now + self.times.lease),
            LeaseAnswer::HeldByUs { .. } | LeaseAnswer::NoAnswer => {
                self.go_without_lease(now, jitter)
            }
        };
        self.suspect(now, not_before);
    }

    /// Lets the jitter take the lease's place; returns its end.
    fn go_without_lease(&mut self, now: Instant, jitter: JitterFraction) -> Instant {
        let not_before = now + jitter.of(LEASE_JITTER);
        self.authority_until = Some(not_before + self.times.lease);
        not_before
    }

    /// Ends an attempt whose authority has lapsed or whose term is no longer
    /// the highest. Continuing would be safe but would disturb another daemon.
    fn abandon_if_superseded(&mut self, now: Instant, jitter: JitterFraction) {
        let term = match &self.state {
            MachineState::Fencing { round, .. } => round.term,
            MachineState::Promoting { term, .. } => *term,
            _ => return,
        };
        let lapsed = self.authority_until.is_none_or(|until| now >= until);
        if lapsed || self.health.highest_term() > term {
            self.back_off(now, jitter);
        }
    }

    fn step(&mut self, now: Instant, jitter: JitterFraction) {
        match &self.state {
            MachineState::Steady => self.step_steady(now),
            MachineState::Suspect { .. } => self.step_suspect(now),
            MachineState::Lease { give_up_at } => {
                if now >= *give_up_at {
                    let not_before = self.go_without_lease(now, jitter);
                    self.suspect(now, not_before);
                }
            }
            MachineState::Fencing { .. } => self.step_fencing(now, jitter),
            MachineState::Promoting { .. } => self.step_promoting(now, jitter),
            MachineState::Backoff { until } => {
                if now >= *until {
                    self.suspect(now, now);
                }
            }
        }
    }

    fn step_steady(&mut self, now: Instant) {
        if self.suspicion(now).is_some() {
            self.suspect(now, now);
            return;
        }
        self.release();
        self.failures = 0;
        self.suspected_at = None;
        self.repair(now);
    }

    fn step_suspect(&mut self, now: Instant) {
        let MachineState::Suspect {
            since,
            not_before,
            probe_at,
        } = self.state
        else {
            return;
        };
        let Some(reason) = self.suspicion(now) else {
            self.state = MachineState::Steady;
            self.step_steady(now);
            return;
        };
        self.repair(now);
        let answered = self.health.answered_since(since, now);
        if now >= not_before && answered >= majority(self.health.len()) {
            let Some(due) = self.due_at(reason, now) else {
                return self.attempt(reason, now);
            };
            if now >= probe_at {
                self.probe_all();
            }
            self.set_probe_at(if now >= probe_at {
                due
            } else {
                due.min(probe_at)
            });
        } else if now >= probe_at {
            self.probe_all();
            self.set_probe_at(now + self.times.probe_interval);
        }
    }

    fn set_probe_at(&mut self, at: Instant) {
        if let MachineState::Suspect { probe_at, .. } = &mut self.state {
            *probe_at = at;
        }
    }

    /// Returns when the reason must be checked again, or `None` when it
    /// justifies an attempt now.
    fn due_at(&self, reason: SuspicionReason, now: Instant) -> Option<Instant> {
        let shortest = now + RECHECK_SHORTEST;
        let suspect_after = self.times.suspect_after;
        let due = match reason {
            SuspicionReason::NoPrimary => {
                // Another proposer may be between fence and promote.
                let highest = self.health.highest_term();
                if highest == self.attempted_term && highest > self.contested_term {
                    return None;
                }
                self.term_seen_at + suspect_after
            }
            SuspicionReason::Silent(primary) => match self.health.heard(primary, now) {
                HeardResult::CannotServe => return None,
                HeardResult::MayServe { youngest } => {
                    let due = now + suspect_after.saturating_sub(youngest);
                    return Some(due.clamp(shortest, now + self.times.probe_interval));
                }
            },
            SuspicionReason::Unfollowed(_) => {
                self.suspected_at.unwrap_or(now) + suspect_after * UNFOLLOWED_GRACE
            }
            SuspicionReason::Leaving(_) => return None,
        };
        (due > now).then(|| due.min(now + self.times.probe_interval).max(shortest))
    }

    fn attempt(&mut self, reason: SuspicionReason, now: Instant) {
        if self.authority_until.is_some_and(|until| now < until) {
            self.fence(reason, now);
            return;
        }
        self.holds_lease = false;
        self.authority_until = None;
        self.actions.push(FailoverAction::AcquireLease);
        self.state = MachineState::Lease {
            give_up_at: now + LEASE_TIMEOUT,
        };
    }

    fn fence(&mut self, reason: SuspicionReason, now: Instant) {
        let term = self.health.highest_term().max(self.attempted_term).next();
        assert!(term > self.attempted_term, "each attempt uses a new term");
        self.attempted_term = term;
        let avoided = match reason {
            SuspicionReason::NoPrimary => None,
            SuspicionReason::Silent(primary)
            | SuspicionReason::Unfollowed(primary)
            | SuspicionReason::Leaving(primary) => Some(primary),
        };
        if matches!(reason, SuspicionReason::Leaving(_)) {
            self.leaving_retry_at = Some(now + self.times.suspect_after * LEAVING_RETRY);
        }
        self.state = MachineState::Fencing {
            round: FenceRound::new(term, self.health.len()),
            avoided,
            resend_at: Some(now + self.times.control_timeout / 2),
            deadline: now + self.times.control_timeout,
        };
        self.send_fences();
    }

    fn send_fences(&mut self) {
        let MachineState::Fencing { round, .. } = &self.state else {
            return;
        };
        let (term, proposer) = (round.term, self.proposer);
        let open = self.health.keys().filter(|key| !round.has_granted(*key));
        self.actions
            .extend(open.map(|member| FailoverAction::Fence {
                member,
                term,
                proposer,
            }));
    }

    fn step_fencing(&mut self, now: Instant, jitter: JitterFraction) {
        let MachineState::Fencing {
            round,
            avoided,
            resend_at,
            deadline,
        } = &mut self.state
        else {
            return;
        };
        let expired = now >= *deadline;
        let health = &self.health;
        let avoid = |key: MemberKey| Some(key) == *avoided || health.is_leaving(key);
        if let Some(member) = round.choose(avoid, expired) {
            let term = round.term;
            return self.promote(term, member, now);
        }
        if expired || round.is_lost() {
            return self.back_off(now, jitter);
        }
        if resend_at.is_some_and(|at| now >= at) {
            *resend_at = None;
            self.send_fences();
        }
    }

    fn promote(&mut self, term: Term, member: MemberKey, now: Instant) {
        assert!(term > self.promoted_term, "one member is promoted per term");
        self.promoted_term = term;
        self.state = MachineState::Promoting {
            term,
            member,
            resend_at: Some(now + self.times.control_timeout / 2),
            deadline: now + self.times.control_timeout,
        };
        self.send_promote(term, member);
    }

    fn send_promote(&mut self, term: Term, member: MemberKey) {
        self.actions.push(FailoverAction::Promote {
            member,
            term,
            proposer: self.proposer,
        });
    }

    fn step_promoting(&mut self, now: Instant, jitter: JitterFraction) {
        let MachineState::Promoting {
            term,
            member,
            resend_at,
            deadline,
        } = &mut self.state
        else {
            return;
        };
        let (term, member) = (*term, *member);
        if let Some((primary, _)) = self.health.primary() {
            // abandon_if_superseded() ruled out a higher term.
            return self.finish(term, primary, now);
        }
        if now >= *deadline {
            return self.back_off(now, jitter);
        }
        if resend_at.is_some_and(|at| now >= at) {
            *resend_at = None;
            self.send_promote(term, member);
        }
    }

    fn finish(&mut self, term: Term, primary: MemberKey, now: Instant) {
        let others = self.health.keys().filter(|key| *key != primary);
        self.actions.extend(others.map(|member| {
            FailoverAction::Follow(FollowOrder {
                member,
                term,
                primary,
            })
        }));
        for member in self.health.keys() {
            self.followed_at.insert(member, now);
        }
        self.failures = 0;
        self.suspected_at = None;
        self.release();
        self.state = MachineState::Steady;
    }

    fn back_off(&mut self, now: Instant, jitter: JitterFraction) {
        let doublings = self.failures.min(BACKOFF_DOUBLINGS);
        let backoff = BACKOFF_FIRST * 2u32.pow(doublings);
        self.failures = self.failures.saturating_add(1);
        let until = now + backoff / 2 + jitter.of(backoff);
        self.state = MachineState::Backoff { until };
    }

    fn suspect(&mut self, now: Instant, not_before: Instant) {
        self.suspected_at.get_or_insert(now);
        self.state = MachineState::Suspect {
            since: now,
            not_before,
            probe_at: now + self.times.probe_interval,
        };
        self.probe_all();
    }

    fn probe_all(&mut self) {
        let probes = self.health.keys().map(FailoverAction::Probe);
        self.actions.extend(probes);
    }

    fn release(&mut self) {
        if self.holds_lease {
            self.actions.push(FailoverAction::ReleaseLease);
        }
        self.holds_lease = false;
        self.authority_until = None;
    }

    /// Tells members without the right primary to follow it, each at most once
    /// per `suspect_after`.
    fn repair(&mut self, now: Instant) {
        let Some((key, _)) = self.health.primary() else {
            return;
        };
        let recent: Vec<RecentReport> = self.health.recent(now).collect();
        let Some(primary) = recent.iter().find(|report| report.member == key) else {
            return;
        };
        for member in &recent {
            let Some(order) = repair::follow_order(primary, member, self.times.suspect_after)
            else {
                continue;
            };
            let last = self.followed_at.get(order.member).copied();
            if last.is_some_and(|at| now < at + self.times.suspect_after) {
                continue;
            }
            self.followed_at.insert(order.member, now);
            self.actions.push(FailoverAction::Follow(order));
        }
    }

    fn next_timer(&self, now: Instant) -> Instant {
        let soon = now + RECHECK_SHORTEST;
        match &self.state {
            MachineState::Steady => self.steady_timer(now),
            MachineState::Suspect {
                not_before,
                probe_at,
                ..
            } if *not_before > now => (*not_before).min(*probe_at),
            MachineState::Suspect { probe_at, .. } => (*probe_at).max(soon),
            MachineState::Lease { give_up_at } => *give_up_at,
            MachineState::Fencing {
                resend_at,
                deadline,
                ..
            }
            | MachineState::Promoting {
                resend_at,
                deadline,
                ..
            } => resend_at.unwrap_or(*deadline),
            MachineState::Backoff { until } => *until,
        }
    }

    fn steady_timer(&self, now: Instant) -> Instant {
        let interval = now + self.times.probe_interval;
        let Some((_, answered_at)) = self.health.primary() else {
            return interval;
        };
        (answered_at + self.times.suspect_after).clamp(now + RECHECK_SHORTEST, interval)
    }
}
