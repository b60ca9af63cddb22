//! Which faults happen, and when.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::Rng;

use crate::site::{HOSTS, MEMBERS};

/// Shortest fault: about a lost packet.
const SHORTEST_MS: u64 = 200;
/// Longest fault: longer than an assurance, a duty and a change of primary.
const LONGEST_MS: u64 = 4_500;

/// Lengths of a split, around the time after which other hosts have replaced a
/// primary that still sends heartbeats.
const SPLIT_MS: std::ops::Range<u64> = 4_000..6_500;

/// A fault from outside the processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FaultKind {
    /// The path between a host and a member is cut; connections are reset.
    CutMember { host: usize, member: usize },
    /// The path between a host and a member forwards nothing for a while and
    /// then what it kept back.
    StallMember { host: usize, member: usize },
    /// Open connections between a host and a member go silent for good.
    SilenceMember { host: usize, member: usize },
    /// Answers of a member reach a host late.
    DelayMember { host: usize, member: usize },
    /// The primary is cut off from all hosts but one, which is cut off from the
    /// store.
    SplitPrimary { host: usize },
    /// A host does not reach the store.
    CutStore { host: usize },
    /// A host's calls of the store are kept back.
    StallStore { host: usize },
    /// The store refuses all calls.
    StoreDown,
    /// Connections of callers to a host are reset.
    CutCallers { host: usize },
    /// A process is stopped and goes on later.
    Pause { host: usize },
    /// All processes are stopped.
    PauseAll,
    /// A process is killed and started again.
    Kill { host: usize },
    /// All processes are killed and started again.
    KillAll,
    /// A process is asked to stop and started again.
    Terminate { host: usize },
    /// A process reads its settings again.
    Reload { host: usize },
    /// A member dies and starts again with its log.
    KillMember { member: usize },
    /// The primary dies and starts again with its log.
    KillPrimary,
    /// The primary is about to stop, and does.
    DrainPrimary,
    /// Replicas receive nothing.
    HoldReplication,
}

/// A fault of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedFault {
    pub(crate) at: Duration,
    pub(crate) kind: FaultKind,
    pub(crate) length: Duration,
}

/// Draws the faults of a run. They overlap, and some come in series.
pub(crate) fn plan(random: &mut StdRng, length: Duration) -> Vec<PlannedFault> {
    let mut faults = Vec::new();
    let mut at = Duration::from_millis(500);
    while at < length {
        let kind = draw(random);
        let repeats = if random.random_bool(0.2) { 3 } else { 1 };
        for _ in 0..repeats {
            let millis = match kind {
                FaultKind::SplitPrimary { .. } => random.random_range(SPLIT_MS),
                _ => random.random_range(SHORTEST_MS..LONGEST_MS),
            };
            let length = Duration::from_millis(millis);
            faults.push(PlannedFault { at, kind, length });
            at += Duration::from_millis(random.random_range(100..2_500));
        }
    }
    faults
}

fn draw(random: &mut StdRng) -> FaultKind {
    let host = random.random_range(0..HOSTS);
    let member = random.random_range(0..MEMBERS);
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
