//! Statements in flight at a primary that stops responding with its connections
//! open.

#[path = "support/proxy.rs"]
#[allow(dead_code)]
mod proxy;

use std::time::{Duration, Instant};

use googletest::prelude::*;
use proxy::{error_of, rows, start, TestProxy, PRIMARY};
use standin::cluster::{Cluster, ClusterSettings};
use tokio_postgres::Client;

/// Time limit for an answer: the failover target with default settings. It is well
/// below the statement deadline of 10 s, so that a test fails if only the deadline
/// ends the wait.
const ANSWER_LIMIT: Duration = Duration::from_secs(2);

/// Starts a cluster whose statement, control and replication connections pass
/// through relays that can be stalled.
async fn start_with_relays() -> (Cluster, TestProxy) {
    let settings = ClusterSettings {
        use_relays: true,
        ..ClusterSettings::default()
    };
    start(settings).await
}

/// Opens one connection to the primary per client and leaves them idle in the pool,
/// so that later statements are sent at once without a new connection.
async fn fill_pool(clients: &[&Client]) {
    for client in clients {
        client.batch_execute("BEGIN").await.unwrap();
    }
    for client in clients {
        client.batch_execute("ROLLBACK").await.unwrap();
    }
}

fn freeze_primary(cluster: &Cluster) {
    let relays = cluster.relays(PRIMARY).unwrap();
    relays.statements.set_stalled(true);
    relays.control.set_stalled(true);
    relays.replication.set_stalled(true);
}

/// Runs a statement; returns its result and the time until the answer.
async fn timed(
    client: &Client,
    text: &str,
) -> (std::result::Result<(), tokio_postgres::Error>, Duration) {
    let start = Instant::now();
    let ended = client.batch_execute(text).await;
    (ended, start.elapsed())
}

/// Guards against statements that wait for a frozen primary after a new primary is
/// known. A write with a request id must run once at the new primary, a write without
/// one must be reported as having an unknown outcome, and a transaction as lost.
#[gtest]
#[tokio::test]
async fn statements_in_flight_end_with_the_term() {
    let (cluster, proxy) = start_with_relays().await;
    let recorded = proxy.connect().await;
    let plain = proxy.connect().await;
    let transaction = proxy.connect().await;
    recorded
        .batch_execute("CREATE TABLE t (id int)")
        .await
        .unwrap();
    // Creates the table of request ids.
    recorded
        .batch_execute("/* cassia: request_id=first */ INSERT INTO t VALUES (1)")
        .await
        .unwrap();
    fill_pool(&[&recorded, &plain, &transaction]).await;
    // The transaction does not write yet, because the stand-in runs one writer at a
    // time.
    transaction.batch_execute("BEGIN").await.unwrap();
    freeze_primary(&cluster);
    let (recorded_end, plain_end, transaction_end) = tokio::join!(
        timed(
            &recorded,
            "/* cassia: request_id=second */ INSERT INTO t VALUES (3)"
        ),
        timed(&plain, "INSERT INTO t VALUES (4)"),
        timed(&transaction, "INSERT INTO t VALUES (5)"),
    );
    println!(
        "recorded {:?}, without an id {:?}, in a transaction {:?}",
        recorded_end.1, plain_end.1, transaction_end.1
    );
    expect_that!(recorded_end.0.is_ok(), eq(true), "{:?}", recorded_end.0);
    expect_that!(recorded_end.1, lt(ANSWER_LIMIT));
    let error = plain_end.0.expect_err("the outcome is unknown");
    expect_that!(error_of(&error).1, eq("cassia_code=2001"));
    expect_that!(plain_end.1, lt(ANSWER_LIMIT));
    let error = transaction_end.0.expect_err("the transaction is lost");
    expect_that!(error_of(&error).1, eq("cassia_code=2002"));
    expect_that!(transaction_end.1, lt(ANSWER_LIMIT));
    let count = rows(&recorded, "SELECT count(*) FROM t WHERE id = 3").await;
    expect_that!(count.unwrap(), elements_are![eq("1")]);
}

/// Guards against ending statements at a healthy primary when only the view changes:
/// a frozen replica changes the view but not the term.
#[gtest]
#[tokio::test]
async fn a_frozen_replica_ends_no_write() {
    let settings = ClusterSettings {
        use_relays: true,
        member: standin::backend::BackendSettings {
            service_time: Duration::from_millis(1_500),
            ..Default::default()
        },
        ..ClusterSettings::default()
    };
    let (cluster, proxy) = start(settings).await;
    let client = proxy.connect().await;
    client
        .batch_execute("CREATE TABLE t (id int)")
        .await
        .unwrap();
    let replica = standin::cluster::MemberAddress {
        group: 0,
        member: 1,
    };
    let stall = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        cluster.relays(replica).unwrap().control.set_stalled(true);
    };
    let (ended, ()) = tokio::join!(timed(&client, "INSERT INTO t VALUES (1)"), stall);
    expect_that!(ended.0.is_ok(), eq(true), "{:?}", ended.0);
    let handle = &proxy.context.groups()[0].handle;
    expect_that!(handle.view().highest_term().0, eq(1));
}
