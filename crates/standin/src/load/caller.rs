//! A caller that reads and writes, and that moves its connection between the
//! entry hosts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use protocol::result_code::{ResultCode, RunOutcome};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until};
use tokio_postgres::Client;

use super::call::{self, CallFailure};
use super::checker::{WriteOutcome, WriteRecord};
use super::profile::SiteProfile;

/// Longest latency that the histograms hold, in microseconds.
const LATENCY_MAX_US: u64 = 60_000_000;
/// Longest time for which a caller tries to resolve an unknown outcome.
const RESOLVE_LIMIT: Duration = Duration::from_secs(15);
/// First pause between attempts to resolve an outcome. It doubles up to
/// [`RESOLVE_PAUSE_MAX`]. Without a pause, the attempts of all callers after an
/// overload prolong the overload.
const RESOLVE_PAUSE: Duration = Duration::from_millis(10);
const RESOLVE_PAUSE_MAX: Duration = Duration::from_secs(1);
/// Pause after a failed attempt to connect.
const RECONNECT_PAUSE: Duration = Duration::from_millis(10);
/// Percentage of the moves to another entry host that keep the session token.
const TOKEN_PERCENT: u32 = 80;
/// SQLSTATE of a write that a replica rejects.
const READ_ONLY: &str = "25006";
/// Class name under which the latencies of writes are reported.
pub const WRITE_CLASS: &str = "write";

/// The path on which callers reach the members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccessMode {
    /// Through the proxy, with read classes.
    Proxy,
    /// Baseline: through the proxy, each read as `SELECT ... FOR UPDATE`, which
    /// the proxy sends to the primary.
    PrimaryReads,
    /// Baseline: a direct connection to the primary, whose acknowledgement of a
    /// write counts as accepted.
    DirectPrimary,
}

impl AccessMode {
    /// Returns the name that reports give the mode.
    pub fn name(self) -> &'static str {
        match self {
            Self::Proxy => "proxy",
            Self::PrimaryReads => "baseline: all reads to the primary",
            Self::DirectPrimary => "baseline: direct to the primary",
        }
    }
}

/// When a caller sends its statements.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallPace {
    /// After each answer, a pause that is exponentially distributed with this
    /// mean.
    Think(Duration),
    /// Poisson arrivals with this mean interval, which do not depend on the
    /// answers.
    Arrivals(Duration),
}

/// The addresses that callers use, and their stop signal.
#[derive(Debug)]
pub struct CallTargets {
    /// Addresses of the entry hosts.
    pub entry_hosts: Vec<SocketAddr>,
    /// Address of the current primary of each group, for direct connections.
    pub primaries: Mutex<Vec<SocketAddr>>,
    /// Becomes true when the callers must end.
    pub stopped: watch::Sender<bool>,
}

/// Workload of a caller.
#[derive(Clone, Debug)]
pub struct CallerPlan {
    /// Number of the caller, which its rows carry.
    pub writer: i64,
    /// Index of its group.
    pub group: usize,
    /// Name of its group.
    pub database: String,
    /// Seed of the run.
    pub seed: u64,
    /// Site whose read classes the caller uses.
    pub profile: SiteProfile,
    /// Path to the members.
    pub mode: AccessMode,
    /// When the caller sends its statements.
    pub pace: CallPace,
    /// Writes per thousand statements.
    pub write_permille: u32,
    /// Mean number of statements between moves to another entry host.
    pub roam_every: u32,
    /// Deadline of each statement; `None` leaves the document's deadline.
    pub deadline: Option<Duration>,
}

/// Results of a caller.
#[derive(Debug)]
pub struct CallerLog {
    /// Index of its group.
    pub group: usize,
    /// Writes of the caller with their outcomes.
    pub writes: Vec<WriteRecord>,
    /// Instants at which writes were acknowledged.
    pub acknowledged: Vec<Instant>,
    /// Latencies in microseconds by class.
    pub latencies: BTreeMap<&'static str, Histogram<u64>>,
    /// Number of failures by result code or kind.
    pub failures: BTreeMap<String, u64>,
    /// Number of answered reads.
    pub reads: u64,
    /// Instants of the answers that met the deadline.
    pub in_time: Vec<Instant>,
    /// Number of reads that missed an accepted write of this caller.
    pub stale: u64,
}

/// A caller with its connection and results.
pub struct RoamingCaller {
    plan: CallerPlan,
    targets: Arc<CallTargets>,
    random: StdRng,
    client: Option<Client>,
    entry_host: usize,
    token: Option<String>,
    highest_accepted: i64,
    next_sequence: i64,
    next_arrival: Instant,
    log: CallerLog,
}

impl RoamingCaller {
    /// Creates a caller without a connection.
    pub fn new(plan: CallerPlan, targets: Arc<CallTargets>) -> Self {
        let seed = plan.seed.wrapping_mul(1_000_003) + plan.writer as u64;
        let mut random = StdRng::seed_from_u64(seed);
        let entry_host = random.random_range(0..targets.entry_hosts.len());
        let log = CallerLog {
            group: plan.group,
            writes: Vec::new(),
            acknowledged: Vec::new(),
            latencies: BTreeMap::new(),
            failures: BTreeMap::new(),
            reads: 0,
            in_time: Vec::new(),
            stale: 0,
        };
        Self {
            plan,
            targets,
            random,
            client: None,
            entry_host,
            token: None,
            highest_accepted: 0,
            next_sequence: 1,
            next_arrival: Instant::now(),
            log,
        }
    }

