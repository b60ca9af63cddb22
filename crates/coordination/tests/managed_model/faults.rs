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
