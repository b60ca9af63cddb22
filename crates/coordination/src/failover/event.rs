//! Events that the failover machine handles and actions that it returns.

use std::time::{Duration, Instant};

use state::document::FailoverTiming;
use state::keys::MemberKey;
use state::log::Term;
use state::member::MemberReport;

use crate::follow_order::FollowOrder;

/// Identifies the machine that proposes a fence. Each machine needs its own
/// random number, because a member that has granted a term grants it again to
/// the same proposer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProposerNumber(pub u64);

/// Random fraction from 0 up to, but not including, 1. The calling code draws it.
#[derive(Clone, Copy, Debug)]
pub struct JitterFraction(f64);

impl JitterFraction {
    /// Wraps a fraction.
    ///
    /// # Panics
    ///
    /// Panics if `fraction` is outside `0.0..1.0`.
    pub fn new(fraction: f64) -> Self {
        assert!(
            (0.0..1.0).contains(&fraction),
            "the jitter fraction must be in 0.0..1.0"
        );
        Self(fraction)
    }

    pub(super) fn of(self, duration: Duration) -> Duration {
        duration.mul_f64(self.0)
    }
}

/// Durations from the document that control a [`super::FailoverMachine`].
#[derive(Clone, Copy, Debug)]
pub struct FailoverTimes {
    /// Interval between two probes of a member.
    pub probe_interval: Duration,
    /// Time without an answer after which a primary is suspected.
    pub suspect_after: Duration,
    /// Timeout of one control call.
    pub control_timeout: Duration,
    /// Duration of the failover lease.
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

/// Result of an attempt to acquire the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseAnswer {
    /// This daemon holds the lease. Its duration counts from the instant before
    /// the request was sent.
    HeldByUs {
        /// End of the lease.
        until: Instant,
    },
    /// Another daemon holds the lease.
    HeldByOther {
        /// Instant from which the lease can be taken over.
        until: Instant,
    },
    /// No answer arrived; the request may or may not have taken effect.
    NoAnswer,
}

/// Answer of a member to `fence` or `promote`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepAnswer {
    /// The member accepted the call; the report was made afterwards.
    Accepted(MemberReport),
    /// The member refused the call: it has promised this term, which is equal to
    /// or above the term of the call.
    StaleTerm(Term),
    /// The member refused the call: it has not granted the term to this proposer.
    WrongProposer,
    /// No answer arrived; the call may or may not have taken effect.
    NoAnswer,
}

/// Input of [`super::FailoverMachine::handle`].
#[derive(Clone, Copy, Debug)]
pub enum FailoverEvent {
    /// A member answered a `report` or `await_position` call.
    Report {
        /// The member.
        member: MemberKey,
        /// Its report.
        report: MemberReport,
        /// Instant at which the call was sent.
        asked_at: Instant,
    },
    /// A control call or a statement exchange got no answer.
    CallFailed {
        /// The member.
        member: MemberKey,
        /// Instant at which the call or statement was sent.
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
    /// The document now lists a member as leaving, or no longer does.
    Leaving {
        /// The member.
        member: MemberKey,
        /// Whether it is leaving.
        leaving: bool,
    },
    /// The instant of [`FailoverAction::WaitUntil`] has been reached. Early and
    /// repeated timers have no effect.
    Timer,
}

/// Action that the transport layer carries out for the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailoverAction {
    /// Request a report from the member immediately.
    Probe(MemberKey),
    /// Acquire or renew the lease, with a timeout of [`super::LEASE_TIMEOUT`].
    AcquireLease,
    /// Call `fence`, which makes the member promise the term.
    Fence {
        /// The member.
        member: MemberKey,
        /// The term.
        term: Term,
        /// The proposer.
        proposer: ProposerNumber,
    },
    /// Call `promote`, which makes the member primary at the term.
    Promote {
        /// The member.
        member: MemberKey,
        /// The term.
        term: Term,
        /// The proposer.
        proposer: ProposerNumber,
    },
    /// Call `follow`. Its answer comes back as [`FailoverEvent::Report`].
    Follow(FollowOrder),
    /// Release the lease. The answer is not needed.
    ReleaseLease,
    /// Send [`FailoverEvent::Timer`] at this instant. It replaces the previous
    /// timer.
    WaitUntil(Instant),
}

/// Phase of a failover machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailoverPhase {
    /// The primary is healthy.
    Steady,
    /// The primary is suspected, and all members are probed.
    Suspect,
    /// The lease was requested.
    Lease,
    /// Members are being fenced.
    Fencing,
    /// A member is being promoted.
    Promoting,
    /// An attempt failed; the machine waits before the next one.
    Backoff,
}
