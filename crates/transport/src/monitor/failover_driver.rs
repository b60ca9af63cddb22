//! Runs the failover state machine of a group and keeps its timer.

use std::time::{Duration, Instant};

use coordination::failover::{
    FailoverAction, FailoverEvent, FailoverMachine, FailoverPhase, FailoverTimes, JitterFraction,
    ProposerNumber,
};
use coordination::view::GroupView;
use state::document::FailoverTiming;
use state::log::Term;

/// Minimum of `suspect_after` in probe intervals. The probe budget may lengthen
/// the interval, and a single lost probe must not raise a suspicion then.
const INTERVALS_BEFORE_SUSPICION: u32 = 2;

/// Failover state machine of a group with its timer.
#[derive(Debug)]
pub(super) struct FailoverDriver {
    machine: FailoverMachine,
    timing: FailoverTiming,
    interval: Duration,
    timer: Instant,
    /// The current suspicion of the primary, if any.
    suspicion: Option<Suspicion>,
}

/// Suspicion of the primary. It lasts until a primary serves again.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    since: Instant,
    /// Highest term that was known at its start.
    term: Term,
}

/// Phase change of the state machine, for the log and the metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PhaseChange {
    pub from: FailoverPhase,
    pub to: FailoverPhase,
    /// Time since the primary was first suspected.
    pub since_suspicion: Duration,
    /// Whether the change completes a failover: a primary serves at a higher
    /// term. Any daemon may have promoted it.
    pub is_failover: bool,
}

impl FailoverDriver {
    /// Returns a driver with a new random proposer number.
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
            suspicion: None,
        }
    }

    /// Replaces the state machine by one for the current members and timing, and
    /// feeds it the reports and leaving members of the view.
    pub(super) fn restart(
        &mut self,
        view: &GroupView,
        timing: FailoverTiming,
        interval: Duration,
        now: Instant,
    ) -> Vec<FailoverAction> {
        let suspicion = self.suspicion;
        *self = Self::new(view, timing, interval, now);
        self.suspicion = suspicion;
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

    /// Returns whether the state machine was built for another timing and may be
    /// replaced now. A failover attempt in progress is finished first. Small
    /// changes of the interval are ignored, since it varies with the measured
    /// cost of probes.
    pub(super) fn is_outdated(&self, timing: &FailoverTiming, interval: Duration) -> bool {
        let change = self.interval.abs_diff(interval);
        let differs = self.timing != *timing || change > self.interval / 5;
        differs && self.machine.phase() == FailoverPhase::Steady
    }

    /// Handles an event. Timer actions set the driver's timer; all others are
    /// returned.
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

    /// Returns the current phase.
    pub(super) fn phase(&self) -> FailoverPhase {
        self.machine.phase()
    }

    /// Returns the phase change if the phase is no longer `before`. `term` is the
    /// highest term of the view.
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
        let new_suspicion = Suspicion { since: now, term };
        let suspicion = *self.suspicion.get_or_insert(new_suspicion);
        let is_over = phase == FailoverPhase::Steady;
        if is_over {
            self.suspicion = None;
        }
        Some(PhaseChange {
            from: before,
            to: phase,
            since_suspicion: now.saturating_duration_since(suspicion.since),
            // Before the first report of a group the term is 0; learning its
            // primary then is no failover.
            is_failover: is_over && term > suspicion.term && suspicion.term > Term::default(),
        })
    }

    /// Returns the instant at which the next timer event is due.
    pub(super) fn timer(&self) -> Instant {
        self.timer
    }
}

/// Returns the configured timing, adapted to the actual probe interval.
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
