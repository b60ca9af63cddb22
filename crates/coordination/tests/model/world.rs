//! The simulated world: event queue, network, platform, faults, callers.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet};
use std::time::{Duration, Instant};

use coordination::failover::FailoverPhase;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use state::log::LogPosition;
use state::member::MemberRole;

use super::daemon::{Daemon, OperationOutcome, OperationResult};
use super::member::{Member, MEMBER_TICK};
use super::truth::{AcceptedWrite, ReadEvidence, Truth};
use super::{
    Decision, Endpoint, Fault, FaultKind, LeaseRow, Message, Operation, Outbox, Result, Timer,
    Violation,
};

const SESSIONS: usize = 5;
/// Sessions of a run that measures the gap. Those whose write went to the dead
/// primary wait for their deadline; enough others remain to end the gap.
const GAP_SESSIONS: usize = 40;
const FAULTS_BEGIN: Duration = Duration::from_millis(1_500);
const FAULTS_END: Duration = Duration::from_millis(21_500);
/// Longest time after the last fault until every daemon serves again.
pub const RECOVERY_LIMIT: Duration = Duration::from_secs(5);
/// Time without faults at the end, in which recovery is checked.
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
        life: u64,
        timer: Timer,
    },
    SessionAct(usize),
    Submit {
        daemon: usize,
        life: u64,
        session: usize,
        operation: Operation,
    },
    Begin(FaultKind),
    End(FaultKind),
}

struct Session {
    daemon: usize,
    busy: bool,
    token: Option<LogPosition>,
    accepted: Vec<AcceptedWrite>,
    /// Number of accepted writes when the open read was submitted.
    known: usize,
    context: &'static str,
    /// Whether the session stays at its daemon and writes after the last fault
    /// only, so that recovery does not depend on where the others are.
    checks_recovery: bool,
}

#[derive(Default)]
struct Network {
    cuts: HashSet<(Endpoint, Endpoint)>,
    loss: f64,
    duplicate: f64,
    delay_max_ms: u64,
    /// Daemon whose messages alone are delayed, by up to 250 ms.
    slow_daemon: Option<usize>,
    loses_control_answers: bool,
}

