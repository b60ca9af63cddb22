//! Tests of a group's monitor against in-memory members: watermarks,
//! confirmations and failover.

#[path = "support/fake_group.rs"]
mod fake_group;

use std::sync::Arc;
use std::time::{Duration, Instant};

use fake_group::{FakeFactory, FakeGroup, FakeTable, MemberFault, TableFault};
use googletest::prelude::*;
use state::clock::SystemClock;
use state::document::FailoverTiming;
use state::log::{LogPosition, Term};
use tokio::sync::watch;
use transport::group_handle::{ConfirmOutcome, GroupHandle};
use transport::metrics::DaemonMetrics;
use transport::monitor::{self, MonitorConfig, MonitorServices, ProbeBudget};
use transport::rpc::ControlMeter;

/// Timing of most tests, with shorter intervals than the defaults.
const TIMING: FailoverTiming = FailoverTiming {
    probe_interval_ms: 50,
    suspect_after_ms: 200,
    control_timeout_ms: 100,
    lease_ms: 1_000,
};

/// Timing with probes so rare that they cannot affect the result of a test.
const SLOW_PROBES: FailoverTiming = FailoverTiming {
    probe_interval_ms: 2_000,
    suspect_after_ms: 5_000,
    ..TIMING
};

fn start(
    group: &FakeGroup,
    table: FakeTable,
    timing: FailoverTiming,
) -> (watch::Sender<MonitorConfig>, GroupHandle) {
    let (config, updates) = watch::channel(group.config(timing));
    let services = MonitorServices {
        factory: FakeFactory(group.clone()),
        table,
        clock: SystemClock,
        metrics: Arc::new(DaemonMetrics::new()),
        budget: ProbeBudget::new(ControlMeter::default()),
    };
    (config, monitor::spawn(services, updates))
}

