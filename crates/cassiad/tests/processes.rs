//! Kills, freezes and restarts separate processes under load, and checks that
//! no accepted write is lost or doubled and that writes go on.

#[path = "support/process_site.rs"]
mod process_site;

use std::time::{Duration, Instant};

use googletest::prelude::*;
use process_site::{connect, ProcessSite, DAEMONS};
use tokio_postgres::error::SqlState;
use tokio_postgres::{Client, Config, SimpleQueryMessage};

/// Callers that write at the same time.
const WRITERS: usize = 4;
/// The target of the design for a change of primary.
const FAILOVER_TARGET: Duration = Duration::from_secs(8);
/// Time under load before and after a fault.
const LOAD_TIME: Duration = Duration::from_millis(1_500);

struct FaultCase {
    name: &'static str,
    inject: fn(&mut ProcessSite),
    heal: fn(&mut ProcessSite),
}

const FAULTS: [FaultCase; 6] = [
    FaultCase {
        name: "primary killed and started again",
        inject: |site| site.members[0].kill(),
        heal: |site| site.members[0] = site.start_member(0),
    },
    FaultCase {
        name: "primary frozen",
        inject: |site| site.members[0].signal("-STOP"),
        heal: |site| site.members[0].signal("-CONT"),
    },
    FaultCase {
        name: "daemon killed and started again",
        inject: |site| site.daemons[0].kill(),
        heal: |site| site.daemons[0] = site.start_daemon(0),
    },
    FaultCase {
        name: "daemon frozen while the primary is killed",
        inject: |site| {
            site.daemons[0].signal("-STOP");
            site.members[0].kill();
        },
        heal: |site| {
            site.members[0] = site.start_member(0);
            site.daemons[0].signal("-CONT");
        },
    },
    FaultCase {
        name: "platform frozen while the primary is killed",
        inject: |site| {
            site.platform.signal("-STOP");
            site.members[0].kill();
        },
        heal: |site| {
            site.platform.signal("-CONT");
            site.members[0] = site.start_member(0);
        },
    },
    FaultCase {
        name: "replica killed, then the primary frozen",
        inject: |site| {
            site.members[1].kill();
            site.members[1] = site.start_member(1);
            site.members[0].signal("-STOP");
        },
        heal: |site| site.members[0].signal("-CONT"),
    },
];

/// What a writer saw.
struct WriterResult {
    accepted: Vec<AcceptedWrite>,
    stale_reads: usize,
}

struct AcceptedWrite {
    sequence: u64,
    at: Instant,
}

/// A caller that moves between the daemons and repeats each write under its
/// request id until it is accepted.
struct RoamingWriter {
    number: usize,
    configs: Vec<Config>,
    daemon: usize,
    client: Option<Client>,
}

impl RoamingWriter {
    async fn run(mut self, stop: tokio::sync::watch::Receiver<bool>) -> WriterResult {
        let mut result = WriterResult {
            accepted: Vec::new(),
            stale_reads: 0,
        };
        let mut sequence = 1;
        while !*stop.borrow() {
            if !self.write(sequence).await {
                self.roam();
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            }
            result.accepted.push(AcceptedWrite {
                sequence,
                at: Instant::now(),
            });
            if sequence % 5 == 0 {
                self.roam();
                let newest = self.read_newest().await;
                result.stale_reads += usize::from(newest.is_some_and(|seen| seen < sequence));
            }
            sequence += 1;
        }
        result
    }

    fn roam(&mut self) {
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
        let limit = Duration::from_secs(2);
        let answer = tokio::time::timeout(limit, client.batch_execute(&statement)).await;
        matches!(answer, Ok(Ok(())))
    }

    /// Reads the newest own record without a session token.
    async fn read_newest(&mut self) -> Option<u64> {
        let query = format!(
            "SELECT max(sequence) FROM records WHERE writer = {}",
            self.number
        );
        let client = self.client().await?;
        let limit = Duration::from_secs(2);
        let answer = tokio::time::timeout(limit, client.simple_query(&query)).await;
        first_number(&answer.ok()?.ok()?)
    }
}

fn first_number(messages: &[SimpleQueryMessage]) -> Option<u64> {
    messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0)?.parse().ok(),
        _ => None,
    })
}

