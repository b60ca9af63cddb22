//! The injected faults of the relay, and a cluster behind relays.

mod support;

use std::time::{Duration, Instant};

use googletest::prelude::*;
use standin::cluster::{Cluster, ClusterSettings};
use standin::relay::TcpRelay;
use state::document::IntentDocument;
use tokio_postgres::Client;

use support::{connect_to, member, wait_until};

async fn relayed_cluster() -> Cluster {
    support::start_cluster(ClusterSettings {
        use_relays: true,
        ..ClusterSettings::default()
    })
    .await
}

fn statements(cluster: &Cluster) -> &TcpRelay {
    &cluster.relays(member(0)).unwrap().statements
}

async fn answers(client: &Client) -> bool {
    let query = client.simple_query("SELECT 1");
    let answer = tokio::time::timeout(Duration::from_millis(300), query).await;
    matches!(answer, Ok(Ok(_)))
}

/// Fails when a cut leaves connections open or lets new ones through.
#[tokio::test]
async fn cut_closes_and_refuses() {
    let cluster = relayed_cluster().await;
    let relay = statements(&cluster);
    let client = connect_to(relay.address()).await.unwrap();
    assert_that!(answers(&client).await, eq(true));
    relay.set_cut(true);
    wait_until("the connection is closed", || client.is_closed()).await;
    assert_that!(connect_to(relay.address()).await.is_err(), eq(true));
    relay.set_cut(false);
    let client = connect_to(relay.address()).await.unwrap();
    assert_that!(answers(&client).await, eq(true));
}

/// Fails when a silenced connection answers or closes, or when new connections
/// do not work.
#[tokio::test]
async fn silence_affects_open_connections_only() {
    let cluster = relayed_cluster().await;
    let relay = statements(&cluster);
    let old = connect_to(relay.address()).await.unwrap();
    relay.silence();
    assert_that!(answers(&old).await, eq(false));
    let new = connect_to(relay.address()).await.unwrap();
    assert_that!(answers(&new).await, eq(true));
    assert_that!(old.is_closed(), eq(false));
}

/// Fails when a stall that ends has lost bytes.
#[tokio::test]
async fn stalled_connections_resume() {
    let cluster = relayed_cluster().await;
    let relay = statements(&cluster);
    let client = connect_to(relay.address()).await.unwrap();
    relay.set_stalled(true);
    let query = tokio::spawn(async move { client.simple_query("SELECT 1").await });
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_that!(query.is_finished(), eq(false));
    relay.set_stalled(false);
    let answer = tokio::time::timeout(Duration::from_secs(5), query).await;
    answer.unwrap().unwrap().unwrap();
}

/// Fails when an answer arrives before the delays of both directions have
/// passed.
#[tokio::test]
async fn delay_counts_in_both_directions() {
    let cluster = relayed_cluster().await;
    let relay = statements(&cluster);
    let client = connect_to(relay.address()).await.unwrap();
    relay.set_delay(Duration::from_millis(40), Duration::from_millis(60));
    let start = Instant::now();
    client.simple_query("SELECT 1").await.unwrap();
    assert_that!(start.elapsed(), ge(Duration::from_millis(100)));
    assert_that!(start.elapsed(), lt(Duration::from_millis(300)));
}

/// Fails when a cut of the control path alone stops replication, or when a cut
/// of the replication path does not.
#[tokio::test]
async fn replication_and_control_paths_are_separate() {
    let cluster = relayed_cluster().await;
    let relays = cluster.relays(member(0)).unwrap();
    relays.control.set_cut(true);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let heartbeat_age = cluster
        .server(member(1))
        .unwrap()
        .report()
        .primary_heartbeat_age;
    assert_that!(heartbeat_age, some(lt(Duration::from_millis(200))));
    relays.replication.set_cut(true);
    tokio::time::sleep(Duration::from_millis(50)).await;
    let client = connect_to(statements(&cluster).address()).await.unwrap();
    client
        .batch_execute("CREATE TABLE birds (id int8)")
        .await
        .unwrap();
    let position = cluster.server(member(0)).unwrap().report().log;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let report = cluster.server(member(1)).unwrap().report();
    assert_that!(report.log, lt(position));
    relays.replication.set_cut(false);
    wait_until("replication resumes", || {
        cluster.server(member(1)).unwrap().report().applied == position
    })
    .await;
}

/// Fails when the document of a cluster is not valid.
#[tokio::test]
async fn document_of_the_cluster_is_valid() {
    let cluster = support::start_cluster(ClusterSettings {
        groups: 3,
        entry_hosts: vec!["127.0.0.1:4001".parse().unwrap(); 4],
        use_relays: true,
        ..ClusterSettings::default()
    })
    .await;
    let document = IntentDocument::parse(&cluster.document_text()).unwrap();
    assert_that!(document, eq(&cluster.document()));
    assert_that!(document.group, len(eq(3)));
    assert_that!(cluster.host_list(), len(eq(13)));
}
