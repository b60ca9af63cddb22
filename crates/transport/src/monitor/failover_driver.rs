//! Feeds the failover machine and keeps its timer.

use std::time::{Duration, Instant};

use coordination::failover::{
    FailoverAction, FailoverEvent, FailoverMachine, FailoverPhase, FailoverTimes, JitterFraction,
    ProposerNumber,
};
use coordination::view::GroupView;
use state::document::FailoverTiming;
use state::log::Term;

/// Probe intervals that must fit into `suspect_after`, so that one lost probe
/// raises no suspicion when the probe budget stretches the interval.
const INTERVALS_BEFORE_SUSPICION: u32 = 2;

/// The failover machine of a group with its timer.
#[derive(Debug)]
pub(super) struct FailoverDriver {
    machine: FailoverMachine,
    timing: FailoverTiming,
    interval: Duration,
    timer: Instant,
    /// The suspicion that is being dealt with.
    disturbance: Option<Disturbance>,
}

/// A suspicion, from the first doubt until the primary serves again.
#[derive(Clone, Copy, Debug)]
struct Disturbance {
    since: Instant,
    /// Highest term known at its start.
    term: Term,
}

/// A change of phase, for the log and the metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PhaseChange {
    pub from: FailoverPhase,
    pub to: FailoverPhase,
    /// Time since the primary was first suspected.
    pub since_suspicion: Duration,
    /// Whether it ends a failover: the primary serves at a higher term,
    /// whichever daemon promoted it.
    pub is_failover: bool,
}

impl FailoverDriver {
    /// Builds a driver with a new proposer number.
    pub(super) fn new(
        view: &GroupView,
        timing: FailoverTiming,
        interval: Duration,
        now: Instant,
    ) -> Self {
        let proposer = ProposerNumber(rand::random());
        let times = failover_times(&timing, interval);
        let machine = FailoverMachine::new(view.members.keys(), times, proposer, now);
        Self {
            machine,
            timing,
            interval,
            timer: now,
            disturbance: None,
        }
    }

    /// Starts again with other members or another timing, and tells the new
    /// machine what the view shows.
    pub(super) fn restart(
        &mut self,
        view: &GroupView,
        timing: FailoverTiming,
        interval: Duration,
        now: Instant,
    ) -> Vec<FailoverAction> {
        let disturbance = self.disturbance;
        *self = Self::new(view, timing, interval, now);
        self.disturbance = disturbance;
        let mut actions = Vec::new();
        for (member, known) in &view.members {
            if let (Some(report), Some(asked_at)) = (known.report, known.reported_at) {
                let event = FailoverEvent::Report {
                    member,
                    report,
                    asked_at,
                };
                actions.extend(self.handle(event, now));
            }
            let event = FailoverEvent::Leaving {
                member,
                leaving: known.leaving,
            };
            actions.extend(self.handle(event, now));
        }
        actions
    }

    /// Tells whether the machine was built for another timing and may be
    /// replaced now: an attempt under way is finished first. Small changes of
    /// the interval, as the measured cost of probes varies, do not count.
    pub(super) fn is_outdated(&self, timing: &FailoverTiming, interval: Duration) -> bool {
        let change = self.interval.abs_diff(interval);
        let differs = self.timing != *timing || change > self.interval / 5;
        differs && self.machine.phase() == FailoverPhase::Steady
    }

    /// Handles an event; the machine's timer is kept here.
    pub(super) fn handle(&mut self, event: FailoverEvent, now: Instant) -> Vec<FailoverAction> {
        let jitter = JitterFraction::new(rand::random_range(0.0..1.0));
        let mut actions = self.machine.handle(event, now, jitter);
        actions.retain(|action| match action {
            FailoverAction::WaitUntil(instant) => {
                self.timer = *instant;
                false
            }
            _ => true,
        });
        actions
    }

    /// Returns the machine's phase.
    pub(super) fn phase(&self) -> FailoverPhase {
        self.machine.phase()
    }

    /// Returns what changed since the phase was `before`; `term` is the highest
    /// term of the view.
    pub(super) fn phase_change(
        &mut self,
        before: FailoverPhase,
        term: Term,
        now: Instant,
    ) -> Option<PhaseChange> {
        let phase = self.machine.phase();
        if phase == before {
            return None;
        }
        let fresh = Disturbance { since: now, term };
        let disturbance = *self.disturbance.get_or_insert(fresh);
        let is_over = phase == FailoverPhase::Steady;
        if is_over {
            self.disturbance = None;
        }
        Some(PhaseChange {
            from: before,
            to: phase,
            since_suspicion: now.saturating_duration_since(disturbance.since),
            // A group that is seen for the first time has term 0.
            is_failover: is_over && term > disturbance.term && disturbance.term > Term::default(),
        })
    }

    /// Returns the instant at which the machine wants a timer event.
    pub(super) fn timer(&self) -> Instant {
        self.timer
    }
}

/// Returns the machine's timing for the interval at which probes really run.
fn failover_times(timing: &FailoverTiming, interval: Duration) -> FailoverTimes {
    let configured = FailoverTimes::from(timing);
    FailoverTimes {
        probe_interval: interval,
        suspect_after: configured
            .suspect_after
            .max(interval * INTERVALS_BEFORE_SUSPICION),
        ..configured
    }
}
