//! Event queue, network, platform, faults and callers of the simulation.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet};
use std::time::{Duration, Instant};

use coordination::failover::FailoverPhase;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use state::log::LogPosition;
use state::member::MemberRole;

use super::daemon::{Daemon, OperationOutcome, OperationResult};
use super::invariants::{AcceptedWrite, InvariantChecker, ObservedRead};
use super::member::{Member, MEMBER_TICK};
use super::{
    Decision, Endpoint, InjectedFault, LeaseRow, Message, Operation, Outbox, Result, Timer,
    Violation, ViolationKind,
};

const SESSIONS: usize = 5;
/// Sessions of a run that measures the failover gap. Sessions whose write went to
/// the failed primary wait for their deadline, so there must be enough others to
/// write as soon as the new primary serves.
const GAP_SESSIONS: usize = 40;
const FAULTS_BEGIN: Duration = Duration::from_millis(1_500);
const FAULTS_END: Duration = Duration::from_millis(21_500);
/// Maximum time after the last fault until every daemon serves writes again.
pub const RECOVERY_LIMIT: Duration = Duration::from_secs(5);
/// End of a run. Recovery is checked between the last fault and this instant.
const RUN_END: Duration = Duration::from_millis(30_500);
const STALENESS_MS: [u64; 5] = [0, 200, 1_000, 5_000, 60_000];

enum Event {
    Deliver {
        from: Endpoint,
        to: Endpoint,
        message: Message,
    },
    MemberTick(usize),
    DaemonTimer {
        daemon: usize,
        restarts: u64,
        timer: Timer,
    },
    SessionAct(usize),
    Submit {
        daemon: usize,
        restarts: u64,
        session: usize,
        operation: Operation,
    },
    Begin(InjectedFault),
    End(InjectedFault),
}

struct Session {
    daemon: usize,
    busy: bool,
    token: Option<LogPosition>,
    accepted: Vec<AcceptedWrite>,
    /// Number of accepted writes when the pending operation was submitted.
    accepted_before: usize,
    context: &'static str,
    /// Whether the session stays at its daemon and writes only after the last
    /// fault, so that the daemon's recovery is checked wherever the other sessions
    /// are.
    checks_recovery: bool,
}

#[derive(Default)]
struct Network {
    cuts: HashSet<(Endpoint, Endpoint)>,
    loss: f64,
    duplicate: f64,
    delay_max_ms: u64,
    /// Daemon whose messages are delayed by up to 250 ms.
    slow_daemon: Option<usize>,
    loses_control_answers: bool,
}

/// Statistics of one run.
#[derive(Clone, Debug, Default)]
pub struct RunFigures {
    pub steps: u64,
    pub accepted: usize,
    pub unknown: usize,
    pub reads: usize,
    pub replica_reads: usize,
    pub promotions: usize,
    pub faults: BTreeMap<&'static str, usize>,
    pub recovery: Duration,
    /// Longest time without an accepted write after the start of the fault period.
    pub write_gap: Duration,
}

pub struct World {
    base: Instant,
    now: Instant,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    events: BTreeMap<u64, Event>,
    sequence: u64,
    rng: StdRng,
    members: Vec<Member>,
    frozen: Vec<Option<Instant>>,
    daemons: Vec<Daemon>,
    lease: LeaseRow,
    platform_up: bool,
    platform_loses_answers: bool,
    network: Network,
    sessions: Vec<Session>,
    checker: InvariantChecker,
    decision: Decision,
    pause_at: Option<FailoverPhase>,
    /// Mean time between a session's operations. A replica of a quiet group is
    /// often exactly one write behind; a replica of a busy group is many writes
    /// behind.
    think_time: Duration,
    next_write: u64,
    last_accepted: Instant,
    last_fault_end: Instant,
    served_at: Vec<Option<Instant>>,
    pub figures: RunFigures,
    trace: bool,
}

