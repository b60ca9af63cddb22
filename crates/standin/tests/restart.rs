//! Tests of the state that a member keeps across restarts.

mod support;

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use googletest::prelude::*;
use protocol::member_control::{ControlRefusal, ProposerId};
use standin::cluster::{Cluster, ClusterSettings};
use state::log::{LogPosition, Term};
use state::member::MemberRole;

use support::{connect, connect_to, control, member, read_names, tarpc_context, wait_until};

const PROPOSER: ProposerId = ProposerId(5);

async fn cluster_with_one_row(keep_data: bool) -> Cluster {
    let cluster = support::start_cluster(ClusterSettings {
        keep_data,
        ..ClusterSettings::default()
    })
    .await;
    let client = connect(&cluster, member(0)).await;
    client
        .batch_execute("CREATE TABLE birds (id int8 PRIMARY KEY, name text); INSERT INTO birds VALUES (1, 'wren')")
        .await
        .unwrap();
    let position = cluster.server(member(0)).unwrap().report().log;
    wait_until("the replicas have the entry", || {
        let report = |index| cluster.server(member(index)).unwrap().report();
        (1..3).all(|index| report(index).applied == position)
    })
    .await;
    cluster
}

/// Fails if a restarted member loses its log, its role or its promised term, or if
/// a restarted replica no longer follows the primary.
#[tokio::test]
async fn restarted_members_keep_their_state() {
    let mut cluster = cluster_with_one_row(true).await;
    for index in [0, 1] {
        let before = cluster.server(member(index)).unwrap().report();
        cluster.stop_member(member(index));
        cluster.restart_member(member(index)).await.unwrap();
        let after = cluster.server(member(index)).unwrap().report();
        assert_that!(after.log, eq(before.log));
        assert_that!(after.role, eq(before.role));
        assert_that!(after.promised_term, eq(before.promised_term));
    }
    let client = connect(&cluster, member(0)).await;
    client
        .batch_execute("INSERT INTO birds VALUES (2, 'owl')")
        .await
        .unwrap();
    let position = cluster.server(member(0)).unwrap().report().log;
    wait_until("the restarted replica has the new entry", || {
        cluster.server(member(1)).unwrap().report().applied == position
    })
    .await;
    let names = read_names(&cluster, member(1)).await;
    assert_that!(names, elements_are![eq("wren"), eq("owl")]);
}

/// Fails if a restarted member forgets to which proposer it granted its term, so
/// that it could grant the term to another one too.
#[tokio::test]
async fn grant_survives_a_restart() {
    let mut cluster = cluster_with_one_row(true).await;
    let client = control(&cluster, member(1)).await;
    let answer = client.fence(tarpc_context(), Term(3), PROPOSER).await;
    answer.unwrap().unwrap();
    cluster.stop_member(member(1));
    cluster.restart_member(member(1)).await.unwrap();
    let client = control(&cluster, member(1)).await;
    let other = client.fence(tarpc_context(), Term(3), ProposerId(6)).await;
    assert_that!(other.unwrap(), err(eq(ControlRefusal::WrongProposer)));
    let repeated = client.fence(tarpc_context(), Term(3), PROPOSER).await;
    assert_that!(repeated.unwrap().unwrap().promised_term, eq(Term(3)));
    let promoted = client.promote(tarpc_context(), Term(3), PROPOSER).await;
    assert_that!(promoted.unwrap().unwrap().role, eq(MemberRole::Primary));
}

/// Fails if a primary that restarts without its data becomes primary of an empty
/// log.
#[tokio::test]
async fn member_without_data_starts_empty() {
    let mut cluster = cluster_with_one_row(false).await;
    cluster.stop_member(member(0));
    cluster.restart_member(member(0)).await.unwrap();
    let report = cluster.server(member(0)).unwrap().report();
    assert_that!(report.log, eq(LogPosition::START));
    assert_that!(report.role, eq(MemberRole::Replica));
    assert_that!(cluster.primary(0), none());
}

/// Fails if an incomplete last record in the log file prevents a restart, or if
/// records that are written after it are lost.
#[tokio::test]
async fn incomplete_record_is_discarded() {
    let mut cluster = cluster_with_one_row(true).await;
    let before = cluster.server(member(0)).unwrap().report().log;
    cluster.stop_member(member(0));
    let path = cluster.data_directory().join("server-0-0/member.jsonl");
    let mut file = std::fs::OpenOptions::new().append(true).open(path).unwrap();
    file.write_all(b"{\"entry\":{\"position\"").unwrap();
    for id in [7, 8] {
        cluster.restart_member(member(0)).await.unwrap();
        let client = connect(&cluster, member(0)).await;
        let text = format!("INSERT INTO birds VALUES ({id}, 'owl')");
        client.batch_execute(&text).await.unwrap();
    }
    let report = cluster.server(member(0)).unwrap().report();
    assert_that!(report.log.offset, eq(before.offset + 2));
}

struct BackendProcess {
    child: Child,
    address: SocketAddr,
    control_address: SocketAddr,
}

impl BackendProcess {
    fn start(directory: &Path, options: &[&str]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_standin-backend"))
            .args([
                "--address",
                "127.0.0.1:0",
                "--control-address",
                "127.0.0.1:0",
            ])
            .arg("--data-dir")
            .arg(directory)
            .args(options)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let mut output = BufReader::new(child.stdout.take().unwrap());
        output.read_line(&mut line).unwrap();
        let addresses: Vec<SocketAddr> = line
            .split_whitespace()
            .filter_map(|word| word.split_once('='))
            .map(|(_, address)| address.parse().unwrap())
            .collect();
        Self {
            child,
            address: addresses[0],
            control_address: addresses[1],
        }
    }
}

impl Drop for BackendProcess {
    fn drop(&mut self) {
        // SIGKILL, so that the process cannot flush anything before it ends.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Fails if a killed process loses a write that it has answered.
#[tokio::test]
async fn killed_process_keeps_answered_writes() {
    let cluster = support::start_cluster(ClusterSettings {
        groups: 0,
        ..ClusterSettings::default()
    })
    .await;
    let directory = cluster.data_directory().join("process");
    let process = BackendProcess::start(&directory, &["--bootstrap-primary"]);
    let client = connect_to(process.address).await.unwrap();
    client
        .batch_execute("CREATE TABLE birds (id int8 PRIMARY KEY, name text); INSERT INTO birds VALUES (1, 'wren')")
        .await
        .unwrap();
    drop(process);
    let process = BackendProcess::start(&directory, &["--bootstrap-primary"]);
    let replica_directory = cluster.data_directory().join("replica");
    let follow = process.control_address.to_string();
    let replica = BackendProcess::start(&replica_directory, &["--follow", &follow]);
    let client = connect_to(process.address).await.unwrap();
    let count = client.query_one("SELECT count(*) FROM birds", &[]).await;
    assert_that!(count.unwrap().get::<_, i64>(0), eq(1));
    let reader = connect_to(replica.address).await.unwrap();
    let deadline = std::time::Instant::now() + Duration::from_secs(10);
    while reader.query("SELECT id FROM birds", &[]).await.is_err() {
        assert_that!(std::time::Instant::now(), lt(deadline));
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
