//! The cost of the daemon in between: latency, throughput, CPU time and memory
//! against direct connections to the same backend server.
//!
//! The daemon runs as a process of its own, so that `/proc` shows its share.

mod process;

use std::path::PathBuf;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio_postgres::Client;

use super::call;
use super::caller::histogram;
use super::report::load_average;
use crate::backend::BackendSettings;
use crate::cluster::{Cluster, ClusterSettings, MemberAddress};
use crate::site::{self, Result, SiteError};

use process::DaemonProcess;

/// Caller connections of the points.
const CONNECTIONS: [usize; 3] = [1, 100, 2_000];
/// Connections that a member accepts. A direct point uses fewer than the limit,
/// because the daemon holds connections too.
const CONNECTION_LIMIT: usize = 600;
/// Most direct connections.
const DIRECT_MAX: usize = 300;
/// Slots of a member; more than the processor needs.
const SLOTS: usize = 64;
/// Connections that are opened at the same time.
const OPENING: usize = 64;
/// Idle connections for the memory figure.
const IDLE_CONNECTIONS: usize = 2_000;
/// Queued statements per customer and class. With the default of 1,000, part of
/// the statements of 2,000 connections is refused.
const QUEUE_LENGTH: u64 = 4_000;
/// Rows of the table.
const ROWS: i64 = 1_000;
/// Time for memory to settle.
const SETTLE: Duration = Duration::from_millis(500);
/// Group and member that serve the reads.
const GROUP: usize = 0;
const REPLICA: MemberAddress = MemberAddress {
    group: GROUP,
    member: 1,
};
const READ_SQL: &str = "SELECT hits FROM load_rows WHERE id = $1";

/// What to measure.
#[derive(Clone, Debug)]
pub struct CostOrder {
    /// Program of the daemon.
    pub cassiad: PathBuf,
    /// Duration of each point and side.
    pub duration: Duration,
    /// Seed.
    pub seed: u64,
}

/// One side of a point.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct SideFigures {
    /// Connections.
    pub connections: usize,
    /// Statements a second.
    pub per_second: f64,
    /// Median in microseconds.
    pub p50_us: u64,
    /// 99th percentile in microseconds.
    pub p99_us: u64,
    /// Failed statements.
    pub failures: u64,
}

/// The same load on both sides.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct CostPoint {
    /// Directly to a replica.
    pub direct: SideFigures,
    /// Through the daemon.
    pub proxy: SideFigures,
    /// CPU time of the daemon per statement in microseconds.
    pub cpu_us_per_statement: f64,
}

/// Memory of idle connections.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct MemoryFigures {
    /// Idle connections.
    pub connections: usize,
    /// Resident KiB without connections.
    pub base_kib: u64,
    /// KiB per connection that has not run a statement.
    pub fresh_kib: f64,
    /// KiB per connection that has prepared and run one.
    pub used_kib: f64,
}

/// All cost figures.
#[derive(Clone, Debug, Serialize)]
pub struct CostReport {
    /// Load average of the machine at the start and the end.
    pub load_average: [String; 2],
    /// Memory.
    pub memory: MemoryFigures,
    /// Latency, throughput and CPU time.
    pub points: Vec<CostPoint>,
}

impl CostOrder {
    /// Measures everything.
    pub async fn run(&self) -> Result<CostReport> {
        let load_before = load_average();
        let bed = CostBed::start(self).await?;
        let memory = bed.measure_memory().await?;
        let mut points = Vec::new();
        for connections in CONNECTIONS {
            points.push(bed.measure_point(self, connections).await?);
        }
        Ok(CostReport {
            load_average: [load_before, load_average()],
            memory,
            points,
        })
    }
}

/// A cluster with one daemon process.
#[derive(Debug)]
struct CostBed {
    cluster: Cluster,
    daemon: DaemonProcess,
    database: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CostSide {
    Direct,
    Proxy,
}

impl CostBed {
    async fn start(order: &CostOrder) -> Result<Self> {
        let peer = process::free_address()?;
        let cluster = Cluster::start(ClusterSettings {
            member: BackendSettings {
                slots: SLOTS,
                connection_limit: CONNECTION_LIMIT,
                ..BackendSettings::default()
            },
            entry_hosts: vec![peer],
            ..ClusterSettings::default()
        })
        .await?;
        let mut document = cluster.document();
        document.limits.queue_length = QUEUE_LENGTH;
        site::publish(&cluster, &document).await?;
        let daemon = DaemonProcess::start(&order.cassiad, &cluster, peer)?;
        let bed = Self {
            cluster,
            daemon,
            database: Cluster::group_name(GROUP),
        };
        bed.create_table().await?;
        Ok(bed)
    }

    async fn create_table(&self) -> Result<()> {
        let client = self.first_connection().await?;
        let mut sql = "CREATE TABLE load_rows (id int8 PRIMARY KEY, hits int8);".to_owned();
        for id in 0..ROWS {
            sql.push_str(&format!("INSERT INTO load_rows VALUES ({id}, 0);"));
        }
        client.batch_execute(&sql).await?;
        Ok(())
    }

    async fn first_connection(&self) -> Result<Client> {
        let limit = Instant::now() + Duration::from_secs(10);
        loop {
            match self.connect(CostSide::Proxy).await {
                Ok(client) => return Ok(client),
                Err(error) if Instant::now() >= limit => return Err(error),
                Err(_) => sleep(Duration::from_millis(50)).await,
            }
        }
    }

