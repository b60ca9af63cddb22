//! Drives the decisions of several entry hosts about one managed group through
//! random faults: cuts of every kind of link, kept-back bytes, killed, frozen
//! and restarted hosts, crashed, draining and reborn members, lagging replicas,
//! and a store and a promotion service that fail, lose answers or act late.
//!
//! Checked are reads that lack an acknowledged commit, acknowledged commits of
//! a superseded primary, orders to promote from holders that overlap, and the
//! time without an acknowledged write after the last fault.
//!
//! Like `group_model`, this is a seeded simulation of events; a seed replays a
//! run exactly. `CASSIA_SEED` sets the first seed, `CASSIA_RUNS` the number of
//! runs, and `CASSIA_TRACE=1` prints the faults.

#[path = "support/seeds.rs"]
mod seeds;

mod managed_model {
    pub mod entry_host;
    pub mod site;
    pub mod world;

    use std::time::Instant;

    use coordination::managed::change_steps::OrderOutcome;
    use coordination::managed::duty::DutyRow;
    use coordination::managed::reign::ReignRow;
    use state::log::{LogPosition, Term};
    use state::member::MemberRole;
    use state::server_list::ListedServer;

    /// The decision under test; all but the first are wrong on purpose.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum Decision {
        Real,
        /// A write is acknowledged when the primary has committed it.
        NoAssurance,
        /// An assurance of any reign counts for a write.
        AnyAssurance,
        /// The former primary is not asked to step down, nor its assurances
        /// waited for.
        NoFence,
        /// Replicas are not asked whether they hold a position.
        AnyReplica,
        /// The lease of the last holder is not waited for.
        NoLease,
    }

    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum Fault {
        /// A read lacks a commit that was acknowledged early enough.
        StaleRead,
        /// A commit of a superseded primary was acknowledged.
        SupersededCommit,
        /// Two holders ordered promotions at the same time or with one token.
        TwoHolders,
        /// Writes are not served after the last fault.
        NotLive,
    }

    #[derive(Clone, Debug)]
    pub struct Violation {
        pub fault: Fault,
        pub text: String,
    }

    #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
    pub enum Endpoint {
        Host(usize),
        Member(usize),
        Store,
        Promotion,
    }

    #[derive(Clone, Debug)]
    pub enum RowValue {
        Duty(DutyRow),
        Reign(ReignRow),
    }

    #[derive(Clone, Copy, Debug)]
    pub enum MemberRequest {
        Write {
            write: u64,
        },
        Read {
            read: u64,
            since: Option<LogPosition>,
        },
        Status,
        StepDown {
            term: Term,
        },
    }

    #[derive(Clone, Debug)]
    pub enum Request {
        ReadRows,
        ReadList,
        WriteRow {
            expected: u64,
            value: RowValue,
        },
        Promote {
            member: usize,
            holder: usize,
            token: u64,
        },
        Member(MemberRequest),
    }

    #[derive(Clone, Debug)]
    pub enum Answer {
        Rows {
            reign: Option<(ReignRow, u64)>,
            duty: Option<(DutyRow, u64)>,
            store_time: std::time::Duration,
        },
        List(Vec<ListedServer>),
        Written {
            revision: u64,
        },
        Conflict,
        Ordered(OrderOutcome),
        Done {
            position: LogPosition,
        },
        Status {
            role: MemberRole,
            term: Term,
            position: LogPosition,
        },
        ReadOnly,
        Lagging,
        /// Nothing was done: the store said so, or the connection was refused.
        Unavailable,
    }

    /// What a host did for a caller.
    #[derive(Clone, Copy, Debug)]
    pub enum Delivery {
        WriteAcknowledged { write: u64 },
        ReadAnswered { read: u64 },
    }

    /// What a host wants done after an event.
    #[derive(Debug, Default)]
    pub struct Outbox {
        pub calls: Vec<(Endpoint, u64, Request)>,
        pub timers: Vec<(Instant, entry_host::Timer)>,
        pub deliveries: Vec<Delivery>,
    }
}

use std::time::Duration;

use googletest::prelude::*;
use managed_model::world::{RunFigures, World};
use managed_model::{Decision, Fault, Violation};
use seeds::env_number;

