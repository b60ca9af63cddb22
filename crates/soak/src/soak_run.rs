//! One run of the soak.

use std::io;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::callers::CallerPool;
use crate::faults::{plan, FaultKind, PlannedFault};
use crate::findings::{FindingKind, SoakFinding};
use crate::site::{SoakSite, HOSTS};

/// The users' target for a change of primary; every host serves a write within
/// it after the last fault.
const RECOVERY_LIMIT: Duration = Duration::from_secs(8);
/// The users' limit for the memory of a host.
const MEMORY_LIMIT_KIB: u64 = 64 * 1_024;
/// Interval at which faults begin and end.
const FAULT_TICK: Duration = Duration::from_millis(20);

/// Result of a run.
pub type Result<T> = io::Result<T>;

/// What to run.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// The daemon's program.
    pub program: PathBuf,
    /// Folder for settings and logs; it is removed after a run without findings.
    pub folder: PathBuf,
    /// Seed of the faults and the callers.
    pub seed: u64,
    /// Time during which faults begin.
    pub length: Duration,
    /// Callers at the same time.
    pub callers: usize,
}

/// What a run showed.
#[derive(Clone, Debug, Default)]
pub struct SoakReport {
    /// Promises that were not kept.
    pub findings: Vec<SoakFinding>,
    /// Faults, as they began.
    pub faults: Vec<String>,
    /// Writes and those that were accepted.
    pub writes: (usize, usize),
    /// Reads that were answered.
    pub reads: usize,
    /// Orders to promote.
    pub promotions: usize,
    /// Longest time between two accepted writes.
    pub longest_gap: Duration,
    /// Longest time until a host served a write after the last fault.
    pub recovery: Duration,
    /// Peak memory of a process in KiB.
    pub peak_memory_kib: u64,
}

/// Returns the daemon's program of this build.
pub fn built_program() -> Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folders = own.ancestors().skip(1);
    let found = folders
        .map(|folder| folder.join("cassiad"))
        .find(|path| path.is_file());
    found.ok_or_else(|| io::Error::other("cassiad is not built; build the whole workspace"))
}

/// Plays a run.
pub async fn play(options: &SoakOptions) -> Result<SoakReport> {
    std::fs::create_dir_all(&options.folder)?;
    let mut random = StdRng::seed_from_u64(options.seed);
    let mut site = SoakSite::start(&options.program, &options.folder).await?;
    let (stop, stopped) = watch::channel(false);
    let pool = CallerPool::new(site.caller_addresses(), stopped);
    let mut report = SoakReport::default();
    await_service(&pool, &mut report).await;
    report.recovery = Duration::ZERO;
    let mut callers = JoinSet::new();
    for _ in 0..options.callers {
        callers.spawn(pool.clone().run_caller(random.random()));
    }
    let faults = plan(&mut random, options.length);
    inject(&mut site, &faults, &mut report).await?;
    await_service(&pool, &mut report).await;
    stop.send_replace(true);
    while callers.join_next().await.is_some() {}
    site.watch_processes()?;
    report.peak_memory_kib = site.peak_memory_kib()?;
    site.stop().await?;
    judge(&site, &pool, &mut report)?;
    if report.findings.is_empty() {
        std::fs::remove_dir_all(&options.folder)?;
    }
    Ok(report)
}

/// Begins and ends the faults in time.
async fn inject(
    site: &mut SoakSite,
    faults: &[PlannedFault],
    report: &mut SoakReport,
) -> Result<()> {
    let started = Instant::now();
    let mut waiting = faults.iter().peekable();
    let mut running: Vec<(Duration, FaultKind, Option<usize>)> = Vec::new();
    while waiting.peek().is_some() || !running.is_empty() {
        let elapsed = started.elapsed();
        while let Some(fault) = waiting.next_if(|fault| fault.at <= elapsed) {
            report.faults.push(format!(
                "{elapsed:?} {:?} for {:?}",
                fault.kind, fault.length
            ));
            let member = site.begin(fault.kind).await?;
            running.push((started.elapsed() + fault.length, fault.kind, member));
        }
        let (ended, rest): (Vec<_>, Vec<_>) = running
            .into_iter()
            .partition(|(until, ..)| *until <= elapsed);
        running = rest;
        for (_, kind, member) in ended {
            site.end(kind, member)?;
        }
        site.watch_processes()?;
        sleep(FAULT_TICK).await;
    }
    Ok(())
}

/// Waits until each host serves a write.
async fn await_service(pool: &CallerPool, report: &mut SoakReport) {
    let started = Instant::now();
    for host in 0..HOSTS {
        while !pool.write_once(host).await {
            if started.elapsed() > RECOVERY_LIMIT {
                let detail = format!("host {host} serves no write after {RECOVERY_LIMIT:?}");
                pool.with(|record| record.report(FindingKind::NotServing, detail));
                break;
            }
            sleep(FAULT_TICK).await;
        }
    }
    report.recovery = started.elapsed();
}

fn judge(site: &SoakSite, pool: &CallerPool, report: &mut SoakReport) -> Result<()> {
    let (log, rolled_back) = site.truth();
    let bad_lines = bad_log_lines(&site.logs())?;
    report.promotions = site.promotions();
    pool.with(|record| {
        record.judge(&log, &rolled_back);
        for end in site.bad_ends() {
            record.report(FindingKind::ProcessEnd, end.clone());
        }
        for line in bad_lines {
            record.report(FindingKind::BadLog, line);
        }
        if report.peak_memory_kib > MEMORY_LIMIT_KIB {
            let detail = format!("{} KiB", report.peak_memory_kib);
            record.report(FindingKind::TooMuchMemory, detail);
        }
        report.writes = (record.writes.len(), record.accepted());
        report.reads = record.reads.len();
        report.longest_gap = record.longest_gap();
        report.findings = std::mem::take(&mut record.findings);
    });
    Ok(())
}

/// Returns the first line of each log that is not JSON. A killed process may
/// leave half a line.
fn bad_log_lines(logs: &[PathBuf]) -> Result<Vec<String>> {
    let mut bad = Vec::new();
    for log in logs {
        bad.extend(first_bad_line(log)?);
    }
    Ok(bad)
}

fn first_bad_line(log: &Path) -> Result<Option<String>> {
    let text = std::fs::read_to_string(log)?;
    let is_bad = |line: &&str| serde_json::from_str::<serde_json::Value>(line).is_err();
    let found = text
        .lines()
        .find(|line| is_bad(line) && line.ends_with('}'));
    Ok(found.map(|line| format!("{}: {line}", log.display())))
}
