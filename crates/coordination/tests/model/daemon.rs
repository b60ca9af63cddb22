//! Simulated daemon that runs the decision logic in the same way as the runtime.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use coordination::confirm::{CommitKey, CommitOutcome, ConfirmTracker, ResolvedCommit};
use coordination::failover::{
    FailoverAction, FailoverEvent, FailoverMachine, FailoverTimes, JitterFraction, LeaseAnswer,
    ProposerNumber, StepAnswer, LEASE_TIMEOUT,
};
use coordination::lease::{self, LeaseDecision, LeaseValue, LeaseView};
use coordination::routing::{self, ReadRequest, ReplicaPosition, RouteChoice};
use coordination::session_bound::SessionBound;
use coordination::view::{GroupView, GroupWatermark, MemberView};
use coordination::watermark::{WatermarkHistory, WatermarkRound};
use rand::rngs::StdRng;
use rand::Rng;
use slotmap::SlotMap;
use state::document::FailoverTiming;
use state::keys::MemberKey;
use state::log::{LogPosition, Term};
use state::member::{MemberReport, MemberRole};

use super::member::Log;
use super::{
    ControlAnswer, ControlRequest, Decision, Endpoint, LeaseRow, Message, Operation, Outbox,
    StatementAnswer, Timer,
};

const STATEMENT_DEADLINE: Duration = Duration::from_secs(2);
const REPLICA_WAIT: Duration = Duration::from_millis(20);

/// Outcome of a session's operation.
pub enum OperationOutcome {
    Accepted {
        write: u64,
        position: LogPosition,
    },
    Unknown,
    NotRun,
    Read {
        log: Log,
        visible: usize,
        routed_at: Instant,
        measured_age: Option<Duration>,
        by_replica: bool,
    },
}

pub struct OperationResult {
    pub session: usize,
    pub outcome: OperationOutcome,
    /// Position of the session token after the operation.
    pub token: Option<LogPosition>,
}

enum CallKind {
    Probe,
    Await,
    Fence { term: Term },
    Promote { term: Term },
    Follow,
    Statement { request: u64 },
    LeaseRead,
    LeaseWrite,
    LeaseRelease,
}

struct OpenCall {
    kind: CallKind,
    member: Option<usize>,
    asked_at: Instant,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum RequestPhase {
    Waiting,
    Sent,
    Confirming,
}

struct Request {
    session: usize,
    operation: Operation,
    arrived_at: Instant,
    deadline: Instant,
    phase: RequestPhase,
    /// Term of the primary to which a write was sent.
    term: Term,
    position: LogPosition,
    routed_at: Instant,
    measured_age: Option<Duration>,
    member: Option<usize>,
}

#[derive(Clone, Copy)]
struct ConfirmedAt {
    member: usize,
    epoch: u64,
    position: LogPosition,
}

struct SessionState {
    bound: SessionBound,
    confirmed_at: Option<ConfirmedAt>,
}

pub struct Daemon {
    pub index: usize,
    pub up: bool,
    /// Number of restarts. Timers that were set before a restart are dropped.
    pub restarts: u64,
    pub paused_until: Option<Instant>,
    pub results: Vec<OperationResult>,
    pub machine: FailoverMachine,
    decision: Decision,
    keys: Vec<MemberKey>,
    view: GroupView,
    /// Connection epochs of the members, as of the reports in the view.
    epochs: Vec<u64>,
    in_flight: Vec<u32>,
    tracker: ConfirmTracker,
    history: WatermarkHistory,
    rounds: Vec<WatermarkRound>,
    calls: BTreeMap<u64, OpenCall>,
    next_call: u64,
    awaiting: Vec<Option<u64>>,
    requests: BTreeMap<u64, Request>,
    next_request: u64,
    pending_commits: HashMap<CommitKey, u64>,
    sessions: HashMap<usize, SessionState>,
    lease: LeaseView,
    machine_timer: Option<Instant>,
    granted: Vec<Option<Term>>,
}

fn host_name(index: usize) -> String {
    format!("entry-{index}")
}

fn lease_duration() -> Duration {
    Duration::from_millis(FailoverTiming::default().lease_ms)
}

fn lease_value(index: usize, restarts: u64) -> LeaseValue {
    LeaseValue {
        holder: host_name(index),
        incarnation: restarts,
        term: Term::default(),
        duration_ms: FailoverTiming::default().lease_ms,
    }
}

fn lease_row(row: LeaseRow) -> lease::LeaseRow {
    lease::LeaseRow {
        revision: row.revision,
        value: row
            .holder
            .map(|(index, restarts)| lease_value(index, restarts)),
    }
}

fn member_view(index: usize) -> MemberView {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 5000 + index as u16));
    MemberView {
        name: format!("member-{index}"),
        data_centre: format!("dc-{index}"),
        region: format!("region-{}", index / 2),
        address,
        control_address: address,
        slots: 2,
        connection_limit: 30,
        leaving: false,
        reachable: false,
        report: None,
        reported_at: None,
    }
}

