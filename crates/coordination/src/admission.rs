//! Admission of statements to one member: bounded, fair, deadline-aware queues.
//!
//! There is one queue per member and not per group, because slots and connection
//! shares belong to a member. When a member disappears, its queued requests are
//! cancelled without having run, and are routed again.
//!
//! Priorities are strict: 0 is the highest, 9 the lowest. One start in
//! [`LOWER_PRIORITY_PERIOD`] goes to the lower priorities in turn, so that none
//! starves. Customers of the same priority share the slots by weight. Requests of
//! one customer with the same priority start in order of arrival, regardless of
//! their class.

mod fair_queue;
mod service_estimate;

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use slotmap::SlotMap;
use state::keys::{ClassKey, CustomerKey};

use fair_queue::{FairQueue, FlowKey};
use service_estimate::ServiceEstimate;

slotmap::new_key_type! {
    /// Key of a request that is running or queued.
    pub struct TicketKey;
}

/// Result of [`AdmissionQueue::submit`].
pub type Result<T> = std::result::Result<T, AdmissionRefusal>;

/// Number of priorities.
pub const PRIORITY_COUNT: usize = 10;
/// One start in this many goes to a lower priority if one is waiting. 5% of the
/// starts keeps reads running during a flood of writes, at little cost to the
/// writes.
pub const LOWER_PRIORITY_PERIOD: u32 = 20;
/// Safety margin for admitting a request that must queue, in mean deviations of
/// the service time. Under overload, the queue grows until requests barely meet
/// their deadline. Without the margin about a third of them would run and miss
/// it.
pub const QUEUE_MARGIN_DEVIATIONS: f64 = 3.0;
/// Safety margin for starting a queued request while others wait, in mean
/// deviations of the service time.
pub const START_MARGIN_DEVIATIONS: f64 = 1.0;

/// Why a request is refused. A refused request was not run and will not be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AdmissionRefusal {
    /// The queue of the customer and class is full.
    QueueFull,
    /// The request is not expected to finish by its deadline.
    DeadlineTooShort,
}

/// Limits of the admission queue of one member.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionSettings {
    /// Largest number of statements in flight at the member.
    pub in_flight_limit: usize,
    /// Largest number of queued statements per customer and class.
    pub queue_length: usize,
    /// Service time assumed before the first sample.
    pub initial_service: Duration,
}

/// A request that asks for admission.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Customer that sent the request.
    pub customer: CustomerKey,
    /// Read class; `None` for writes.
    pub class: Option<ClassKey>,
    /// Weight of the customer, at least 1.
    pub weight: u64,
    /// Priority from 0 (highest) to 9; writes have 0.
    pub priority: u8,
    /// Instant by which the request must have finished.
    pub deadline: Instant,
}

/// Result of submitting a request that was not refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// Run the request now, then release the ticket.
    Run(TicketKey),
    /// Wait for an [`AdmissionAction`] for the ticket.
    Queued(TicketKey),
}

/// What to do about a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionAction {
    /// Run the request now, then release the ticket.
    Run(TicketKey),
    /// Refuse the request. The ticket no longer exists.
    Refuse(TicketKey, AdmissionRefusal),
}

/// Result of cancelling a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelAnswer {
    /// The request was queued and has not run. The ticket no longer exists.
    NotRun,
    /// The request is running. The ticket must still be released.
    Running,
    /// The ticket no longer existed.
    Gone,
}

/// Customer and class, for which the number of queued requests is bounded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct QueueKey {
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
    queue_key: QueueKey,
    priority: usize,
    flow: FlowKey,
    deadline: Instant,
    state: TicketState,
}

/// The queue in front of one member.
///
/// # Invariants
///
/// Each ticket is either running or queued. A refused ticket is removed before
/// the refusal is returned, so it cannot run. No request starts while `in_flight`
/// is at or above the limit; `in_flight` exceeds the limit only after the limit
/// was lowered.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    settings: AdmissionSettings,
    estimate: ServiceEstimate,
    tickets: SlotMap<TicketKey, AdmissionTicket>,
    levels: [FairQueue; PRIORITY_COUNT],
    queue_lengths: HashMap<QueueKey, usize>,
    deadlines: BTreeSet<(Instant, TicketKey)>,
    in_flight: usize,
    next_sequence: u64,
    starts: u32,
    lower_priority_cursor: usize,
}

