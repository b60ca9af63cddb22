//! Event loop of the monitor: handles requests, results and timers, and starts
//! calls.

use std::future::Future;
use std::time::{Duration, Instant};

use coordination::failover::{
    FailoverAction, FailoverEvent, FailoverPhase, ProposerNumber, StepAnswer,
};
use protocol::member_control::{ControlRefusal, ProposerId};
use state::clock::MonotonicClock;
use state::keys::MemberKey;
use tokio::sync::{mpsc, watch};

use super::call::{CallKind, CallResult, CallSet, MemberResult};
use super::confirmations::{CommitWaiter, PendingConfirmations};
use super::failover_driver::{FailoverDriver, PhaseChange};
use super::lease_holder::LeaseHolder;
use super::members::MemberTable;
use super::probe_budget::WatchedMembers;
use super::rounds::WatermarkRounds;
use super::{MonitorConfig, MonitorServices};
use crate::group_handle::{GroupHandle, MonitorRequest, ViewPublisher};
use crate::services::{ControlFactory, MemberControl, Result, ServiceError, TableService};
use state::document::FailoverTiming;
use state::member::MemberReport;

/// Capacity of the monitor's request queue.
const REQUEST_BUFFER: usize = 1_024;
/// Maximum number of queued results, and of queued requests, that are handled
/// before the view is published, so that a busy group publishes its view once for
/// many reports.
const EVENT_BATCH: usize = 256;
/// Maximum wait of a long poll. A commit that takes longer is polled again.
const AWAIT_MAX_WAIT: Duration = Duration::from_secs(1);
/// Minimum wait of a long poll.
const AWAIT_MIN_WAIT: Duration = Duration::from_millis(1);

/// Spawns the monitor of a group. The monitor ends when the sender of `config` or
/// all handles are dropped.
pub fn spawn<F, T, C>(
    services: MonitorServices<F, T, C>,
    config: watch::Receiver<MonitorConfig>,
) -> GroupHandle
where
    F: ControlFactory,
    T: TableService,
    C: MonotonicClock,
{
    let (handle, task) = prepare(services, config);
    tokio::spawn(task);
    handle
}

