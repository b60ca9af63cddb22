//! State machine that replaces the failed primary of one group.
//!
//! Any daemon that reaches a majority of the members may run a failover. The
//! lease and the jitter only keep daemons from competing with each other.
//! Safety depends on terms alone: a member grants a term to one proposer, each
//! attempt of this machine uses a higher term than its previous attempts, and
//! the machine promotes at most one member per term. Safety therefore holds
//! when answers are lost or repeated, and when a proposer is paused past its
//! lease and resumes at any step.

mod event;
mod fence;
mod health;

use std::time::{Duration, Instant};

use slotmap::SecondaryMap;
use state::keys::MemberKey;
use state::log::Term;
use state::member::majority;

use crate::follow_order::{self, FollowOrder, RecentReport};
pub use event::{
    FailoverAction, FailoverEvent, FailoverPhase, FailoverTimes, JitterFraction, LeaseAnswer,
    ProposerNumber, StepAnswer,
};
pub use health::SuspicionReason;

use fence::FenceRound;
use health::{GroupHealth, PrimaryReachability};

/// Timeout of a lease request to the table service. It fits into the 200 ms
/// that the failover budget allows for the lease or the jitter.
pub const LEASE_TIMEOUT: Duration = Duration::from_millis(150);
/// Upper limit of the random waits that keep daemons apart: the one that replaces
/// the lease when the table service gives no usable answer, and the one before a
/// term of another proposer is superseded.
const MAX_JITTER: Duration = Duration::from_millis(200);
/// Backoff after the first failed attempt; it doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Number of doublings after which the backoff stays constant, at 1.6 s.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Minimum time between two checks of a suspected primary.
const MIN_RECHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Multiple of `suspect_after` for which a responsive primary must lack a
/// quorum of followers before it is replaced, so that `follow` orders can take
/// effect first.
const QUORUM_LOSS_GRACE_FACTOR: u32 = 2;
/// Multiple of `suspect_after` between two attempts to replace a leaving primary.
const LEAVING_RETRY_FACTOR: u32 = 10;

#[derive(Clone, Debug)]
enum MachineState {
    Steady,
    Suspect {
        since: Instant,
        /// Earliest instant of an attempt: the end of another daemon's lease or
        /// of the jitter.
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

/// Detects the failure of a group's primary and promotes a replacement.
///
/// # Invariants
///
/// `attempted_term` rises with each fence round. A member is promoted only at
/// the term of a fence that a majority granted.
#[derive(Clone, Debug)]
pub struct FailoverMachine {
    times: FailoverTimes,
    proposer: ProposerNumber,
    health: GroupHealth,
    state: MachineState,
    attempted_term: Term,
    /// Highest attempted term that another proposer may have been granted by a
    /// majority. It may then be about to promote a member.
    contested_term: Term,
    /// Highest term at which this machine ordered a promotion.
    promoted_term: Term,
    failures: u32,
    holds_lease: bool,
    /// Instant until which this machine may run attempts, granted by the lease
    /// or by the jitter.
    authority_until: Option<Instant>,
    suspected_at: Option<Instant>,
    /// Instant at which the highest term was first reported.
    term_seen_at: Instant,
    /// Time from `term_seen_at` for which the proposer of that term is not
    /// interfered with. It differs between daemons, because they see a term at
    /// the same time and would otherwise compete for the next one.
    rival_wait: Duration,
    leaving_retry_at: Option<Instant>,
    followed_at: SecondaryMap<MemberKey, Instant>,
    actions: Vec<FailoverAction>,
}

impl FailoverMachine {
    /// Creates a machine for a group with these members. A change of the members
    /// requires a new machine with a new proposer number.
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
            rival_wait: times.suspect_after,
            leaving_retry_at: None,
            followed_at: SecondaryMap::new(),
            actions: Vec::new(),
        }
    }

    /// Returns the current phase.
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

    /// Returns why the primary is suspected at `now`, or `None` if it is not. A
    /// leaving primary is not reported again until the retry interval has passed.
    pub fn suspicion(&self, now: Instant) -> Option<SuspicionReason> {
        let reason = self.health.suspicion(now)?;
        let retry_pending = self.leaving_retry_at.is_some_and(|at| now < at);
        let suppressed = retry_pending && matches!(reason, SuspicionReason::Leaving(_));
        (!suppressed).then_some(reason)
    }

    /// Handles an event and returns the actions to carry out. The last action is
    /// always [`FailoverAction::WaitUntil`].
    pub fn handle(
        &mut self,
        event: FailoverEvent,
        now: Instant,
        jitter: JitterFraction,
    ) -> Vec<FailoverAction> {
        let highest = self.health.highest_term();
        self.apply_event(event, now, jitter);
        if self.health.highest_term() > highest {
            self.term_seen_at = now;
            self.rival_wait = self.times.suspect_after + jitter.of(MAX_JITTER);
        }
        self.abandon_if_superseded(now, jitter);
        self.step(now, jitter);
        let next = self.next_timer(now);
        self.actions.push(FailoverAction::WaitUntil(next));
        std::mem::take(&mut self.actions)
    }

