//! The admission queue in front of a member, for concurrent sessions.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use coordination::admission::{
    AdmissionAction, AdmissionQueue, AdmissionRefusal, AdmissionRequest, AdmissionSettings,
    CancelAnswer, SubmitOutcome, TicketKey,
};
use tokio::sync::oneshot;
use tokio::time::timeout_at;

/// Result of asking for admission.
pub type Result<T> = std::result::Result<T, AdmissionRefusal>;

/// Interval at which idle customers are forgotten.
const TIDY_INTERVAL: Duration = Duration::from_secs(1);

/// A pass, and what to wait for before it is valid.
type GateOffer = (AdmissionPass, Option<oneshot::Receiver<Result<()>>>);

/// The queue of one member.
#[derive(Debug)]
pub struct AdmissionGate {
    state: Mutex<GateState>,
}

#[derive(Debug)]
struct GateState {
    queue: AdmissionQueue,
    waiters: HashMap<TicketKey, oneshot::Sender<Result<()>>>,
    tidied_at: Instant,
}

impl AdmissionGate {
    /// Builds an empty queue.
    pub fn new(settings: AdmissionSettings) -> Arc<Self> {
        let now = Instant::now();
        Arc::new(Self {
            state: Mutex::new(GateState {
                queue: AdmissionQueue::new(settings, now),
                waiters: HashMap::new(),
                tidied_at: now,
            }),
        })
    }

    /// Waits for admission, at most until the deadline of `request`.
    pub async fn enter(self: &Arc<Self>, request: &AdmissionRequest) -> Result<AdmissionPass> {
        let (mut pass, receiver) = match self.offer(request)? {
            (pass, None) => return Ok(pass),
            (pass, Some(receiver)) => (pass, receiver),
        };
        match timeout_at(request.deadline.into(), receiver).await {
            Ok(Ok(Ok(()))) => {
                pass.start();
                Ok(pass)
            }
            Ok(Ok(Err(refusal))) => Err(refusal),
            _ => Err(AdmissionRefusal::DeadlineTooShort),
        }
    }

    /// Returns the number of queued requests.
    pub fn queued(&self) -> usize {
        self.lock().queue.queued()
    }

    /// Changes the limit of statements in flight.
    pub fn set_in_flight_limit(&self, limit: usize) {
        let mut state = self.lock();
        let actions = state.queue.set_in_flight_limit(limit, Instant::now());
        state.carry_out(actions);
    }

    /// Changes the bound of each customer and class.
    pub fn set_queue_length(&self, length: usize) {
        self.lock().queue.set_queue_length(length);
    }

    fn offer(self: &Arc<Self>, request: &AdmissionRequest) -> Result<GateOffer> {
        let now = Instant::now();
        let mut state = self.lock();
        state.tidy(now);
        let (ticket, receiver) = match state.queue.submit(request, now)? {
            SubmitOutcome::Run(ticket) => (ticket, None),
            SubmitOutcome::Queued(ticket) => {
                let (sender, receiver) = oneshot::channel();
                state.waiters.insert(ticket, sender);
                (ticket, Some(receiver))
            }
        };
        let pass = AdmissionPass {
            gate: self.clone(),
            ticket,
            started_at: now,
            answered: false,
        };
        Ok((pass, receiver))
    }

    fn leave(&self, ticket: TicketKey, service: Option<Duration>) {
        let mut state = self.lock();
        state.waiters.remove(&ticket);
        if state.queue.cancel(ticket) == CancelAnswer::Running {
            let actions = state.queue.release(ticket, service, Instant::now());
            state.carry_out(actions);
        }
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl GateState {
    fn tidy(&mut self, now: Instant) {
        if now.saturating_duration_since(self.tidied_at) < TIDY_INTERVAL {
            return;
        }
        self.tidied_at = now;
        let actions = self.queue.expire(now);
        self.carry_out(actions);
    }

    /// A request that has gone keeps its ticket until its pass is dropped.
    fn carry_out(&mut self, actions: Vec<AdmissionAction>) {
        for action in actions {
            let (ticket, answer) = match action {
                AdmissionAction::Run(ticket) => (ticket, Ok(())),
                AdmissionAction::Refuse(ticket, refusal) => (ticket, Err(refusal)),
            };
            if let Some(waiter) = self.waiters.remove(&ticket) {
                let _ = waiter.send(answer);
            }
        }
    }
}

/// Permission to run one statement. Dropping it gives the slot to the next.
#[derive(Debug)]
pub struct AdmissionPass {
    gate: Arc<AdmissionGate>,
    ticket: TicketKey,
    started_at: Instant,
    answered: bool,
}

impl AdmissionPass {
    /// Enters that the statement was answered, so that its service time counts.
    pub fn note_answer(&mut self) {
        self.answered = true;
    }

    fn start(&mut self) {
        self.started_at = Instant::now();
    }
}

impl Drop for AdmissionPass {
    fn drop(&mut self) {
        let service = self.answered.then(|| self.started_at.elapsed());
        self.gate.leave(self.ticket, service);
    }
}