/// Returns the handle of a group's monitor and the task that the caller must
/// spawn.
pub fn prepare<F, T, C>(
    services: MonitorServices<F, T, C>,
    config: watch::Receiver<MonitorConfig>,
) -> (GroupHandle, impl Future<Output = ()> + Send + 'static)
where
    F: ControlFactory,
    T: TableService,
    C: MonotonicClock,
{
    let (requests, inbox) = mpsc::channel(REQUEST_BUFFER);
    let meter = services.budget.meter().clone();
    let monitor = GroupMonitor::new(services, config);
    let (handle, publisher) = GroupHandle::new(monitor.members.view().clone(), requests);
    let task = async move { meter.run(monitor.run(inbox, publisher)).await };
    (handle, task)
}

struct GroupMonitor<F: ControlFactory, T, C> {
    services: MonitorServices<F, T, C>,
    config: watch::Receiver<MonitorConfig>,
    members: MemberTable<F>,
    watched: WatchedMembers,
    rounds: WatermarkRounds,
    confirmations: PendingConfirmations,
    failover: FailoverDriver,
    lease: LeaseHolder<T, C>,
    calls: CallSet,
    timing: FailoverTiming,
    next_probe: Instant,
    view_changed: bool,
}

impl<F, T, C> GroupMonitor<F, T, C>
where
    F: ControlFactory,
    T: TableService,
    C: MonotonicClock,
{
    fn new(services: MonitorServices<F, T, C>, mut config: watch::Receiver<MonitorConfig>) -> Self {
        let first = config.borrow_and_update().clone();
        let mut members = MemberTable::new(services.factory.clone(), &first.group.name);
        members.apply(&first);
        let mut watched = services.budget.watch();
        watched.set(first.group.member.len());
        let now = services.clock.now();
        let probe_base = Duration::from_millis(first.timing.probe_interval_ms);
        let interval = services.budget.interval(probe_base);
        Self {
            failover: FailoverDriver::new(members.view(), first.timing, interval, now),
            lease: LeaseHolder::new(services.table.clone(), services.clock.clone(), &first),
            timing: first.timing,
            watched,
            rounds: WatermarkRounds::default(),
            confirmations: PendingConfirmations::new(members.keys()),
            calls: CallSet::new(services.budget.clone()),
            next_probe: now,
            view_changed: false,
            members,
            config,
            services,
        }
    }

    async fn run(mut self, mut inbox: mpsc::Receiver<MonitorRequest>, publisher: ViewPublisher) {
        loop {
            self.advance();
            self.publish(&publisher);
            let wake = tokio::time::Instant::from_std(self.next_wake());
            tokio::select! {
                request = inbox.recv() => match request {
                    Some(request) => self.handle_request(request),
                    None => return,
                },
                changed = self.config.changed() => match changed {
                    Ok(()) => self.apply_config(),
                    Err(_) => return,
                },
                Some(result) = self.calls.next(), if !self.calls.is_empty() => {
                    self.handle_result(result);
                }
                () = tokio::time::sleep_until(wake) => {}
            }
            self.handle_queued(&mut inbox);
        }
    }

    fn handle_queued(&mut self, inbox: &mut mpsc::Receiver<MonitorRequest>) {
        for _ in 0..EVENT_BATCH {
            let Some(result) = self.calls.try_next() else {
                break;
            };
            self.handle_result(result);
        }
        for _ in 0..EVENT_BATCH {
            let Ok(request) = inbox.try_recv() else {
                break;
            };
            self.handle_request(request);
        }
    }

    fn handle_request(&mut self, request: MonitorRequest) {
        match request {
            MonitorRequest::Watermark { reply } => self.rounds.request(reply),
            MonitorRequest::Confirm {
                position,
                deadline,
                reply,
            } => {
                let waiter = CommitWaiter {
                    position,
                    deadline,
                    reply,
                };
                self.confirmations.add(waiter, self.services.clock.now());
            }
            MonitorRequest::Suspect { member } => self.probe_at_once(member),
        }
    }

    fn handle_result(&mut self, result: CallResult) {
        match result {
            CallResult::Member(result) => self.handle_member_result(result),
            CallResult::Lease(answer) => self.drive_failover(FailoverEvent::Lease(answer)),
            CallResult::Ignored => {}
        }
    }

    fn handle_member_result(&mut self, result: MemberResult) {
        let member = result.member;
        match result.kind {
            CallKind::Report => self.members.release_extra_probe(member),
            CallKind::Await => {
                let now = self.services.clock.now();
                let failed = result.answer.is_err();
                self.members.release_await(member, failed, now);
            }
            CallKind::Fence(_) | CallKind::Promote(_) | CallKind::Follow => {}
        }
        match &result.answer {
            Ok(report) => self.record_report(member, report, result.sent_at),
            Err(ServiceError::Refused(_)) => {}
            Err(error) => {
                log::debug!(group = self.group(), member:? = member; "a control call to a member failed: {error}");
                self.view_changed |= self.members.record_failure(member, result.sent_at);
            }
        }
        if result.kind == CallKind::Await && result.answer.is_err() {
            self.probe_at_once(member);
        }
        if let Some(event) = failover_event(&result) {
            self.drive_failover(event);
        }
    }

    fn record_report(&mut self, member: MemberKey, report: &MemberReport, sent_at: Instant) {
        self.view_changed |= self.members.record_report(member, report, sent_at);
        self.confirmations.report(member, report);
        if self.rounds.report(member, report, sent_at) {
            self.members.set_watermarks(self.rounds.watermarks());
            self.view_changed = true;
        }
    }

    fn drive_failover(&mut self, event: FailoverEvent) {
        let now = self.services.clock.now();
        let before = self.failover.phase();
        let actions = self.failover.handle(event, now);
        self.record_phase(before, now);
        self.perform(actions);
    }

    fn record_phase(&mut self, before: FailoverPhase, now: Instant) {
        let term = self.members.view().highest_term();
        let Some(change) = self.failover.phase_change(before, term, now) else {
            return;
        };
        let PhaseChange { from, to, .. } = change;
        if change.is_failover {
            let metrics = &self.services.metrics;
            metrics.count_failover(self.group(), change.since_suspicion);
        }
        log::info!(
            group = self.group(),
            term = term.0;
            "failover phase changed from {from:?} to {to:?} after {:?}",
            change.since_suspicion
        );
    }

    fn perform(&mut self, actions: Vec<FailoverAction>) {
        let now = self.services.clock.now();
        for action in actions {
            match action {
                FailoverAction::Probe(member) => self.probe(member, now),
                FailoverAction::AcquireLease => {
                    let term = self.members.view().highest_term().next();
                    self.calls.spawn_platform_call(self.lease.acquire(term));
                }
                FailoverAction::ReleaseLease => {
                    self.calls.spawn_platform_call(self.lease.release());
                }
                FailoverAction::Fence {
                    member,
                    term,
                    proposer,
                } => self.call(member, CallKind::Fence(term), now, move |control| async move {
                    control.fence(term, proposer_id(proposer)).await
                }),
                FailoverAction::Promote {
                    member,
                    term,
                    proposer,
                } => self.call(member, CallKind::Promote(term), now, move |control| async move {
                    control.promote(term, proposer_id(proposer)).await
                }),
                FailoverAction::Follow(order) => {
                    let primary = self.members.view().members.get(order.primary);
                    let Some(address) = primary.map(|member| member.control_address) else {
                        continue;
                    };
                    self.call(order.member, CallKind::Follow, now, move |control| async move {
                        control.follow(order.term, address).await
                    });
                }
                FailoverAction::WaitUntil(_) => {}
            }
        }
    }

    /// Spawns a call to a member.
    fn call<A, Fut>(&mut self, member: MemberKey, kind: CallKind, now: Instant, call: A)
    where
        A: FnOnce(F::Control) -> Fut,
        Fut: Future<Output = Result<MemberReport>> + Send + 'static,
    {
        if let Some(control) = self.members.control(member) {
            self.calls
                .spawn_member_call(member, kind, now, call(control));
        }
    }

    fn group(&self) -> &str {
        &self.members.view().name
    }

    fn apply_config(&mut self) {
        let config = self.config.borrow_and_update().clone();
        let now = self.services.clock.now();
        self.timing = config.timing;
        self.watched.set(config.group.member.len());
        self.view_changed = true;
        self.lease.apply(&config);
        if self.members.apply(&config) {
            self.rounds.restart();
            self.confirmations.restart(self.members.keys(), now);
            self.restart_failover(now);
            self.next_probe = now;
        }
        self.report_leaving();
    }

    fn report_leaving(&mut self) {
        let members = &self.members.view().members;
        let leaving: Vec<(MemberKey, bool)> = members
            .iter()
            .map(|(key, member)| (key, member.leaving))
            .collect();
        for (member, leaving) in leaving {
            self.drive_failover(FailoverEvent::Leaving { member, leaving });
        }
    }

    fn restart_failover(&mut self, now: Instant) {
        let interval = self.probe_interval();
        let view = self.members.view();
        let actions = self.failover.restart(view, self.timing, interval, now);
        self.perform(actions);
    }

    fn probe_interval(&self) -> Duration {
        let base = Duration::from_millis(self.timing.probe_interval_ms);
        self.services.budget.interval(base)
    }

    /// Starts the rounds and long polls that are due, and handles expired timers.
    fn advance(&mut self) {
        let now = self.services.clock.now();
        let round_timeout = Duration::from_millis(self.timing.control_timeout_ms);
        self.confirmations.advance(now);
        self.rounds.expire(round_timeout, now);
        if now >= self.next_probe || self.rounds.wants_round(now) {
            self.start_round(now);
        }
        self.start_awaits(now);
        if now >= self.failover.timer() {
            self.drive_failover(FailoverEvent::Timer);
        }
        if self
            .failover
            .is_outdated(&self.timing, self.probe_interval())
        {
            self.restart_failover(now);
        }
    }

    /// Starts a round of reports from all members. Each round serves the waiting
    /// requests, probes the members and yields a watermark.
    fn start_round(&mut self, now: Instant) {
        let keys = self.members.keys();
        self.rounds.start(keys.len(), now);
        for member in keys {
            self.probe(member, now);
        }
        self.next_probe = now + self.probe_interval();
    }

    fn probe(&mut self, member: MemberKey, now: Instant) {
        self.call(member, CallKind::Report, now, |control| async move {
            control.report().await
        });
    }

    /// Probes a member outside of the rounds, unless such a probe is in flight.
    fn probe_at_once(&mut self, member: MemberKey) {
        if self.members.claim_extra_probe(member) {
            self.probe(member, self.services.clock.now());
        }
    }

    /// Sends the long polls for pending commits, at most one per member.
    fn start_awaits(&mut self, now: Instant) {
        let Some(deadline) = self.confirmations.next_deadline() else {
            return;
        };
        let wait = deadline
            .saturating_duration_since(now)
            .clamp(AWAIT_MIN_WAIT, AWAIT_MAX_WAIT);
        for member in self.members.keys() {
            let Some(position) = self.confirmations.next_await(member) else {
                continue;
            };
            if !self.members.claim_await(member, now) {
                continue;
            }
            self.call(member, CallKind::Await, now, move |control| async move {
                control.await_position(position, wait).await
            });
        }
    }

    fn next_wake(&self) -> Instant {
        let now = self.services.clock.now();
        let deadline = self.confirmations.next_deadline();
        let retry = deadline.and_then(|_| self.members.next_await_retry(now));
        let timers = [self.rounds.next_start(), deadline, retry];
        let first = self.next_probe.min(self.failover.timer());
        timers.into_iter().flatten().fold(first, Instant::min)
    }

    fn publish(&mut self, publisher: &ViewPublisher) {
        if std::mem::take(&mut self.view_changed) {
            publisher.publish(self.members.view().clone());
        }
    }
}

fn proposer_id(proposer: ProposerNumber) -> ProposerId {
    ProposerId(proposer.0)
}

/// Converts the result of a call to an event of the failover state machine.
fn failover_event(result: &MemberResult) -> Option<FailoverEvent> {
    let (member, asked_at) = (result.member, result.sent_at);
    match result.kind {
        CallKind::Fence(term) => Some(FailoverEvent::Fence {
            member,
            term,
            answer: step_answer(&result.answer),
            asked_at,
        }),
        CallKind::Promote(term) => Some(FailoverEvent::Promote {
            member,
            term,
            answer: step_answer(&result.answer),
            asked_at,
        }),
        CallKind::Report | CallKind::Await | CallKind::Follow => match &result.answer {
            Ok(report) => Some(FailoverEvent::Report {
                member,
                report: *report,
                asked_at,
            }),
            Err(ServiceError::Refused(_)) => None,
            Err(error) => Some(FailoverEvent::CallFailed {
                member,
                asked_at,
                refused: matches!(error, ServiceError::Unreachable(_)),
            }),
        },
    }
}

fn step_answer(answer: &Result<MemberReport>) -> StepAnswer {
    match answer {
        Ok(report) => StepAnswer::Accepted(*report),
        Err(ServiceError::Refused(ControlRefusal::StaleTerm { promised })) => {
            StepAnswer::StaleTerm(*promised)
        }
        Err(ServiceError::Refused(ControlRefusal::WrongProposer)) => StepAnswer::WrongProposer,
        Err(_) => StepAnswer::NoAnswer,
    }
}
