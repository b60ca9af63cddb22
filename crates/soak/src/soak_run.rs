//! Runs the soak once: starts the site, injects the faults and checks the
//! promises.

use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::callers::CallerPool;
use crate::faults::{plan_faults, FaultKind, PlannedFault};
use crate::findings::{FindingKind, SoakFinding};
use crate::site::{SoakSite, HOSTS};

/// The users' target for a change of primary. After the last fault, every host
/// must serve a write within this time.
const RECOVERY_LIMIT: Duration = Duration::from_secs(8);
/// The users' limit for the memory of a host, in KiB.
const MEMORY_LIMIT_KIB: u64 = 64 * 1_024;
/// Interval between checks whether a fault begins or ends or a process has
/// ended, and between attempts to write through a host.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Result of a run.
pub type Result<T> = io::Result<T>;

/// Options of a run.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Executable of the daemon.
    pub program: PathBuf,
    /// Folder for settings and logs; it is removed after a run without findings.
    pub folder: PathBuf,
    /// Seed of the random faults and statements.
    pub seed: u64,
    /// Period in which faults begin.
    pub length: Duration,
    /// Number of concurrent callers.
    pub callers: usize,
}

/// Findings and figures of a run.
#[derive(Clone, Debug, Default)]
pub struct SoakReport {
    /// Promises that were not kept; of each kind the first ones only.
    pub findings: Vec<SoakFinding>,
    /// Number of all findings, by kind.
    pub finding_counts: BTreeMap<FindingKind, usize>,
    /// Descriptions of the faults, in the order of their start.
    pub faults: Vec<String>,
    /// Number of all writes and of accepted writes.
    pub writes: (usize, usize),
    /// Number of answered reads.
    pub reads: usize,
    /// Number of the callers' statements that members ran.
    pub members_ran: usize,
    /// Number of promotions.
    pub promotions: usize,
    /// Longest time between two accepted writes.
    pub longest_gap: Duration,
    /// Time from the end of the last fault until every host had served a write.
    pub recovery: Duration,
    /// Highest peak memory of the processes in KiB.
    pub peak_memory_kib: u64,
}

/// Finds the daemon's executable in the target folder of the current
/// executable.
pub fn built_program() -> Result<PathBuf> {
    let executable = std::env::current_exe()?;
    let folders = executable.ancestors().skip(1);
    let found = folders
        .map(|folder| folder.join("cassiad"))
        .find(|path| path.is_file());
    found.ok_or_else(|| io::Error::other("cassiad is not built; build the whole workspace"))
}

/// Runs the soak with one seed. Findings are part of the report; an error means
/// that the run itself failed.
pub async fn run_soak(options: &SoakOptions) -> Result<SoakReport> {
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
    let faults = plan_faults(&mut random, options.length);
    inject_faults(&mut site, &faults, &mut report).await?;
    await_service(&pool, &mut report).await;
    stop.send_replace(true);
    while callers.join_next().await.is_some() {}
    site.restart_ended_processes()?;
    report.peak_memory_kib = site.peak_memory_kib()?;
    site.stop_all().await?;
    check_run(&site, &pool, &mut report)?;
    if report.findings.is_empty() {
        std::fs::remove_dir_all(&options.folder)?;
    }
    Ok(report)
}

/// Begins and ends the faults as scheduled.
async fn inject_faults(
    site: &mut SoakSite,
    faults: &[PlannedFault],
    report: &mut SoakReport,
) -> Result<()> {
    let started_at = Instant::now();
    let mut scheduled = faults.iter().peekable();
    let mut running: Vec<(Duration, FaultKind, Option<usize>)> = Vec::new();
    while scheduled.peek().is_some() || !running.is_empty() {
        let elapsed = started_at.elapsed();
        while let Some(fault) = scheduled.next_if(|fault| fault.at <= elapsed) {
            report.faults.push(format!(
                "{elapsed:?} {:?} for {:?}",
                fault.kind, fault.length
            ));
            let member = site.begin_fault(fault.kind).await?;
            running.push((started_at.elapsed() + fault.length, fault.kind, member));
        }
        let (ended, rest): (Vec<_>, Vec<_>) = running
            .into_iter()
            .partition(|(until, ..)| *until <= elapsed);
        running = rest;
        for (_, kind, member) in ended {
            site.end_fault(kind, member)?;
        }
        site.restart_ended_processes()?;
        sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

/// Waits until every host has served a write. A host that does not within
/// [`RECOVERY_LIMIT`] becomes a finding.
async fn await_service(pool: &CallerPool, report: &mut SoakReport) {
    let started_at = Instant::now();
    for host in 0..HOSTS {
        while !pool.write_once(host).await {
            if started_at.elapsed() > RECOVERY_LIMIT {
                let detail = format!("host {host} served no write within {RECOVERY_LIMIT:?}");
                pool.with_record(|record| record.add_finding(FindingKind::NotServing, detail));
                break;
            }
            sleep(POLL_INTERVAL).await;
        }
    }
    report.recovery = started_at.elapsed();
}

/// Checks what callers observed, the ends of the processes, their logs and their
/// memory, and completes the report.
fn check_run(site: &SoakSite, pool: &CallerPool, report: &mut SoakReport) -> Result<()> {
    let evidence = site.evidence();
    let invalid_lines = invalid_log_lines(&site.logs())?;
    report.promotions = site.promotions();
    pool.with_record(|record| {
        record.check(&evidence);
        for failure in site.exit_failures() {
            record.add_finding(FindingKind::ProcessEnd, failure.clone());
        }
        for line in invalid_lines {
            record.add_finding(FindingKind::BadLog, line);
        }
        if report.peak_memory_kib > MEMORY_LIMIT_KIB {
            let detail = format!("peak memory of {} KiB", report.peak_memory_kib);
            record.add_finding(FindingKind::TooMuchMemory, detail);
        }
        report.writes = (record.writes.len(), record.accepted_count());
        report.reads = record.reads.len();
        report.members_ran = evidence.ran.len();
        report.longest_gap = record.longest_gap();
        report.findings = std::mem::take(&mut record.findings);
        report.finding_counts = std::mem::take(&mut record.finding_counts);
    });
    Ok(())
}

/// Returns the first line of each log that is not JSON. Lines without a closing
/// brace are skipped, because a killed process may leave half a line.
fn invalid_log_lines(logs: &[PathBuf]) -> Result<Vec<String>> {
    let mut invalid = Vec::new();
    for log in logs {
        invalid.extend(first_invalid_line(log)?);
    }
    Ok(invalid)
}

fn first_invalid_line(log: &Path) -> Result<Option<String>> {
    let text = std::fs::read_to_string(log)?;
    let is_invalid = |line: &&str| serde_json::from_str::<serde_json::Value>(line).is_err();
    let found = text
        .lines()
        .find(|line| is_invalid(line) && line.ends_with('}'));
    Ok(found.map(|line| format!("{}: {line}", log.display())))
}
