//! Runs the decision logic of several daemons against a simulated group and
//! injects faults: network cuts, message loss, delay, duplication and reordering,
//! daemons paused past their lease, crashes, freezes, replication lag, lost
//! answers and platform outages.
//!
//! The test is a seeded discrete-event simulation and does not use
//! `proptest-state-machine`. A step is an event in simulated time, the state
//! machines themselves create most events, and one run has thousands of them, so
//! there is no sequence of generated transitions to shrink. A seed reproduces a
//! run exactly.
//!
//! `CASSIA_SEED` sets the first seed and `CASSIA_RUNS` the number of runs.
//! `CASSIA_TRACE=1` prints each fault when it begins.

#[path = "support/seeds.rs"]
mod seeds;

mod model {
    pub mod daemon;
    pub mod invariants;
    pub mod member;
    pub mod world;

    use std::time::{Duration, Instant};

    use coordination::failover::FailoverPhase;
    use state::log::{LogPosition, Term};
    use state::member::MemberReport;

    use member::Log;

    pub type Result<T = ()> = std::result::Result<T, Violation>;

    /// The decision logic under test. All variants but `Real` contain a deliberate
    /// error.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum Decision {
        Real,
        /// A write counts as accepted as soon as the primary answers OK.
        AcknowledgeOnOk,
        /// The granting member with the lowest index is promoted.
        PromoteFirstReachable,
        /// A read goes to the first reachable replica, whatever it has applied.
        ReadAnyReplica,
    }

    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum ViolationKind {
        AcceptedWriteLost,
        TwoPrimaries,
        OwnWriteUnseen,
        AgeTooLow,
        NotLive,
        BadReport,
        /// An assertion of the decision logic or of the model failed.
        Panicked,
    }

    #[derive(Clone, Debug)]
    pub struct Violation {
        pub kind: ViolationKind,
        pub text: String,
    }

    impl Violation {
        pub fn new(kind: ViolationKind, text: String) -> Self {
            Self { kind, text }
        }
    }

    #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
    pub enum Endpoint {
        Member(usize),
        Daemon(usize),
        Platform,
    }

    #[derive(Clone, Copy, Debug)]
    pub enum InjectedFault {
        CutMembers(usize, usize),
        CutMemberDaemon(usize, usize),
        IsolatePrimary,
        IsolateMember(usize),
        CutPrimaryReplicas,
        CutPrimaryDaemons,
        PauseDaemon(usize),
        RestartDaemon(usize),
        CrashMember(usize),
        CrashPrimary,
        FreezePrimary,
        Lag(usize),
        LossyNetwork,
        SlowNetwork,
        DuplicatingNetwork,
        PlatformDown,
        Leaving(usize),
        /// Pauses the next daemon whose failover machine reaches this phase.
        PauseProposer(FailoverPhase),
        LoseControlAnswers,
        SlowDaemon(usize),
        /// Crashes and restarts the member between two events, so that no probe
        /// fails.
        RestartMember(usize),
    }

    impl InjectedFault {
        pub fn name(self) -> &'static str {
            match self {
                Self::CutMembers(..) => "cut between members",
                Self::CutMemberDaemon(..) => "cut between member and daemon",
                Self::IsolatePrimary => "primary isolated",
                Self::IsolateMember(_) => "member isolated",
                Self::CutPrimaryReplicas => "primary cut off from replicas",
                Self::CutPrimaryDaemons => "primary cut off from daemons",
                Self::PauseDaemon(_) => "daemon paused",
                Self::RestartDaemon(_) => "daemon restarted",
                Self::CrashMember(_) => "member crashed",
                Self::CrashPrimary => "primary crashed",
                Self::FreezePrimary => "primary frozen",
                Self::Lag(_) => "replica lags",
                Self::LossyNetwork => "20% loss",
                Self::SlowNetwork => "delay and reordering",
                Self::DuplicatingNetwork => "duplicates",
                Self::PlatformDown => "platform down or losing answers",
                Self::Leaving(_) => "member leaving",
                Self::PauseProposer(FailoverPhase::Lease) => "proposer paused at the lease",
                Self::PauseProposer(FailoverPhase::Fencing) => "proposer paused while fencing",
                Self::PauseProposer(_) => "proposer paused while promoting",
                Self::SlowDaemon(_) => "one daemon's network slow",
                Self::RestartMember(_) => "member restarted at once",
                Self::LoseControlAnswers => "half of the control answers lost",
            }
        }
    }

    #[derive(Clone, Copy, Debug)]
    pub enum Operation {
        Write { write: u64 },
        Read { staleness: Duration },
    }

    #[derive(Clone, Copy, Debug)]
    pub enum ControlRequest {
        Report,
        Await { position: LogPosition },
        Fence { term: Term, proposer: u64 },
        Promote { term: Term, proposer: u64 },
        Follow { term: Term, primary: usize },
    }

    #[derive(Clone, Copy, Debug)]
    pub enum ControlAnswer {
        Report(MemberReport),
        StaleTerm(Term),
        WrongProposer,
    }

    #[derive(Clone, Debug)]
    pub enum StatementAnswer {
        /// The connection was closed before the statement ran.
        Closed,
        /// Refused with 25006.
        ReadOnly,
        Written {
            report: MemberReport,
        },
        ReadResult {
            report: MemberReport,
            log: Log,
            visible: usize,
        },
    }

    #[derive(Clone, Copy, Debug, Default)]
    pub struct LeaseRow {
        pub revision: u64,
        pub holder: Option<(usize, u64)>,
    }

    #[derive(Clone, Debug)]
    pub enum Message {
        Control {
            call: u64,
            request: ControlRequest,
        },
        ControlReply {
            call: u64,
            epoch: u64,
            answer: ControlAnswer,
        },
        Refused {
            call: u64,
        },
        Append {
            term: Term,
            primary: usize,
            log: Log,
        },
        Statement {
            call: u64,
            epoch: u64,
            write: Option<u64>,
        },
        StatementReply {
            call: u64,
            answer: StatementAnswer,
        },
        TableRead {
            call: u64,
        },
        TableRow {
            call: u64,
            row: LeaseRow,
        },
        TableWrite {
            call: u64,
            expected: u64,
            holder: Option<(usize, u64)>,
        },
        TableWritten {
            call: u64,
            row: LeaseRow,
            written: bool,
        },
    }

    #[derive(Clone, Copy, Debug)]
    pub enum Timer {
        ProbeTick,
        Machine(Instant),
        CallTimeout(u64),
        Wake,
    }

    /// Messages and timers that a member or daemon produces for one event.
    #[derive(Default)]
    pub struct Outbox {
        pub messages: Vec<(Endpoint, Message)>,
        pub timers: Vec<(Instant, Timer)>,
        /// Whether a primary has new entries to replicate.
        pub replicate: bool,
    }

    impl Outbox {
        pub fn send(&mut self, to: Endpoint, message: Message) {
            self.messages.push((to, message));
        }

        pub fn timer(&mut self, at: Instant, timer: Timer) {
            self.timers.push((at, timer));
        }
    }
}

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::Duration;

