//! Lets concurrent sessions wait in the admission queue of a backend server.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use coordination::admission::{
    AdmissionAction, AdmissionQueue, AdmissionRefusal, AdmissionRequest, AdmissionSettings,
    CancelAnswer, SubmitOutcome, TicketKey,
};
use tokio::sync::oneshot;
use tokio::time::timeout_at;

/// Result of a request for admission.
pub type Result<T> = std::result::Result<T, AdmissionRefusal>;

/// Minimal interval between two calls of [`AdmissionQueue::expire`], which among
/// other things removes idle customers.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// A permit, and for a queued request the receiver of its admission. The permit
/// is valid once the receiver, if there is one, has returned `Ok`.
type SubmittedRequest = (AdmissionPermit, Option<oneshot::Receiver<Result<()>>>);

/// The admission queue of one backend server, for use by concurrent sessions.
#[derive(Debug)]
pub struct AdmissionGate {
    state: Mutex<GateState>,
}

#[derive(Debug)]
struct GateState {
    queue: AdmissionQueue,
    waiters: HashMap<TicketKey, oneshot::Sender<Result<()>>>,
    expired_at: Instant,
}

impl AdmissionGate {
    /// Creates an empty queue.
    pub fn new(settings: AdmissionSettings) -> Arc<Self> {
        let now = Instant::now();
        Arc::new(Self {
            state: Mutex::new(GateState {
                queue: AdmissionQueue::new(settings, now),
                waiters: HashMap::new(),
                expired_at: now,
            }),
        })
    }

    /// Waits for admission, at most until the deadline of `request`.
    ///
    /// # Errors
    ///
    /// The refusal of the queue, or [`AdmissionRefusal::DeadlineTooShort`] if the
    /// deadline passes first.
    pub async fn enter(self: &Arc<Self>, request: &AdmissionRequest) -> Result<AdmissionPermit> {
        let (mut permit, receiver) = match self.submit(request)? {
            (permit, None) => return Ok(permit),
            (permit, Some(receiver)) => (permit, receiver),
        };
        match timeout_at(request.deadline.into(), receiver).await {
            Ok(Ok(Ok(()))) => {
                permit.start();
                Ok(permit)
            }
            Ok(Ok(Err(refusal))) => Err(refusal),
            _ => Err(AdmissionRefusal::DeadlineTooShort),
        }
    }

    /// Returns after what time a request like `request`, which was refused, is expected to
    /// find room; see [`AdmissionQueue::retry_delay`].
    pub fn retry_delay(&self, request: &AdmissionRequest, jitter: f64) -> Duration {
        self.lock()
            .queue
            .retry_delay(request, jitter, Instant::now())
    }

    /// Returns the number of queued requests.
    pub fn queued(&self) -> usize {
        self.lock().queue.queued()
    }

    /// Lets no request wait for longer than until `latest`, and refuses at once those that
    /// are not expected to finish by then.
    pub fn limit_deadlines(&self, latest: Instant) {
        let mut state = self.lock();
        let actions = state.queue.limit_deadlines(latest, Instant::now());
        state.carry_out(actions);
    }

    /// Changes the limit on the number of statements in flight.
    pub fn set_in_flight_limit(&self, limit: usize) {
        let mut state = self.lock();
        let actions = state.queue.set_in_flight_limit(limit, Instant::now());
        state.carry_out(actions);
    }

    /// Changes the limit on the number of queued requests of each customer and
    /// read class.
    pub fn set_queue_length(&self, length: usize) {
        self.lock().queue.set_queue_length(length);
    }

    fn submit(self: &Arc<Self>, request: &AdmissionRequest) -> Result<SubmittedRequest> {
        let now = Instant::now();
        let mut state = self.lock();
        state.expire(now);
        let (ticket, receiver) = match state.queue.submit(request, now)? {
            SubmitOutcome::Run(ticket) => (ticket, None),
            SubmitOutcome::Queued(ticket) => {
                let (sender, receiver) = oneshot::channel();
                state.waiters.insert(ticket, sender);
                (ticket, Some(receiver))
            }
        };
        let permit = AdmissionPermit {
            gate: self.clone(),
            ticket,
            started_at: now,
            answered: false,
        };
        Ok((permit, receiver))
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
    fn expire(&mut self, now: Instant) {
        if now.saturating_duration_since(self.expired_at) < EXPIRY_INTERVAL {
            return;
        }
        self.expired_at = now;
        let actions = self.queue.expire(now);
        self.carry_out(actions);
    }

    /// Carries out the queue's actions. A request that no longer waits keeps its
    /// ticket until its permit is dropped.
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

/// Permission to run one statement. Dropping it admits the next request.
#[derive(Debug)]
pub struct AdmissionPermit {
    gate: Arc<AdmissionGate>,
    ticket: TicketKey,
    started_at: Instant,
    answered: bool,
}

impl AdmissionPermit {
    /// Records that the server answered the statement, so that its service time
    /// counts in the estimate of service times.
    pub fn record_answer(&mut self) {
        self.answered = true;
    }

    fn start(&mut self) {
        self.started_at = Instant::now();
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        let service = self.answered.then(|| self.started_at.elapsed());
        self.gate.leave(self.ticket, service);
    }
}