impl AdmissionQueue {
    /// Creates an empty queue.
    pub fn new(settings: AdmissionSettings, now: Instant) -> Self {
        Self {
            settings,
            estimate: ServiceEstimate::new(settings.initial_service, now),
            tickets: SlotMap::with_key(),
            levels: Default::default(),
            queue_lengths: HashMap::new(),
            deadlines: BTreeSet::new(),
            in_flight: 0,
            next_sequence: 0,
            starts: 0,
            lower_priority_cursor: 0,
        }
    }

    /// Starts or queues a request.
    ///
    /// # Errors
    ///
    /// Refuses the request if its queue is full or if it is not expected to
    /// finish by its deadline.
    pub fn submit(&mut self, request: &AdmissionRequest, now: Instant) -> Result<SubmitOutcome> {
        let priority = usize::from(request.priority);
        assert!(priority < PRIORITY_COUNT, "priority out of range");
        let queue_key = QueueKey {
            customer: request.customer,
            class: request.class,
        };
        let starts_now = self.queued() == 0 && self.in_flight < self.settings.in_flight_limit;
        let queue_length = self.queue_lengths.get(&queue_key).copied().unwrap_or(0);
        if !starts_now && queue_length >= self.settings.queue_length {
            return Err(AdmissionRefusal::QueueFull);
        }
        let flow = self.levels[priority].flow(request.customer, request.weight);
        if !self.can_finish(request.deadline, priority, flow, starts_now, now) {
            return Err(AdmissionRefusal::DeadlineTooShort);
        }
        let ticket = self.enqueue(queue_key, priority, flow, request.deadline);
        if starts_now {
            self.start(ticket, now);
            return Ok(SubmitOutcome::Run(ticket));
        }
        self.check_invariants();
        Ok(SubmitOutcome::Queued(ticket))
    }

    /// Releases the ticket of a request that has finished. `service` is the time
    /// from its start to its answer, or `None` if there was no answer.
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

    /// Cancels a ticket, for example because the caller disconnected or the
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

