//! Tests of adopting the intent document and the list of hosts: daemons run in
//! one process against a stand-in platform.

#[path = "support/daemons.rs"]
mod daemons;

use std::time::{Duration, Instant};

use coordination::document_version::DocumentStamp;
use coordination::publish::{HeadValue, HEAD_KEY};
use daemons::{wait_for, TestBed};
use googletest::prelude::*;
use standin::cluster::ClusterSettings;
use standin::platform::PlatformFaults;
use transport::document_store::digest_of;
use transport::group_handle::MonitorStopped;
use transport::runtime::DaemonHandle;
use transport::services::{HostState, ObjectStore, TableService};

const DOWN: PlatformFaults = PlatformFaults {
    down: true,
    delay_ms: 0,
    lose_answers: false,
    host_lag_ms: 0,
};

const UP: PlatformFaults = PlatformFaults {
    down: false,
    ..DOWN
};

/// Returns the document version that a daemon has in force, or 0 if it has none.
fn version(daemon: &DaemonHandle) -> u64 {
    daemon.document().map_or(0, |adopted| adopted.stamp.version)
}

struct AdoptionCase {
    name: &'static str,
    /// Faults of the platform, set before the version is published.
    faults: PlatformFaults,
    /// Whether the platform goes down as soon as one daemon has the version.
    is_down_after_first: bool,
}

/// Design target for the time until a version is in force on all daemons.
const ADOPTION_TARGET: Duration = Duration::from_secs(9);

const ADOPTIONS: [AdoptionCase; 3] = [
    AdoptionCase {
        name: "store up",
        faults: UP,
        is_down_after_first: false,
    },
    AdoptionCase {
        name: "store slow (300 ms per request)",
        faults: PlatformFaults {
            delay_ms: 300,
            ..UP
        },
        is_down_after_first: false,
    },
    AdoptionCase {
        name: "store down once one daemon has the version",
        faults: UP,
        is_down_after_first: true,
    },
];

/// Guards against daemons that miss a version or adopt it later than the target
/// of 9 s.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_new_version_reaches_all_daemons() {
    for case in ADOPTIONS {
        let bed = TestBed::start(4, ClusterSettings::default()).await;
        let daemons = bed.daemons().await;
        let mut document = bed.cluster.document();
        document.deadlines.statement_ms = 9_000;
        bed.cluster.platform().set_faults(case.faults);
        bed.publish(1, &document).await;
        let start = Instant::now();
        if case.is_down_after_first {
            let first_adopted = || daemons.iter().any(|daemon| version(daemon) == 2);
            wait_for(ADOPTION_TARGET, first_adopted).await;
            bed.cluster.platform().set_faults(DOWN);
        }
        let adopted = || daemons.iter().all(|daemon| version(daemon) == 2);
        let reached = wait_for(ADOPTION_TARGET, adopted).await;
        let elapsed = reached.map(|_| start.elapsed());
        println!("{}: in force on 4 daemons after {elapsed:?}", case.name);
        expect_that!(elapsed, some(lt(ADOPTION_TARGET)), "{}", case.name);
    }
}

/// Guards against a daemon that cannot start, or does not get the document, while
/// the store is down although its peers have the document.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_daemon_starts_from_its_peers_while_the_store_is_down() {
    let bed = TestBed::start(3, ClusterSettings::default()).await;
    let first = bed.daemon(0).await;
    let second = bed.daemon(1).await;
    first.serving().await;
    second.serving().await;
    bed.cluster.platform().set_faults(DOWN);
    let third = bed.daemon(2).await;
    let serves = tokio::time::timeout(Duration::from_secs(5), third.serving()).await;
    expect_that!(serves.is_ok(), eq(true));
    expect_that!(version(&third), eq(1));
}

/// Guards against a daemon that serves by an outdated document: without the store
/// and without peers it must not serve.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_lone_daemon_does_not_serve_while_the_store_is_down() {
    let bed = TestBed::start(2, ClusterSettings::default()).await;
    bed.cluster.platform().set_faults(DOWN);
    let daemon = bed.daemon(0).await;
    let serves = tokio::time::timeout(Duration::from_secs(3), daemon.serving()).await;
    expect_that!(serves.is_err(), eq(true));
    bed.cluster.platform().set_faults(PlatformFaults::default());
    let serves = tokio::time::timeout(Duration::from_secs(5), daemon.serving()).await;
    expect_that!(serves.is_ok(), eq(true));
}

