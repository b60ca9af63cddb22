//! Runs a scenario and collects the results of its callers.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::caller::{histogram, AccessMode, CallPace, CallerLog, CallerPlan, RoamingCaller};
use super::checker::{CheckCounts, WriteRecord};
use super::faults::{heal, inject, LoadScenario, WriteFault};
use super::profile::{SiteProfile, GROUPS};
use super::report::{load_average, GapFigures, GoodputFigures, LatencyFigures, RunReport};
use super::testbed::{LoadTestbed, ReadCounts};
use crate::cluster::Cluster;
use crate::site::Result;

/// Smallest number of kills in the failover scenario.
const KILLS: usize = 21;
/// Smallest number of kills in the baseline with direct connections.
const BASELINE_KILLS: usize = 6;
/// Number of callers of each group.
const CALLERS_PER_GROUP: usize = 16;
/// Number of callers of each group with direct connections. The daemons hold
/// connections too, and the connection limit of a member is 20 at Fernwake.
const DIRECT_CALLERS_PER_GROUP: usize = 8;
/// Mean pause of a caller between statements.
const THINK_TIME: Duration = Duration::from_millis(50);
/// Time that a statement holds its slot, except under overload.
const SERVICE_TIME: Duration = Duration::from_millis(1);
/// Time that a statement holds its slot under overload: long enough that the
/// slots are the bottleneck and not the processor.
const OVERLOAD_SERVICE_TIME: Duration = Duration::from_millis(40);
/// Deadline of statements under overload.
const OVERLOAD_DEADLINE: Duration = Duration::from_millis(800);
/// Number of callers of each group under overload. Even at five times the
/// capacity, the mean interval between a caller's arrivals exceeds the deadline.
const OVERLOAD_CALLERS_PER_GROUP: usize = 800;
/// Writes per thousand statements under overload. The stand-in runs one write
/// transaction of a group at a time, so with more writes its lock would be the
/// bottleneck and not the slots.
const OVERLOAD_WRITE_PERMILLE: u32 = 20;
/// Loads of the stages that determine the peak goodput, as multiples of the
/// capacity.
const PEAK_STAGES: [f64; 2] = [0.8, 1.1];
/// Time at the start of a stage that is not measured, in which the queues fill.
const STAGE_WARM_UP: Duration = Duration::from_millis(1_000);
/// Time before the callers start, in which the members send their first reports.
const WARM_UP: Duration = Duration::from_millis(500);

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct RunSpec {
    /// Profile of the site.
    pub site: SiteProfile,
    /// Scenario with its faults.
    pub scenario: LoadScenario,
    /// Path on which callers reach the members.
    pub mode: AccessMode,
    /// Duration of the run, or of each stage under overload.
    pub duration: Duration,
    /// Seed of the callers and the faults.
    pub seed: u64,
}

/// Results of all callers of a run; the outer vectors are indexed by group.
#[derive(Debug, Default)]
struct RunLog {
    writes: Vec<Vec<WriteRecord>>,
    stale: Vec<u64>,
    acknowledged: Vec<Vec<Instant>>,
    latencies: BTreeMap<&'static str, Histogram<u64>>,
    failures: BTreeMap<String, u64>,
    reads: u64,
    in_time: Vec<Instant>,
}

impl RunSpec {
    /// Returns the run through the proxy and the baselines of its scenario.
    pub fn with_baselines(self) -> Vec<Self> {
        let mut modes = vec![AccessMode::Proxy];
        match self.scenario {
            LoadScenario::Steady | LoadScenario::LagSecond | LoadScenario::LagHalfMinute => {
                modes.push(AccessMode::PrimaryReads);
            }
            LoadScenario::Failover => modes.push(AccessMode::DirectPrimary),
            _ => {}
        }
        let spec = |mode| Self { mode, ..self };
        modes.into_iter().map(spec).collect()
    }

