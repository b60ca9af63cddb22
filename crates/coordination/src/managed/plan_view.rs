//! Which plan is in force, and from where its changes are read.
//!
//! Versions order plans also across eras of the store: operators never use a smaller
//! one again. A plan that the store lost stays in force until the operators have
//! written it again; meanwhile it does not count as confirmed.

use std::sync::Arc;
use std::time::{Duration, Instant};

use state::plan::RoutePlan;
use state::reading::{PlanReading, StoreEra, StoreRevision};

/// Longest time since the last confirmation for which the plan counts as the newest.
/// A new version must be in force within this time.
const PLAN_MAX_AGE: Duration = Duration::from_secs(3);

/// A plan that came into force.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanChange {
    /// Version of the plan that was in force before.
    pub former: Option<u64>,
    /// The plan.
    pub plan: Arc<RoutePlan>,
}

/// One host's knowledge of the plan.
///
/// # Invariants
///
/// The version in force never decreases, and neither does `era`.
#[derive(Clone, Debug, Default)]
pub struct PlanView {
    plan: Option<Arc<RoutePlan>>,
    /// Era of the newest reading.
    era: StoreEra,
    /// Version that the store has in `era`; `None` until a reading shows it.
    stored_version: Option<u64>,
    /// Start of the newest read that showed that the store has no newer plan.
    confirmed_at: Option<Instant>,
}

impl PlanView {
    /// Returns the plan in force.
    pub fn plan(&self) -> Option<&Arc<RoutePlan>> {
        self.plan.as_ref()
    }

    /// Returns the version that the store has, as far as it is known.
    pub fn stored_version(&self) -> Option<u64> {
        self.stored_version
    }

    /// Returns whether the store lost the plan in force, or may have lost it.
    pub fn is_awaited(&self) -> bool {
        let version = self.plan.as_ref().map(|plan| plan.version);
        version != self.stored_version
    }

    /// Returns whether the plan was recently confirmed to be the newest one.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.confirmed_at
            .is_some_and(|instant| now.saturating_duration_since(instant) < PLAN_MAX_AGE)
    }

    /// Returns when the reading was requested that last confirmed the plan.
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at
    }

    /// Records a reading that was requested at `asked_at`. A reading of a former era
    /// and an older plan are ignored.
    pub fn observe(&mut self, reading: &PlanReading, asked_at: Instant) -> Option<PlanChange> {
        let era = reading.revision.era;
        if era < self.era {
            return None;
        }
        if era > self.era {
            self.era = era;
            self.stored_version = None;
        }
        self.stored_version = reading.stored_version.or(self.stored_version);
        let former = self.plan.as_ref().map(|plan| plan.version);
        let newer = reading.plan.as_ref().filter(|plan| {
            let known = self.plan.as_deref();
            // A version that was never acknowledged may be used again after a return.
            Some(plan.version) > former || (Some(plan.version) == former && Some(*plan) != known)
        });
        let change = newer.map(|plan| PlanChange {
            former,
            plan: Arc::new(plan.clone()),
        });
        if let Some(change) = &change {
            self.plan = Some(change.plan.clone());
        }
        if !self.is_awaited() {
            self.confirmed_at = self.confirmed_at.max(Some(asked_at));
        }
        change
    }
}

/// How the plan is read next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlanRead {
    /// The whole plan.
    Whole,
    /// The changes after a revision.
    After(StoreRevision),
}

/// The revision up to which the changes of the plan are known.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlanCursor {
    known: Option<StoreRevision>,
}

impl PlanCursor {
    /// Returns the next read, if `era` is the newest known era. A revision of another
    /// era cannot be continued: what was written below it since then would be missed.
    pub fn next_read(&self, era: StoreEra) -> PlanRead {
        match self.known.filter(|known| known.era == era) {
            Some(known) => PlanRead::After(known),
            None => PlanRead::Whole,
        }
    }

    /// Records the answer to a read. Returns whether the reading may be used: changes
    /// that were read in another era than that of the revision before are incomplete.
    pub fn record(&mut self, read: PlanRead, revision: StoreRevision) -> bool {
        let is_complete = match read {
            PlanRead::Whole => true,
            PlanRead::After(known) => known.era == revision.era,
        };
        self.known = is_complete.then_some(revision);
        is_complete
    }

    /// Lets the next read be one of the whole plan.
    pub fn reset(&mut self) {
        self.known = None;
    }
}