use googletest::prelude::*;
use model::world::{RunFigures, World, RECOVERY_LIMIT};
use model::{Decision, InjectedFault, Violation, ViolationKind};
use seeds::env_number;

/// First seed and number of runs in continuous integration. The environment can
/// override both.
const FIRST_SEED: u64 = 1;
const RUNS: u64 = 120;
/// Number of runs per naive decision.
const NAIVE_RUNS: u64 = 30;
/// Number of runs per case that measures the failover gap.
const GAP_RUNS: u64 = 8;
const THREADS: usize = 4;

struct RunReport {
    seed: u64,
    figures: RunFigures,
    violation: Option<Violation>,
}

fn run_seed(seed: u64, decision: Decision) -> RunReport {
    let trace = env_number("CASSIA_TRACE", 0) > 0;
    let world = World::new(seed, decision, trace);
    run_world(seed, world.with_random_faults())
}

fn run_world(seed: u64, mut world: World) -> RunReport {
    let run = std::panic::AssertUnwindSafe(|| world.run());
    let violation = match std::panic::catch_unwind(run) {
        Ok(result) => result.err(),
        Err(_) => Some(Violation::new(
            ViolationKind::Panicked,
            "see above".to_owned(),
        )),
    };
    RunReport {
        seed,
        figures: world.figures,
        violation,
    }
}

fn run_seeds(first: u64, runs: u64, run: impl Fn(u64) -> RunReport + Sync) -> Vec<RunReport> {
    let next = AtomicU64::new(first);
    let reports = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= first + runs {
                    return;
                }
                let report = run(seed);
                reports.lock().expect("no panic while locked").push(report);
            });
        }
    });
    let mut reports = reports.into_inner().expect("no panic while locked");
    reports.sort_by_key(|report| report.seed);
    reports
}