    /// Refuses the queued requests whose deadline has passed and starts others if
    /// slots are free. Must also be called about once a second without requests,
    /// to remove idle customers.
    pub fn expire(&mut self, now: Instant) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        while let Some(&(deadline, ticket)) = self.deadlines.first() {
            if deadline > now {
                break;
            }
            actions.push(self.refuse(ticket));
        }
        actions.extend(self.start_waiting(now));
        self.levels.iter_mut().for_each(FairQueue::remove_idle);
        actions
    }

    /// Returns the earliest deadline in the queue. [`Self::expire`] is due then.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Changes the limit of statements in flight. Running statements continue.
    pub fn set_in_flight_limit(&mut self, limit: usize, now: Instant) -> Vec<AdmissionAction> {
        self.settings.in_flight_limit = limit;
        self.start_waiting(now)
    }

    /// Changes the queue length per customer and class. Requests that are already
    /// queued stay.
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
        let remaining = deadline.saturating_duration_since(now).as_secs_f64();
        if starts_now {
            // At an idle member, a request is tried even if the estimate exceeds
            // the time that remains, unless the deadline has passed.
            return deadline > now && (self.in_flight == 0 || mean <= remaining);
        }
        let higher_priority: usize = self.levels[..priority].iter().map(FairQueue::queued).sum();
        let ahead = higher_priority as f64 + self.levels[priority].expected_ahead_of(flow);
        let slots = self.settings.in_flight_limit.max(1) as f64;
        let wait = (ahead + 1.0) * mean / slots;
        let margin = QUEUE_MARGIN_DEVIATIONS * self.estimate.deviation(now);
        deadline > now && wait + mean + margin <= remaining
    }

    fn enqueue(
        &mut self,
        queue_key: QueueKey,
        priority: usize,
        flow: FlowKey,
        deadline: Instant,
    ) -> TicketKey {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let ticket = self.tickets.insert(AdmissionTicket {
            queue_key,
            priority,
            flow,
            deadline,
            state: TicketState::Queued { sequence },
        });
        self.levels[priority].push(flow, sequence, ticket);
        *self.queue_lengths.entry(queue_key).or_default() += 1;
        self.deadlines.insert((deadline, ticket));
        ticket
    }

    /// Removes a ticket from the queue. Its entry in `tickets` stays.
    fn dequeue(&mut self, ticket: TicketKey) -> AdmissionTicket {
        let found = self.tickets[ticket];
        let TicketState::Queued { sequence } = found.state else {
            panic!("dequeued ticket is queued");
        };
        self.levels[found.priority].remove(found.flow, sequence);
        self.deadlines.remove(&(found.deadline, ticket));
        let length = self.queue_lengths.get_mut(&found.queue_key);
        let length = length.expect("queue length of a queued ticket exists");
        *length -= 1;
        if *length == 0 {
            self.queue_lengths.remove(&found.queue_key);
        }
        found
    }

    fn refuse(&mut self, ticket: TicketKey) -> AdmissionAction {
        self.dequeue(ticket);
        // INVARIANT: a refused ticket is removed and cannot run.
        self.tickets.remove(ticket);
        AdmissionAction::Refuse(ticket, AdmissionRefusal::DeadlineTooShort)
    }

    fn start(&mut self, ticket: TicketKey, now: Instant) {
        assert!(
            self.in_flight < self.settings.in_flight_limit,
            "request started at or above the limit in flight"
        );
        let found = self.dequeue(ticket);
        assert!(found.deadline > now, "request started after its deadline");
        let charged_nanos = (self.estimate.mean(now) * 1e9) as i128;
        self.levels[found.priority].start(found.flow, charged_nanos);
        self.tickets[ticket].state = TicketState::Running { charged_nanos };
        self.in_flight += 1;
        self.starts = self.starts.wrapping_add(1);
    }

    fn start_waiting(&mut self, now: Instant) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        while self.in_flight < self.settings.in_flight_limit {
            let Some(ticket) = self.next_ticket() else {
                break;
            };
            if !self.can_still_finish(ticket, now) {
                actions.push(self.refuse(ticket));
                continue;
            }
            self.start(ticket, now);
            actions.push(AdmissionAction::Run(ticket));
        }
        self.check_invariants();
        actions
    }

    fn can_still_finish(&self, ticket: TicketKey, now: Instant) -> bool {
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
        let remaining = deadline.saturating_duration_since(now).as_secs_f64();
        self.estimate.mean(now) + margin <= remaining
    }

    fn next_ticket(&mut self) -> Option<TicketKey> {
        let highest = self.levels.iter().position(|level| level.queued() > 0)?;
        let lower_priority_turn = self.starts % LOWER_PRIORITY_PERIOD == LOWER_PRIORITY_PERIOD - 1;
        let level = match lower_priority_turn {
            true => self.next_lower_priority(highest).unwrap_or(highest),
            false => highest,
        };
        self.levels[level].first()
    }

    /// Returns the next waiting priority below `highest` in round-robin order. The
    /// cursor moves to the level found, so that each waiting level gets its turn.
    fn next_lower_priority(&mut self, highest: usize) -> Option<usize> {
        let waiting = |level: &usize| *level > highest && self.levels[*level].queued() > 0;
        let after_cursor = (self.lower_priority_cursor + 1..PRIORITY_COUNT).find(waiting);
        let found = after_cursor.or_else(|| (highest + 1..PRIORITY_COUNT).find(waiting))?;
        self.lower_priority_cursor = found;
        Some(found)
    }

    fn check_invariants(&self) {
        let queued: usize = self.levels.iter().map(FairQueue::queued).sum();
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
            self.levels.iter().for_each(FairQueue::check_invariants);
        }
    }
}