    /// Connects and sends statements until the stop signal.
    pub async fn run(mut self) -> CallerLog {
        while !self.has_ended() {
            self.wait_for_turn().await;
            if self.has_ended() {
                break;
            }
            if self.random.random_range(0..self.plan.roam_every) == 0 {
                self.roam().await;
            }
            if !self.ensure_connected().await {
                sleep(RECONNECT_PAUSE).await;
                continue;
            }
            if self.random.random_range(0..1_000) < self.plan.write_permille {
                self.write().await;
            } else {
                self.read().await;
            }
        }
        self.log
    }

    fn has_ended(&self) -> bool {
        *self.targets.stopped.borrow()
    }

    async fn wait_for_turn(&mut self) {
        let draw: f64 = self.random.random_range(f64::EPSILON..1.0);
        let until = match self.plan.pace {
            CallPace::Think(mean) => Instant::now() + mean.mul_f64(-draw.ln()),
            CallPace::Arrivals(mean) => self.next_arrival + mean.mul_f64(-draw.ln()),
        };
        self.next_arrival = until;
        let mut stopped = self.targets.stopped.subscribe();
        tokio::select! {
            () = sleep_until(until.into()) => {}
            _ = stopped.wait_for(|stopped| *stopped) => {}
        }
    }

    /// Moves to a random entry host, with the session token in
    /// [`TOKEN_PERCENT`] percent of the moves.
    async fn roam(&mut self) {
        if self.plan.mode == AccessMode::DirectPrimary {
            return;
        }
        let keeps_token = self.random.random_range(0..100) < TOKEN_PERCENT;
        self.token = None;
        if let (Some(client), true) = (&self.client, keeps_token) {
            let shown = call::query(client, "SHOW cassia.session_token").await;
            self.token = shown.ok().flatten().filter(|token| !token.is_empty());
        }
        self.switch_entry_host();
    }

    fn switch_entry_host(&mut self) {
        self.client = None;
        self.entry_host = self.random.random_range(0..self.targets.entry_hosts.len());
    }

    async fn ensure_connected(&mut self) -> bool {
        if self
            .client
            .as_ref()
            .is_some_and(|client| !client.is_closed())
        {
            return true;
        }
        self.connect(self.plan.deadline).await
    }

    async fn connect(&mut self, deadline: Option<Duration>) -> bool {
        let address = self.address();
        let mut options = Vec::new();
        if self.plan.mode != AccessMode::DirectPrimary {
            let token = self.token.take();
            options.extend(token.map(|token| format!("cassia.session_token={token}")));
            options
                .extend(deadline.map(|limit| format!("cassia.deadline_ms={}", limit.as_millis())));
        }
        match call::connect(address, &self.plan.database, &options).await {
            Ok(client) => {
                self.client = Some(client);
                true
            }
            Err(failure) => {
                self.count_failure(&format!("connect: {}", failure.label()));
                self.switch_entry_host();
                false
            }
        }
    }

    fn address(&self) -> SocketAddr {
        if self.plan.mode != AccessMode::DirectPrimary {
            return self.targets.entry_hosts[self.entry_host];
        }
        let primaries = self.targets.primaries.lock();
        primaries.unwrap_or_else(PoisonError::into_inner)[self.plan.group]
    }

    async fn read(&mut self) {
        let class = self.pick_read_class();
        let writer = self.plan.writer;
        let select = format!(
            "SELECT seq FROM load_writes WHERE writer = {writer} ORDER BY seq DESC LIMIT 1"
        );
        let sql = match self.plan.mode {
            AccessMode::Proxy => format!("/* cassia: class={class} */ {select}"),
            AccessMode::PrimaryReads => format!("{select} FOR UPDATE"),
            AccessMode::DirectPrimary => select,
        };
        let start = Instant::now();
        match self.query(&sql).await {
            Ok(found) => {
                let newest = found.and_then(|text| text.parse().ok()).unwrap_or(0);
                self.log.stale += u64::from(newest < self.highest_accepted);
                self.log.reads += 1;
                self.record_latency(class, start);
            }
            Err(failure) => self.record_failure(&failure),
        }
    }

