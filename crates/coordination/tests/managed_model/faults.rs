//! The kinds of faults, their effects on links and services, and how they are drawn.

use rand::rngs::StdRng;
use rand::Rng;

use super::platform::MEMBERS;
use super::world::HOSTS;
use super::{Endpoint, Scenario};

#[derive(Clone, Copy, Debug)]
pub enum FaultKind {
    CutHostStore(usize),
    CutHostPromotion(usize),
    CutPrimaryHosts,
    CutHostMembers(usize),
    CutPrimaryReplicas,
    IsolatePrimary,
    IsolateMember(usize),
    StoreDown,
    StoreLosesAnswers,
    StoreActsLate,
    StoreSlow,
    OrdersLost,
    KillHost(usize),
    KillHolder,
    FreezeHost(usize),
    FreezeHolder,
    CrashPrimary,
    CrashMember(usize),
    EmptyReplicaRestart(usize),
    DrainPrimary,
    Lag,
    KillAllHosts,
    /// The primary reaches only one host, which does not reach the store.
    SplitPrimary(usize),
    /// The store is away, and returns from an older copy.
    StoreReturns,
    /// The same, soon after a change of primary began.
    StoreReturnsInChange,
    /// The same, while the primary reaches only one host, which restarts and does not
    /// know that the others have changed the primary.
    StoreReturnsInSplit(usize),
    /// A member receives nothing.
    Deaf(usize),
    /// The same, and the primary crashes meanwhile.
    DeafAndCrash(usize),
    /// The same, and another replica restarts without its data before that crash.
    DeafAndLost(usize),
    /// A member refuses status questions as busy.
    Busy(usize),
    /// A member is about to stop, and then starts again with its log.
    DrainMember(usize),
}

/// The effect of a fault until it ends.
#[derive(Debug, Default)]
pub struct Effect {
    pub cuts: Vec<(Endpoint, Endpoint)>,
    pub store_down: bool,
    pub store_loses_answers: bool,
    pub store_acts_late: bool,
    pub store_slow: bool,
    pub orders_lost: bool,
    pub lag: bool,
    pub deaf: Option<usize>,
    pub busy: Option<usize>,
}

/// Draws a fault of the scenario.
pub fn draw_fault(random: &mut StdRng, scenario: Scenario) -> FaultKind {
    if scenario == Scenario::Returning && random.random_bool(0.4) {
        return match random.random_range(0..4) {
            0 => FaultKind::StoreReturns,
            1 => FaultKind::StoreReturnsInChange,
            _ => FaultKind::StoreReturnsInSplit(random.random_range(0..HOSTS)),
        };
    }
    if scenario == Scenario::Synchronous && random.random_bool(0.5) {
        let member = random.random_range(0..MEMBERS);
        return match random.random_range(0..8) {
            0 => FaultKind::Deaf(member),
            1..=3 => FaultKind::DeafAndCrash(member),
            4 => FaultKind::DeafAndLost(member),
            5..=6 => FaultKind::Busy(member),
            _ => FaultKind::DrainMember(member),
        };
    }
    let host = random.random_range(0..HOSTS);
    let member = random.random_range(0..MEMBERS);
    let kinds = [
        FaultKind::CutHostStore(host),
        FaultKind::CutHostPromotion(host),
        FaultKind::CutPrimaryHosts,
        FaultKind::CutPrimaryHosts,
        FaultKind::CutHostMembers(host),
        FaultKind::CutPrimaryReplicas,
        FaultKind::IsolatePrimary,
        FaultKind::IsolateMember(member),
        FaultKind::StoreDown,
        FaultKind::StoreLosesAnswers,
        FaultKind::StoreActsLate,
        FaultKind::StoreSlow,
        FaultKind::OrdersLost,
        FaultKind::KillHost(host),
        FaultKind::KillHolder,
        FaultKind::FreezeHost(host),
        FaultKind::FreezeHolder,
        FaultKind::CrashPrimary,
        FaultKind::CrashPrimary,
        FaultKind::IsolatePrimary,
        FaultKind::CrashMember(member),
        FaultKind::EmptyReplicaRestart(member),
        FaultKind::DrainPrimary,
        FaultKind::Lag,
        FaultKind::KillAllHosts,
        FaultKind::SplitPrimary(host),
        FaultKind::SplitPrimary(host),
        FaultKind::SplitPrimary(host),
        FaultKind::SplitPrimary(host),
        FaultKind::SplitPrimary(host),
    ];
    kinds[random.random_range(0..kinds.len())]
}