    /// Starts a site, runs the scenario on it and returns the report.
    pub async fn run(&self) -> Result<RunReport> {
        if let Some(factor) = self.scenario.overload() {
            return self.run_overload(factor).await;
        }
        let load_before = load_average();
        let mut testbed = LoadTestbed::start(self.site, SERVICE_TIME).await?;
        sleep(WARM_UP).await;
        let reads_before = testbed.reads();
        let callers = self.callers_per_group();
        let pace = CallPace::Think(THINK_TIME);
        let start = Instant::now();
        let running = self.spawn(&testbed, callers, pace, 0);
        let kills = match self.mode {
            AccessMode::DirectPrimary => BASELINE_KILLS,
            _ => KILLS,
        };
        let faults = inject(&mut testbed, self.scenario, self.duration, kills, self.seed).await?;
        testbed.stop_callers();
        let elapsed = start.elapsed();
        let log = RunLog::collect(running).await;
        let share = replica_read_share(reads_before, testbed.reads());
        heal(&mut testbed).await?;
        let check = log.check(&testbed).await?;
        let load = [load_before, load_average()];
        let mut report = self.report(&log, elapsed, callers * GROUPS, load, check);
        report.replica_share = share.filter(|_| self.mode == AccessMode::Proxy);
        report.gap = log.gaps(&faults);
        Ok(report)
    }

    /// Runs the peak stages and the overload stage, and compares their goodput.
    async fn run_overload(&self, factor: f64) -> Result<RunReport> {
        let load_before = load_average();
        let mut testbed = LoadTestbed::start(self.site, OVERLOAD_SERVICE_TIME).await?;
        sleep(WARM_UP).await;
        let replicas = (LoadTestbed::members().count() - GROUPS) * self.site.slots();
        let capacity = replicas as f64 / OVERLOAD_SERVICE_TIME.as_secs_f64();
        let mut peak: f64 = 0.0;
        let mut total = RunLog::new();
        let callers = OVERLOAD_CALLERS_PER_GROUP;
        let start = Instant::now();
        let reads_before = testbed.reads();
        let mut goodput = 0.0;
        let factors = PEAK_STAGES.into_iter().chain([factor]);
        for (stage, factor) in factors.enumerate() {
            let interval = (callers * GROUPS) as f64 / (capacity * factor);
            let pace = CallPace::Arrivals(Duration::from_secs_f64(interval));
            testbed.restart_callers();
            let running = self.spawn(&testbed, callers, pace, stage * callers * GROUPS);
            sleep(STAGE_WARM_UP).await;
            let measured = Instant::now();
            sleep(self.duration).await;
            testbed.stop_callers();
            let window = (measured, Instant::now());
            let log = RunLog::collect(running).await;
            goodput = log.in_time_between(window) as f64 / (window.1 - window.0).as_secs_f64();
            peak = peak.max(goodput);
            total.merge(log);
        }
        let elapsed = start.elapsed();
        let share = replica_read_share(reads_before, testbed.reads());
        heal(&mut testbed).await?;
        let check = total.check(&testbed).await?;
        let load = [load_before, load_average()];
        let mut report = self.report(&total, elapsed, callers * GROUPS, load, check);
        report.replica_share = share;
        report.goodput = Some(GoodputFigures {
            offered: capacity * factor,
            overload: goodput,
            peak,
        });
        Ok(report)
    }
}

impl RunSpec {
    fn callers_per_group(&self) -> usize {
        match self.mode {
            AccessMode::DirectPrimary => DIRECT_CALLERS_PER_GROUP,
            _ => CALLERS_PER_GROUP,
        }
    }

    fn spawn(
        &self,
        testbed: &LoadTestbed,
        callers_per_group: usize,
        pace: CallPace,
        first_writer: usize,
    ) -> JoinSet<CallerLog> {
        let mut running = JoinSet::new();
        let is_overload = self.scenario.overload().is_some();
        for index in 0..callers_per_group * GROUPS {
            let group = index % GROUPS;
            let plan = CallerPlan {
                writer: (first_writer + index) as i64,
                group,
                database: Cluster::group_name(group),
                seed: self.seed,
                profile: self.site,
                mode: self.mode,
                pace,
                write_permille: self.write_permille(),
                roam_every: if is_overload { 1_000 } else { 20 },
                deadline: is_overload.then_some(OVERLOAD_DEADLINE),
            };
            running.spawn(RoamingCaller::new(plan, testbed.targets.clone()).run());
        }
        running
    }

