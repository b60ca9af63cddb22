//! Cost of the proxy: latency, throughput, CPU time and memory, compared with
//! direct connections to the same backend server.
//!
//! The daemon runs in a separate process, so that `/proc` gives its CPU time and
//! memory.

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

/// Number of caller connections of each point.
const CONNECTIONS: [usize; 3] = [1, 100, 2_000];
/// Connections that a member accepts. The direct side of a point uses fewer,
/// because the daemon holds connections too.
const CONNECTION_LIMIT: usize = 600;
/// Largest number of direct connections.
const DIRECT_MAX: usize = 300;
/// Slots of a member: more than the processor can use.
const SLOTS: usize = 64;
/// Connections that are opened concurrently.
const CONCURRENT_OPENS: usize = 64;
/// Idle connections of the memory measurement.
const IDLE_CONNECTIONS: usize = 2_000;
/// Length limit of the queue of each customer and class. With the default of
/// 1,000, some statements of 2,000 connections are refused.
const QUEUE_LENGTH: u64 = 4_000;
/// Number of rows in the table.
const ROWS: i64 = 1_000;
/// Time before a memory reading, in which the memory use settles.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// Group and member that serve the reads.
const GROUP: usize = 0;
const REPLICA: MemberAddress = MemberAddress {
    group: GROUP,
    member: 1,
};
const READ_SQL: &str = "SELECT hits FROM load_rows WHERE id = $1";

/// Parameters of the measurement.
#[derive(Clone, Debug)]
pub struct CostSpec {
    /// Path of the daemon program.
    pub cassiad: PathBuf,
    /// Duration of each point and side.
    pub duration: Duration,
    /// Seed of the clients' random row ids.
    pub seed: u64,
}

/// Figures of one side of a point.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct SideFigures {
    /// Number of connections.
    pub connections: usize,
    /// Statements per second.
    pub per_second: f64,
    /// Median latency in microseconds.
    pub p50_us: u64,
    /// 99th percentile of the latency in microseconds.
    pub p99_us: u64,
    /// Number of failed statements.
    pub failures: u64,
}

/// Figures of one number of connections, direct and through the daemon.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct CostPoint {
    /// Direct connections to a replica.
    pub direct: SideFigures,
    /// Connections through the daemon.
    pub proxy: SideFigures,
    /// CPU time of the daemon per statement in microseconds.
    pub cpu_us_per_statement: f64,
}

/// Memory of idle connections.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct MemoryFigures {
    /// Number of idle connections.
    pub connections: usize,
    /// Resident KiB of the daemon without caller connections.
    pub base_kib: u64,
    /// KiB per connection that has not run a statement.
    pub fresh_kib: f64,
    /// KiB per connection that has prepared and run a statement.
    pub used_kib: f64,
}

/// All cost figures.
#[derive(Clone, Debug, Serialize)]
pub struct CostReport {
    /// Load average of the machine at the start and the end.
    pub load_average: [String; 2],
    /// Memory of idle connections.
    pub memory: MemoryFigures,
    /// Latency, throughput and CPU time by number of connections.
    pub points: Vec<CostPoint>,
}

impl CostSpec {
    /// Starts the testbed and takes all measurements.
    pub async fn run(&self) -> Result<CostReport> {
        let load_before = load_average();
        let testbed = CostTestbed::start(self).await?;
        let memory = testbed.measure_memory().await?;
        let mut points = Vec::new();
        for connections in CONNECTIONS {
            points.push(testbed.measure_point(self, connections).await?);
        }
        Ok(CostReport {
            load_average: [load_before, load_average()],
            memory,
            points,
        })
    }
}

/// A cluster behind one daemon process.
#[derive(Debug)]
struct CostTestbed {
    cluster: Cluster,
    daemon: DaemonProcess,
    database: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CostSide {
    Direct,
    Proxy,
}

impl CostTestbed {
    async fn start(spec: &CostSpec) -> Result<Self> {
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
        let daemon = DaemonProcess::start(&spec.cassiad, &cluster, peer)?;
        let testbed = Self {
            cluster,
            daemon,
            database: Cluster::group_name(GROUP),
        };
        testbed.create_table().await?;
        Ok(testbed)
    }

    async fn create_table(&self) -> Result<()> {
        let client = self.connect_first().await?;
        let mut sql = "CREATE TABLE load_rows (id int8 PRIMARY KEY, hits int8);".to_owned();
        for id in 0..ROWS {
            sql.push_str(&format!("INSERT INTO load_rows VALUES ({id}, 0);"));
        }
        client.batch_execute(&sql).await?;
        Ok(())
    }

    async fn connect_first(&self) -> Result<Client> {
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

    async fn open_connections(&self, side: CostSide, connections: usize) -> Result<Vec<Client>> {
        let mut clients = Vec::with_capacity(connections);
        while clients.len() < connections {
            let count = CONCURRENT_OPENS.min(connections - clients.len());
            let opening = (0..count).map(|_| self.connect(side));
            clients.extend(futures::future::try_join_all(opening).await?);
        }
        Ok(clients)
    }

    async fn measure_memory(&self) -> Result<MemoryFigures> {
        // Makes the daemon create its connection pools before the base reading.
        drop(
            self.open_connections(CostSide::Proxy, CONCURRENT_OPENS)
                .await?,
        );
        sleep(SETTLE_TIME).await;
        let base_kib = self.daemon.resident_kib()?;
        let clients = self
            .open_connections(CostSide::Proxy, IDLE_CONNECTIONS)
            .await?;
        sleep(SETTLE_TIME).await;
        let fresh = self.daemon.resident_kib()?;
        for client in &clients {
            client.query(READ_SQL, &[&1_i64]).await?;
        }
        sleep(SETTLE_TIME).await;
        let used = self.daemon.resident_kib()?;
        let per_connection = |kib: u64| kib.saturating_sub(base_kib) as f64 / clients.len() as f64;
        Ok(MemoryFigures {
            connections: clients.len(),
            base_kib,
            fresh_kib: per_connection(fresh),
            used_kib: per_connection(used),
        })
    }

    async fn measure_point(&self, spec: &CostSpec, connections: usize) -> Result<CostPoint> {
        let direct_connections = connections.min(DIRECT_MAX);
        let clients = self
            .open_connections(CostSide::Direct, direct_connections)
            .await?;
        let direct = run_clients(clients, spec).await;
        let clients = self.open_connections(CostSide::Proxy, connections).await?;
        let cpu_before = self.daemon.cpu_time()?;
        let proxy = run_clients(clients, spec).await;
        let cpu = self.daemon.cpu_time()? - cpu_before;
        let statements = proxy.per_second * spec.duration.as_secs_f64();
        Ok(CostPoint {
            direct,
            proxy,
            cpu_us_per_statement: cpu.as_secs_f64() * 1e6 / statements,
        })
    }
}

async fn run_clients(clients: Vec<Client>, spec: &CostSpec) -> SideFigures {
    let connections = clients.len();
    let end = Instant::now() + spec.duration;
    let mut running = JoinSet::new();
    for (index, client) in clients.into_iter().enumerate() {
        running.spawn(run_client(client, spec.seed + index as u64, end));
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
        per_second: latencies.len() as f64 / spec.duration.as_secs_f64(),
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