/// Guards against a configuration that reverts when the store returns an older
/// head row, as after a backup was restored.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_version_in_force_never_falls() {
    let bed = TestBed::start(2, ClusterSettings::default()).await;
    let daemons = bed.daemons().await;
    let first = bed.cluster.document_text();
    let mut document = bed.cluster.document();
    document.deadlines.statement_ms = 9_000;
    bed.publish(1, &document).await;
    let adopted = || daemons.iter().all(|daemon| version(daemon) == 2);
    assert_that!(
        wait_for(Duration::from_secs(5), adopted).await,
        some(anything())
    );
    let platform = bed.platform();
    let row = platform.read(HEAD_KEY).await.unwrap();
    let stamp = DocumentStamp {
        version: 1,
        digest: digest_of(&first),
    };
    let head = HeadValue {
        stamp,
        history: Vec::new(),
    };
    let text = serde_json::to_string(&head).unwrap();
    platform
        .write_if(HEAD_KEY, row.revision, &text)
        .await
        .unwrap();
    let fell = || daemons.iter().any(|daemon| version(daemon) < 2);
    expect_that!(wait_for(Duration::from_millis(2_500), fell).await, none());
}

/// Guards against adopting a version whose body is not a valid document, for
/// example because the body was replaced.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_bad_body_is_not_put_in_force() {
    let bed = TestBed::start(1, ClusterSettings::default()).await;
    let daemons = bed.daemons().await;
    let platform = bed.platform();
    let row = platform.read(HEAD_KEY).await.unwrap();
    let text = "group = 3";
    let stamp = DocumentStamp {
        version: 2,
        digest: digest_of(text),
    };
    let key = coordination::publish::body_key(&stamp);
    platform.put_new(&key, text).await.unwrap();
    let head = HeadValue {
        stamp,
        history: Vec::new(),
    };
    let head = serde_json::to_string(&head).unwrap();
    platform
        .write_if(HEAD_KEY, row.revision, &head)
        .await
        .unwrap();
    let changed = || version(&daemons[0]) != 1;
    expect_that!(
        wait_for(Duration::from_millis(2_500), changed).await,
        none()
    );
}

/// Guards against new work for a backend server later than 3 s after it is listed
/// as leaving.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_listed_server_is_marked_within_3_s() {
    let bed = TestBed::start(2, ClusterSettings::default()).await;
    let daemons = bed.daemons().await;
    let mut hosts = bed.cluster.host_list();
    for host in &mut hosts {
        if host.name == "server-0-2" {
            host.state = HostState::Leaving;
        }
    }
    bed.cluster.platform().set_hosts(hosts);
    let marked = || {
        daemons.iter().all(|daemon| {
            let view = daemon.group("group-0").unwrap().view();
            let mut members = view.members.values();
            members.any(|member| member.name == "server-0-2" && member.leaving)
        })
    };
    let elapsed = wait_for(Duration::from_secs(3), marked).await;
    println!("leaving server marked after {elapsed:?}");
    expect_that!(elapsed, some(anything()));
}

/// Guards against adding or removing a group in a way that disturbs other groups.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn adding_and_removing_a_group_leaves_others_untouched() {
    let settings = ClusterSettings {
        groups: 2,
        ..ClusterSettings::default()
    };
    let bed = TestBed::start(1, settings).await;
    let daemons = bed.daemons().await;
    let known = || daemons[0].group("group-0").is_some() && daemons[0].group("group-1").is_some();
    assert_that!(
        wait_for(Duration::from_secs(2), known).await,
        some(anything())
    );
    let kept = daemons[0].group("group-0").unwrap();
    let removed = daemons[0].group("group-1").unwrap();
    kept.watermark().await.unwrap();
    let mut document = bed.cluster.document();
    let group = document.group.pop();
    document.customer[0].group.pop();
    bed.publish(1, &document).await;
    let is_removed = || daemons[0].group("group-1").is_none();
    assert_that!(
        wait_for(Duration::from_secs(3), is_removed).await,
        some(anything())
    );
    expect_that!(kept.watermark().await.is_ok(), eq(true));
    let answer = tokio::time::timeout(Duration::from_secs(1), removed.watermark()).await;
    expect_that!(answer.unwrap().err(), some(eq(MonitorStopped)));
    document.group.extend(group);
    bed.publish(2, &document).await;
    let is_restored = || daemons[0].group("group-1").is_some();
    expect_that!(
        wait_for(Duration::from_secs(3), is_restored).await,
        some(anything())
    );
    expect_that!(kept.watermark().await.is_ok(), eq(true));
}
