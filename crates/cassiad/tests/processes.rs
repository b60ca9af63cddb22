//! Kills, freezes and restarts the processes of a cluster under load. Checks
//! that no accepted write is lost or duplicated and that writes resume in time.

#[path = "support/process_cluster.rs"]
mod process_cluster;

use std::time::{Duration, Instant};

use googletest::prelude::*;
use process_cluster::{connect, ProcessCluster, DAEMONS};
use tokio_postgres::error::SqlState;
use tokio_postgres::{Client, Config, SimpleQueryMessage};

/// Number of concurrent writers.
const WRITERS: usize = 4;
/// Longest time that the design allows for a change of primary.
const FAILOVER_TARGET: Duration = Duration::from_secs(8);
/// Duration of the load before a fault and after the failover target.
const LOAD_TIME: Duration = Duration::from_millis(1_500);

struct FaultCase {
    name: &'static str,
    inject: fn(&mut ProcessCluster),
    heal: fn(&mut ProcessCluster),
}

const FAULTS: [FaultCase; 6] = [
    FaultCase {
        name: "primary killed and restarted",
        inject: |cluster| cluster.members[0].kill(),
        heal: |cluster| cluster.members[0] = cluster.start_member(0),
    },
    FaultCase {
        name: "primary frozen",
        inject: |cluster| cluster.members[0].signal("-STOP"),
        heal: |cluster| cluster.members[0].signal("-CONT"),
    },
    FaultCase {
        name: "daemon killed and restarted",
        inject: |cluster| cluster.daemons[0].kill(),
        heal: |cluster| cluster.daemons[0] = cluster.start_daemon(0),
    },
    FaultCase {
        name: "daemon frozen while the primary is killed",
        inject: |cluster| {
            cluster.daemons[0].signal("-STOP");
            cluster.members[0].kill();
        },
        heal: |cluster| {
            cluster.members[0] = cluster.start_member(0);
            cluster.daemons[0].signal("-CONT");
        },
    },
    FaultCase {
        name: "platform frozen while the primary is killed",
        inject: |cluster| {
            cluster.platform.signal("-STOP");
            cluster.members[0].kill();
        },
        heal: |cluster| {
            cluster.platform.signal("-CONT");
            cluster.members[0] = cluster.start_member(0);
        },
    },
    FaultCase {
        name: "replica killed, then the primary frozen",
        inject: |cluster| {
            cluster.members[1].kill();
            cluster.members[1] = cluster.start_member(1);
            cluster.members[0].signal("-STOP");
        },
        heal: |cluster| cluster.members[0].signal("-CONT"),
    },
];

/// Accepted writes and stale reads of one writer.
struct WriterResult {
    accepted: Vec<AcceptedWrite>,
    stale_reads: usize,
}

struct AcceptedWrite {
    sequence: u64,
    at: Instant,
}

/// A caller that switches between the daemons and retries each write under the
/// same request id until it is accepted.
struct RetryingWriter {
    number: usize,
    configs: Vec<Config>,
    daemon: usize,
    client: Option<Client>,
}

impl RetryingWriter {
    async fn run(mut self, stop: tokio::sync::watch::Receiver<bool>) -> WriterResult {
        let mut result = WriterResult {
            accepted: Vec::new(),
            stale_reads: 0,
        };
        let mut sequence = 1;
        while !*stop.borrow() {
            if !self.write(sequence).await {
                self.switch_daemon();
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            }
            result.accepted.push(AcceptedWrite {
                sequence,
                at: Instant::now(),
            });
            if sequence % 5 == 0 {
                self.switch_daemon();
                let newest = self.read_newest().await;
                result.stale_reads += usize::from(newest.is_some_and(|seen| seen < sequence));
            }
            sequence += 1;
        }
        result
    }

    fn switch_daemon(&mut self) {
        self.client = None;
        self.daemon = (self.daemon + 1) % self.configs.len();
    }

    async fn client(&mut self) -> Option<&Client> {
        if self.client.is_none() {
            self.client = connect(&self.configs[self.daemon]).await;
        }
        self.client.as_ref()
    }

