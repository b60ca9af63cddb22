//! Admission of statements to one member: bounded, fair, deadline-aware queues.
//!
//! There is one queue per member and not per group, because slots and
//! connection shares belong to a member. When a member disappears, its queued
//! requests are cancelled, which runs nothing, and routed again.
//!
//! Priorities are strict: 0 first, 9 last. One start in [`GUARANTEE_PERIOD`]
//! goes to the lower priorities in turn, so that none starves. Customers of the
//! same priority share by weight; one customer's requests of the same priority
//! start in order of arrival, whatever their class.

mod fair_level;
mod service_estimate;

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use slotmap::SlotMap;
use state::keys::{ClassKey, CustomerKey};

use fair_level::{FairLevel, FlowKey};
use service_estimate::ServiceEstimate;

slotmap::new_key_type! {
    /// Key of a request that was admitted or is queued.
    pub struct TicketKey;
}

/// Result of an offer.
pub type Result<T> = std::result::Result<T, AdmissionRefusal>;

/// Number of priorities.
pub const PRIORITY_COUNT: usize = 10;
/// One start in this many goes to a lower priority, if any is waiting. 5% of
/// the slots keeps browsing alive during a flood of writes and costs the
/// writes little.
pub const GUARANTEE_PERIOD: u32 = 20;
/// Deviations of the service time that a request behind a queue must have to
/// spare. Under overload the queue settles where requests just meet their
/// deadline; without the margin about a third of them would run and miss it.
pub const QUEUE_MARGIN_DEVIATIONS: f64 = 3.0;
/// Deviations that a queued request must have to spare when it starts while
/// others wait.
pub const START_MARGIN_DEVIATIONS: f64 = 1.0;

/// Why a request is refused. It was not run and never will be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AdmissionRefusal {
    /// The queue of the customer and class is full.
    QueueFull,
    /// The request cannot finish by its deadline.
    DeadlineTooShort,
}

/// Limits of a queue.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionSettings {
    /// Statements in flight at the member.
    pub in_flight_limit: usize,
    /// Queued statements per customer and class.
    pub queue_length: usize,
    /// Service time that is assumed before the first sample.
    pub initial_service: Duration,
}

/// A request that asks for admission.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Customer.
    pub customer: CustomerKey,
    /// Read class; `None` for writes.
    pub class: Option<ClassKey>,
    /// Weight of the customer, at least 1.
    pub weight: u64,
    /// Priority, 0 to 9; writes have 0.
    pub priority: u8,
    /// Deadline.
    pub deadline: Instant,
}

/// Answer to an offer that was not refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferAnswer {
    /// Run it now, then release the ticket.
    Run(TicketKey),
    /// Wait for an action about the ticket.
    Queued(TicketKey),
}

/// What to do about a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionAction {
    /// Run it now, then release the ticket.
    Run(TicketKey),
    /// Refuse it; the ticket is gone.
    Refuse(TicketKey, AdmissionRefusal),
}

/// Result of cancelling a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelAnswer {
    /// It was queued; it was not run and the ticket is gone.
    NotRun,
    /// It runs; the ticket must still be released.
    Running,
    /// The ticket is gone already.
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct LaneName {
    customer: CustomerKey,
    class: Option<ClassKey>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TicketState {
    Queued { sequence: u64 },
    Running { charged_nanos: i128 },
}

#[derive(Clone, Copy, Debug)]
struct AdmissionTicket {
    lane: LaneName,
    priority: usize,
    flow: FlowKey,
    deadline: Instant,
    state: TicketState,
}

/// The queue in front of one member.
///
/// # Invariants
///
/// Each ticket is either running or queued, and a refused one is removed before
/// the refusal is returned, so it can never run. No request starts while
/// `in_flight` is at the limit; only lowering the limit leaves it above.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    settings: AdmissionSettings,
    estimate: ServiceEstimate,
    tickets: SlotMap<TicketKey, AdmissionTicket>,
    levels: [FairLevel; PRIORITY_COUNT],
    lane_lengths: HashMap<LaneName, usize>,
    deadlines: BTreeSet<(Instant, TicketKey)>,
    in_flight: usize,
    next_sequence: u64,
    starts: u32,
    guarantee_cursor: usize,
}

impl AdmissionQueue {
    /// Builds an empty queue.
    pub fn new(settings: AdmissionSettings, now: Instant) -> Self {
        Self {
            settings,
            estimate: ServiceEstimate::new(settings.initial_service, now),
            tickets: SlotMap::with_key(),
            levels: Default::default(),
            lane_lengths: HashMap::new(),
            deadlines: BTreeSet::new(),
            in_flight: 0,
            next_sequence: 0,
            starts: 0,
            guarantee_cursor: 0,
        }
    }