    fn apply_event(&mut self, event: FailoverEvent, now: Instant, jitter: JitterFraction) {
        match event {
            FailoverEvent::Report {
                member,
                report,
                asked_at,
            } => self.health.record_report(member, &report, asked_at),
            FailoverEvent::CallFailed {
                member,
                asked_at,
                refused,
            } => self.health.record_failure(member, asked_at, refused),
            FailoverEvent::Lease(answer) => self.apply_lease_answer(answer, now, jitter),
            FailoverEvent::Fence {
                member,
                term,
                answer,
                asked_at,
            } => {
                self.apply_step_answer(member, answer, asked_at);
                self.apply_fence_answer(member, term, answer);
            }
            FailoverEvent::Promote {
                member,
                answer,
                asked_at,
                ..
            } => self.apply_step_answer(member, answer, asked_at),
            FailoverEvent::Leaving { member, leaving } => {
                self.health.set_leaving(member, leaving);
            }
            FailoverEvent::Timer => {}
        }
    }

    fn apply_step_answer(&mut self, member: MemberKey, answer: StepAnswer, asked_at: Instant) {
        match answer {
            StepAnswer::Accepted(report) => self.health.record_report(member, &report, asked_at),
            StepAnswer::StaleTerm(promised) => self.health.record_term(promised),
            StepAnswer::WrongProposer => {}
            StepAnswer::NoAnswer => self.health.record_failure(member, asked_at, false),
        }
    }

    fn apply_fence_answer(&mut self, member: MemberKey, term: Term, answer: StepAnswer) {
        let MachineState::Fencing { round, .. } = &mut self.state else {
            return;
        };
        if round.term != term {
            return;
        }
        match answer {
            // A report of a higher term means that another proposer has fenced
            // the member since.
            StepAnswer::Accepted(report) if report.promised_term == term => {
                round.grant(member, report.log);
            }
            StepAnswer::Accepted(_) | StepAnswer::StaleTerm(_) | StepAnswer::WrongProposer => {
                round.refuse(member);
            }
            StepAnswer::NoAnswer => {}
        }
    }