impl Daemon {
    pub fn new(
        index: usize,
        members: usize,
        restarts: u64,
        decision: Decision,
        now: Instant,
    ) -> Self {
        let mut map = SlotMap::with_key();
        let keys: Vec<MemberKey> = (0..members).map(|at| map.insert(member_view(at))).collect();
        let times = FailoverTimes::from(&FailoverTiming::default());
        let proposer = ProposerNumber((index as u64 + 1) * 1_000_000 + restarts);
        Self {
            index,
            up: true,
            restarts,
            paused_until: None,
            results: Vec::new(),
            machine: FailoverMachine::new(keys.iter().copied(), times, proposer, now),
            decision,
            tracker: ConfirmTracker::new(keys.iter().copied()),
            view: GroupView {
                name: "sightings".to_owned(),
                members: map,
                watermarks: Vec::new(),
            },
            epochs: vec![0; members],
            in_flight: vec![0; members],
            history: WatermarkHistory::new(),
            rounds: Vec::new(),
            calls: BTreeMap::new(),
            next_call: restarts << 32,
            awaiting: vec![None; members],
            requests: BTreeMap::new(),
            next_request: 0,
            pending_commits: HashMap::new(),
            sessions: HashMap::new(),
            lease: LeaseView::new(&host_name(index), restarts, lease_duration()),
            machine_timer: None,
            granted: vec![None; members],
            keys,
        }
    }

    /// Attaches a session that presents a token or none.
    pub fn attach(&mut self, session: usize, token: Option<LogPosition>, now: Instant) {
        let bound = match token {
            Some(position) => SessionBound::begin_with_token(now, position),
            None => SessionBound::begin(now),
        };
        let state = SessionState {
            bound,
            confirmed_at: None,
        };
        self.sessions.insert(session, state);
    }

    pub fn submit(&mut self, session: usize, operation: Operation, now: Instant, out: &mut Outbox) {
        let request = Request {
            session,
            operation,
            arrived_at: now,
            deadline: now + STATEMENT_DEADLINE,
            phase: RequestPhase::Waiting,
            term: Term(0),
            position: LogPosition::START,
            routed_at: now,
            measured_age: None,
            member: None,
        };
        self.next_request += 1;
        self.requests.insert(self.next_request, request);
        out.timer(now + STATEMENT_DEADLINE, Timer::Wake);
        self.route_all(now, out);
    }

    pub fn set_leaving(
        &mut self,
        member: usize,
        leaving: bool,
        now: Instant,
        out: &mut Outbox,
        rng: &mut StdRng,
    ) {
        self.view.members[self.keys[member]].leaving = leaving;
        let event = FailoverEvent::Leaving {
            member: self.keys[member],
            leaving,
        };
        self.drive_machine(event, now, out, rng);
    }

