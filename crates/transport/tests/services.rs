//! Tests the platform client and the member-control client against the stand-ins.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use standin::cluster::{Cluster, ClusterSettings, MemberAddress};
use standin::platform::PlatformFaults;
use transport::control_client::MemberClientFactory;
use transport::platform::PlatformClient;
use transport::services::{
    ControlFactory, HostList, MemberControl, ObjectStore, ServiceError, TableRow, TableService,
    WriteAnswer,
};

const TIMEOUT: Duration = Duration::from_millis(200);
const PRIMARY: MemberAddress = MemberAddress {
    group: 0,
    member: 0,
};

async fn cluster(use_relays: bool) -> Cluster {
    let settings = ClusterSettings {
        use_relays,
        ..ClusterSettings::default()
    };
    Cluster::start(settings).await.unwrap()
}

/// Guards against a platform client that misinterprets a response.
#[gtest]
#[tokio::test]
async fn the_platform_client_speaks_the_protocol() {
    let cluster = cluster(false).await;
    let platform = PlatformClient::new(cluster.platform().address(), TIMEOUT);
    let missing = platform.read("lease/group-0").await;
    expect_that!(missing, ok(eq(&TableRow::default())));
    let first = platform
        .write_if("lease/group-0", 0, "a b/c?")
        .await
        .unwrap();
    assert_that!(first, matches_pattern!(WriteAnswer::Written { .. }));
    let row = platform.read("lease/group-0").await.unwrap();
    expect_that!(row.value.as_str(), eq("a b/c?"));
    let second = platform
        .write_if("lease/group-0", 0, "other")
        .await
        .unwrap();
    expect_that!(second, eq(&WriteAnswer::Conflict { row }));
    expect_that!(platform.get("config/1-ab").await, ok(none()));
    expect_that!(platform.put_new("config/1-ab", "text").await, ok(eq(&true)));
    expect_that!(
        platform.put_new("config/1-ab", "else").await,
        ok(eq(&false))
    );
    expect_that!(platform.get("config/1-ab").await, ok(some(eq("text"))));
    expect_that!(platform.list().await.unwrap().len(), eq(3));
}

struct FaultCase {
    name: &'static str,
    faults: PlatformFaults,
    takes_effect: bool,
}

/// Guards against a request that is reported as failed although it may have taken
/// effect, and against a wait without limit for a platform that does not answer.
#[gtest]
#[tokio::test]
async fn a_request_without_answer_has_an_unknown_outcome() {
    let cases = [
        FaultCase {
            name: "down",
            faults: PlatformFaults {
                down: true,
                ..PlatformFaults::default()
            },
            takes_effect: false,
        },
        FaultCase {
            name: "lost answers",
            faults: PlatformFaults {
                lose_answers: true,
                ..PlatformFaults::default()
            },
            takes_effect: true,
        },
    ];
    for case in cases {
        let cluster = cluster(false).await;
        let platform = PlatformClient::new(cluster.platform().address(), TIMEOUT);
        cluster.platform().set_faults(case.faults);
        let start = Instant::now();
        let answer = platform.write_if("lease/x", 0, "value").await;
        expect_that!(
            answer,
            err(matches_pattern!(ServiceError::NoAnswer(_))),
            "{}",
            case.name
        );
        expect_that!(start.elapsed(), lt(TIMEOUT * 3), "{}", case.name);
        let written = cluster.platform().row("lease/x").revision > 0;
        expect_that!(written, eq(case.takes_effect), "{}", case.name);
    }
}

/// Guards against a control client that keeps using a connection that has stopped
/// responding although new connections work.
#[gtest]
#[tokio::test]
async fn an_unresponsive_control_connection_is_replaced() {
    let cluster = cluster(true).await;
    let relay = &cluster.relays(PRIMARY).unwrap().control;
    let control = MemberClientFactory::default().control(relay.address(), TIMEOUT);
    assert_that!(control.report().await, ok(anything()));
    relay.silence();
    expect_that!(
        control.report().await,
        err(matches_pattern!(ServiceError::NoAnswer(_)))
    );
    expect_that!(control.report().await, ok(anything()));
}

/// Guards against three faults of a control client: that it does not reach a
/// member after a restart, that it reports a refused connection as a missing
/// answer, and that the first call fails only because the member has closed the
/// old connection.
#[gtest]
#[tokio::test]
async fn a_restarted_member_is_reached_again() {
    let mut cluster = cluster(false).await;
    let address = cluster.control_address(PRIMARY);
    let control = MemberClientFactory::default().control(address, TIMEOUT);
    assert_that!(control.report().await, ok(anything()));
    cluster.stop_member(PRIMARY);
    tokio::time::sleep(Duration::from_millis(100)).await;
    expect_that!(control.report().await, err(anything()));
    expect_that!(
        control.report().await,
        err(matches_pattern!(ServiceError::Unreachable(_)))
    );
    cluster.restart_member(PRIMARY).await.unwrap();
    expect_that!(control.report().await, ok(anything()));
    cluster.stop_member(PRIMARY);
    cluster.restart_member(PRIMARY).await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    expect_that!(control.report().await, ok(anything()));
}