    /// Returns the writes per thousand statements. Scenarios that measure the
    /// failover gap write more often, so that the pause between two writes is
    /// short without a fault.
    fn write_permille(&self) -> u32 {
        match self.scenario {
            LoadScenario::OverloadDouble | LoadScenario::OverloadFivefold => {
                OVERLOAD_WRITE_PERMILLE
            }
            LoadScenario::Failover | LoadScenario::Freeze | LoadScenario::Cut => 300,
            _ => 100,
        }
    }

    fn report(
        &self,
        log: &RunLog,
        elapsed: Duration,
        callers: usize,
        load_average: [String; 2],
        check: CheckCounts,
    ) -> RunReport {
        let latencies = log.latencies.iter();
        RunReport {
            site: self.site.name(),
            scenario: self.scenario.name(),
            access: self.mode.name(),
            seed: self.seed,
            seconds: elapsed.as_secs_f64(),
            callers,
            load_average,
            accepted_per_second: (log.reads + check.accepted) as f64 / elapsed.as_secs_f64(),
            replica_share: None,
            latencies: latencies
                .map(|(class, histogram)| (*class, LatencyFigures::from_histogram(histogram)))
                .collect(),
            failures: log.failures.clone(),
            gap: None,
            goodput: None,
            check,
        }
    }
}

impl RunLog {
    fn new() -> Self {
        Self {
            writes: vec![Vec::new(); GROUPS],
            stale: vec![0; GROUPS],
            acknowledged: vec![Vec::new(); GROUPS],
            ..Self::default()
        }
    }

    async fn collect(mut running: JoinSet<CallerLog>) -> Self {
        let mut log = Self::new();
        while let Some(ended) = running.join_next().await {
            log.add(ended.expect("a caller does not panic"));
        }
        log
    }

    fn add(&mut self, caller: CallerLog) {
        let group = caller.group;
        self.writes[group].extend(caller.writes);
        self.stale[group] += caller.stale;
        self.acknowledged[group].extend(caller.acknowledged);
        self.reads += caller.reads;
        self.in_time.extend(caller.in_time);
        for (class, found) in caller.latencies {
            self.add_latencies(class, &found);
        }
        for (kind, count) in caller.failures {
            *self.failures.entry(kind).or_default() += count;
        }
    }

    fn merge(&mut self, other: Self) {
        for group in 0..GROUPS {
            self.writes[group].extend(&other.writes[group]);
            self.stale[group] += other.stale[group];
            self.acknowledged[group].extend(&other.acknowledged[group]);
        }
        self.reads += other.reads;
        for (class, found) in &other.latencies {
            self.add_latencies(class, found);
        }
        for (kind, count) in other.failures {
            *self.failures.entry(kind).or_default() += count;
        }
    }

    fn add_latencies(&mut self, class: &'static str, found: &Histogram<u64>) {
        let total = self.latencies.entry(class).or_insert_with(histogram);
        total.add(found).expect("histograms have equal bounds");
    }

    fn in_time_between(&self, window: (Instant, Instant)) -> usize {
        let inside = |at: &&Instant| (window.0..window.1).contains(*at);
        self.in_time.iter().filter(inside).count()
    }

    fn gaps(&self, faults: &[WriteFault]) -> Option<GapFigures> {
        let mut sorted = self.acknowledged.clone();
        for instants in &mut sorted {
            instants.sort_unstable();
        }
        GapFigures::measure(faults, &sorted)
    }

    async fn check(&self, testbed: &LoadTestbed) -> Result<CheckCounts> {
        let mut counts = CheckCounts::default();
        for group in 0..GROUPS {
            let stored = testbed.stored(group).await?;
            let found = CheckCounts::compare(&self.writes[group], &stored, self.stale[group]);
            counts.merge(&found);
        }
        Ok(counts)
    }
}

fn replica_read_share(before: ReadCounts, after: ReadCounts) -> Option<f64> {
    let replica = after.replica - before.replica;
    let total = replica + after.primary - before.primary;
    (total > 0).then(|| replica as f64 / total as f64)
}
