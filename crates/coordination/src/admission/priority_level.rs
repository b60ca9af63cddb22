//! The queued requests of one priority: those that can still meet their latency target,
//! and those that cannot.

use std::collections::BTreeSet;
use std::time::Instant;

use state::keys::CustomerKey;

use super::fair_queue::{FairQueue, FlowKey};
use super::TicketKey;

/// One start in this many goes to a late request if both kinds wait. A late answer is
/// worth an eighth to a half of one in time, and a late request that never started would
/// keep its caller waiting until the deadline.
pub(super) const LATE_PERIOD: u32 = 10;

/// Whether a queued request can still meet its latency target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Timeliness {
    /// It can, or it has no target.
    OnTime,
    /// It cannot.
    Late,
}

/// The queued requests of one priority.
///
/// # Invariants
///
/// `targets` holds exactly the requests in `on_time` that have a target. Requests move
/// from `on_time` to `late` and never back. Each kind is shared between customers.
#[derive(Clone, Debug, Default)]
pub(super) struct PriorityLevel {
    on_time: FairQueue,
    late: FairQueue,
    targets: BTreeSet<(Instant, TicketKey)>,
    /// Starts while both kinds were waiting.
    contested_starts: u32,
}

impl PriorityLevel {
    pub(super) fn queued(&self) -> usize {
        self.on_time.queued() + self.late.queued()
    }

    pub(super) fn queue(&mut self, timeliness: Timeliness) -> &mut FairQueue {
        match timeliness {
            Timeliness::OnTime => &mut self.on_time,
            Timeliness::Late => &mut self.late,
        }
    }

    pub(super) fn flow(
        &mut self,
        timeliness: Timeliness,
        customer: CustomerKey,
        weight: u64,
    ) -> FlowKey {
        self.queue(timeliness).flow(customer, weight)
    }

    /// Returns how many requests of this priority are expected to start before a new
    /// request of the flow.
    pub(super) fn expected_ahead_of(&self, timeliness: Timeliness, flow: FlowKey) -> f64 {
        match timeliness {
            Timeliness::OnTime => self.on_time.expected_ahead_of(flow),
            Timeliness::Late => self.on_time.queued() as f64 + self.late.expected_ahead_of(flow),
        }
    }

    pub(super) fn add_target(&mut self, target: Instant, ticket: TicketKey) {
        self.targets.insert((target, ticket));
    }

    pub(super) fn remove_target(&mut self, target: Instant, ticket: TicketKey) {
        self.targets.remove(&(target, ticket));
    }

    /// Takes a request out of the targets if its answer at `answer_at` would be late.
    pub(super) fn take_late(&mut self, answer_at: Instant) -> Option<TicketKey> {
        let &(target, ticket) = self.targets.first()?;
        if target >= answer_at {
            return None;
        }
        self.targets.pop_first();
        Some(ticket)
    }

    /// Returns the next ticket.
    pub(super) fn first(&self) -> Option<TicketKey> {
        let is_late_turn = self.contested_starts % LATE_PERIOD == LATE_PERIOD - 1;
        match is_late_turn && self.late.queued() > 0 {
            true => self.late.first(),
            false => self.on_time.first().or_else(|| self.late.first()),
        }
    }

    /// Counts a start, before its request is taken out of the queue.
    pub(super) fn count_start(&mut self) {
        if self.on_time.queued() > 0 && self.late.queued() > 0 {
            self.contested_starts = self.contested_starts.wrapping_add(1);
        }
    }

    pub(super) fn remove_idle(&mut self) {
        self.on_time.remove_idle();
        self.late.remove_idle();
    }

    pub(super) fn check_invariants(&self) {
        self.on_time.check_invariants();
        self.late.check_invariants();
        debug_assert!(self.targets.len() <= self.on_time.queued());
    }
}