/// Seeds of the run in continuous integration.
const FIRST_SEED: u64 = 1;
const RUNS: u64 = 80;
/// Seeds tried to show that a wrong decision is caught.
const WRONG_RUNS: u64 = 60;
const THREADS: u64 = 4;

struct RunReport {
    seed: u64,
    figures: RunFigures,
    violation: Option<Violation>,
}

fn run_seeds(first: u64, runs: u64, decision: Decision) -> Vec<RunReport> {
    let trace = env_number("CASSIA_TRACE", 0) > 0;
    let run_part = |part: u64| -> Vec<RunReport> {
        let seeds = (first..first + runs).filter(|seed| seed % THREADS == part);
        seeds
            .map(|seed| {
                let mut world = World::new(seed, decision, trace);
                let violation = world.run();
                RunReport {
                    seed,
                    figures: world.figures,
                    violation,
                }
            })
            .collect()
    };
    let mut reports: Vec<RunReport> = std::thread::scope(|scope| {
        let parts: Vec<_> = (0..THREADS)
            .map(|part| scope.spawn(move || run_part(part)))
            .collect();
        let joined = parts.into_iter();
        joined
            .flat_map(|part| part.join().expect("a run does not panic"))
            .collect()
    });
    reports.sort_by_key(|report| report.seed);
    reports
}

/// Guards against stale reads, acknowledged commits of a superseded primary,
/// overlapping holders of the duty and groups that stay without a primary.
#[gtest]
fn the_rules_hold_under_random_faults() {
    let first = env_number("CASSIA_SEED", FIRST_SEED);
    let runs = env_number("CASSIA_RUNS", RUNS);
    let reports = run_seeds(first, runs, Decision::Real);
    let mut total = RunFigures::default();
    for report in &reports {
        total.add(&report.figures);
        if let Some(Violation { fault, text }) = &report.violation {
            println!(
                "CASSIA_SEED={} CASSIA_RUNS=1: {fault:?}: {text}",
                report.seed
            );
        }
    }
    println!("{runs} runs: {total:?}");
    let failed: Vec<u64> = reports
        .iter()
        .filter(|report| report.violation.is_some())
        .map(|report| report.seed)
        .collect();
    expect_that!(failed, is_empty());
    expect_that!(total.acknowledged, gt(0));
    expect_that!(total.replica_reads, gt(0));
    expect_that!(total.promotions, ge(runs / 2));
    expect_that!(total.longest_recovery, le(Duration::from_secs(8)));
}

/// Seeds that once failed, with the cause:
/// 3563, a superseded primary with the longest log was chosen as successor, and
/// the platform took the order for one that changes nothing.
const SEEDS_THAT_FAILED: [u64; 1] = [3_563];

/// Guards against the causes above.
#[gtest]
fn seeds_that_once_failed_hold() {
    for seed in SEEDS_THAT_FAILED {
        let report = run_seeds(seed, 1, Decision::Real).remove(0);
        let violation = report.violation.map(|found| found.text);
        expect_that!(violation, none(), "seed {seed}");
    }
}

/// Guards against a model that is too weak to notice a wrong decision.
#[gtest]
fn the_model_catches_wrong_decisions() {
    struct WrongCase {
        decision: Decision,
        expected: Fault,
    }
    let cases = [
        WrongCase {
            decision: Decision::NoAssurance,
            expected: Fault::SupersededCommit,
        },
        WrongCase {
            decision: Decision::AnyAssurance,
            expected: Fault::SupersededCommit,
        },
        WrongCase {
            decision: Decision::NoFence,
            expected: Fault::SupersededCommit,
        },
        WrongCase {
            decision: Decision::AnyReplica,
            expected: Fault::StaleRead,
        },
        WrongCase {
            decision: Decision::NoLease,
            expected: Fault::TwoHolders,
        },
    ];
    for case in cases {
        let reports = run_seeds(FIRST_SEED, WRONG_RUNS, case.decision);
        let caught = reports.iter().filter(|report| {
            let violation = report.violation.as_ref();
            violation.is_some_and(|violation| violation.fault == case.expected)
        });
        let caught = caught.count();
        println!(
            "{:?}: caught in {caught} of {WRONG_RUNS} runs",
            case.decision
        );
        expect_that!(caught, gt(0), "{:?}", case.decision);
    }
}
