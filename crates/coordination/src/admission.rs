//! Admission of statements to one member: bounded, fair, deadline-aware queues.
//!
//! There is one queue per member and not per group, because slots and connection
//! shares belong to a member. When a member disappears, its queued requests are
//! cancelled without having run, and are routed again.
//!
//! Priorities are strict: 0 is the highest, 9 the lowest. One start in
//! [`LOWER_PRIORITY_PERIOD`] goes to the lower priorities in turn, so that none
//! starves. Within a priority, requests that can still meet their latency target start
//! before those that cannot, except for one start in ten.
//! Customers of the same priority share the slots by weight. Requests of
//! one customer with the same priority start in order of arrival, regardless of
//! their class.

mod fair_queue;
mod priority_level;
mod service_estimate;
mod slot_forecast;

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use slotmap::SlotMap;
use state::keys::{ClassKey, CustomerKey};

use fair_queue::FlowKey;
use priority_level::{PriorityLevel, Timeliness};
use service_estimate::ServiceEstimate;
use slot_forecast::SlotForecast;

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
/// Shortest retry delay of a refusal before jitter. Callers that return sooner find the
/// queue as full as before.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(50);
/// Longest such delay. The estimate reaches no further: the load may change by then.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(2);

/// Why a request is refused. A refused request was not run and will not be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AdmissionRefusal {
    /// The queue of the customer, class and priority is full.
    QueueFull,
    /// The request is not expected to finish by its deadline.
    DeadlineTooShort,
}

/// Limits of the admission queue of one member.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionSettings {
    /// Largest number of statements in flight at the member.
    pub in_flight_limit: usize,
    /// Largest number of queued statements per customer, class and priority.
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
    /// Instant by which the request should have finished; `None` if it has no target.
    pub target: Option<Instant>,
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

/// Customer, class and priority, for which the number of queued requests is bounded. The
/// priority counts because a burst of low-priority reads of a customer would otherwise
/// have its urgent writes refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct QueueKey {
    customer: CustomerKey,
    class: Option<ClassKey>,
    priority: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TicketState {
    Queued {
        sequence: u64,
    },
    Running {
        charged_nanos: i128,
        started_at: Instant,
    },
}