/// Waits until `condition` holds; returns the elapsed time, or `None` after
/// `limit`.
async fn wait_for(limit: Duration, condition: impl Fn() -> bool) -> Option<Duration> {
    let start = Instant::now();
    while start.elapsed() < limit {
        if condition() {
            return Some(start.elapsed());
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    None
}

struct ConfirmCase {
    name: &'static str,
    faults: &'static [(u16, MemberFault)],
    confirmed: bool,
}

/// Guards against commits that are confirmed without a majority, and against
/// commits that stay unconfirmed although a majority holds them.
#[gtest]
#[tokio::test]
async fn commits_are_confirmed_by_a_majority_only() {
    let cases = [
        ConfirmCase {
            name: "all members answer",
            faults: &[],
            confirmed: true,
        },
        ConfirmCase {
            name: "one replica is frozen",
            faults: &[(1, MemberFault::Frozen)],
            confirmed: true,
        },
        ConfirmCase {
            name: "one replica is dead",
            faults: &[(2, MemberFault::Dead)],
            confirmed: true,
        },
        ConfirmCase {
            name: "the primary reaches no replica",
            faults: &[(0, MemberFault::CutFromMembers)],
            confirmed: false,
        },
        ConfirmCase {
            name: "both replicas are frozen",
            faults: &[(1, MemberFault::Frozen), (2, MemberFault::Frozen)],
            confirmed: false,
        },
    ];
    for case in cases {
        let group = FakeGroup::new(3);
        let (_config, handle) = start(&group, FakeTable::default(), TIMING);
        handle.watermark().await.unwrap();
        for (index, fault) in case.faults {
            group.set_fault(*index, *fault);
        }
        let position = group.write(0);
        let deadline = Instant::now() + Duration::from_millis(150);
        let outcome = handle.confirm(position, deadline).await;
        let confirmed = matches!(outcome, ConfirmOutcome::Confirmed { .. });
        expect_that!(confirmed, eq(case.confirmed), "{}", case.name);
    }
}

/// Guards against one long poll per commit: the number of polls would then grow
/// with the write rate.
#[gtest]
#[tokio::test]
async fn many_commits_share_the_long_polls() {
    let group = FakeGroup::new(3);
    let (_config, handle) = start(&group, FakeTable::default(), TIMING);
    handle.watermark().await.unwrap();
    let deadline = Instant::now() + Duration::from_secs(2);
    let commits = (0..1_000).map(|_| {
        let (handle, position) = (handle.clone(), group.write(0));
        async move { handle.confirm(position, deadline).await }
    });
    let outcomes = futures::future::join_all(commits).await;
    let confirmed = |outcome: &ConfirmOutcome| matches!(outcome, ConfirmOutcome::Confirmed { .. });
    expect_that!(
        outcomes.iter().filter(|outcome| confirmed(outcome)).count(),
        eq(1_000)
    );
    expect_that!(group.long_poll_count(), le(20));
}

/// Guards against confirmations that are delayed until the next probe instead of
/// arriving through a long poll.
#[gtest]
#[tokio::test]
async fn a_commit_is_confirmed_between_two_probes() {
    let group = FakeGroup::new(3);
    let (_config, handle) = start(&group, FakeTable::default(), SLOW_PROBES);
    for _ in 0..5 {
        handle.watermark().await.unwrap();
        let start = Instant::now();
        let deadline = start + Duration::from_secs(1);
        let outcome = handle.confirm(group.write(0), deadline).await;
        let confirmed = matches!(outcome, ConfirmOutcome::Confirmed { .. });
        expect_that!(confirmed, eq(true));
        expect_that!(start.elapsed(), lt(Duration::from_millis(200)));
    }
}

/// Guards against one round per waiting session, and against a watermark that
/// misses a write accepted before the watermark was requested.
#[gtest]
#[tokio::test]
async fn one_round_serves_all_waiting_requests() {
    let group = FakeGroup::new(3);
    let (_config, handle) = start(&group, FakeTable::default(), SLOW_PROBES);
    handle.watermark().await.unwrap();
    let written = group.write(0);
    let before = group.report_count();
    let requested_at = Instant::now();
    let requests = (0..500).map(|_| handle.watermark());
    let watermarks = futures::future::join_all(requests).await;
    for watermark in watermarks {
        let watermark = watermark.unwrap();
        expect_that!(watermark.position, ge(written));
        expect_that!(watermark.asked_at, ge(requested_at));
    }
    expect_that!(group.report_count() - before, le(30));
}

/// Guards against probe rounds that leave no watermarks in the view. No member
/// would then qualify for a read with an age limit.
#[gtest]
#[tokio::test]
async fn probe_rounds_bound_the_age_of_positions() {
    let group = FakeGroup::new(3);
    let (_config, handle) = start(&group, FakeTable::default(), TIMING);
    let written = group.write(0);
    tokio::time::sleep(Duration::from_millis(250)).await;
    let view = handle.view();
    let age = view.age_of(written, Instant::now());
    expect_that!(age, some(lt(Duration::from_millis(200))));
    expect_that!(view.age_of(LogPosition::START, Instant::now()), none());
}

struct FailoverCase {
    name: &'static str,
    fault: MemberFault,
    other_fault: MemberFault,
    table: TableFault,
    lost_answers: u32,
    promoted: bool,
}

impl Default for FailoverCase {
    fn default() -> Self {
        Self {
            name: "",
            fault: MemberFault::Dead,
            other_fault: MemberFault::None,
            table: TableFault::None,
            lost_answers: 0,
            promoted: true,
        }
    }
}

fn failover_cases() -> Vec<FailoverCase> {
    vec![
        FailoverCase {
            name: "the primary dies",
            ..FailoverCase::default()
        },
        FailoverCase {
            name: "the primary freezes",
            fault: MemberFault::Frozen,
            ..FailoverCase::default()
        },
        FailoverCase {
            name: "the primary is cut off from the replicas only",
            fault: MemberFault::CutFromMembers,
            ..FailoverCase::default()
        },
        FailoverCase {
            name: "this daemon is cut off from the primary only",
            fault: MemberFault::CutFromDaemon,
            promoted: false,
            ..FailoverCase::default()
        },
        FailoverCase {
            name: "no majority is left",
            other_fault: MemberFault::Dead,
            promoted: false,
            ..FailoverCase::default()
        },
        FailoverCase {
            name: "the platform is silent",
            table: TableFault::Silent,
            ..FailoverCase::default()
        },
        FailoverCase {
            name: "the platform loses its answers",
            table: TableFault::LostAnswers,
            ..FailoverCase::default()
        },
        FailoverCase {
            name: "answers to fence and promote are lost",
            lost_answers: 3,
            ..FailoverCase::default()
        },
    ]
}

/// Guards against a failed primary that is never replaced. Also guards against a
/// promotion while the primary still serves a majority, or while no majority can
/// be reached.
#[gtest]
#[tokio::test]
async fn a_failed_primary_is_replaced() {
    let runs = failover_cases().into_iter().map(run_failover);
    futures::future::join_all(runs).await;
}

async fn run_failover(case: FailoverCase) {
    let group = FakeGroup::new(3);
    let table = FakeTable::with_fault(case.table);
    let (_config, handle) = start(&group, table, TIMING);
    handle.watermark().await.unwrap();
    let accepted = group.write(0);
    group.lose_answers(1, case.lost_answers);
    group.lose_answers(2, case.lost_answers);
    group.set_fault(2, case.other_fault);
    group.set_fault(0, case.fault);
    let replaced = || group.primary().is_some_and(|(index, _)| index != 0);
    let gap = wait_for(Duration::from_millis(3_000), replaced).await;
    expect_that!(gap.is_some(), eq(case.promoted), "{}", case.name);
    if !case.promoted {
        expect_that!(group.highest_promise(), eq(Term(1)), "{}", case.name);
        return;
    }
    println!("{}: promoted after {:?}", case.name, gap.unwrap());
    let (index, _) = group.primary().unwrap();
    let position = group.write(index);
    expect_that!(position, gt(accepted), "{}", case.name);
    let deadline = Instant::now() + Duration::from_secs(2);
    let outcome = handle.confirm(position, deadline).await;
    let confirmed = matches!(outcome, ConfirmOutcome::Confirmed { .. });
    expect_that!(confirmed, eq(true), "{}", case.name);
}

/// Guards against a replaced primary that keeps its role when it is reachable
/// again.
#[gtest]
#[tokio::test]
async fn a_returned_primary_follows_its_successor() {
    let group = FakeGroup::new(3);
    let (_config, handle) = start(&group, FakeTable::default(), TIMING);
    handle.watermark().await.unwrap();
    group.set_fault(0, MemberFault::Frozen);
    let replaced = || group.primary().is_some_and(|(index, _)| index != 0);
    assert_that!(
        wait_for(Duration::from_secs(3), replaced).await,
        some(anything())
    );
    group.set_fault(0, MemberFault::None);
    let (index, term) = group.primary().unwrap();
    let position = group.write(index);
    let follows = || {
        let view = handle.view();
        let old = view
            .members
            .values()
            .find(|member| member.name == "member-0");
        let report = old.and_then(|member| member.report);
        report.is_some_and(|report| report.promised_term == term && report.log >= position)
    };
    assert_that!(
        wait_for(Duration::from_secs(3), follows).await,
        some(anything())
    );
}

/// Guards against a leaving primary that keeps receiving writes. A backend server
/// must get no new work later than 3 s after it is listed as leaving.
#[gtest]
#[tokio::test]
async fn a_leaving_primary_is_marked_and_replaced() {
    let group = FakeGroup::new(3);
    let (config, handle) = start(&group, FakeTable::default(), TIMING);
    handle.watermark().await.unwrap();
    config.send_modify(|config| {
        config.leaving.insert("member-0".to_owned());
    });
    let marked = || handle.view().members.values().any(|member| member.leaving);
    expect_that!(
        wait_for(Duration::from_millis(100), marked).await,
        some(anything())
    );
    let replaced = || group.primary().is_some_and(|(index, _)| index != 0);
    expect_that!(
        wait_for(Duration::from_secs(2), replaced).await,
        some(anything())
    );
}

/// Guards against probe traffic that exceeds the control budget as members are
/// added.
#[gtest]
fn the_probe_interval_stretches_with_the_members() {
    let budget = ProbeBudget::new(ControlMeter::default());
    let base = Duration::from_millis(250);
    let mut few = budget.watch();
    few.set(3);
    expect_that!(budget.interval(base), eq(base));
    let mut many = budget.watch();
    many.set(97);
    // 100 members at the assumed 200 bytes per probe, with 4,096 bytes per second.
    expect_that!(budget.interval(base), gt(Duration::from_millis(4_800)));
    drop(many);
    expect_that!(budget.interval(base), eq(base));
}
