//! Sends small statements over many connections and prints throughput and
//! latency as one JSON line.
//!
//! ```sh
//! cargo run --release -p standin --example load -- \
//!     --address 127.0.0.1:5432 --database group-0 --connections 32 --seconds 10
//! ```

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use argh::FromArgs;
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use tokio_postgres::{Client, NoTls, Statement};

/// Longest latency that the histogram holds.
const LATENCY_MAX_US: u64 = 60_000_000;

/// Load on one PostgreSQL address.
#[derive(Clone, Debug, FromArgs)]
struct LoadArguments {
    /// address to connect to
    #[argh(option)]
    address: SocketAddr,
    /// database name, which is the group (default group-0)
    #[argh(option, default = "String::from(\"group-0\")")]
    database: String,
    /// user (default app)
    #[argh(option, default = "String::from(\"app\")")]
    user: String,
    /// password, if one is asked for
    #[argh(option, default = "String::new()")]
    password: String,
    /// connections, each with one statement at a time (default 8)
    #[argh(option, default = "8")]
    connections: u64,
    /// duration of the measurement in seconds (default 5)
    #[argh(option, default = "5")]
    seconds: u64,
    /// share of reads in percent (default 90)
    #[argh(option, default = "90")]
    read_percent: u32,
    /// rows of the table (default 1000)
    #[argh(option, default = "1000")]
    rows: i64,
}

#[derive(Debug, Serialize)]
struct LoadReport {
    statements: u64,
    errors: u64,
    statements_per_second: f64,
    p50_us: u64,
    p99_us: u64,
    max_us: u64,
}

#[derive(Debug)]
struct WorkerResult {
    latencies: Histogram<u64>,
    errors: u64,
}

#[tokio::main]
async fn main() -> Result<(), tokio_postgres::Error> {
    let arguments: LoadArguments = argh::from_env();
    let client = connect(&arguments).await?;
    prepare_table(&client, arguments.rows).await?;
    let start = Instant::now();
    let workers: Vec<_> = (0..arguments.connections)
        .map(|seed| tokio::spawn(run_worker(arguments.clone(), seed)))
        .collect();
    let mut total = WorkerResult::new();
    for worker in workers {
        let result = worker.await.expect("a worker does not panic")?;
        total
            .latencies
            .add(&result.latencies)
            .expect("histograms have equal bounds");
        total.errors += result.errors;
    }
    let report = total.report(start.elapsed());
    println!(
        "{}",
        serde_json::to_string(&report).expect("a report of numbers serialises")
    );
    Ok(())
}

impl WorkerResult {
    fn new() -> Self {
        let latencies =
            Histogram::new_with_bounds(1, LATENCY_MAX_US, 3).expect("the bounds are valid");
        Self {
            latencies,
            errors: 0,
        }
    }

    fn report(&self, elapsed: Duration) -> LoadReport {
        let statements = self.latencies.len();
        LoadReport {
            statements,
            errors: self.errors,
            statements_per_second: statements as f64 / elapsed.as_secs_f64(),
            p50_us: self.latencies.value_at_quantile(0.5),
            p99_us: self.latencies.value_at_quantile(0.99),
            max_us: self.latencies.max(),
        }
    }
}

async fn connect(arguments: &LoadArguments) -> Result<Client, tokio_postgres::Error> {
    let mut config = tokio_postgres::Config::new();
    config
        .host(arguments.address.ip().to_string())
        .port(arguments.address.port())
        .user(&arguments.user)
        .password(&arguments.password)
        .dbname(&arguments.database);
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

async fn prepare_table(client: &Client, rows: i64) -> Result<(), tokio_postgres::Error> {
    client
        .batch_execute("CREATE TABLE IF NOT EXISTS load_rows (id int8 PRIMARY KEY, hits int8)")
        .await?;
    let insert = client
        .prepare("INSERT INTO load_rows (id, hits) VALUES ($1, 0) ON CONFLICT DO NOTHING")
        .await?;
    for id in 0..rows {
        client.execute(&insert, &[&id]).await?;
    }
    Ok(())
}

async fn run_worker(
    arguments: LoadArguments,
    seed: u64,
) -> Result<WorkerResult, tokio_postgres::Error> {
    let client = connect(&arguments).await?;
    let read = client
        .prepare("SELECT hits FROM load_rows WHERE id = $1")
        .await?;
    let write = client
        .prepare("UPDATE load_rows SET hits = hits + 1 WHERE id = $1")
        .await?;
    let mut random = StdRng::seed_from_u64(seed);
    let mut result = WorkerResult::new();
    let deadline = Instant::now() + Duration::from_secs(arguments.seconds);
    while Instant::now() < deadline {
        let is_read = random.random_range(0..100) < arguments.read_percent;
        let statement = if is_read { &read } else { &write };
        let id = random.random_range(0..arguments.rows);
        let start = Instant::now();
        match run_statement(&client, statement, id).await {
            Ok(()) => result
                .latencies
                .saturating_record(start.elapsed().as_micros() as u64),
            Err(_) if !client.is_closed() => result.errors += 1,
            Err(error) => return Err(error),
        }
    }
    Ok(result)
}

async fn run_statement(
    client: &Client,
    statement: &Statement,
    id: i64,
) -> Result<(), tokio_postgres::Error> {
    client.query(statement, &[&id]).await.map(drop)
}