/// Runs a read on any daemon until it is answered.
async fn read_number(site: &ProcessSite, query: &str) -> u64 {
    for attempt in 0..100 {
        if let Some(client) = connect(&site.config(attempt % DAEMONS)).await {
            if let Ok(messages) = client.simple_query(query).await {
                return first_number(&messages).expect("a count has a row");
            }
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("no daemon answers {query}");
}

async fn run_fault(case: &FaultCase) {
    let mut site = ProcessSite::start().await;
    let client = connect(&site.config(0)).await.expect("the daemon serves");
    let create = "CREATE TABLE records (writer int, sequence int)";
    client
        .batch_execute(create)
        .await
        .expect("the table is new");
    let stop = tokio::sync::watch::Sender::new(false);
    let writers: Vec<_> = (0..WRITERS)
        .map(|number| {
            let writer = RoamingWriter {
                number,
                configs: (0..DAEMONS).map(|daemon| site.config(daemon)).collect(),
                daemon: number % DAEMONS,
                client: None,
            };
            tokio::spawn(writer.run(stop.subscribe()))
        })
        .collect();
    tokio::time::sleep(LOAD_TIME).await;
    let broken_at = Instant::now();
    (case.inject)(&mut site);
    tokio::time::sleep(FAILOVER_TARGET / 2).await;
    (case.heal)(&mut site);
    tokio::time::sleep(FAILOVER_TARGET / 2 + LOAD_TIME).await;
    stop.send_replace(true);
    let mut accepted = 0;
    for (number, writer) in writers.into_iter().enumerate() {
        let result = writer.await.expect("a writer does not panic");
        expect_that!(result.stale_reads, eq(0), "{}", case.name);
        check_gap(case, number, broken_at, &result);
        check_records(case, &site, number, &result).await;
        accepted += result.accepted.len();
    }
    println!(
        "{}: {accepted} writes accepted, none lost or doubled",
        case.name
    );
}

/// Writes must go on within the target, counted from the fault.
fn check_gap(case: &FaultCase, number: usize, broken_at: Instant, result: &WriterResult) {
    let first = result.accepted.iter().find(|write| write.at > broken_at);
    let gap = first.map(|write| write.at - broken_at);
    // A write whose answer was under way at the fault makes the gap small, so
    // the longest pause is printed too.
    let times = result.accepted.windows(2);
    let pause = times.map(|pair| pair[1].at - pair[0].at).max();
    println!(
        "{}: writer {number} waited {gap:?}, longest pause {pause:?}",
        case.name
    );
    expect_that!(gap, some(lt(FAILOVER_TARGET)), "{}", case.name);
}

async fn check_records(case: &FaultCase, site: &ProcessSite, number: usize, result: &WriterResult) {
    let highest = result.accepted.last().map_or(0, |write| write.sequence);
    let accepted = result.accepted.len() as u64;
    expect_that!(accepted, eq(highest), "writer {number} accepts in sequence");
    let range = format!("FROM records WHERE writer = {number} AND sequence <= {highest}");
    let count = read_number(site, &format!("SELECT count(*) {range}")).await;
    let distinct = read_number(site, &format!("SELECT count(DISTINCT sequence) {range}")).await;
    expect_that!(distinct, eq(highest), "{}: lost writes", case.name);
    expect_that!(count, eq(highest), "{}: doubled writes", case.name);
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_accepted_write_is_lost_or_doubled_under_kills_and_freezes() {
    for case in &FAULTS {
        run_fault(case).await;
    }
}

/// Guards against a daemon's death that leaves the caller of a transaction
/// without a way to learn its outcome, or with a wrong one.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_outcome_of_a_transaction_is_told_by_another_daemon() {
    let mut site = ProcessSite::start().await;
    let client = connect(&site.config(0)).await.expect("the daemon serves");
    let create = "CREATE TABLE records (writer int, sequence int)";
    client
        .batch_execute(create)
        .await
        .expect("the table is new");
    let open = "SET cassia.request_id = 'transfer-1'; BEGIN; INSERT INTO records VALUES (1, 1)";
    for statement in open.split("; ") {
        client
            .batch_execute(statement)
            .await
            .expect("the transaction is open");
    }
    site.daemons[0].kill();
    let commit = client.batch_execute("COMMIT").await;
    expect_that!(commit.is_err(), eq(true));
    let other = connect(&site.config(1))
        .await
        .expect("the other daemon serves");
    let set = "SET cassia.request_id = 'transfer-1'";
    other.batch_execute(set).await.expect("a valid id");
    let messages = other.simple_query("SHOW cassia.outcome").await;
    let messages = messages.expect("the outcome is known");
    let outcome = messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    });
    expect_that!(outcome, some(eq("not_run")));
    let late = other
        .batch_execute("INSERT INTO records VALUES (1, 1)")
        .await;
    let code = late.err().and_then(|error| error.code().cloned());
    expect_that!(code, some(eq(&SqlState::OBJECT_NOT_IN_PREREQUISITE_STATE)));
    let count = read_number(&site, "SELECT count(*) FROM records").await;
    expect_that!(count, eq(0));
}

/// Guards against a graceful shutdown that cuts off a request in flight.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_graceful_shutdown_finishes_requests_in_flight() {
    let mut site = ProcessSite::start().await;
    let mut tasks = Vec::new();
    for _ in 0..3 {
        let client = connect(&site.config(0)).await.expect("the daemon serves");
        tasks.push(tokio::spawn(async move {
            client.batch_execute("SELECT pg_sleep(0.8)").await
        }));
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    site.daemons[0].signal("-TERM");
    for task in tasks {
        let answer = task.await.expect("the task does not panic");
        expect_that!(answer.is_ok(), eq(true), "{answer:?}");
    }
    expect_that!(site.daemons[0].wait(), eq(true));
    let refused = connect(&site.config(0)).await;
    expect_that!(refused.is_none(), eq(true));
}

/// Guards against a daemon that misses the versions accepted while it was cut
/// off from everybody, or that goes back to an older one.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_daemon_that_was_frozen_adopts_the_newest_version() {
    const ADOPTION_TARGET: Duration = Duration::from_secs(9);
    let site = ProcessSite::start().await;
    site.daemons[1].signal("-STOP");
    let mut document = site.document();
    for base in 1..=2 {
        document.limits.queue_length = 1_000 + base;
        site.publish(base, &document).await;
    }
    let reached = wait_for_version(&site, 0, 3, ADOPTION_TARGET).await;
    println!("in force on the other daemon after {reached:?}");
    expect_that!(reached, some(lt(ADOPTION_TARGET)));
    site.daemons[1].signal("-CONT");
    let reached = wait_for_version(&site, 1, 3, ADOPTION_TARGET).await;
    println!("in force on the daemon that was frozen after {reached:?}");
    expect_that!(reached, some(lt(ADOPTION_TARGET)));
}

async fn wait_for_version(
    site: &ProcessSite,
    daemon: usize,
    version: u64,
    limit: Duration,
) -> Option<Duration> {
    let start = Instant::now();
    while start.elapsed() < limit {
        if site.version_in_force(daemon).await == Some(version) {
            return Some(start.elapsed());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    None
}