    /// Offers a request.
    pub fn offer(&mut self, request: &AdmissionRequest, now: Instant) -> Result<OfferAnswer> {
        let priority = usize::from(request.priority);
        assert!(priority < PRIORITY_COUNT, "priority out of range");
        let lane = LaneName {
            customer: request.customer,
            class: request.class,
        };
        let starts_now = self.queued() == 0 && self.in_flight < self.settings.in_flight_limit;
        let lane_length = self.lane_lengths.get(&lane).copied().unwrap_or(0);
        if !starts_now && lane_length >= self.settings.queue_length {
            return Err(AdmissionRefusal::QueueFull);
        }
        let flow = self.levels[priority].flow(request.customer, request.weight);
        if !self.can_finish(request.deadline, priority, flow, starts_now, now) {
            return Err(AdmissionRefusal::DeadlineTooShort);
        }
        let ticket = self.enqueue(lane, priority, flow, request.deadline);
        if starts_now {
            self.start(ticket, now);
            return Ok(OfferAnswer::Run(ticket));
        }
        self.check();
        Ok(OfferAnswer::Queued(ticket))
    }

    /// Releases a running ticket. `service` is the time from its start to its
    /// answer, or `None` when there was no answer.
    pub fn release(
        &mut self,
        ticket: TicketKey,
        service: Option<Duration>,
        now: Instant,
    ) -> Vec<AdmissionAction> {
        let removed = self.tickets.remove(ticket).expect("released ticket exists");
        let TicketState::Running { charged_nanos } = removed.state else {
            panic!("released ticket runs");
        };
        self.in_flight -= 1;
        let measured = service.map_or(charged_nanos, |service| service.as_nanos() as i128);
        self.levels[removed.priority].finish(removed.flow, measured - charged_nanos);
        if let Some(service) = service {
            self.estimate.add(service, now);
        }
        self.start_waiting(now)
    }

    /// Cancels a ticket, for instance because its caller has gone or its
    /// request is routed to another member.
    pub fn cancel(&mut self, ticket: TicketKey) -> CancelAnswer {
        match self.tickets.get(ticket).map(|found| found.state) {
            None => CancelAnswer::Gone,
            Some(TicketState::Running { .. }) => CancelAnswer::Running,
            Some(TicketState::Queued { .. }) => {
                self.dequeue(ticket);
                self.tickets.remove(ticket);
                CancelAnswer::NotRun
            }
        }
    }