    fn pick_read_class(&mut self) -> &'static str {
        let mut draw = self.random.random_range(0..100);
        let classes = self.plan.profile.read_shares();
        for class in classes {
            if draw < class.percent {
                return class.name;
            }
            draw -= class.percent;
        }
        classes[0].name
    }

    async fn write(&mut self) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let sql = self.insert_sql(sequence);
        let start = Instant::now();
        let outcome = match self.query(&sql).await {
            Ok(_) => WriteOutcome::Accepted,
            Err(failure) => {
                self.record_failure(&failure);
                self.determine_outcome(&failure, sequence).await
            }
        };
        if outcome == WriteOutcome::Accepted {
            self.highest_accepted = sequence;
            self.log.acknowledged.push(Instant::now());
            self.record_latency(WRITE_CLASS, start);
        }
        self.log.writes.push(WriteRecord {
            writer: self.plan.writer,
            sequence,
            outcome,
        });
    }

    fn insert_sql(&self, sequence: i64) -> String {
        let writer = self.plan.writer;
        let insert = format!("INSERT INTO load_writes VALUES ({writer}, {sequence})");
        if self.plan.mode == AccessMode::DirectPrimary {
            return insert;
        }
        let id = self.request_id(sequence);
        format!("/* cassia: request_id={id} */ {insert}")
    }

    fn request_id(&self, sequence: i64) -> String {
        format!("load-{}-{sequence}", self.plan.writer)
    }

    async fn determine_outcome(&mut self, failure: &CallFailure, sequence: i64) -> WriteOutcome {
        if self.plan.mode == AccessMode::DirectPrimary {
            return match failure {
                CallFailure::Server(state) if state == READ_ONLY => WriteOutcome::NotRun,
                _ => WriteOutcome::Unknown,
            };
        }
        match failure {
            CallFailure::Refused(code) if code.outcome() == RunOutcome::NotRun => {
                WriteOutcome::NotRun
            }
            _ => self.resolve_outcome(sequence).await,
        }
    }

    /// Resolves an unknown outcome: queries it at a random entry host, or
    /// repeats the write there with the same request id.
    async fn resolve_outcome(&mut self, sequence: i64) -> WriteOutcome {
        let limit = Instant::now() + RESOLVE_LIMIT;
        let mut pause = RESOLVE_PAUSE;
        while Instant::now() < limit {
            self.switch_entry_host();
            // Uses the document's deadline: the latency of this call is not
            // measured, as the write itself has already failed.
            if self.connect(None).await {
                let uses_query = self.random.random_range(0..2) == 0;
                let known = match uses_query {
                    true => self.query_outcome(sequence).await,
                    false => self.repeat_write(sequence).await,
                };
                if let Some(outcome) = known {
                    self.client = None;
                    return outcome;
                }
            }
            sleep(pause.mul_f64(self.random.random_range(0.5..1.0))).await;
            pause = (pause * 2).min(RESOLVE_PAUSE_MAX);
        }
        self.client = None;
        self.count_failure("unresolved");
        WriteOutcome::Unknown
    }

    async fn query_outcome(&mut self, sequence: i64) -> Option<WriteOutcome> {
        let id = self.request_id(sequence);
        let set = format!("SET cassia.request_id = '{id}'");
        self.query(&set).await.ok()?;
        let shown = self.query("SHOW cassia.outcome").await;
        // The request id stays set in the session, so the next write needs a
        // new session.
        self.client = None;
        match shown {
            Ok(Some(text)) if text.starts_with("committed") => Some(WriteOutcome::Accepted),
            Ok(Some(text)) if text == "not_run" => Some(WriteOutcome::NotRun),
            Ok(_) => None,
            Err(failure) => {
                self.count_failure(&format!("outcome: {}", failure.label()));
                None
            }
        }
    }

    /// Repeats a write with the same request id. A refusal of the repetition
    /// gives no outcome of the first attempt, unless the id is blocked.
    async fn repeat_write(&mut self, sequence: i64) -> Option<WriteOutcome> {
        let sql = self.insert_sql(sequence);
        match self.query(&sql).await {
            Ok(_) => Some(WriteOutcome::Accepted),
            Err(CallFailure::Refused(ResultCode::RequestBlocked)) => Some(WriteOutcome::NotRun),
            Err(failure) => {
                self.count_failure(&format!("repeat: {}", failure.label()));
                None
            }
        }
    }

    async fn query(&mut self, sql: &str) -> call::Result<Option<String>> {
        let Some(client) = &self.client else {
            return Err(CallFailure::Lost);
        };
        let answer = call::query(client, sql).await;
        if answer
            .as_ref()
            .is_err_and(|error| !error.keeps_connection())
        {
            self.client = None;
        }
        answer
    }

    fn record_failure(&mut self, failure: &CallFailure) {
        self.count_failure(&failure.label());
        let is_server_error = matches!(failure, CallFailure::Server(_));
        if is_server_error && self.plan.mode == AccessMode::DirectPrimary {
            self.client = None;
        }
    }

    fn count_failure(&mut self, label: &str) {
        *self.log.failures.entry(label.to_owned()).or_default() += 1;
    }

    fn record_latency(&mut self, class: &'static str, start: Instant) {
        let latency = start.elapsed();
        let is_in_time = self.plan.deadline.is_none_or(|limit| latency <= limit);
        if is_in_time {
            self.log.in_time.push(start + latency);
        }
        let histogram = self.log.latencies.entry(class).or_insert_with(histogram);
        histogram.saturating_record(latency.as_micros() as u64);
    }
}

/// Creates an empty latency histogram in microseconds.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LATENCY_MAX_US, 3).expect("the bounds are valid")
}