    pub fn timer(&mut self, timer: Timer, now: Instant, out: &mut Outbox, rng: &mut StdRng) {
        match timer {
            Timer::ProbeTick => {
                self.start_round(now, out);
                out.timer(now + Duration::from_millis(250), Timer::ProbeTick);
            }
            Timer::Machine(at) => {
                if self.machine_timer == Some(at) {
                    self.drive_machine(FailoverEvent::Timer, now, out, rng);
                }
            }
            Timer::CallTimeout(call) => self.fail_call(call, false, now, out, rng),
            Timer::Wake => {}
        }
        self.advance_commits(now, out);
        self.route_all(now, out);
    }

    pub fn handle(&mut self, message: Message, now: Instant, out: &mut Outbox, rng: &mut StdRng) {
        match message {
            Message::ControlReply {
                call,
                epoch,
                answer,
            } => self.control_reply(call, epoch, answer, now, out, rng),
            Message::Refused { call } => self.fail_call(call, true, now, out, rng),
            Message::StatementReply { call, answer } => {
                self.statement_reply(call, answer, now, out);
            }
            Message::TableRow { call, row } => self.table_row(call, row, now, out, rng),
            Message::TableWritten { call, row, written } => {
                self.table_written(call, row, written, now, out, rng);
            }
            other => panic!("daemon got {other:?}"),
        }
        self.advance_commits(now, out);
        self.route_all(now, out);
        self.await_all(now, out);
    }

    fn open_call(&mut self, kind: CallKind, member: Option<usize>, now: Instant) -> u64 {
        self.next_call += 1;
        let call = OpenCall {
            kind,
            member,
            asked_at: now,
        };
        self.calls.insert(self.next_call, call);
        self.next_call
    }

    fn send_control(
        &mut self,
        member: usize,
        kind: CallKind,
        request: ControlRequest,
        now: Instant,
        out: &mut Outbox,
    ) -> u64 {
        let call = self.open_call(kind, Some(member), now);
        out.timer(now + Duration::from_millis(300), Timer::CallTimeout(call));
        out.send(Endpoint::Member(member), Message::Control { call, request });
        call
    }

    fn probe(&mut self, member: usize, now: Instant, out: &mut Outbox) {
        self.send_control(member, CallKind::Probe, ControlRequest::Report, now, out);
    }

    fn start_round(&mut self, now: Instant, out: &mut Outbox) {
        self.rounds
            .push(WatermarkRound::start(now, self.keys.len()));
        if self.rounds.len() > 8 {
            self.rounds.remove(0);
        }
        for member in 0..self.keys.len() {
            self.probe(member, now, out);
        }
    }

    fn fail_call(
        &mut self,
        call: u64,
        refused: bool,
        now: Instant,
        out: &mut Outbox,
        rng: &mut StdRng,
    ) {
        let Some(open) = self.calls.remove(&call) else {
            return;
        };
        let asked_at = open.asked_at;
        let Some(at) = open.member else {
            if !matches!(open.kind, CallKind::LeaseRelease) {
                self.drive_machine(FailoverEvent::Lease(LeaseAnswer::NoAnswer), now, out, rng);
            }
            return;
        };
        let member = self.keys[at];
        self.view.members[member].reachable = false;
        let event = match open.kind {
            CallKind::Fence { term } => FailoverEvent::Fence {
                member,
                term,
                answer: StepAnswer::NoAnswer,
                asked_at,
            },
            CallKind::Promote { term } => FailoverEvent::Promote {
                member,
                term,
                answer: StepAnswer::NoAnswer,
                asked_at,
            },
            CallKind::Statement { request } => {
                self.in_flight[at] -= 1;
                self.finish(request, OperationOutcome::Unknown);
                return;
            }
            _ => FailoverEvent::CallFailed {
                member,
                asked_at,
                refused,
            },
        };
        if self.awaiting[at] == Some(call) {
            self.awaiting[at] = None;
        }
        self.drive_machine(event, now, out, rng);
    }