/// Figures of one run.
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
    /// Longest time between two accepted writes after the faults began.
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
    truth: Truth,
    decision: Decision,
    pause_at: Option<FailoverPhase>,
    /// Mean time between a session's operations. On a quiet group a replica is
    /// often exactly one write behind, on a busy one it is many behind.
    think: Duration,
    next_write: u64,
    last_accepted: Instant,
    last_fault_end: Instant,
    served: Vec<Option<Instant>>,
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
            truth: Truth::default(),
            decision,
            pause_at: None,
            think: Duration::from_millis([30, 30, 400][rng.random_range(0..3)]),
            next_write: 0,
            last_accepted: base + FAULTS_BEGIN,
            last_fault_end: base + FAULTS_BEGIN,
            served: vec![None; daemons],
            figures: RunFigures::default(),
            rng,
            trace,
        };
        world.populate(members);
        world
    }

    /// Prepares callers and random faults.
    pub fn with_random_faults(mut self) -> Self {
        self.add_sessions(SESSIONS);
        self.plan_faults();
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
            known: 0,
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
        if session.busy || !ready || self.served[daemon].is_some() {
            return;
        }
        self.daemons[daemon].attach(index, None, self.now);
        self.next_write += 1;
        let write = self.next_write;
        self.begin(index, Operation::Write { write });
    }

    /// Prepares callers and these faults, which begin together and last longer
    /// than a failover.
    pub fn with_faults(mut self, faults: &[FaultKind]) -> Self {
        self.think = Duration::from_millis(400);
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

    fn populate(&mut self, members: usize) {
        for member in 0..members {
            self.members[member].replay_ticks = [0, 0, 1, 4, 12][self.rng.random_range(0..5)];
            let at = self.now + self.jitter(MEMBER_TICK);
            self.schedule(at, Event::MemberTick(member));
        }
        for index in 0..self.served.len() {
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
                known: 0,
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
        let life = self.daemons[daemon].life;
        let timer = Timer::ProbeTick;
        self.schedule(
            at,
            Event::DaemonTimer {
                daemon,
                life,
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

    /// Plans one fault, a pair at nearly the same time, the same pair twice in a
    /// row, or a series of overlapping faults.
    fn plan_faults(&mut self) {
        let begin = self.base + FAULTS_BEGIN;
        let window = FAULTS_END - FAULTS_BEGIN;
        match self.rng.random_range(0..6) {
            0 => {
                let fault = self.pick_fault();
                self.plan(fault, begin, window / 4);
            }
            1 | 2 => {
                let (first, second) = (self.pick_fault(), self.pick_primary_fault());
                for round in 0..4 {
                    self.plan_pair(first, second, begin + window / 4 * round, window / 5);
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
                    self.plan(fault, at, window / 5);
                }
            }
        }
    }

    fn plan_pair(&mut self, first: FaultKind, second: FaultKind, at: Instant, longest: Duration) {
        self.plan(first, at, longest);
        let later = at + self.jitter(Duration::from_millis(1_500));
        self.plan(second, later, longest);
    }

    fn plan(&mut self, fault: FaultKind, at: Instant, longest: Duration) {
        let longest = longest / [1, 1, 4, 20][self.rng.random_range(0..4)];
        let until = (at + self.jitter(longest)).min(self.base + FAULTS_END);
        self.last_fault_end = self.last_fault_end.max(until);
        self.schedule(at, Event::Begin(fault));
        self.schedule(until, Event::End(fault));
    }

    fn pick_primary_fault(&mut self) -> FaultKind {
        match self.rng.random_range(0..5) {
            0 => FaultKind::IsolatePrimary,
            1 => FaultKind::PrimaryOffReplicas,
            2 => FaultKind::PrimaryOffDaemons,
            3 => FaultKind::CrashPrimary,
            _ => FaultKind::FreezePrimary,
        }
    }

    fn pick_fault(&mut self) -> FaultKind {
        let member = self.rng.random_range(0..self.members.len());
        let other = (member + self.rng.random_range(1..self.members.len())) % self.members.len();
        let daemon = self.rng.random_range(0..self.served.len());
        match self.rng.random_range(0..20) {
            0 => FaultKind::CutMembers(member, other),
            1 => FaultKind::CutMemberDaemon(member, daemon),
            2 => self.pick_primary_fault(),
            3 => FaultKind::IsolateMember(member),
            4 => FaultKind::PauseDaemon(daemon),
            5 => FaultKind::RestartDaemon(daemon),
            6 => FaultKind::CrashMember(member),
            7 | 8 => FaultKind::Lag(member),
            9 => FaultKind::LossyNetwork,
            10 => FaultKind::SlowNetwork,
            11 => FaultKind::DuplicatingNetwork,
            12 => FaultKind::PlatformDown,
            13 => FaultKind::Leaving(member),
            14 => FaultKind::LosesControlAnswers,
            18 => FaultKind::SlowDaemon(daemon),
            19 => FaultKind::BounceMember(member),
            15 => FaultKind::PauseProposer(FailoverPhase::Lease),
            16 => FaultKind::PauseProposer(FailoverPhase::Fencing),
            _ => FaultKind::PauseProposer(FailoverPhase::Promoting),
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
        self.figures.accepted = self.truth.accepted.len();
        self.figures.promotions = self.truth.promotions();
        for served in &self.served {
            let Some(at) = served else {
                return Err(self.liveness("a daemon served no write after the last fault"));
            };
            let recovery = at.saturating_duration_since(self.last_fault_end);
            self.figures.recovery = self.figures.recovery.max(recovery);
        }
        if self.figures.recovery > RECOVERY_LIMIT {
            return Err(self.liveness("recovery took too long"));
        }
        self.truth.check_end(&self.members)
    }

    fn liveness(&self, text: &str) -> Violation {
        let members = self.members.iter();
        let states: Vec<String> = members
            .map(|member| format!("{:?}", member.report(self.now)))
            .collect();
        let phases: Vec<FailoverPhase> = self.daemons.iter().map(|d| d.machine.phase()).collect();
        Violation::new(
            Fault::NotLive,
            format!(
                "{text}: {:?}; {phases:?}; {}",
                self.served,
                states.join("; ")
            ),
        )
    }

    /// Checks what must hold after each step.
    fn check_step(&self) -> Result {
        for (at, member) in self.members.iter().enumerate() {
            let report = member.report(self.now);
            if !report.is_consistent() {
                return Err(Violation::new(Fault::BadReport, format!("{report:?}")));
            }
            let leads = |other: &Member| {
                other.role == MemberRole::Primary && other.promised == member.promised
            };
            if leads(member) && self.members[at + 1..].iter().any(leads) {
                let text = format!("two members lead at term {}", member.promised);
                return Err(Violation::new(Fault::TwoPrimaries, text));
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
                life,
                timer,
            } => self.daemon_timer(daemon, life, timer),
            Event::SessionAct(session) => {
                self.session_act(session);
                Ok(())
            }
            Event::Submit {
                daemon,
                life,
                session,
                operation,
            } => self.submit(daemon, life, session, operation),
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
            member.handle(from, message, self.now, &mut self.truth, &mut out)?;
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

    fn daemon_timer(&mut self, index: usize, life: u64, timer: Timer) -> Result {
        let daemon = &mut self.daemons[index];
        if daemon.life != life || !daemon.up {
            return Ok(());
        }
        if let Some(until) = daemon.paused_until {
            let daemon = index;
            self.schedule(
                until,
                Event::DaemonTimer {
                    daemon,
                    life,
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

    /// Pauses the daemon if it has reached the chosen phase. Returns when its
    /// messages leave: some are sent before the pause, some after it.
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
        let life = self.daemons[index].life;
        for (at, timer) in std::mem::take(&mut out.timers) {
            let daemon = index;
            self.schedule(
                at,
                Event::DaemonTimer {
                    daemon,
                    life,
                    timer,
                },
            );
        }
        let leaves_at = self.pause_proposer(index);
        for (to, message) in out.messages {
            self.transmit(Endpoint::Daemon(index), to, message, leaves_at);
        }
        for result in std::mem::take(&mut self.daemons[index].results) {
            self.take_result(index, result)?;
        }
        Ok(())
    }

    fn transmit(&mut self, from: Endpoint, to: Endpoint, message: Message, sent_at: Instant) {
        let is_answer = matches!(message, Message::ControlReply { .. });
        if is_answer && self.network.loses_control_answers && self.rng.random_bool(0.5) {
            return;
        }
        // Statements travel on one stream, which does not repeat them.
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
        let pause = self.think.mul_f64(self.rng.random_range(0.3..2.0));
        self.schedule(self.now + pause, Event::SessionAct(index));
        if self.sessions[index].busy {
            return;
        }
        if !self.daemons[self.sessions[index].daemon].up || self.rng.random_bool(0.1) {
            return self.roam(index);
        }
        if self.rng.random_bool(0.45) {
            self.next_write += 1;
            let write = self.next_write;
            return self.begin(index, Operation::Write { write });
        }
        self.begin_read(index);
    }

    /// Sometimes lets a session read right after its write was accepted, often
    /// through another daemon.
    fn read_elsewhere(&mut self, index: usize) {
        if self.sessions[index].checks_recovery || self.rng.random_bool(0.7) {
            return;
        }
        if self.rng.random_bool(0.7) {
            self.roam(index);
        }
        self.begin_read(index);
    }

    fn begin_read(&mut self, index: usize) {
        let staleness = STALENESS_MS[self.rng.random_range(0..STALENESS_MS.len())];
        let staleness = Duration::from_millis(staleness);
        self.begin(index, Operation::Read { staleness });
    }

    fn begin(&mut self, index: usize, operation: Operation) {
        let session = &mut self.sessions[index];
        session.busy = true;
        session.known = session.accepted.len();
        let daemon = session.daemon;
        let life = self.daemons[daemon].life;
        let event = Event::Submit {
            daemon,
            life,
            session: index,
            operation,
        };
        self.schedule(self.now, event);
    }

    /// Moves a session to another daemon, with its token or without.
    fn roam(&mut self, index: usize) {
        let daemon = self.rng.random_range(0..self.daemons.len());
        if !self.daemons[daemon].up {
            return;
        }
        let with_token = self.rng.random_bool(0.5);
        let session = &mut self.sessions[index];
        session.daemon = daemon;
        let token = session.token.filter(|_| with_token);
        session.context = match token {
            Some(_) => "roamed with token",
            None => "roamed without token",
        };
        self.daemons[daemon].attach(index, token, self.now);
    }

    fn submit(&mut self, daemon: usize, life: u64, session: usize, operation: Operation) -> Result {
        let target = &mut self.daemons[daemon];
        if target.life != life || !target.up {
            self.sessions[session].busy = false;
            return Ok(());
        }
        if let Some(until) = target.paused_until {
            let event = Event::Submit {
                daemon,
                life,
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

    fn take_result(&mut self, daemon: usize, result: OperationResult) -> Result {
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
                if self.now >= self.last_fault_end && self.served[daemon].is_none() {
                    self.served[daemon] = Some(self.now);
                }
                self.truth.accept(accepted, &self.members)?;
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
                let evidence = ReadEvidence {
                    log: &log,
                    visible,
                    routed_at,
                    measured_age,
                    required: &session.accepted[..session.known],
                    context: session.context,
                };
                self.truth.check_read(&evidence)
            }
        }
    }

    fn primary(&self) -> usize {
        let leads = |member: &&Member| member.role == MemberRole::Primary;
        let newest = self.members.iter().filter(leads).max_by_key(|m| m.promised);
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

    fn begin_fault(&mut self, fault: FaultKind) {
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
            FaultKind::CutMembers(one, other) => {
                self.set_cut(Endpoint::Member(one), Endpoint::Member(other), true);
            }
            FaultKind::CutMemberDaemon(member, daemon) => {
                self.set_cut(Endpoint::Member(member), Endpoint::Daemon(daemon), true);
            }
            FaultKind::IsolatePrimary => self.cut_off(primary, true, true),
            FaultKind::IsolateMember(member) => self.cut_off(member, true, true),
            FaultKind::PrimaryOffReplicas => self.cut_off(primary, true, false),
            FaultKind::PrimaryOffDaemons => self.cut_off(primary, false, true),
            FaultKind::PauseDaemon(daemon) => self.pause_daemon(daemon),
            FaultKind::RestartDaemon(daemon) => self.daemons[daemon].up = false,
            FaultKind::CrashMember(member) => self.members[member].crash(),
            FaultKind::CrashPrimary => self.members[primary].crash(),
            FaultKind::FreezePrimary => {
                let longest = until.saturating_duration_since(self.now) / 2;
                self.frozen[primary] = Some(self.now + longest / 2 + self.jitter(longest / 2));
            }
            FaultKind::Lag(member) => self.members[member].lagging = true,
            FaultKind::LossyNetwork => self.network.loss = 0.2,
            FaultKind::SlowNetwork => self.network.delay_max_ms = 350,
            FaultKind::DuplicatingNetwork => self.network.duplicate = 0.5,
            FaultKind::PlatformDown => {
                self.platform_up = self.rng.random_bool(0.3);
                self.platform_loses_answers = true;
            }
            FaultKind::Leaving(member) => self.set_leaving(member, true),
            FaultKind::PauseProposer(phase) => self.pause_at = Some(phase),
            FaultKind::LosesControlAnswers => self.network.loses_control_answers = true,
            FaultKind::SlowDaemon(daemon) => self.network.slow_daemon = Some(daemon),
            FaultKind::BounceMember(member) => {
                if self.members[member].up {
                    self.members[member].crash();
                    self.members[member].restart(&mut self.rng);
                }
            }
        }
        if let Some(thaw) = self.frozen[primary] {
            self.last_fault_end = self.last_fault_end.max(thaw);
            self.schedule(thaw, Event::End(FaultKind::FreezePrimary));
        }
    }

    fn pause_daemon(&mut self, daemon: usize) {
        let pause = Duration::from_millis(self.rng.random_range(100..4_000));
        let until = (self.now + pause).min(self.base + FAULTS_END);
        self.daemons[daemon].paused_until = Some(until);
        self.last_fault_end = self.last_fault_end.max(until);
        self.schedule(until, Event::End(FaultKind::PauseDaemon(daemon)));
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

    /// Ends a fault. Network faults of several kinds end together, which only
    /// shortens some of them.
    fn end_fault(&mut self, fault: FaultKind) {
        match fault {
            FaultKind::CutMembers(one, other) => {
                self.set_cut(Endpoint::Member(one), Endpoint::Member(other), false);
            }
            FaultKind::CutMemberDaemon(member, daemon) => {
                self.set_cut(Endpoint::Member(member), Endpoint::Daemon(daemon), false);
            }
            FaultKind::IsolatePrimary
            | FaultKind::IsolateMember(_)
            | FaultKind::PrimaryOffReplicas
            | FaultKind::PrimaryOffDaemons => self.network.cuts.clear(),
            FaultKind::PauseDaemon(daemon) => {
                let paused = &mut self.daemons[daemon].paused_until;
                *paused = paused.filter(|until| *until > self.now);
            }
            FaultKind::RestartDaemon(daemon) => self.restart_daemon(daemon),
            FaultKind::CrashMember(_) | FaultKind::CrashPrimary => self.restart_members(),
            FaultKind::FreezePrimary => {
                for frozen in &mut self.frozen {
                    *frozen = frozen.filter(|until| *until > self.now);
                }
            }
            FaultKind::Lag(member) => self.members[member].lagging = false,
            FaultKind::LossyNetwork => self.network.loss = 0.0,
            FaultKind::SlowNetwork => self.network.delay_max_ms = 0,
            FaultKind::DuplicatingNetwork => self.network.duplicate = 0.0,
            FaultKind::PlatformDown => {
                self.platform_up = true;
                self.platform_loses_answers = false;
            }
            FaultKind::Leaving(member) => self.set_leaving(member, false),
            FaultKind::PauseProposer(_) => self.pause_at = None,
            FaultKind::SlowDaemon(_) => self.network.slow_daemon = None,
            FaultKind::BounceMember(_) => {}
            FaultKind::LosesControlAnswers => self.network.loses_control_answers = false,
        }
    }

    fn restart_members(&mut self) {
        for member in &mut self.members {
            if !member.up {
                member.restart(&mut self.rng);
            }
        }
    }

    /// Replaces a daemon by a new one without state. Its sessions lose their
    /// connection and the outcome of what was in flight.
    fn restart_daemon(&mut self, index: usize) {
        let old = &self.daemons[index];
        if old.up {
            return;
        }
        let (members, life) = (self.members.len(), old.life + 1);
        self.daemons[index] = Daemon::new(index, members, life, self.decision, self.now);
        self.start_daemon(index);
        for session in 0..self.sessions.len() {
            let moves = !self.sessions[session].checks_recovery;
            if moves && self.sessions[session].daemon == index {
                self.sessions[session].busy = false;
                self.roam(session);
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
