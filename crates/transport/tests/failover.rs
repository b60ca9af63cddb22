//! Tests of failover on the stand-in cluster, and of the time without a usable
//! primary (the gap).

#[path = "support/daemons.rs"]
mod daemons;

use std::time::{Duration, Instant};

use daemons::{wait_for, TestBed};
use googletest::prelude::*;
use standin::cluster::{ClusterSettings, MemberAddress};
use standin::platform::PlatformFaults;
use state::member::MemberRole;
use transport::runtime::DaemonHandle;

/// Target of the gap on stand-ins over loopback with default settings.
const GAP_TARGET: Duration = Duration::from_secs(2);

const PRIMARY: MemberAddress = MemberAddress {
    group: 0,
    member: 0,
};

#[derive(Clone, Copy)]
enum PrimaryFault {
    /// The primary's process ends.
    Stopped,
    /// The primary is cut off from the daemons and the replicas.
    CutOff,
}

struct GapCase {
    name: &'static str,
    fault: PrimaryFault,
    platform: PlatformFaults,
}

fn gap_cases() -> Vec<GapCase> {
    let down = PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    };
    let lost = PlatformFaults {
        lose_answers: true,
        ..PlatformFaults::default()
    };
    let case = |name, fault, platform| GapCase {
        name,
        fault,
        platform,
    };
    vec![
        case("stopped", PrimaryFault::Stopped, PlatformFaults::default()),
        case("cut off", PrimaryFault::CutOff, PlatformFaults::default()),
        case("stopped, platform down", PrimaryFault::Stopped, down),
        case("cut off, platform down", PrimaryFault::CutOff, down),
        case(
            "stopped, platform loses answers",
            PrimaryFault::Stopped,
            lost,
        ),
    ]
}

/// Returns the highest term and the name of its primary as a daemon knows them,
/// if the daemon can reach that primary.
fn known_primary(daemon: &DaemonHandle) -> Option<(u64, String)> {
    let view = daemon.group("group-0")?.view();
    let member = &view.members[view.primary()?];
    member
        .reachable
        .then(|| (view.highest_term().0, member.name.clone()))
}

async fn start(entry_hosts: usize, groups: usize) -> (TestBed, Vec<DaemonHandle>) {
    let settings = ClusterSettings {
        groups,
        use_relays: true,
        ..ClusterSettings::default()
    };
    let bed = TestBed::start(entry_hosts, settings).await;
    let daemons = bed.daemons().await;
    let steady = || daemons.iter().all(|daemon| known_primary(daemon).is_some());
    assert!(wait_for(Duration::from_secs(3), steady).await.is_some());
    // Leave time for each replica to receive a heartbeat of the primary.
    tokio::time::sleep(Duration::from_millis(500)).await;
    (bed, daemons)
}

fn break_primary(bed: &mut TestBed, fault: PrimaryFault) {
    match fault {
        PrimaryFault::Stopped => bed.cluster.stop_member(PRIMARY),
        PrimaryFault::CutOff => {
            let relays = bed.cluster.relays(PRIMARY).unwrap();
            relays.control.set_stalled(true);
            relays.replication.set_stalled(true);
            relays.statements.set_stalled(true);
        }
    }
}

/// Guards against a gap above the target, with and without the platform. The gap
/// ends when all four daemons know a reachable primary. Also guards against
/// repeated failovers when daemons supersede each other's attempts.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_gap_stays_within_the_target() {
    for case in gap_cases() {
        let (mut bed, daemons) = start(4, 1).await;
        bed.cluster.platform().set_faults(case.platform);
        let start = Instant::now();
        break_primary(&mut bed, case.fault);
        let replaced = |daemon: &DaemonHandle| {
            known_primary(daemon).is_some_and(|(term, name)| term > 1 && name != "server-0-0")
        };
        let all = || daemons.iter().all(replaced);
        let gap = wait_for(Duration::from_secs(6), all).await;
        println!("{}: gap {gap:?}", case.name);
        expect_that!(gap, some(lt(GAP_TARGET)), "{}", case.name);
        let terms: Vec<u64> = daemons
            .iter()
            .filter_map(|daemon| known_primary(daemon).map(|(term, _)| term))
            .collect();
        println!("{}: terms {terms:?} after {:?}", case.name, start.elapsed());
        expect_that!(terms, each(le(&4)), "{}", case.name);
    }
}

/// Guards against a replaced primary that keeps its role after a partition heals,
/// and against replicas that stay without a primary.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_healed_primary_follows() {
    let (mut bed, daemons) = start(2, 1).await;
    break_primary(&mut bed, PrimaryFault::CutOff);
    let replaced = || bed.cluster.primary(0).is_some_and(|found| found != PRIMARY);
    assert_that!(
        wait_for(Duration::from_secs(4), replaced).await,
        some(anything())
    );
    let relays = bed.cluster.relays(PRIMARY).unwrap();
    relays.control.set_stalled(false);
    relays.replication.set_stalled(false);
    relays.statements.set_stalled(false);
    let follows = || {
        let report = bed.cluster.server(PRIMARY).unwrap().report();
        report.role == MemberRole::Replica && report.promised_term.0 > 1
    };
    expect_that!(
        wait_for(Duration::from_secs(4), follows).await,
        some(anything())
    );
    drop(daemons);
}

/// Guards against failovers of a healthy group, and against control traffic above
/// the budget of 5 KB/s with 9 members and 3 peers.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_healthy_group_keeps_its_primary() {
    let (bed, daemons) = start(4, 3).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let report = bed.cluster.server(PRIMARY).unwrap().report();
    expect_that!(report.role, eq(MemberRole::Primary));
    expect_that!(report.promised_term.0, eq(1));
    let before = control_costs(&daemons[0]);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let after = control_costs(&daemons[0]);
    let (bytes, busy) = ((after.0 - before.0) / 3.0, (after.1 - before.1) / 3.0);
    println!("control work with 9 members and 3 peers: {bytes:.0} B/s, {busy:.4} s/s");
    expect_that!(bytes, lt(5_000.0));
}

/// Returns the control work of a daemon from its metrics, in bytes and seconds.
fn control_costs(daemon: &DaemonHandle) -> (f64, f64) {
    let text = daemon.metrics().render();
    let value = |name: &str| {
        let line = text.lines().find(|line| line.starts_with(name)).unwrap();
        line.rsplit(' ').next().unwrap().parse::<f64>().unwrap()
    };
    (
        value("cassia_control_bytes_total"),
        value("cassia_control_seconds_total"),
    )
}