fn print_summary(reports: &[RunReport]) {
    let mut total = RunFigures::default();
    for report in reports {
        let figures = &report.figures;
        total.steps += figures.steps;
        total.accepted += figures.accepted;
        total.unknown += figures.unknown;
        total.reads += figures.reads;
        total.replica_reads += figures.replica_reads;
        total.promotions += figures.promotions;
        total.write_gap = total.write_gap.max(figures.write_gap);
        total.recovery = total.recovery.max(figures.recovery);
        for (name, count) in &figures.faults {
            *total.faults.entry(name).or_default() += count;
        }
    }
    println!("{} runs: {total:#?}", reports.len());
}

/// Guards against lost accepted writes, two primaries at one term, reads that miss
/// the session's accepted writes, measured ages below the real ones, and failovers
/// that do not end.
#[googletest::test]
fn real_decisions_keep_all_invariants() {
    let first = env_number("CASSIA_SEED", FIRST_SEED);
    let runs = env_number("CASSIA_RUNS", RUNS);
    let reports = run_seeds(first, runs, |seed| run_seed(seed, Decision::Real));
    print_summary(&reports);
    for report in &reports {
        if let Some(violation) = &report.violation {
            let Violation { kind, text } = violation;
            println!(
                "CASSIA_SEED={} CASSIA_RUNS=1: {kind:?}: {text}",
                report.seed
            );
        }
    }
    let failed = reports.iter().filter(|report| report.violation.is_some());
    expect_that!(
        failed.map(|report| report.seed).collect::<Vec<_>>(),
        is_empty()
    );
    let reads: usize = reports.iter().map(|report| report.figures.reads).sum();
    expect_that!(reads, gt(0));
    let slowest = reports.iter().map(|report| report.figures.recovery).max();
    expect_that!(slowest.unwrap_or_default(), le(RECOVERY_LIMIT));
}

/// Guards against a model that does not detect wrong decisions.
#[googletest::test]
fn model_catches_naive_decisions() {
    struct Case {
        decision: Decision,
        expected: ViolationKind,
    }
    let cases = [
        Case {
            decision: Decision::AcknowledgeOnOk,
            expected: ViolationKind::AcceptedWriteLost,
        },
        Case {
            decision: Decision::PromoteFirstReachable,
            expected: ViolationKind::AcceptedWriteLost,
        },
        Case {
            decision: Decision::ReadAnyReplica,
            expected: ViolationKind::OwnWriteUnseen,
        },
    ];
    for case in cases {
        let reports = run_seeds(FIRST_SEED, NAIVE_RUNS, |seed| run_seed(seed, case.decision));
        let caught = reports.iter().filter(|report| {
            let violation = report.violation.as_ref();
            violation.is_some_and(|violation| violation.kind == case.expected)
        });
        let caught = caught.count();
        println!(
            "{:?}: caught in {caught} of {NAIVE_RUNS} runs",
            case.decision
        );
        expect_that!(caught, gt(0));
    }
}

/// Guards against a failover gap of 2 s or more with default settings, in simulated
/// time and with a network delay of 0.1 to 2 ms.
#[googletest::test]
fn failover_gap_stays_under_the_target() {
    struct Case {
        name: &'static str,
        faults: &'static [InjectedFault],
    }
    let cases = [
        Case {
            name: "primary crashed",
            faults: &[InjectedFault::CrashPrimary],
        },
        Case {
            name: "primary frozen",
            faults: &[InjectedFault::FreezePrimary],
        },
        Case {
            name: "primary isolated",
            faults: &[InjectedFault::IsolatePrimary],
        },
        Case {
            name: "primary crashed, platform down",
            faults: &[InjectedFault::PlatformDown, InjectedFault::CrashPrimary],
        },
        Case {
            name: "primary isolated, platform down",
            faults: &[InjectedFault::PlatformDown, InjectedFault::IsolatePrimary],
        },
    ];
    for case in cases {
        let reports = run_seeds(FIRST_SEED, GAP_RUNS, |seed| {
            let world = World::new(seed, Decision::Real, false);
            run_world(seed, world.with_faults(case.faults))
        });
        let mut gaps = Vec::new();
        for report in &reports {
            let violation = report.violation.as_ref().map(|found| &found.text);
            expect_that!(violation, none(), "{}, seed {}", case.name, report.seed);
            gaps.push(report.figures.write_gap);
        }
        gaps.sort();
        let (median, longest) = (gaps[gaps.len() / 2], gaps[gaps.len() - 1]);
        println!("{}: gap {median:?} median, {longest:?} longest", case.name);
        expect_that!(longest, lt(Duration::from_secs(2)), "{}", case.name);
    }
}