    fn control_reply(
        &mut self,
        call: u64,
        epoch: u64,
        answer: ControlAnswer,
        now: Instant,
        out: &mut Outbox,
        rng: &mut StdRng,
    ) {
        // A duplicate, or a reply after the timeout, finds no open call.
        let Some(open) = self.calls.remove(&call) else {
            return;
        };
        let (Some(at), asked_at) = (open.member, open.asked_at) else {
            return;
        };
        if self.awaiting[at] == Some(call) {
            self.awaiting[at] = None;
        }
        let member = self.keys[at];
        if let ControlAnswer::Report(report) = answer {
            self.record_report(at, epoch, &report, asked_at);
        }
        let step = match answer {
            ControlAnswer::Report(report) => StepAnswer::Accepted(report),
            ControlAnswer::StaleTerm(promised) => StepAnswer::StaleTerm(promised),
            ControlAnswer::WrongProposer => StepAnswer::WrongProposer,
        };
        let event = match (open.kind, answer) {
            (CallKind::Fence { term }, _) => {
                if matches!(step, StepAnswer::Accepted(_)) {
                    self.granted[at] = Some(term);
                }
                FailoverEvent::Fence {
                    member,
                    term,
                    answer: step,
                    asked_at,
                }
            }
            (CallKind::Promote { term }, _) => FailoverEvent::Promote {
                member,
                term,
                answer: step,
                asked_at,
            },
            (_, ControlAnswer::Report(report)) => FailoverEvent::Report {
                member,
                report,
                asked_at,
            },
            _ => return,
        };
        self.drive_machine(event, now, out, rng);
    }

    fn record_report(&mut self, at: usize, epoch: u64, report: &MemberReport, asked_at: Instant) {
        let key = self.keys[at];
        let view = &mut self.view.members[key];
        view.reachable = true;
        if view.reported_at <= Some(asked_at) {
            view.report = Some(*report);
            view.reported_at = Some(asked_at);
            self.epochs[at] = epoch;
        }
        let resolved = self.tracker.report(key, report);
        self.finish_commits(resolved);
        let mut finished = Vec::new();
        for round in &mut self.rounds {
            finished.extend(round.reply(key, report, asked_at));
        }
        self.rounds.retain(|round| !round.is_finished());
        for watermark in finished {
            self.record_watermark(&watermark);
        }
    }

    fn record_watermark(&mut self, watermark: &GroupWatermark) {
        self.history.push(*watermark);
        self.view.watermarks = self.history.watermarks().to_vec();
        for state in self.sessions.values_mut() {
            let _ = state.bound.record_watermark(watermark);
        }
    }

    fn drive_machine(
        &mut self,
        event: FailoverEvent,
        now: Instant,
        out: &mut Outbox,
        rng: &mut StdRng,
    ) {
        let jitter = JitterFraction::new(rng.random_range(0.0..1.0));
        for action in self.machine.handle(event, now, jitter) {
            self.perform(action, now, out);
        }
    }

    fn index_of(&self, key: MemberKey) -> usize {
        let found = self.keys.iter().position(|known| *known == key);
        found.expect("actions name members of the group")
    }

    fn perform(&mut self, action: FailoverAction, now: Instant, out: &mut Outbox) {
        match action {
            FailoverAction::Probe(member) => self.probe(self.index_of(member), now, out),
            FailoverAction::AcquireLease => {
                let call = self.open_call(CallKind::LeaseRead, None, now);
                out.timer(now + LEASE_TIMEOUT, Timer::CallTimeout(call));
                out.send(Endpoint::Platform, Message::TableRead { call });
            }
            FailoverAction::Fence {
                member,
                term,
                proposer,
            } => {
                let request = ControlRequest::Fence {
                    term,
                    proposer: proposer.0,
                };
                let member = self.index_of(member);
                self.send_control(member, CallKind::Fence { term }, request, now, out);
            }
            FailoverAction::Promote {
                member,
                term,
                proposer,
            } => {
                let member = self.promoted_member(self.index_of(member), term);
                let request = ControlRequest::Promote {
                    term,
                    proposer: proposer.0,
                };
                self.send_control(member, CallKind::Promote { term }, request, now, out);
            }
            FailoverAction::Follow(order) => {
                let request = ControlRequest::Follow {
                    term: order.term,
                    primary: self.index_of(order.primary),
                };
                let member = self.index_of(order.member);
                self.send_control(member, CallKind::Follow, request, now, out);
            }
            FailoverAction::ReleaseLease => {
                let call = self.open_call(CallKind::LeaseRelease, None, now);
                out.timer(now + LEASE_TIMEOUT, Timer::CallTimeout(call));
                out.send(Endpoint::Platform, Message::TableRead { call });
            }
            FailoverAction::WaitUntil(at) => {
                self.machine_timer = Some(at);
                out.timer(at, Timer::Machine(at));
            }
        }
    }