    async fn write(&mut self, sequence: u64) -> bool {
        let number = self.number;
        let statement = format!(
            "/* cassia: request_id=w{number}-{sequence} */ \
             INSERT INTO records VALUES ({number}, {sequence})"
        );
        let Some(client) = self.client().await else {
            return false;
        };
        let timeout = Duration::from_secs(2);
        let answer = tokio::time::timeout(timeout, client.batch_execute(&statement)).await;
        matches!(answer, Ok(Ok(())))
    }

    /// Reads the writer's newest record without a session token.
    async fn read_newest(&mut self) -> Option<u64> {
        let query = format!(
            "SELECT max(sequence) FROM records WHERE writer = {}",
            self.number
        );
        let client = self.client().await?;
        let timeout = Duration::from_secs(2);
        let answer = tokio::time::timeout(timeout, client.simple_query(&query)).await;
        first_number(&answer.ok()?.ok()?)
    }
}

fn first_number(messages: &[SimpleQueryMessage]) -> Option<u64> {
    messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0)?.parse().ok(),
        _ => None,
    })
}

/// Retries a read on each daemon in turn until one answers it. Panics after 100
/// attempts.
async fn read_number(cluster: &ProcessCluster, query: &str) -> u64 {
    for attempt in 0..100 {
        if let Some(client) = connect(&cluster.config(attempt % DAEMONS)).await {
            if let Ok(messages) = client.simple_query(query).await {
                return first_number(&messages).expect("the result has a row with a number");
            }
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("no daemon answered {query}");
}

async fn run_fault(case: &FaultCase) {
    let mut cluster = ProcessCluster::start().await;
    let client = connect(&cluster.config(0))
        .await
        .expect("the daemon serves");
    let create = "CREATE TABLE records (writer int, sequence int)";
    client
        .batch_execute(create)
        .await
        .expect("the table is new");
    let stop = tokio::sync::watch::Sender::new(false);
    let writers: Vec<_> = (0..WRITERS)
        .map(|number| {
            let writer = RetryingWriter {
                number,
                configs: (0..DAEMONS).map(|daemon| cluster.config(daemon)).collect(),
                daemon: number % DAEMONS,
                client: None,
            };
            tokio::spawn(writer.run(stop.subscribe()))
        })
        .collect();
    tokio::time::sleep(LOAD_TIME).await;
    let fault_at = Instant::now();
    (case.inject)(&mut cluster);
    tokio::time::sleep(FAILOVER_TARGET / 2).await;
    (case.heal)(&mut cluster);
    tokio::time::sleep(FAILOVER_TARGET / 2 + LOAD_TIME).await;
    stop.send_replace(true);
    let mut accepted = 0;
    for (number, writer) in writers.into_iter().enumerate() {
        let result = writer.await.expect("a writer does not panic");
        expect_that!(result.stale_reads, eq(0), "{}", case.name);
        check_write_gap(case, number, fault_at, &result);
        check_records(case, &cluster, number, &result).await;
        accepted += result.accepted.len();
    }
    println!("{}: {accepted} writes accepted", case.name);
}

/// Checks that the first write accepted after the fault comes within the
/// failover target.
fn check_write_gap(case: &FaultCase, number: usize, fault_at: Instant, result: &WriterResult) {
    let first = result.accepted.iter().find(|write| write.at > fault_at);
    let gap = first.map(|write| write.at - fault_at);
    // The answer to a write that was in flight at the fault makes this gap
    // short, so the longest pause between two writes is printed too.
    let pairs = result.accepted.windows(2);
    let longest_pause = pairs.map(|pair| pair[1].at - pair[0].at).max();
    println!(
        "{}: writer {number} waited {gap:?}, longest pause {longest_pause:?}",
        case.name
    );
    expect_that!(gap, some(lt(FAILOVER_TARGET)), "{}", case.name);
}

async fn check_records(
    case: &FaultCase,
    cluster: &ProcessCluster,
    number: usize,
    result: &WriterResult,
) {
    let highest = result.accepted.last().map_or(0, |write| write.sequence);
    let accepted = result.accepted.len() as u64;
    expect_that!(
        accepted,
        eq(highest),
        "writer {number}: accepted sequence numbers have a gap"
    );
    let range = format!("FROM records WHERE writer = {number} AND sequence <= {highest}");
    let count = read_number(cluster, &format!("SELECT count(*) {range}")).await;
    let distinct = read_number(cluster, &format!("SELECT count(DISTINCT sequence) {range}")).await;
    expect_that!(distinct, eq(highest), "{}: lost writes", case.name);
    expect_that!(count, eq(highest), "{}: duplicated writes", case.name);
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_accepted_write_is_lost_or_duplicated_under_kills_and_freezes() {
    for case in &FAULTS {
        run_fault(case).await;
    }
}

/// Guards against a missing or wrong outcome of a transaction whose daemon was
/// killed before COMMIT: another daemon must report that it did not run, and
/// must refuse a later statement with the same request id.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn another_daemon_reports_the_outcome_of_a_transaction() {
    let mut cluster = ProcessCluster::start().await;
    let client = connect(&cluster.config(0))
        .await
        .expect("the daemon serves");
    let create = "CREATE TABLE records (writer int, sequence int)";
    client
        .batch_execute(create)
        .await
        .expect("the table is new");
    let statements =
        "SET cassia.request_id = 'transfer-1'; BEGIN; INSERT INTO records VALUES (1, 1)";
    for statement in statements.split("; ") {
        client
            .batch_execute(statement)
            .await
            .expect("the statement succeeds");
    }
    cluster.daemons[0].kill();
    let commit = client.batch_execute("COMMIT").await;
    expect_that!(commit.is_err(), eq(true));
    let other = connect(&cluster.config(1))
        .await
        .expect("the other daemon serves");
    let set = "SET cassia.request_id = 'transfer-1'";
    other
        .batch_execute(set)
        .await
        .expect("the request id is valid");
    let messages = other.simple_query("SHOW cassia.outcome").await;
    let messages = messages.expect("the outcome is known");
    let outcome = messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    });
    expect_that!(outcome, some(eq("not_run")));
    let repeated = other
        .batch_execute("INSERT INTO records VALUES (1, 1)")
        .await;
    let code = repeated.err().and_then(|error| error.code().cloned());
    expect_that!(code, some(eq(&SqlState::OBJECT_NOT_IN_PREREQUISITE_STATE)));
    let count = read_number(&cluster, "SELECT count(*) FROM records").await;
    expect_that!(count, eq(0));
}

