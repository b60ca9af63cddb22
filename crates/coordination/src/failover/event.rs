//! Inputs and outputs of the failover machine.

use std::time::{Duration, Instant};

use state::document::FailoverTiming;
use state::keys::MemberKey;
use state::log::Term;
use state::member::MemberReport;

use crate::repair::FollowOrder;

/// Identifies the proposer of a fence. Each machine needs its own random
/// number, since a member repeats a grant of a term to the same proposer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProposerNumber(pub u64);

/// A random fraction from 0 up to 1, chosen by the caller.
#[derive(Clone, Copy, Debug)]
pub struct JitterFraction(f64);

impl JitterFraction {
    /// Checks and wraps a fraction.
    pub fn new(fraction: f64) -> Self {
        assert!((0.0..1.0).contains(&fraction), "jitter is from 0 up to 1");
        Self(fraction)
    }

    pub(super) fn of(self, duration: Duration) -> Duration {
        duration.mul_f64(self.0)
    }
}

/// Timing of a machine.
#[derive(Clone, Copy, Debug)]
pub struct FailoverTimes {
    /// Interval of probes.
    pub probe_interval: Duration,
    /// Silence after which a primary is suspected.
    pub suspect_after: Duration,
    /// Timeout of one control call.
    pub control_timeout: Duration,
    /// Duration of the lease.
    pub lease: Duration,
}

impl From<&FailoverTiming> for FailoverTimes {
    fn from(timing: &FailoverTiming) -> Self {
        Self {
            probe_interval: Duration::from_millis(timing.probe_interval_ms),
            suspect_after: Duration::from_millis(timing.suspect_after_ms),
            control_timeout: Duration::from_millis(timing.control_timeout_ms),
            lease: Duration::from_millis(timing.lease_ms),
        }
    }
}

/// What the table service said about the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseAnswer {
    /// This daemon holds the lease. `until` counts from before the request.
    HeldByUs {
        /// End of the lease.
        until: Instant,
    },
    /// Another daemon holds it.
    HeldByOther {
        /// Instant at which it can be taken over.
        until: Instant,
    },
    /// No answer: the request may or may not have taken effect.
    NoAnswer,
}

/// What a member said to `fence` or `promote`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepAnswer {
    /// Accepted, with a report made afterwards.
    Accepted(MemberReport),
    /// The member has promised this term, which is not below the call's.
    StaleTerm(Term),
    /// The term was granted to another proposer, or not granted.
    WrongProposer,
    /// No answer: the call may or may not have taken effect.
    NoAnswer,
}

/// An input of the machine.
#[derive(Clone, Copy, Debug)]
pub enum FailoverEvent {
    /// A member answered a report or await call that was sent at `asked_at`.
    Report {
        /// The member.
        member: MemberKey,
        /// Its report.
        report: MemberReport,
        /// Instant at which the question was sent.
        asked_at: Instant,
    },
    /// A control call or a statement exchange got no answer.
    CallFailed {
        /// The member.
        member: MemberKey,
        /// Instant at which it was sent.
        asked_at: Instant,
        /// Whether the member's host refused the connection.
        refused: bool,
    },
    /// Answer to [`FailoverAction::AcquireLease`].
    Lease(LeaseAnswer),
    /// Answer to [`FailoverAction::Fence`].
    Fence {
        /// The member.
        member: MemberKey,
        /// Term of the call.
        term: Term,
        /// The answer.
        answer: StepAnswer,
        /// Instant at which the call was sent.
        asked_at: Instant,
    },
    /// Answer to [`FailoverAction::Promote`].
    Promote {
        /// The member.
        member: MemberKey,
        /// Term of the call.
        term: Term,
        /// The answer.
        answer: StepAnswer,
        /// Instant at which the call was sent.
        asked_at: Instant,
    },
    /// A member is listed as leaving, or no longer.
    Leaving {
        /// The member.
        member: MemberKey,
        /// Whether it is leaving.
        leaving: bool,
    },
    /// The instant of [`FailoverAction::WaitUntil`] has come. Early and
    /// repeated timers are harmless.
    Timer,
}

/// An output of the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailoverAction {
    /// Ask the member for a report at once.
    Probe(MemberKey),
    /// Take or renew the lease, with a timeout of [`super::LEASE_TIMEOUT`].
    AcquireLease,
    /// Call `fence`.
    Fence {
        /// The member.
        member: MemberKey,
        /// The term.
        term: Term,
        /// The proposer.
        proposer: ProposerNumber,
    },
    /// Call `promote`.
    Promote {
        /// The member.
        member: MemberKey,
        /// The term.
        term: Term,
        /// The proposer.
        proposer: ProposerNumber,
    },
    /// Call `follow`. Its answer is entered as a report.
    Follow(FollowOrder),
    /// Give the lease back; a lost answer does no harm.
    ReleaseLease,
    /// Send [`FailoverEvent::Timer`] at this instant. Replaces the earlier one.
    WaitUntil(Instant),
}

/// Phase of the machine, for metrics and logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailoverPhase {
    /// The primary serves.
    Steady,
    /// The primary is suspected, and the other members are asked.
    Suspect,
    /// The lease was asked for.
    Lease,
    /// Members are being fenced.
    Fencing,
    /// A member is being promoted.
    Promoting,
    /// An attempt failed.
    Backoff,
}