    /// Refuses the queued requests whose deadline has passed and starts others
    /// if slots are free. Also called in a quiet time, about once a second, to
    /// forget idle customers.
    pub fn expire(&mut self, now: Instant) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        while let Some(&(deadline, ticket)) = self.deadlines.first() {
            if deadline > now {
                break;
            }
            actions.push(self.refuse(ticket));
        }
        actions.extend(self.start_waiting(now));
        self.levels.iter_mut().for_each(FairLevel::forget_idle);
        actions
    }

    /// Returns the earliest deadline in the queue, at which `expire` is due.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Changes the limit of statements in flight; running ones stay.
    pub fn set_in_flight_limit(&mut self, limit: usize, now: Instant) -> Vec<AdmissionAction> {
        self.settings.in_flight_limit = limit;
        self.start_waiting(now)
    }

    /// Changes the bound of each customer and class; queued requests stay.
    pub fn set_queue_length(&mut self, length: usize) {
        self.settings.queue_length = length;
    }

    /// Returns the number of queued requests.
    pub fn queued(&self) -> usize {
        self.deadlines.len()
    }

    /// Returns the number of running requests.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    fn can_finish(
        &self,
        deadline: Instant,
        priority: usize,
        flow: FlowKey,
        starts_now: bool,
        now: Instant,
    ) -> bool {
        let mean = self.estimate.mean(now);
        let left = deadline.saturating_duration_since(now).as_secs_f64();
        if starts_now {
            // With an idle member a request is worth trying even when the
            // estimate is above what is left, unless the deadline has passed.
            return deadline > now && (self.in_flight == 0 || mean <= left);
        }
        let above: usize = self.levels[..priority].iter().map(FairLevel::queued).sum();
        let ahead = above as f64 + self.levels[priority].ahead_of(flow);
        let slots = self.settings.in_flight_limit.max(1) as f64;
        let wait = (ahead + 1.0) * mean / slots;
        let margin = QUEUE_MARGIN_DEVIATIONS * self.estimate.deviation(now);
        deadline > now && wait + mean + margin <= left
    }

    fn enqueue(
        &mut self,
        lane: LaneName,
        priority: usize,
        flow: FlowKey,
        deadline: Instant,
    ) -> TicketKey {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let ticket = self.tickets.insert(AdmissionTicket {
            lane,
            priority,
            flow,
            deadline,
            state: TicketState::Queued { sequence },
        });
        self.levels[priority].push(flow, sequence, ticket);
        *self.lane_lengths.entry(lane).or_default() += 1;
        self.deadlines.insert((deadline, ticket));
        ticket
    }

    /// Takes a ticket out of the queue; its entry in `tickets` stays.
    fn dequeue(&mut self, ticket: TicketKey) -> AdmissionTicket {
        let found = self.tickets[ticket];
        let TicketState::Queued { sequence } = found.state else {
            panic!("dequeued ticket is queued");
        };
        self.levels[found.priority].remove(found.flow, sequence);
        self.deadlines.remove(&(found.deadline, ticket));
        let length = self.lane_lengths.get_mut(&found.lane);
        let length = length.expect("lane of a queued ticket exists");
        *length -= 1;
        if *length == 0 {
            self.lane_lengths.remove(&found.lane);
        }
        found
    }

    fn refuse(&mut self, ticket: TicketKey) -> AdmissionAction {
        self.dequeue(ticket);
        // INVARIANT: a refused ticket is gone and cannot run.
        self.tickets.remove(ticket);
        AdmissionAction::Refuse(ticket, AdmissionRefusal::DeadlineTooShort)
    }

    fn start(&mut self, ticket: TicketKey, now: Instant) {
        assert!(
            self.in_flight < self.settings.in_flight_limit,
            "started above the limit in flight"
        );
        let found = self.dequeue(ticket);
        assert!(found.deadline > now, "started after the deadline");
        let charged_nanos = (self.estimate.mean(now) * 1e9) as i128;
        self.levels[found.priority].start(found.flow, charged_nanos);
        self.tickets[ticket].state = TicketState::Running { charged_nanos };
        self.in_flight += 1;
        self.starts = self.starts.wrapping_add(1);
    }

    fn start_waiting(&mut self, now: Instant) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        while self.in_flight < self.settings.in_flight_limit {
            let Some(ticket) = self.choose_next() else {
                break;
            };
            if !self.worth_starting(ticket, now) {
                actions.push(self.refuse(ticket));
                continue;
            }
            self.start(ticket, now);
            actions.push(AdmissionAction::Run(ticket));
        }
        self.check();
        actions
    }

    fn worth_starting(&self, ticket: TicketKey, now: Instant) -> bool {
        let deadline = self.tickets[ticket].deadline;
        if deadline <= now {
            return false;
        }
        if self.queued() == 1 && self.in_flight == 0 {
            return true;
        }
        let margin = match self.queued() {
            1 => 0.0,
            _ => START_MARGIN_DEVIATIONS * self.estimate.deviation(now),
        };
        let left = deadline.saturating_duration_since(now).as_secs_f64();
        self.estimate.mean(now) + margin <= left
    }

    fn choose_next(&mut self) -> Option<TicketKey> {
        let top = self.levels.iter().position(|level| level.queued() > 0)?;
        let guaranteed = self.starts % GUARANTEE_PERIOD == GUARANTEE_PERIOD - 1;
        let level = match guaranteed {
            true => self.lower_level(top).unwrap_or(top),
            false => top,
        };
        self.levels[level].first()
    }

    /// Returns the next waiting priority below `top`, in turn. The cursor moves
    /// with the level found, so each waiting level is reached.
    fn lower_level(&mut self, top: usize) -> Option<usize> {
        let waiting = |level: &usize| *level > top && self.levels[*level].queued() > 0;
        let behind = (self.guarantee_cursor + 1..PRIORITY_COUNT).find(waiting);
        let found = behind.or_else(|| (top + 1..PRIORITY_COUNT).find(waiting))?;
        self.guarantee_cursor = found;
        Some(found)
    }

    fn check(&self) {
        let queued: usize = self.levels.iter().map(FairLevel::queued).sum();
        assert_eq!(
            queued,
            self.deadlines.len(),
            "every queued ticket has a deadline"
        );
        assert_eq!(
            queued + self.in_flight,
            self.tickets.len(),
            "no ticket is lost"
        );
        if cfg!(debug_assertions) && self.next_sequence.is_multiple_of(64) {
            self.levels.iter().for_each(FairLevel::check);
        }
    }
}