/// Guards against a graceful shutdown that aborts requests in flight.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_graceful_shutdown_finishes_requests_in_flight() {
    let mut cluster = ProcessCluster::start().await;
    let mut tasks = Vec::new();
    for _ in 0..3 {
        let client = connect(&cluster.config(0))
            .await
            .expect("the daemon serves");
        tasks.push(tokio::spawn(async move {
            client.batch_execute("SELECT pg_sleep(0.8)").await
        }));
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    cluster.daemons[0].signal("-TERM");
    for task in tasks {
        let answer = task.await.expect("the task does not panic");
        expect_that!(answer.is_ok(), eq(true), "{answer:?}");
    }
    expect_that!(cluster.daemons[0].wait(), eq(true));
    let refused = connect(&cluster.config(0)).await;
    expect_that!(refused.is_none(), eq(true));
}

/// Guards against a daemon that misses the document versions accepted while its
/// process was frozen, or that reverts to an older version.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_resumed_daemon_adopts_the_newest_version() {
    const ADOPTION_TARGET: Duration = Duration::from_secs(9);
    let cluster = ProcessCluster::start().await;
    cluster.daemons[1].signal("-STOP");
    let mut document = cluster.document();
    for base in 1..=2 {
        document.limits.queue_length = 1_000 + base;
        cluster.publish(base, &document).await;
    }
    let adopted_after = wait_for_version(&cluster, 0, 3, ADOPTION_TARGET).await;
    println!("in force on the running daemon after {adopted_after:?}");
    expect_that!(adopted_after, some(lt(ADOPTION_TARGET)));
    cluster.daemons[1].signal("-CONT");
    let adopted_after = wait_for_version(&cluster, 1, 3, ADOPTION_TARGET).await;
    println!("in force on the resumed daemon after {adopted_after:?}");
    expect_that!(adopted_after, some(lt(ADOPTION_TARGET)));
}

/// Waits until a daemon has `version` in force. Returns the time that it took,
/// or `None` after `timeout`.
async fn wait_for_version(
    cluster: &ProcessCluster,
    daemon: usize,
    version: u64,
    timeout: Duration,
) -> Option<Duration> {
    let start = Instant::now();
    while start.elapsed() < timeout {
        if cluster.version_in_force(daemon).await == Some(version) {
            return Some(start.elapsed());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    None
}
