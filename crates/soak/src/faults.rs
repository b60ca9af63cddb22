//! The kinds of faults, and the random schedule of a run.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::Rng;

use crate::site::{HOSTS, MEMBERS};

/// Minimal length of a fault, about the delay that a lost packet causes.
const MIN_LENGTH_MS: u64 = 200;
/// Maximal length of a fault, longer than an assurance of the primary, a
/// promotion lease and a change of primary.
const MAX_LENGTH_MS: u64 = 4_500;

/// Length of [`FaultKind::SplitPrimary`]: around the time that the other hosts
/// need to replace a primary which still sends heartbeats.
const SPLIT_LENGTH_MS: std::ops::Range<u64> = 4_000..6_500;

/// Time that the store loses when it returns from a copy: from less than an
/// announcement to more than a change of primary.
const LOST_MS: std::ops::Range<u64> = 300..6_000;

/// Length of one fault of a series of answer faults: from some statements to some
/// turns of all connections.
const ANSWER_FAULT_MS: std::ops::Range<u64> = 100..1_500;
/// Time between the starts of two faults of a series. It is shorter than most of
/// them, so that they overlap.
const ANSWER_FAULT_INTERVAL_MS: std::ops::Range<u64> = 50..800;
/// Time between two series of answer faults. It leaves time without them, so that
/// other faults also occur alone.
const SERIES_PAUSE_MS: std::ops::Range<u64> = 500..3_000;
/// Delays of second answers: with the first one, within the pause of a caller, and
/// when the connection serves another statement or is idle.
const REPEAT_DELAYS_MS: [u64; 6] = [0, 1, 5, 20, 100, 300];
/// Number of statements that are refused as busy, from a single one to those of
/// all callers of a run.
const BUSY_COUNT: std::ops::Range<u32> = 1..30;

/// A fault that is injected from outside the processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FaultKind {
    /// All connections between a host and a member are reset, new ones included.
    CutMember { host: usize, member: usize },
    /// The relay between a host and a member holds all bytes back and forwards
    /// them after the fault.
    StallMember { host: usize, member: usize },
    /// Open connections between a host and a member stay open, but never
    /// forward anything again.
    SilenceMember { host: usize, member: usize },
    /// Answers of a member to a host are delayed.
    DelayMember { host: usize, member: usize },
    /// The primary is reachable from one host only, and this host does not
    /// reach the store.
    SplitPrimary { host: usize },
    /// All connections of a host to the store are reset, new ones included.
    CutStore { host: usize },
    /// The relay between a host and the store holds all bytes back and forwards
    /// them after the fault.
    StallStore { host: usize },
    /// The store answers all calls with an error.
    StoreDown,
    /// The store answers all calls with an error, and returns from a copy that is at
    /// least `lost_ms` old.
    StoreReturns { lost_ms: u64 },
    /// All connections of callers to a host are reset, new ones included.
    CutCallers { host: usize },
    /// The process of a host is paused and resumed.
    Pause { host: usize },
    /// The processes of all hosts are paused and resumed.
    PauseAll,
    /// The process of a host is killed and restarted.
    Kill { host: usize },
    /// The processes of all hosts are killed and restarted.
    KillAll,
    /// The process of a host receives SIGTERM, must stop in time, and is
    /// restarted.
    Terminate { host: usize },
    /// The process of a host reloads its settings.
    Reload { host: usize },
    /// A member is killed and restarted with its log.
    KillMember { member: usize },
    /// The primary is killed and restarted with its log.
    KillPrimary,
    /// The primary is listed as draining, then stops; a member is restarted at
    /// its address.
    DrainPrimary,
    /// Replication to the replicas is held back.
    HoldReplication,
    /// Members send all answers, or only refusals, a second time after the delay.
    RepeatAnswers { only_refusals: bool, delay_ms: u64 },
    /// Members refuse the next statements of callers as busy.
    RefuseAsBusy { count: u32 },
}

/// A fault in the schedule of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedFault {
    /// Start of the fault, counted from the start of the injection.
    pub(crate) at: Duration,
    pub(crate) kind: FaultKind,
    pub(crate) length: Duration,
}

/// Draws the schedule of a run. Faults can overlap, and some of the drawn kinds
/// occur three times in a row. They begin before `end`.
pub(crate) fn plan_faults(random: &mut StdRng, end: Duration) -> Vec<PlannedFault> {
    let mut faults = Vec::new();
    let mut at = Duration::from_millis(500);
    while at < end {
        let kind = draw_fault_kind(random);
        let repeats = if random.random_bool(0.2) { 3 } else { 1 };
        for _ in 0..repeats {
            let millis = match kind {
                FaultKind::SplitPrimary { .. } => random.random_range(SPLIT_LENGTH_MS),
                _ => random.random_range(MIN_LENGTH_MS..MAX_LENGTH_MS),
            };
            let length = Duration::from_millis(millis);
            faults.push(PlannedFault { at, kind, length });
            at += Duration::from_millis(random.random_range(100..2_500));
        }
    }
    faults.extend(plan_answer_faults(random, end));
    faults.sort_by_key(|fault| fault.at);
    faults
}

/// Draws series of faults in the members' answers, which overlap each other and
/// the other faults.
fn plan_answer_faults(random: &mut StdRng, end: Duration) -> Vec<PlannedFault> {
    let mut faults = Vec::new();
    let mut at = Duration::from_millis(random.random_range(SERIES_PAUSE_MS));
    while at < end {
        for _ in 0..random.random_range(2..6) {
            faults.push(PlannedFault {
                at,
                kind: draw_answer_fault(random),
                length: Duration::from_millis(random.random_range(ANSWER_FAULT_MS)),
            });
            at += Duration::from_millis(random.random_range(ANSWER_FAULT_INTERVAL_MS));
        }
        at += Duration::from_millis(random.random_range(SERIES_PAUSE_MS));
    }
    faults
}

fn draw_answer_fault(random: &mut StdRng) -> FaultKind {
    if random.random_bool(0.4) {
        let count = random.random_range(BUSY_COUNT);
        return FaultKind::RefuseAsBusy { count };
    }
    FaultKind::RepeatAnswers {
        only_refusals: random.random_bool(0.4),
        delay_ms: REPEAT_DELAYS_MS[random.random_range(0..REPEAT_DELAYS_MS.len())],
    }
}

fn draw_fault_kind(random: &mut StdRng) -> FaultKind {
    let host = random.random_range(0..HOSTS);
    let member = random.random_range(0..MEMBERS);
    let lost_ms = random.random_range(LOST_MS);
    let kinds = [
        FaultKind::CutMember { host, member },
        FaultKind::StallMember { host, member },
        FaultKind::SilenceMember { host, member },
        FaultKind::DelayMember { host, member },
        FaultKind::SplitPrimary { host },
        FaultKind::SplitPrimary { host },
        FaultKind::CutStore { host },
        FaultKind::StallStore { host },
        FaultKind::StoreDown,
        FaultKind::StoreReturns { lost_ms },
        FaultKind::StoreReturns { lost_ms },
        FaultKind::StoreReturns { lost_ms },
        FaultKind::CutCallers { host },
        FaultKind::Pause { host },
        FaultKind::PauseAll,
        FaultKind::Kill { host },
        FaultKind::KillAll,
        FaultKind::Terminate { host },
        FaultKind::Reload { host },
        FaultKind::KillMember { member },
        FaultKind::KillPrimary,
        FaultKind::KillPrimary,
        FaultKind::DrainPrimary,
        FaultKind::HoldReplication,
    ];
    kinds[random.random_range(0..kinds.len())]
}