    fn apply_lease_answer(&mut self, answer: LeaseAnswer, now: Instant, jitter: JitterFraction) {
        // A late answer to an earlier request still shows who holds the lease.
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
                self.fall_back_to_jitter(now, jitter)
            }
        };
        self.enter_suspect(now, not_before);
    }

    /// Grants this machine authority without the lease, after a random wait.
    /// Returns the end of the wait.
    fn fall_back_to_jitter(&mut self, now: Instant, jitter: JitterFraction) -> Instant {
        let not_before = now + jitter.of(MAX_JITTER);
        self.authority_until = Some(not_before + self.times.lease);
        not_before
    }

    /// Ends an attempt whose authority has expired or whose term is no longer
    /// the highest. Continuing would be safe, but would interfere with another
    /// daemon's attempt.
    fn abandon_if_superseded(&mut self, now: Instant, jitter: JitterFraction) {
        let term = match &self.state {
            MachineState::Fencing { round, .. } => round.term,
            MachineState::Promoting { term, .. } => *term,
            _ => return,
        };
        let expired = self.authority_until.is_none_or(|until| now >= until);
        if expired || self.health.highest_term() > term {
            self.back_off(now, jitter);
        }
    }

    fn step(&mut self, now: Instant, jitter: JitterFraction) {
        match &self.state {
            MachineState::Steady => self.step_steady(now),
            MachineState::Suspect { .. } => self.step_suspect(now),
            MachineState::Lease { give_up_at } => {
                if now >= *give_up_at {
                    let not_before = self.fall_back_to_jitter(now, jitter);
                    self.enter_suspect(now, not_before);
                }
            }
            MachineState::Fencing { .. } => self.step_fencing(now, jitter),
            MachineState::Promoting { .. } => self.step_promoting(now, jitter),
            MachineState::Backoff { until } => {
                if now >= *until {
                    self.enter_suspect(now, now);
                }
            }
        }
    }

    fn step_steady(&mut self, now: Instant) {
        if self.suspicion(now).is_some() {
            self.enter_suspect(now, now);
            return;
        }
        self.release_lease();
        self.failures = 0;
        self.suspected_at = None;
        self.send_follow_orders(now);
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
        self.send_follow_orders(now);
        let answered = self.health.answered_since(since, now);
        if now >= not_before && answered >= majority(self.health.len()) {
            let Some(due) = self.recheck_at(reason, now) else {
                return self.start_attempt(reason, now);
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

    /// Returns when the suspicion must be checked again, or `None` when it
    /// justifies an attempt now.
    fn recheck_at(&self, reason: SuspicionReason, now: Instant) -> Option<Instant> {
        let shortest = now + MIN_RECHECK_INTERVAL;
        let suspect_after = self.times.suspect_after;
        let due = match reason {
            SuspicionReason::NoPrimary => {
                // Another proposer may have fenced the members and be about to
                // promote one.
                let highest = self.health.highest_term();
                if highest == self.attempted_term && highest > self.contested_term {
                    return None;
                }
                self.term_seen_at + self.rival_wait
            }
            SuspicionReason::Unreachable(primary) => match self.health.reachability(primary, now) {
                PrimaryReachability::CannotServe => return None,
                PrimaryReachability::MayServe { min_heartbeat_age } => {
                    let due = now + suspect_after.saturating_sub(min_heartbeat_age);
                    return Some(due.clamp(shortest, now + self.times.probe_interval));
                }
            },
            SuspicionReason::QuorumLost(_) => {
                self.suspected_at.unwrap_or(now) + suspect_after * QUORUM_LOSS_GRACE_FACTOR
            }
            SuspicionReason::Leaving(_) => return None,
        };
        (due > now).then(|| due.min(now + self.times.probe_interval).max(shortest))
    }

    fn start_attempt(&mut self, reason: SuspicionReason, now: Instant) {
        if self.authority_until.is_some_and(|until| now < until) {
            self.start_fencing(reason, now);
            return;
        }
        self.holds_lease = false;
        self.authority_until = None;
        self.actions.push(FailoverAction::AcquireLease);
        self.state = MachineState::Lease {
            give_up_at: now + LEASE_TIMEOUT,
        };
    }

    fn start_fencing(&mut self, reason: SuspicionReason, now: Instant) {
        let term = self.health.highest_term().max(self.attempted_term).next();
        assert!(
            term > self.attempted_term,
            "an attempt must use a higher term than its predecessor"
        );
        self.attempted_term = term;
        let avoided = match reason {
            SuspicionReason::NoPrimary => None,
            SuspicionReason::Unreachable(primary)
            | SuspicionReason::QuorumLost(primary)
            | SuspicionReason::Leaving(primary) => Some(primary),
        };
        if matches!(reason, SuspicionReason::Leaving(_)) {
            self.leaving_retry_at = Some(now + self.times.suspect_after * LEAVING_RETRY_FACTOR);
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
        if let Some(member) = round.choose_candidate(avoid, expired) {
            let term = round.term;
            return self.start_promotion(term, member, now);
        }
        let is_down = |key: MemberKey| health.is_down(key);
        if expired || round.cannot_succeed(health.keys(), is_down) {
            if round.rival_may_win(health.keys(), is_down) {
                self.contested_term = round.term;
            }
            return self.back_off(now, jitter);
        }
        if resend_at.is_some_and(|at| now >= at) {
            *resend_at = None;
            self.send_fences();
        }
    }

    fn start_promotion(&mut self, term: Term, member: MemberKey, now: Instant) {
        assert!(
            term > self.promoted_term,
            "at most one member may be promoted per term"
        );
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
            // The primary is at `term`: `abandon_if_superseded` ruled out a
            // higher one.
            return self.complete_promotion(term, primary, now);
        }
        if now >= *deadline {
            return self.back_off(now, jitter);
        }
        if resend_at.is_some_and(|at| now >= at) {
            *resend_at = None;
            self.send_promote(term, member);
        }
    }

    fn complete_promotion(&mut self, term: Term, primary: MemberKey, now: Instant) {
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
        self.release_lease();
        self.state = MachineState::Steady;
    }

    fn back_off(&mut self, now: Instant, jitter: JitterFraction) {
        let doublings = self.failures.min(MAX_BACKOFF_DOUBLINGS);
        let backoff = INITIAL_BACKOFF * 2u32.pow(doublings);
        self.failures = self.failures.saturating_add(1);
        let until = now + backoff / 2 + jitter.of(backoff);
        self.state = MachineState::Backoff { until };
    }

    fn enter_suspect(&mut self, now: Instant, not_before: Instant) {
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

    fn release_lease(&mut self) {
        if self.holds_lease {
            self.actions.push(FailoverAction::ReleaseLease);
        }
        self.holds_lease = false;
        self.authority_until = None;
    }

    /// Orders members that do not follow the primary to follow it, each member
    /// at most once per `suspect_after`.
    fn send_follow_orders(&mut self, now: Instant) {
        let Some((key, _)) = self.health.primary() else {
            return;
        };
        let recent: Vec<RecentReport> = self.health.recent_reports(now).collect();
        let Some(primary) = recent.iter().find(|report| report.member == key) else {
            return;
        };
        for member in &recent {
            let Some(order) =
                follow_order::required_order(primary, member, self.times.suspect_after)
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
        let soon = now + MIN_RECHECK_INTERVAL;
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
        (answered_at + self.times.suspect_after).clamp(now + MIN_RECHECK_INTERVAL, interval)
    }
}