    async fn connect(&self, side: CostSide) -> Result<Client> {
        let (address, options) = match side {
            CostSide::Direct => (self.cluster.statement_address(REPLICA), Vec::new()),
            CostSide::Proxy => {
                let class = "cassia.read_class=browse".to_owned();
                (self.daemon.caller_address(), vec![class])
            }
        };
        let connected = call::connect(address, &self.database, &options).await;
        connected.map_err(|failure| SiteError::Check(format!("connect: {}", failure.label())))
    }

    async fn open(&self, side: CostSide, connections: usize) -> Result<Vec<Client>> {
        let mut clients = Vec::with_capacity(connections);
        while clients.len() < connections {
            let count = OPENING.min(connections - clients.len());
            let opening = (0..count).map(|_| self.connect(side));
            clients.extend(futures::future::try_join_all(opening).await?);
        }
        Ok(clients)
    }

    async fn measure_memory(&self) -> Result<MemoryFigures> {
        // The first connections make the daemon build its pools.
        drop(self.open(CostSide::Proxy, OPENING).await?);
        sleep(SETTLE).await;
        let base_kib = self.daemon.resident_kib()?;
        let clients = self.open(CostSide::Proxy, IDLE_CONNECTIONS).await?;
        sleep(SETTLE).await;
        let fresh = self.daemon.resident_kib()?;
        for client in &clients {
            client.query(READ_SQL, &[&1_i64]).await?;
        }
        sleep(SETTLE).await;
        let used = self.daemon.resident_kib()?;
        let per_connection = |kib: u64| kib.saturating_sub(base_kib) as f64 / clients.len() as f64;
        Ok(MemoryFigures {
            connections: clients.len(),
            base_kib,
            fresh_kib: per_connection(fresh),
            used_kib: per_connection(used),
        })
    }

    async fn measure_point(&self, order: &CostOrder, connections: usize) -> Result<CostPoint> {
        let direct_connections = connections.min(DIRECT_MAX);
        let clients = self.open(CostSide::Direct, direct_connections).await?;
        let direct = run_clients(clients, order).await;
        let clients = self.open(CostSide::Proxy, connections).await?;
        let cpu_before = self.daemon.cpu_time()?;
        let proxy = run_clients(clients, order).await;
        let cpu = self.daemon.cpu_time()? - cpu_before;
        let statements = proxy.per_second * order.duration.as_secs_f64();
        Ok(CostPoint {
            direct,
            proxy,
            cpu_us_per_statement: cpu.as_secs_f64() * 1e6 / statements,
        })
    }
}

async fn run_clients(clients: Vec<Client>, order: &CostOrder) -> SideFigures {
    let connections = clients.len();
    let end = Instant::now() + order.duration;
    let mut running = JoinSet::new();
    for (index, client) in clients.into_iter().enumerate() {
        running.spawn(run_client(client, order.seed + index as u64, end));
    }
    let mut latencies = histogram();
    let mut failures = 0;
    while let Some(ended) = running.join_next().await {
        let (found, failed) = ended.expect("a caller does not panic");
        latencies.add(&found).expect("histograms have equal bounds");
        failures += failed;
    }
    SideFigures {
        connections,
        per_second: latencies.len() as f64 / order.duration.as_secs_f64(),
        p50_us: latencies.value_at_quantile(0.5),
        p99_us: latencies.value_at_quantile(0.99),
        failures,
    }
}

async fn run_client(client: Client, seed: u64, end: Instant) -> (Histogram<u64>, u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut latencies = histogram();
    let mut failures = 0;
    let Ok(read) = client.prepare(READ_SQL).await else {
        return (latencies, 1);
    };
    while Instant::now() < end {
        let id = random.random_range(0..ROWS);
        let start = Instant::now();
        match client.query(&read, &[&id]).await {
            Ok(_) => latencies.saturating_record(start.elapsed().as_micros() as u64),
            Err(_) => failures += 1,
        }
        if client.is_closed() {
            break;
        }
    }
    (latencies, failures)
}

impl CostReport {
    /// Returns the figures as a Markdown table.
    pub fn table(&self) -> String {
        let mut text = "| connections direct/proxy | p50 us direct/proxy | added p50 us | \
p99 us direct/proxy | statements/s direct/proxy | throughput ratio | daemon CPU us/statement | \
statements/s per core | failures direct/proxy |\n|---|---|---|---|---|---|---|---|---|\n"
            .to_owned();
        for point in &self.points {
            text.push_str(&point.table_row());
        }
        let memory = &self.memory;
        text.push_str(&format!(
            "\nMemory of {} idle caller connections: {:.1} KiB each before their first statement, \
             {:.1} KiB after it (base {} KiB). Load average {}.\n",
            memory.connections,
            memory.fresh_kib,
            memory.used_kib,
            memory.base_kib,
            self.load_average.join(" to ")
        ));
        text
    }
}

impl CostPoint {
    fn table_row(&self) -> String {
        let (direct, proxy) = (&self.direct, &self.proxy);
        format!(
            "| {}/{} | {}/{} | {} | {}/{} | {:.0}/{:.0} | {:.2} | {:.1} | {:.0} | {}/{} |\n",
            direct.connections,
            proxy.connections,
            direct.p50_us,
            proxy.p50_us,
            proxy.p50_us as i64 - direct.p50_us as i64,
            direct.p99_us,
            proxy.p99_us,
            direct.per_second,
            proxy.per_second,
            proxy.per_second / direct.per_second,
            self.cpu_us_per_statement,
            1e6 / self.cpu_us_per_statement,
            direct.failures,
            proxy.failures,
        )
    }
}