#[derive(Clone, Copy, Debug)]
struct AdmissionTicket {
    queue_key: QueueKey,
    priority: usize,
    customer: CustomerKey,
    weight: u64,
    timeliness: Timeliness,
    flow: FlowKey,
    deadline: Instant,
    target: Option<Instant>,
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
    levels: [PriorityLevel; PRIORITY_COUNT],
    queue_lengths: HashMap<QueueKey, usize>,
    deadlines: BTreeSet<(Instant, TicketKey)>,
    in_flight: usize,
    /// Whether the deadlines were limited, because the host stops.
    is_ending: bool,
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
            is_ending: false,
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
            priority: request.priority,
        };
        let starts_now = self.queued() == 0 && self.in_flight < self.settings.in_flight_limit;
        let queue_length = self.queue_lengths.get(&queue_key).copied().unwrap_or(0);
        if !starts_now && queue_length >= self.settings.queue_length {
            return Err(AdmissionRefusal::QueueFull);
        }
        let timeliness = match starts_now {
            true => Timeliness::OnTime,
            false => self.expected_timeliness(request, now),
        };
        let level = &mut self.levels[priority];
        let flow = level.flow(timeliness, request.customer, request.weight);
        let can_finish = match starts_now {
            true => self.can_finish_at_once(request.deadline, now),
            false => self.can_finish(request.deadline, priority, (timeliness, flow), now),
        };
        if !can_finish {
            return Err(AdmissionRefusal::DeadlineTooShort);
        }
        let ticket = self.enqueue(queue_key, request, timeliness, flow);
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
        let TicketState::Running { charged_nanos, .. } = removed.state else {
            panic!("released ticket runs");
        };
        self.in_flight -= 1;
        let measured = service.map_or(charged_nanos, |service| service.as_nanos() as i128);
        let queue = self.levels[removed.priority].queue(removed.timeliness);
        queue.finish(removed.flow, measured - charged_nanos);
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
        self.levels.iter_mut().for_each(PriorityLevel::remove_idle);
        actions
    }

    /// Lets no queued request wait for longer than until `latest`, and refuses at once those
    /// that are not expected to finish by then. May be repeated as the estimate changes: the
    /// margin is smaller then, so that small changes do not refuse what was kept.
    pub fn limit_deadlines(&mut self, latest: Instant, now: Instant) -> Vec<AdmissionAction> {
        let deviations = match self.is_ending {
            false => QUEUE_MARGIN_DEVIATIONS,
            true => START_MARGIN_DEVIATIONS,
        };
        self.is_ending = true;
        let mut actions = self.expire(now);
        let forecast = self.forecast(now);
        let margin = self.margin(deviations, now);
        let mut ahead = 0;
        for ticket in self.start_order(now) {
            let deadline = self.tickets[ticket].deadline;
            if deadline >= latest {
                self.deadlines.remove(&(deadline, ticket));
                self.deadlines.insert((latest, ticket));
                self.tickets[ticket].deadline = latest;
                if forecast.end_behind(ahead) + margin > latest {
                    actions.push(self.refuse(ticket));
                    continue;
                }
            }
            ahead += 1;
        }
        self.check_invariants();
        actions
    }

    /// Returns when the slots become free, judging by how long the running requests already
    /// take.
    fn forecast(&self, now: Instant) -> SlotForecast {
        let started = self
            .tickets
            .values()
            .filter_map(|ticket| match ticket.state {
                TicketState::Running { started_at, .. } => Some(started_at),
                TicketState::Queued { .. } => None,
            });
        let service = Duration::from_secs_f64(self.service_mean(now));
        SlotForecast::new(self.settings.in_flight_limit, service, started, now)
    }

    /// Returns the queued requests in the order in which they would start if no other
    /// request came.
    fn start_order(&self, now: Instant) -> Vec<TicketKey> {
        let mut copy = self.clone();
        copy.settings.in_flight_limit = usize::MAX;
        let mut order = Vec::new();
        while let Some(ticket) = copy.next_ticket(now) {
            copy.start(ticket, now);
            order.push(ticket);
        }
        order
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

    /// Changes the queue length per customer, class and priority. Requests that are
    /// already queued stay.
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

    /// Returns after what time a request like `request`, which was refused, is expected to
    /// find room: its wait then takes no more than half of the time that it has now.
    /// `jitter` is from 0.5 to 1.5, drawn for each refusal, so that refused callers do
    /// not return together.
    pub fn retry_delay(&self, request: &AdmissionRequest, jitter: f64, now: Instant) -> Duration {
        let ahead: usize = self.levels[..=usize::from(request.priority)]
            .iter()
            .map(PriorityLevel::queued)
            .sum();
        let remaining = request.deadline.saturating_duration_since(now);
        let excess = self.expected_wait(ahead as f64, now) - remaining.as_secs_f64() / 2.0;
        let (min, max) = (RETRY_DELAY_MIN.as_secs_f64(), RETRY_DELAY_MAX.as_secs_f64());
        Duration::from_secs_f64(excess.clamp(min, max) * jitter)
    }

    fn can_finish_at_once(&self, deadline: Instant, now: Instant) -> bool {
        let remaining = deadline.saturating_duration_since(now).as_secs_f64();
        // At an idle member, a request is tried even if the estimate exceeds the time
        // that remains, unless the deadline has passed. On a host that stops, another host
        // can try it.
        let is_tried = self.in_flight == 0 && !self.is_ending;
        deadline > now && (is_tried || self.service_mean(now) <= remaining)
    }

    fn can_finish(
        &self,
        deadline: Instant,
        priority: usize,
        (timeliness, flow): (Timeliness, FlowKey),
        now: Instant,
    ) -> bool {
        let own = self.levels[priority].expected_ahead_of(timeliness, flow);
        self.can_finish_behind(self.higher_priority(priority) + own, deadline, now)
    }

    /// Returns whether a request is expected to finish by `deadline` that starts after
    /// `ahead` queued ones.
    fn can_finish_behind(&self, ahead: f64, deadline: Instant, now: Instant) -> bool {
        if self.is_ending {
            let end = self.forecast(now).end_behind(ahead.ceil() as usize);
            return end + self.margin(QUEUE_MARGIN_DEVIATIONS, now) <= deadline;
        }
        let wait = self.expected_wait(ahead, now);
        let margin = QUEUE_MARGIN_DEVIATIONS * self.service_deviation(now);
        let remaining = deadline.saturating_duration_since(now).as_secs_f64();
        deadline > now && wait + self.service_mean(now) + margin <= remaining
    }

    /// Returns whether a new request that must queue is expected to meet its target.
    fn expected_timeliness(&mut self, request: &AdmissionRequest, now: Instant) -> Timeliness {
        let Some(target) = request.target else {
            return Timeliness::OnTime;
        };
        let priority = usize::from(request.priority);
        let level = &mut self.levels[priority];
        let flow = level.flow(Timeliness::OnTime, request.customer, request.weight);
        let own = level.expected_ahead_of(Timeliness::OnTime, flow);
        let wait = self.expected_wait(self.higher_priority(priority) + own, now);
        match now + Duration::from_secs_f64(wait + self.service_mean(now)) <= target {
            true => Timeliness::OnTime,
            false => Timeliness::Late,
        }
    }

    fn service_mean(&self, now: Instant) -> f64 {
        self.estimate.mean(self.estimate_time(now))
    }

    fn service_deviation(&self, now: Instant) -> f64 {
        self.estimate.deviation(self.estimate_time(now))
    }

    fn margin(&self, deviations: f64, now: Instant) -> Duration {
        Duration::from_secs_f64(deviations * self.service_deviation(now))
    }

    /// Returns the instant for which the estimate is taken. On a host that stops it does not
    /// decay while a request runs whose answer will correct it: what is kept at a low
    /// estimate would be refused at the next answer.
    fn estimate_time(&self, now: Instant) -> Instant {
        match self.is_ending && self.in_flight > 0 {
            true => now.min(self.estimate.sampled_at()),
            false => now,
        }
    }

    fn higher_priority(&self, priority: usize) -> f64 {
        let queued = self.levels[..priority].iter().map(PriorityLevel::queued);
        queued.sum::<usize>() as f64
    }

    /// Returns the expected wait in seconds behind `ahead` queued requests.
    fn expected_wait(&self, ahead: f64, now: Instant) -> f64 {
        let slots = self.settings.in_flight_limit.max(1) as f64;
        (ahead + 1.0) * self.service_mean(now) / slots
    }

    fn enqueue(
        &mut self,
        queue_key: QueueKey,
        request: &AdmissionRequest,
        timeliness: Timeliness,
        flow: FlowKey,
    ) -> TicketKey {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let priority = usize::from(request.priority);
        let target = request.target.filter(|_| timeliness == Timeliness::OnTime);
        let ticket = self.tickets.insert(AdmissionTicket {
            queue_key,
            priority,
            customer: request.customer,
            weight: request.weight,
            timeliness,
            flow,
            deadline: request.deadline,
            target,
            state: TicketState::Queued { sequence },
        });
        let level = &mut self.levels[priority];
        level.queue(timeliness).push(flow, sequence, ticket);
        if let Some(target) = target {
            level.add_target(target, ticket);
        }
        *self.queue_lengths.entry(queue_key).or_default() += 1;
        self.deadlines.insert((request.deadline, ticket));
        ticket
    }

    /// Moves the requests of a level that can no longer meet their target behind the
    /// others.
    fn move_late(&mut self, level: usize, now: Instant) {
        // With a margin of one deviation, one in five answers of a class at 2.5 times its
        // load was late; with this one, one in eight.
        let margin = QUEUE_MARGIN_DEVIATIONS * self.service_deviation(now);
        let answer_at = now + Duration::from_secs_f64(self.service_mean(now) + margin);
        while let Some(ticket) = self.levels[level].take_late(answer_at) {
            let found = &mut self.tickets[ticket];
            let TicketState::Queued { sequence } = found.state else {
                panic!("a ticket with a target is queued");
            };
            let level = &mut self.levels[level];
            level.queue(Timeliness::OnTime).remove(found.flow, sequence);
            let late = level.queue(Timeliness::Late);
            found.flow = late.flow(found.customer, found.weight);
            found.timeliness = Timeliness::Late;
            found.target = None;
            late.push(found.flow, sequence, ticket);
        }
    }

    /// Removes a ticket from the queue. Its entry in `tickets` stays.
    fn dequeue(&mut self, ticket: TicketKey) -> AdmissionTicket {
        let found = self.tickets[ticket];
        let TicketState::Queued { sequence } = found.state else {
            panic!("dequeued ticket is queued");
        };
        let level = &mut self.levels[found.priority];
        level.queue(found.timeliness).remove(found.flow, sequence);
        if let Some(target) = found.target {
            level.remove_target(target, ticket);
        }
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
        let priority = self.tickets[ticket].priority;
        self.levels[priority].count_start();
        let found = self.dequeue(ticket);
        assert!(found.deadline > now, "request started after its deadline");
        let charged_nanos = (self.service_mean(now) * 1e9) as i128;
        let queue = self.levels[priority].queue(found.timeliness);
        queue.start(found.flow, charged_nanos);
        self.tickets[ticket].state = TicketState::Running {
            charged_nanos,
            started_at: now,
        };
        self.in_flight += 1;
        self.starts = self.starts.wrapping_add(1);
    }

    fn start_waiting(&mut self, now: Instant) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        while self.in_flight < self.settings.in_flight_limit {
            let Some(ticket) = self.next_ticket(now) else {
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
        if self.queued() == 1 && self.in_flight == 0 && !self.is_ending {
            return true;
        }
        let margin = match self.queued() {
            1 => 0.0,
            _ => START_MARGIN_DEVIATIONS * self.service_deviation(now),
        };
        let remaining = deadline.saturating_duration_since(now).as_secs_f64();
        self.service_mean(now) + margin <= remaining
    }

    fn next_ticket(&mut self, now: Instant) -> Option<TicketKey> {
        let highest = self.levels.iter().position(|level| level.queued() > 0)?;
        let lower_priority_turn = self.starts % LOWER_PRIORITY_PERIOD == LOWER_PRIORITY_PERIOD - 1;
        let level = match lower_priority_turn {
            true => self.next_lower_priority(highest).unwrap_or(highest),
            false => highest,
        };
        self.move_late(level, now);
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
        let queued: usize = self.levels.iter().map(PriorityLevel::queued).sum();
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
            self.levels.iter().for_each(PriorityLevel::check_invariants);
        }
    }
}