    fn promoted_member(&self, chosen: usize, term: Term) -> usize {
        if self.decision != Decision::PromoteFirstReachable {
            return chosen;
        }
        let first = self
            .granted
            .iter()
            .position(|granted| *granted == Some(term));
        first.unwrap_or(chosen)
    }

    fn table_row(
        &mut self,
        call: u64,
        row: LeaseRow,
        now: Instant,
        out: &mut Outbox,
        rng: &mut StdRng,
    ) {
        let Some(open) = self.calls.remove(&call) else {
            return;
        };
        let own_holder = Some((self.index, self.restarts));
        if matches!(open.kind, CallKind::LeaseRelease) {
            if row.holder == own_holder {
                self.write_row(row.revision, None, CallKind::LeaseRelease, now, out);
            }
            return;
        }
        self.lease.observe(lease_row(row), now);
        let answer = match self.lease.decide(Term::default(), now) {
            LeaseDecision::Write {
                expected_revision, ..
            } => {
                self.write_row(
                    expected_revision,
                    own_holder,
                    CallKind::LeaseWrite,
                    now,
                    out,
                );
                return;
            }
            LeaseDecision::Wait { until } => LeaseAnswer::HeldByOther { until },
            LeaseDecision::Held { until } => LeaseAnswer::HeldByUs { until },
        };
        self.drive_machine(FailoverEvent::Lease(answer), now, out, rng);
    }

    fn write_row(
        &mut self,
        expected: u64,
        holder: Option<(usize, u64)>,
        kind: CallKind,
        now: Instant,
        out: &mut Outbox,
    ) {
        let call = self.open_call(kind, None, now);
        out.timer(now + LEASE_TIMEOUT, Timer::CallTimeout(call));
        let message = Message::TableWrite {
            call,
            expected,
            holder,
        };
        out.send(Endpoint::Platform, message);
    }

    fn table_written(
        &mut self,
        call: u64,
        row: LeaseRow,
        written: bool,
        now: Instant,
        out: &mut Outbox,
        rng: &mut StdRng,
    ) {
        let Some(open) = self.calls.remove(&call) else {
            return;
        };
        if matches!(open.kind, CallKind::LeaseRelease) {
            return;
        }
        let answer = if written {
            let value = lease_value(self.index, self.restarts);
            self.lease
                .record_written(row.revision, value, open.asked_at);
            LeaseAnswer::HeldByUs {
                until: open.asked_at + lease_duration(),
            }
        } else {
            self.lease.observe(lease_row(row), now);
            LeaseAnswer::HeldByOther {
                until: now + lease_duration(),
            }
        };
        self.drive_machine(FailoverEvent::Lease(answer), now, out, rng);
    }

    fn await_all(&mut self, now: Instant, out: &mut Outbox) {
        for at in 0..self.keys.len() {
            if self.awaiting[at].is_some() {
                continue;
            }
            if let Some(position) = self.tracker.next_await(self.keys[at]) {
                let request = ControlRequest::Await { position };
                let call = self.send_control(at, CallKind::Await, request, now, out);
                self.awaiting[at] = Some(call);
            }
        }
    }

    fn advance_commits(&mut self, now: Instant, out: &mut Outbox) {
        let resolved = self.tracker.advance(now);
        self.finish_commits(resolved);
        self.await_all(now, out);
    }