impl World {
    pub fn new(seed: u64, decision: Decision, trace: bool) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let base = Instant::now() + Duration::from_secs(100_000);
        let members = if rng.random_bool(0.7) { 3 } else { 5 };
        let daemons = rng.random_range(2..=3);
        let mut world = Self {
            base,
            now: base,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            sequence: 0,
            members: (0..members).map(Member::new).collect(),
            frozen: vec![None; members],
            daemons: Vec::new(),
            lease: LeaseRow::default(),
            platform_up: true,
            platform_loses_answers: false,
            network: Network::default(),
            sessions: Vec::new(),
            checker: InvariantChecker::default(),
            decision,
            pause_at: None,
            think_time: Duration::from_millis([30, 30, 400][rng.random_range(0..3)]),
            next_write: 0,
            last_accepted: base + FAULTS_BEGIN,
            last_fault_end: base + FAULTS_BEGIN,
            served_at: vec![None; daemons],
            figures: RunFigures::default(),
            rng,
            trace,
        };
        world.start_members_and_daemons(members);
        world
    }

    /// Adds sessions and schedules random faults.
    pub fn with_random_faults(mut self) -> Self {
        self.add_sessions(SESSIONS);
        self.schedule_faults();
        for daemon in 0..self.daemons.len() {
            self.add_recovery_check(daemon);
        }
        self
    }

    fn add_recovery_check(&mut self, daemon: usize) {
        let session = self.sessions.len();
        self.sessions.push(Session {
            daemon,
            busy: false,
            token: None,
            accepted: Vec::new(),
            accepted_before: 0,
            context: "recovery check",
            checks_recovery: true,
        });
        self.schedule(self.last_fault_end, Event::SessionAct(session));
    }

    fn check_recovery(&mut self, index: usize) {
        let next = self.now + Duration::from_millis(100);
        self.schedule(next.max(self.last_fault_end), Event::SessionAct(index));
        let session = &self.sessions[index];
        let daemon = session.daemon;
        let ready = self.now >= self.last_fault_end && self.daemons[daemon].up;
        if session.busy || !ready || self.served_at[daemon].is_some() {
            return;
        }
        self.daemons[daemon].attach(index, None, self.now);
        self.next_write += 1;
        let write = self.next_write;
        self.schedule_operation(index, Operation::Write { write });
    }

    /// Adds sessions and schedules these faults, which begin together and last
    /// longer than a failover.
    pub fn with_faults(mut self, faults: &[InjectedFault]) -> Self {
        self.think_time = Duration::from_millis(400);
        self.add_sessions(GAP_SESSIONS);
        let begin = self.base + FAULTS_BEGIN + self.jitter(Duration::from_millis(500));
        let end = self.base + FAULTS_END;
        self.last_fault_end = end;
        for fault in faults {
            self.schedule(begin, Event::Begin(*fault));
            self.schedule(end, Event::End(*fault));
        }
        self
    }

    fn start_members_and_daemons(&mut self, members: usize) {
        for member in 0..members {
            self.members[member].replay_ticks = [0, 0, 1, 4, 12][self.rng.random_range(0..5)];
            let at = self.now + self.jitter(MEMBER_TICK);
            self.schedule(at, Event::MemberTick(member));
        }
        for index in 0..self.served_at.len() {
            let daemon = Daemon::new(index, members, 0, self.decision, self.now);
            self.daemons.push(daemon);
            self.start_daemon(index);
        }
    }

    fn add_sessions(&mut self, sessions: usize) {
        let daemons = self.daemons.len();
        for index in 0..sessions {
            self.sessions.push(Session {
                daemon: index % daemons,
                busy: false,
                token: None,
                accepted: Vec::new(),
                accepted_before: 0,
                context: "first proxy",
                checks_recovery: false,
            });
            self.daemons[index % daemons].attach(index, None, self.now);
            let at =
                self.now + Duration::from_millis(1_000) + self.jitter(Duration::from_millis(50));
            self.schedule(at, Event::SessionAct(index));
        }
    }

    fn start_daemon(&mut self, daemon: usize) {
        let at = self.now + self.jitter(Duration::from_millis(250));
        let restarts = self.daemons[daemon].restarts;
        let timer = Timer::ProbeTick;
        self.schedule(
            at,
            Event::DaemonTimer {
                daemon,
                restarts,
                timer,
            },
        );
    }

    fn jitter(&mut self, longest: Duration) -> Duration {
        longest.mul_f64(self.rng.random_range(0.0..1.0))
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((at.max(self.now), self.sequence)));
        self.events.insert(self.sequence, event);
    }

    /// Schedules one fault, a pair of nearly simultaneous faults that repeats, or a
    /// series of overlapping faults.
    fn schedule_faults(&mut self) {
        let begin = self.base + FAULTS_BEGIN;
        let window = FAULTS_END - FAULTS_BEGIN;
        match self.rng.random_range(0..6) {
            0 => {
                let fault = self.pick_fault();
                self.schedule_fault(fault, begin, window / 4);
            }
            1 | 2 => {
                let (first, second) = (self.pick_fault(), self.pick_primary_fault());
                for round in 0..4 {
                    self.schedule_fault_pair(first, second, begin + window / 4 * round, window / 5);
                }
            }
            _ => {
                let count = self.rng.random_range(6..30);
                for _ in 0..count {
                    let fault = if self.rng.random_bool(0.4) {
                        self.pick_primary_fault()
                    } else {
                        self.pick_fault()
                    };
                    let at = begin + self.jitter(window * 4 / 5);
                    self.schedule_fault(fault, at, window / 5);
                }
            }
        }
    }

    fn schedule_fault_pair(
        &mut self,
        first: InjectedFault,
        second: InjectedFault,
        at: Instant,
        longest: Duration,
    ) {
        self.schedule_fault(first, at, longest);
        let later = at + self.jitter(Duration::from_millis(1_500));
        self.schedule_fault(second, later, longest);
    }

    fn schedule_fault(&mut self, fault: InjectedFault, at: Instant, longest: Duration) {
        let longest = longest / [1, 1, 4, 20][self.rng.random_range(0..4)];
        let until = (at + self.jitter(longest)).min(self.base + FAULTS_END);
        self.last_fault_end = self.last_fault_end.max(until);
        self.schedule(at, Event::Begin(fault));
        self.schedule(until, Event::End(fault));
    }

    fn pick_primary_fault(&mut self) -> InjectedFault {
        match self.rng.random_range(0..5) {
            0 => InjectedFault::IsolatePrimary,
            1 => InjectedFault::CutPrimaryReplicas,
            2 => InjectedFault::CutPrimaryDaemons,
            3 => InjectedFault::CrashPrimary,
            _ => InjectedFault::FreezePrimary,
        }
    }

    fn pick_fault(&mut self) -> InjectedFault {
        let member = self.rng.random_range(0..self.members.len());
        let other = (member + self.rng.random_range(1..self.members.len())) % self.members.len();
        let daemon = self.rng.random_range(0..self.served_at.len());
        match self.rng.random_range(0..20) {
            0 => InjectedFault::CutMembers(member, other),
            1 => InjectedFault::CutMemberDaemon(member, daemon),
            2 => self.pick_primary_fault(),
            3 => InjectedFault::IsolateMember(member),
            4 => InjectedFault::PauseDaemon(daemon),
            5 => InjectedFault::RestartDaemon(daemon),
            6 => InjectedFault::CrashMember(member),
            7 | 8 => InjectedFault::Lag(member),
            9 => InjectedFault::LossyNetwork,
            10 => InjectedFault::SlowNetwork,
            11 => InjectedFault::DuplicatingNetwork,
            12 => InjectedFault::PlatformDown,
            13 => InjectedFault::Leaving(member),
            14 => InjectedFault::LoseControlAnswers,
            18 => InjectedFault::SlowDaemon(daemon),
            19 => InjectedFault::RestartMember(member),
            15 => InjectedFault::PauseProposer(FailoverPhase::Lease),
            16 => InjectedFault::PauseProposer(FailoverPhase::Fencing),
            _ => InjectedFault::PauseProposer(FailoverPhase::Promoting),
        }
    }

    /// Runs to the end or to the first violation.
    pub fn run(&mut self) -> Result {
        let end = self.base + RUN_END;
        while let Some(Reverse((at, sequence))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            let event = self.events.remove(&sequence).expect("queued event");
            self.figures.steps += 1;
            self.process(event)?;
            self.check_step()?;
        }
        self.finish()
    }

    fn finish(&mut self) -> Result {
        self.figures.accepted = self.checker.accepted.len();
        self.figures.promotions = self.checker.promotions();
        for served_at in &self.served_at {
            let Some(at) = served_at else {
                return Err(
                    self.liveness_violation("a daemon served no write after the last fault")
                );
            };
            let recovery = at.saturating_duration_since(self.last_fault_end);
            self.figures.recovery = self.figures.recovery.max(recovery);
        }
        if self.figures.recovery > RECOVERY_LIMIT {
            return Err(self.liveness_violation("recovery took too long"));
        }
        self.checker.check_end(&self.members)
    }

    fn liveness_violation(&self, text: &str) -> Violation {
        let members = self.members.iter();
        let states: Vec<String> = members
            .map(|member| format!("{:?}", member.report(self.now)))
            .collect();
        let phases: Vec<FailoverPhase> = self.daemons.iter().map(|d| d.machine.phase()).collect();
        Violation::new(
            ViolationKind::NotLive,
            format!(
                "{text}: {:?}; {phases:?}; {}",
                self.served_at,
                states.join("; ")
            ),
        )
    }

    /// Checks after each step that all reports are consistent and that no two
    /// members are primary at one term.
    fn check_step(&self) -> Result {
        for (at, member) in self.members.iter().enumerate() {
            let report = member.report(self.now);
            if !report.is_consistent() {
                return Err(Violation::new(
                    ViolationKind::BadReport,
                    format!("{report:?}"),
                ));
            }
            let is_primary = |other: &Member| {
                other.role == MemberRole::Primary && other.promised == member.promised
            };
            if is_primary(member) && self.members[at + 1..].iter().any(is_primary) {
                let text = format!("two members lead at term {}", member.promised);
                return Err(Violation::new(ViolationKind::TwoPrimaries, text));
            }
        }
        Ok(())
    }

    fn process(&mut self, event: Event) -> Result {
        match event {
            Event::Deliver { from, to, message } => self.deliver(from, to, message),
            Event::MemberTick(index) => {
                self.tick_member(index);
                Ok(())
            }
            Event::DaemonTimer {
                daemon,
                restarts,
                timer,
            } => self.daemon_timer(daemon, restarts, timer),
            Event::SessionAct(session) => {
                self.session_act(session);
                Ok(())
            }
            Event::Submit {
                daemon,
                restarts,
                session,
                operation,
            } => self.submit(daemon, restarts, session, operation),
            Event::Begin(fault) => {
                self.begin_fault(fault);
                Ok(())
            }
            Event::End(fault) => {
                self.end_fault(fault);
                Ok(())
            }
        }
    }

    fn deliver(&mut self, from: Endpoint, to: Endpoint, message: Message) -> Result {
        if self.network.cuts.contains(&ordered(from, to)) {
            return Ok(());
        }
        match to {
            Endpoint::Member(index) => self.deliver_member(from, index, message),
            Endpoint::Daemon(index) => {
                let daemon = &mut self.daemons[index];
                if !daemon.up {
                    return Ok(());
                }
                if let Some(until) = daemon.paused_until {
                    let event = Event::Deliver { from, to, message };
                    self.schedule(until, event);
                    return Ok(());
                }
                let mut out = Outbox::default();
                daemon.handle(message, self.now, &mut out, &mut self.rng);
                self.flush_daemon(index, out)
            }
            Endpoint::Platform => {
                self.deliver_platform(from, message);
                Ok(())
            }
        }
    }

    fn deliver_member(&mut self, from: Endpoint, index: usize, message: Message) -> Result {
        if let Some(until) = self.frozen[index] {
            let to = Endpoint::Member(index);
            self.schedule(until, Event::Deliver { from, to, message });
            return Ok(());
        }
        let member = &mut self.members[index];
        let mut out = Outbox::default();
        if member.up {
            member.handle(from, message, self.now, &mut self.checker, &mut out)?;
            if out.replicate {
                self.members[index].tick(self.now, self.frozen.len(), &mut out);
            }
        } else if let Message::Control { call, .. } = message {
            out.send(from, Message::Refused { call });
        }
        self.flush(Endpoint::Member(index), out);
        Ok(())
    }

    fn deliver_platform(&mut self, from: Endpoint, message: Message) {
        if !self.platform_up {
            return;
        }
        let reply = match message {
            Message::TableRead { call } => Message::TableRow {
                call,
                row: self.lease,
            },
            Message::TableWrite {
                call,
                expected,
                holder,
            } => {
                let written = self.lease.revision == expected;
                if written {
                    self.lease.revision += 1;
                    self.lease.holder = holder;
                }
                let row = self.lease;
                Message::TableWritten { call, row, written }
            }
            other => panic!("platform got {other:?}"),
        };
        if self.platform_loses_answers && self.rng.random_bool(0.5) {
            return;
        }
        self.transmit(Endpoint::Platform, from, reply, self.now);
    }

    fn tick_member(&mut self, index: usize) {
        self.schedule(self.now + MEMBER_TICK, Event::MemberTick(index));
        if !self.members[index].up || self.frozen[index].is_some() {
            return;
        }
        let mut out = Outbox::default();
        self.members[index].tick(self.now, self.frozen.len(), &mut out);
        self.flush(Endpoint::Member(index), out);
    }

    fn daemon_timer(&mut self, index: usize, restarts: u64, timer: Timer) -> Result {
        let daemon = &mut self.daemons[index];
        if daemon.restarts != restarts || !daemon.up {
            return Ok(());
        }
        if let Some(until) = daemon.paused_until {
            let daemon = index;
            self.schedule(
                until,
                Event::DaemonTimer {
                    daemon,
                    restarts,
                    timer,
                },
            );
            return Ok(());
        }
        let mut out = Outbox::default();
        daemon.timer(timer, self.now, &mut out, &mut self.rng);
        self.flush_daemon(index, out)
    }

    fn flush(&mut self, from: Endpoint, out: Outbox) {
        for (to, message) in out.messages {
            self.transmit(from, to, message, self.now);
        }
    }

    /// Pauses the daemon if its failover machine has reached the phase in
    /// `pause_at`. Returns when its messages are sent, which is randomly before or
    /// after the pause.
    fn pause_proposer(&mut self, index: usize) -> Instant {
        let phase = self.daemons[index].machine.phase();
        if self.pause_at != Some(phase) || self.now >= self.base + FAULTS_END {
            return self.now;
        }
        self.pause_at = None;
        self.pause_daemon(index);
        let before = self.rng.random_bool(0.5);
        let until = self.daemons[index].paused_until;
        until.filter(|_| !before).unwrap_or(self.now)
    }

    fn flush_daemon(&mut self, index: usize, mut out: Outbox) -> Result {
        let restarts = self.daemons[index].restarts;
        for (at, timer) in std::mem::take(&mut out.timers) {
            let daemon = index;
            self.schedule(
                at,
                Event::DaemonTimer {
                    daemon,
                    restarts,
                    timer,
                },
            );
        }
        let leaves_at = self.pause_proposer(index);
        for (to, message) in out.messages {
            self.transmit(Endpoint::Daemon(index), to, message, leaves_at);
        }
        for result in std::mem::take(&mut self.daemons[index].results) {
            self.record_result(index, result)?;
        }
        Ok(())
    }

    fn transmit(&mut self, from: Endpoint, to: Endpoint, message: Message, sent_at: Instant) {
        let is_answer = matches!(message, Message::ControlReply { .. });
        if is_answer && self.network.loses_control_answers && self.rng.random_bool(0.5) {
            return;
        }
        // Statements use a stream connection, which never duplicates them.
        let once = matches!(message, Message::Statement { .. });
        let repeats = !once && self.rng.random_bool(self.network.duplicate);
        let copies = 1 + usize::from(repeats);
        for _ in 0..copies {
            if self.rng.random_bool(self.network.loss) {
                continue;
            }
            let usual = Duration::from_micros(self.rng.random_range(100..2_000));
            let slow = self.network.slow_daemon.map(Endpoint::Daemon);
            let longest = match slow.is_some_and(|slow| slow == from || slow == to) {
                true => 250,
                false => self.network.delay_max_ms,
            };
            let extra = self.rng.random_range(0..=longest);
            let at = sent_at + usual + Duration::from_millis(extra);
            let message = message.clone();
            self.schedule(at, Event::Deliver { from, to, message });
        }
    }

    fn session_act(&mut self, index: usize) {
        if self.sessions[index].checks_recovery {
            return self.check_recovery(index);
        }
        let pause = self.think_time.mul_f64(self.rng.random_range(0.3..2.0));
        self.schedule(self.now + pause, Event::SessionAct(index));
        if self.sessions[index].busy {
            return;
        }
        if !self.daemons[self.sessions[index].daemon].up || self.rng.random_bool(0.1) {
            return self.move_session(index);
        }
        if self.rng.random_bool(0.45) {
            self.next_write += 1;
            let write = self.next_write;
            return self.schedule_operation(index, Operation::Write { write });
        }
        self.begin_read(index);
    }

    /// Sometimes lets a session read immediately after its write was accepted,
    /// usually through a randomly selected daemon.
    fn read_elsewhere(&mut self, index: usize) {
        if self.sessions[index].checks_recovery || self.rng.random_bool(0.7) {
            return;
        }
        if self.rng.random_bool(0.7) {
            self.move_session(index);
        }
        self.begin_read(index);
    }

    fn begin_read(&mut self, index: usize) {
        let staleness = STALENESS_MS[self.rng.random_range(0..STALENESS_MS.len())];
        let staleness = Duration::from_millis(staleness);
        self.schedule_operation(index, Operation::Read { staleness });
    }

    fn schedule_operation(&mut self, index: usize, operation: Operation) {
        let session = &mut self.sessions[index];
        session.busy = true;
        session.accepted_before = session.accepted.len();
        let daemon = session.daemon;
        let restarts = self.daemons[daemon].restarts;
        let event = Event::Submit {
            daemon,
            restarts,
            session: index,
            operation,
        };
        self.schedule(self.now, event);
    }

    /// Reconnects a session to a random daemon, with or without its token.
    fn move_session(&mut self, index: usize) {
        let daemon = self.rng.random_range(0..self.daemons.len());
        if !self.daemons[daemon].up {
            return;
        }
        let with_token = self.rng.random_bool(0.5);
        let session = &mut self.sessions[index];
        session.daemon = daemon;
        let token = session.token.filter(|_| with_token);
        session.context = match token {
            Some(_) => "moved with token",
            None => "moved without token",
        };
        self.daemons[daemon].attach(index, token, self.now);
    }

    fn submit(
        &mut self,
        daemon: usize,
        restarts: u64,
        session: usize,
        operation: Operation,
    ) -> Result {
        let target = &mut self.daemons[daemon];
        if target.restarts != restarts || !target.up {
            self.sessions[session].busy = false;
            return Ok(());
        }
        if let Some(until) = target.paused_until {
            let event = Event::Submit {
                daemon,
                restarts,
                session,
                operation,
            };
            self.schedule(until, event);
            return Ok(());
        }
        let mut out = Outbox::default();
        target.submit(session, operation, self.now, &mut out);
        self.flush_daemon(daemon, out)
    }

    fn record_result(&mut self, daemon: usize, result: OperationResult) -> Result {
        let session = &mut self.sessions[result.session];
        session.busy = false;
        session.token = result.token.or(session.token);
        match result.outcome {
            OperationOutcome::Accepted { write, position } => {
                let accepted = AcceptedWrite {
                    write,
                    position,
                    at: self.now,
                };
                session.accepted.push(accepted);
                let gap = self.now.saturating_duration_since(self.last_accepted);
                self.figures.write_gap = self.figures.write_gap.max(gap);
                self.last_accepted = self.last_accepted.max(self.now);
                if self.now >= self.last_fault_end && self.served_at[daemon].is_none() {
                    self.served_at[daemon] = Some(self.now);
                }
                self.checker.accept(accepted, &self.members)?;
                self.read_elsewhere(result.session);
                Ok(())
            }
            OperationOutcome::Unknown => {
                self.figures.unknown += 1;
                Ok(())
            }
            OperationOutcome::NotRun => Ok(()),
            OperationOutcome::Read {
                log,
                visible,
                routed_at,
                measured_age,
                by_replica,
            } => {
                self.figures.reads += 1;
                self.figures.replica_reads += usize::from(by_replica);
                let read = ObservedRead {
                    log: &log,
                    visible,
                    routed_at,
                    measured_age,
                    required: &session.accepted[..session.accepted_before],
                    context: session.context,
                };
                self.checker.check_read(&read)
            }
        }
    }

    fn primary(&self) -> usize {
        let is_primary = |member: &&Member| member.role == MemberRole::Primary;
        let newest = self
            .members
            .iter()
            .filter(is_primary)
            .max_by_key(|m| m.promised);
        newest.map_or(0, |member| member.index)
    }

    fn set_cut(&mut self, first: Endpoint, second: Endpoint, cut: bool) {
        let pair = ordered(first, second);
        if cut {
            self.network.cuts.insert(pair);
        } else {
            self.network.cuts.remove(&pair);
        }
    }

    fn cut_off(&mut self, member: usize, replicas: bool, daemons: bool) {
        let here = Endpoint::Member(member);
        if replicas {
            for other in (0..self.members.len()).filter(|other| *other != member) {
                self.set_cut(here, Endpoint::Member(other), true);
            }
        }
        if daemons {
            for daemon in 0..self.daemons.len() {
                self.set_cut(here, Endpoint::Daemon(daemon), true);
            }
        }
    }

    fn begin_fault(&mut self, fault: InjectedFault) {
        if self.trace {
            println!(
                "{:?} begin {fault:?} primary {}",
                self.now - self.base,
                self.primary()
            );
        }
        *self.figures.faults.entry(fault.name()).or_default() += 1;
        let primary = self.primary();
        let until = self.base + FAULTS_END;
        match fault {
            InjectedFault::CutMembers(one, other) => {
                self.set_cut(Endpoint::Member(one), Endpoint::Member(other), true);
            }
            InjectedFault::CutMemberDaemon(member, daemon) => {
                self.set_cut(Endpoint::Member(member), Endpoint::Daemon(daemon), true);
            }
            InjectedFault::IsolatePrimary => self.cut_off(primary, true, true),
            InjectedFault::IsolateMember(member) => self.cut_off(member, true, true),
            InjectedFault::CutPrimaryReplicas => self.cut_off(primary, true, false),
            InjectedFault::CutPrimaryDaemons => self.cut_off(primary, false, true),
            InjectedFault::PauseDaemon(daemon) => self.pause_daemon(daemon),
            InjectedFault::RestartDaemon(daemon) => self.daemons[daemon].up = false,
            InjectedFault::CrashMember(member) => self.members[member].crash(),
            InjectedFault::CrashPrimary => self.members[primary].crash(),
            InjectedFault::FreezePrimary => {
                let longest = until.saturating_duration_since(self.now) / 2;
                self.frozen[primary] = Some(self.now + longest / 2 + self.jitter(longest / 2));
            }
            InjectedFault::Lag(member) => self.members[member].lagging = true,
            InjectedFault::LossyNetwork => self.network.loss = 0.2,
            InjectedFault::SlowNetwork => self.network.delay_max_ms = 350,
            InjectedFault::DuplicatingNetwork => self.network.duplicate = 0.5,
            InjectedFault::PlatformDown => {
                self.platform_up = self.rng.random_bool(0.3);
                self.platform_loses_answers = true;
            }
            InjectedFault::Leaving(member) => self.set_leaving(member, true),
            InjectedFault::PauseProposer(phase) => self.pause_at = Some(phase),
            InjectedFault::LoseControlAnswers => self.network.loses_control_answers = true,
            InjectedFault::SlowDaemon(daemon) => self.network.slow_daemon = Some(daemon),
            InjectedFault::RestartMember(member) => {
                if self.members[member].up {
                    self.members[member].crash();
                    self.members[member].restart(&mut self.rng);
                }
            }
        }
        if let Some(unfreeze_at) = self.frozen[primary] {
            self.last_fault_end = self.last_fault_end.max(unfreeze_at);
            self.schedule(unfreeze_at, Event::End(InjectedFault::FreezePrimary));
        }
    }

    fn pause_daemon(&mut self, daemon: usize) {
        let pause = Duration::from_millis(self.rng.random_range(100..4_000));
        let until = (self.now + pause).min(self.base + FAULTS_END);
        self.daemons[daemon].paused_until = Some(until);
        self.last_fault_end = self.last_fault_end.max(until);
        self.schedule(until, Event::End(InjectedFault::PauseDaemon(daemon)));
    }

    fn set_leaving(&mut self, member: usize, leaving: bool) {
        for index in 0..self.daemons.len() {
            let mut out = Outbox::default();
            let daemon = &mut self.daemons[index];
            daemon.set_leaving(member, leaving, self.now, &mut out, &mut self.rng);
            self.flush_daemon(index, out)
                .expect("no operation ends here");
        }
    }

    /// Ends a fault. The end of one network cut may end others too, which only
    /// shortens them.
    fn end_fault(&mut self, fault: InjectedFault) {
        match fault {
            InjectedFault::CutMembers(one, other) => {
                self.set_cut(Endpoint::Member(one), Endpoint::Member(other), false);
            }
            InjectedFault::CutMemberDaemon(member, daemon) => {
                self.set_cut(Endpoint::Member(member), Endpoint::Daemon(daemon), false);
            }
            InjectedFault::IsolatePrimary
            | InjectedFault::IsolateMember(_)
            | InjectedFault::CutPrimaryReplicas
            | InjectedFault::CutPrimaryDaemons => self.network.cuts.clear(),
            InjectedFault::PauseDaemon(daemon) => {
                let paused = &mut self.daemons[daemon].paused_until;
                *paused = paused.filter(|until| *until > self.now);
            }
            InjectedFault::RestartDaemon(daemon) => self.restart_daemon(daemon),
            InjectedFault::CrashMember(_) | InjectedFault::CrashPrimary => self.restart_members(),
            InjectedFault::FreezePrimary => {
                for frozen in &mut self.frozen {
                    *frozen = frozen.filter(|until| *until > self.now);
                }
            }
            InjectedFault::Lag(member) => self.members[member].lagging = false,
            InjectedFault::LossyNetwork => self.network.loss = 0.0,
            InjectedFault::SlowNetwork => self.network.delay_max_ms = 0,
            InjectedFault::DuplicatingNetwork => self.network.duplicate = 0.0,
            InjectedFault::PlatformDown => {
                self.platform_up = true;
                self.platform_loses_answers = false;
            }
            InjectedFault::Leaving(member) => self.set_leaving(member, false),
            InjectedFault::PauseProposer(_) => self.pause_at = None,
            InjectedFault::SlowDaemon(_) => self.network.slow_daemon = None,
            InjectedFault::RestartMember(_) => {}
            InjectedFault::LoseControlAnswers => self.network.loses_control_answers = false,
        }
    }

    fn restart_members(&mut self) {
        for member in &mut self.members {
            if !member.up {
                member.restart(&mut self.rng);
            }
        }
    }

    /// Replaces a stopped daemon by a new one without state. Its sessions lose their
    /// connection and the outcomes of their pending operations.
    fn restart_daemon(&mut self, index: usize) {
        let old = &self.daemons[index];
        if old.up {
            return;
        }
        let (members, restarts) = (self.members.len(), old.restarts + 1);
        self.daemons[index] = Daemon::new(index, members, restarts, self.decision, self.now);
        self.start_daemon(index);
        for session in 0..self.sessions.len() {
            let moves = !self.sessions[session].checks_recovery;
            if moves && self.sessions[session].daemon == index {
                self.sessions[session].busy = false;
                self.move_session(session);
                if self.sessions[session].daemon == index {
                    let token = self.sessions[session].token;
                    self.daemons[index].attach(session, token, self.now);
                }
            }
        }
    }
}

fn ordered(first: Endpoint, second: Endpoint) -> (Endpoint, Endpoint) {
    (first.min(second), first.max(second))
}