    fn finish_commits(&mut self, resolved: Vec<ResolvedCommit>) {
        for commit in resolved {
            let Some(request) = self.pending_commits.remove(&commit.key) else {
                continue;
            };
            match commit.outcome {
                CommitOutcome::Unknown => self.finish(request, OperationOutcome::Unknown),
                CommitOutcome::Confirmed { replica } => {
                    let replica = replica.map(|key| self.index_of(key));
                    self.accept(request, commit.position, replica);
                }
            }
        }
    }

    fn accept(&mut self, id: u64, position: LogPosition, replica: Option<usize>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let Operation::Write { write } = request.operation else {
            return;
        };
        let session = request.session;
        if let Some(state) = self.sessions.get_mut(&session) {
            state.bound.record_confirmed_write(position);
            state.confirmed_at = replica.map(|member| ConfirmedAt {
                member,
                epoch: self.epochs[member],
                position,
            });
        }
        self.finish(id, OperationOutcome::Accepted { write, position });
    }

    /// Ends a request and records its outcome.
    fn finish(&mut self, id: u64, outcome: OperationOutcome) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        let token = self
            .sessions
            .get(&request.session)
            .and_then(|state| state.bound.bound());
        self.results.push(OperationResult {
            session: request.session,
            outcome,
            token,
        });
    }

    fn route_all(&mut self, now: Instant, out: &mut Outbox) {
        let waiting: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, request)| request.phase == RequestPhase::Waiting)
            .map(|(id, _)| *id)
            .collect();
        for id in waiting {
            match self.requests[&id].operation {
                Operation::Write { write } => self.route_write(id, write, now, out),
                Operation::Read { staleness } => self.route_read(id, staleness, now, out),
            }
        }
    }

    fn route_write(&mut self, id: u64, write: u64, now: Instant, out: &mut Outbox) {
        match routing::choose_write(&self.view, self.requests[&id].deadline, now) {
            RouteChoice::Member(key) => self.send(id, key, Some(write), now, out),
            RouteChoice::WaitUntil(at) => out.timer(at, Timer::Wake),
            RouteChoice::Refuse(_) => self.finish(id, OperationOutcome::NotRun),
        }
    }

    fn route_read(&mut self, id: u64, staleness: Duration, now: Instant, out: &mut Outbox) {
        let request = &self.requests[&id];
        let (arrived_at, deadline) = (request.arrived_at, request.deadline);
        let state = &self.sessions[&request.session];
        if self.decision == Decision::ReadAnyReplica {
            return self.route_naive_read(id, now, out);
        }
        let Some(bound) = state.bound.bound() else {
            let asked = self
                .rounds
                .iter()
                .any(|round| round.asked_at() >= state.bound.began_at());
            if now >= deadline {
                self.finish(id, OperationOutcome::NotRun);
            } else if !asked {
                self.start_round(now, out);
            }
            return;
        };
        let confirmed = state
            .confirmed_at
            .filter(|confirmed| self.epochs[confirmed.member] == confirmed.epoch);
        let region = format!("region-{}", self.index);
        let data_centre = format!("dc-{}", self.index);
        let read = ReadRequest {
            bound,
            max_staleness: staleness,
            arrived_at,
            deadline,
            replica_wait: REPLICA_WAIT,
            data_centre: &data_centre,
            region: &region,
            confirming_replica: confirmed.map(|confirmed| ReplicaPosition {
                member: self.keys[confirmed.member],
                position: confirmed.position,
            }),
        };
        let in_flight = |key: MemberKey| {
            let at = self.keys.iter().position(|known| *known == key);
            at.map_or(0, |at| self.in_flight[at])
        };
        match routing::choose_read(&self.view, &read, now, in_flight) {
            RouteChoice::Member(key) => {
                self.assert_eligible(key, &read, now);
                self.send(id, key, None, now, out);
            }
            RouteChoice::WaitUntil(at) => {
                let asked = self
                    .rounds
                    .iter()
                    .any(|round| round.asked_at() >= arrived_at);
                if !asked && routing::needs_watermark(&self.view, &read, now) {
                    self.start_round(now, out);
                }
                out.timer(at, Timer::Wake);
            }
            RouteChoice::Refuse(_) => self.finish(id, OperationOutcome::NotRun),
        }
    }

    fn assert_eligible(&self, key: MemberKey, read: &ReadRequest<'_>, now: Instant) {
        let member = &self.view.members[key];
        assert!(member.reachable && !member.leaving, "routed to {key:?}");
        let report = member.report.expect("a routed member has a report");
        let confirmed = read.confirming_replica.filter(|known| known.member == key);
        let applied = confirmed.map_or(report.applied, |known| known.position.max(report.applied));
        assert!(applied.reaches(read.bound));
        let age = self.view.age_of(applied, now).expect("an age was measured");
        let waited = now - read.arrived_at;
        assert!(age <= read.max_staleness.max(waited), "age {age:?}");
    }

    fn route_naive_read(&mut self, id: u64, now: Instant, out: &mut Outbox) {
        let replica = self.view.members.iter().find(|(_, member)| {
            let replica = member
                .report
                .is_some_and(|report| report.role == MemberRole::Replica);
            member.reachable && replica
        });
        match replica.map(|(key, _)| key) {
            Some(key) => self.send(id, key, None, now, out),
            None if now >= self.requests[&id].deadline => self.finish(id, OperationOutcome::NotRun),
            None => {}
        }
    }

    fn send(
        &mut self,
        id: u64,
        key: MemberKey,
        write: Option<u64>,
        now: Instant,
        out: &mut Outbox,
    ) {
        let at = self.index_of(key);
        let report = self.view.members[key].report;
        let age = report.and_then(|report| self.view.age_of(report.applied, now));
        let call = self.open_call(CallKind::Statement { request: id }, Some(at), now);
        let request = self.requests.get_mut(&id).expect("the request is open");
        request.phase = RequestPhase::Sent;
        request.routed_at = now;
        request.measured_age = age;
        request.member = Some(at);
        request.term = report
            .map(|report| report.promised_term)
            .unwrap_or_default();
        out.timer(request.deadline, Timer::CallTimeout(call));
        self.in_flight[at] += 1;
        let message = Message::Statement {
            call,
            epoch: self.epochs[at],
            write,
        };
        out.send(Endpoint::Member(at), message);
    }

    fn statement_reply(
        &mut self,
        call: u64,
        answer: StatementAnswer,
        now: Instant,
        out: &mut Outbox,
    ) {
        let Some(open) = self.calls.remove(&call) else {
            return;
        };
        let CallKind::Statement { request: id } = open.kind else {
            return;
        };
        if let Some(at) = open.member {
            self.in_flight[at] -= 1;
        }
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        match answer {
            StatementAnswer::Closed | StatementAnswer::ReadOnly => {
                self.finish(id, OperationOutcome::NotRun);
            }
            StatementAnswer::Written { report } => {
                let valid =
                    report.role == MemberRole::Primary && report.promised_term == request.term;
                request.position = report.log;
                request.phase = RequestPhase::Confirming;
                let (position, deadline) = (report.log, request.deadline);
                if self.decision == Decision::AcknowledgeOnOk {
                    return self.accept(id, position, None);
                }
                if !valid {
                    return self.finish(id, OperationOutcome::Unknown);
                }
                let key = self.tracker.add(position, deadline);
                self.pending_commits.insert(key, id);
                self.advance_commits(now, out);
            }
            StatementAnswer::ReadResult {
                report,
                log,
                visible,
            } => {
                let by_replica = report.role == MemberRole::Replica;
                if let (false, Some(state)) = (by_replica, self.sessions.get_mut(&request.session))
                {
                    state.bound.record_read(report.applied);
                }
                let outcome = OperationOutcome::Read {
                    log,
                    visible,
                    routed_at: request.routed_at,
                    measured_age: request.measured_age,
                    by_replica,
                };
                self.finish(id, outcome);
            }
        }
    }
}
