//! A soak of planned work only: hosts that stop on request, settings that change, routes
//! that lead to another group, and replicas that lag. Members are slow and sessions many, so
//! that statements queue. Callers keep using a connection until the host closes it.
//!
//! Since nothing fails, every statement that a host has read must get an answer, and every
//! session on the route under test must see its own commits.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use standin::managed::{LineCaller, GROUP};
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::findings::{FindingKind, SoakFinding};
use crate::site::{SoakSite, HOSTS};
use crate::soak_run::{Result, SoakOptions};

/// Name of the second group.
const OTHER_GROUP: &str = "other-db";
/// Route that leads to either group.
const MOVING_ROUTE: &str = "own";
/// Route that always leads to the first group.
const FIXED_ROUTE: &str = "current";
/// Time within which a connection may end without an answer (`lostSlackMs` of the users).
const CUT_LIMIT: Duration = Duration::from_millis(200);
/// Longest wait for an answer: the longest statement timeout, and a grace period.
const ANSWER_LIMIT: Duration = Duration::from_secs(16);
/// Pause of a caller after a refusal or a failed connection attempt.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Interval between checks whether work is due or a process has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Statement timeouts of the routes, the shortest and the longest of the users' sheets and two
/// around the grace period.
const TIMEOUTS_MS: [u64; 4] = [1_000, 2_500, 5_000, 12_000];
/// Times that a member takes for a statement: from one that forms no queue to one that lets
/// statements wait for seconds.
const WORK_MS: [u64; 4] = [1, 20, 100, 300];

/// Planned work of the operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PlannedWork {
    /// A host receives SIGTERM, once or while it stops already, and is started again.
    Stop { host: usize },
    /// A host reloads its settings, also while it stops.
    Reload { host: usize },
    /// The moving route leads to the group with this number.
    Lead { group: usize },
    /// The replicas of a group receive nothing, or catch up.
    HoldReplicas { group: usize, hold: bool },
}

/// Draws work in series that overlap each other.
fn plan_work(random: &mut StdRng, end: Duration) -> Vec<(Duration, PlannedWork)> {
    let mut planned = Vec::new();
    let mut at = Duration::from_millis(500);
    while at < end {
        for _ in 0..random.random_range(1..5) {
            let host = random.random_range(0..HOSTS);
            let group = random.random_range(0..2);
            let work = match random.random_range(0..12) {
                0..=2 => PlannedWork::Stop { host },
                3 => PlannedWork::Reload { host },
                4..=8 => PlannedWork::Lead { group },
                9 | 10 => PlannedWork::HoldReplicas { group, hold: true },
                _ => PlannedWork::HoldReplicas { group, hold: false },
            };
            planned.push((at, work));
            at += Duration::from_millis(random.random_range(0..400));
        }
        at += Duration::from_millis(random.random_range(100..2_500));
    }
    planned.extend(plan_detours(random, end));
    planned.sort_by_key(|(at, _)| *at);
    planned
}

/// Draws detours of the moving route: it leads to the other group and back while the replicas
/// of the first group receive nothing.
fn plan_detours(random: &mut StdRng, end: Duration) -> Vec<(Duration, PlannedWork)> {
    let mut planned = Vec::new();
    let mut at = Duration::from_millis(random.random_range(500..1_500));
    while at < end {
        let steps = [
            PlannedWork::HoldReplicas {
                group: 0,
                hold: true,
            },
            PlannedWork::Lead { group: 1 },
            PlannedWork::Lead { group: 0 },
            PlannedWork::HoldReplicas {
                group: 0,
                hold: false,
            },
        ];
        for step in steps {
            planned.push((at, step));
            at += Duration::from_millis(random.random_range(100..500));
        }
        at += Duration::from_millis(random.random_range(0..1_000));
    }
    planned
}

/// How a statement ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
enum StatementEnd {
    Done {
        row: Option<String>,
    },
    Refused(String),
    /// The connection ended without a whole answer.
    Cut,
}

/// A statement of a session.
#[derive(Clone, Debug)]
struct SessionStatement {
    id: String,
    text: String,
    /// Whether the statement belongs to a transaction.
    in_transaction: bool,
    host: usize,
    took: Duration,
    end: StatementEnd,
}

/// The statements of one session, in order.
#[derive(Clone, Debug)]
struct SessionRecord {
    route: &'static str,
    statements: Vec<SessionStatement>,
}

/// State that the callers of a run share.
#[derive(Debug)]
struct PlannedCallers {
    hosts: Vec<SocketAddr>,
    sessions: Mutex<Vec<SessionRecord>>,
    next_number: AtomicU64,
}

impl PlannedCallers {
    /// Opens sessions at random hosts until the future is dropped.
    async fn run_caller(self: Arc<Self>, seed: u64) {
        let mut random = StdRng::seed_from_u64(seed);
        loop {
            let host = random.random_range(0..self.hosts.len());
            let route = [FIXED_ROUTE, MOVING_ROUTE][random.random_range(0..2)];
            match LineCaller::connect(self.hosts[host], route, ANSWER_LIMIT).await {
                Ok(caller) => self.run_session(&mut random, caller, (host, route)).await,
                Err(_) => sleep(RETRY_PAUSE).await,
            }
        }
    }

    /// Sends statements until the host closes the connection or the session has sent enough.
    async fn run_session(
        &self,
        random: &mut StdRng,
        mut caller: LineCaller,
        (host, route): (usize, &'static str),
    ) {
        // No other session writes the item.
        let item = format!("p{}", self.next_number());
        let index = {
            let mut sessions = self.lock();
            sessions.push(SessionRecord {
                route,
                statements: Vec::new(),
            });
            sessions.len() - 1
        };
        for _ in 0..random.random_range(1..80) {
            let texts = match random.random_range(0..10) {
                0 => vec!["BEGIN".to_owned(), self.write(&item), "COMMIT".to_owned()],
                1..=4 => vec![self.write(&item)],
                _ => vec![format!("READ {item}")],
            };
            let in_transaction = texts.len() > 1;
            for text in texts {
                let sent_at = Instant::now();
                let answer = caller.run(&text, ANSWER_LIMIT).await.unwrap_or_default();
                let end = end_of(&answer);
                self.lock()[index].statements.push(SessionStatement {
                    id: caller.last_id(),
                    text,
                    in_transaction,
                    host,
                    took: sent_at.elapsed(),
                    end: end.clone(),
                });
                match end {
                    StatementEnd::Done { .. } => {}
                    StatementEnd::Refused(_) => {
                        sleep(RETRY_PAUSE).await;
                        let is_idle = answer
                            .last()
                            .is_some_and(|line| line.starts_with("READY I"));
                        if !is_idle && caller.run("ROLLBACK", ANSWER_LIMIT).await.is_err() {
                            return;
                        }
                        break;
                    }
                    StatementEnd::Cut => return,
                }
            }
            let pause_ms = match random.random_range(0..20) {
                0 => random.random_range(0..500),
                _ => random.random_range(0..10),
            };
            sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    fn next_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    fn write(&self, item: &str) -> String {
        format!("WRITE {item} {}", self.next_number())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<SessionRecord>> {
        self.sessions.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn end_of(answer: &[String]) -> StatementEnd {
    if !answer.last().is_some_and(|line| line.starts_with("READY")) {
        return StatementEnd::Cut;
    }
    match answer.iter().find_map(|line| line.strip_prefix("ERROR ")) {
        Some(error) => StatementEnd::Refused(error.split(' ').next().unwrap_or("").to_owned()),
        None => StatementEnd::Done {
            row: answer[0].strip_prefix("ROW ").map(str::to_owned),
        },
    }
}

/// Findings and figures of a run.
#[derive(Clone, Debug, Default)]
pub struct PlannedReport {
    /// Promises that were not kept.
    pub findings: Vec<SoakFinding>,
    /// The work, in the order of its start.
    pub work: Vec<String>,
    /// Statements that succeeded.
    pub done: usize,
    /// Statements that were refused, by code.
    pub refused: BTreeMap<String, usize>,
    /// Stops that ended.
    pub stops: usize,
    /// Reads that were compared with an own commit of their session.
    pub checked_reads: usize,
}

impl PlannedReport {
    fn add(&mut self, kind: FindingKind, detail: String) {
        self.findings.push(SoakFinding { kind, detail });
    }

    /// Checks the statements of all sessions. `group_of` names the group whose members ran a
    /// statement.
    fn check(&mut self, sessions: &[SessionRecord], group_of: &HashMap<String, usize>) {
        for session in sessions {
            for one in &session.statements {
                match &one.end {
                    StatementEnd::Done { .. } => self.done += 1,
                    StatementEnd::Refused(code) => {
                        *self.refused.entry(code.clone()).or_default() += 1;
                    }
                    StatementEnd::Cut if one.took > CUT_LIMIT => {
                        let ran = group_of.contains_key(&one.id);
                        let host = one.host;
                        let detail = format!("host {host}: {one:?}, run by a member: {ran}");
                        self.add(FindingKind::CutStatement, detail);
                    }
                    StatementEnd::Cut => {}
                }
            }
            if session.route == MOVING_ROUTE {
                self.check_own_commits(session, group_of);
            }
        }
    }

    /// Checks that each read sees the session's last commit in the group that ran the read.
    fn check_own_commits(&mut self, session: &SessionRecord, group_of: &HashMap<String, usize>) {
        let mut committed: HashMap<usize, u64> = HashMap::new();
        let mut open: Option<(usize, u64)> = None;
        for one in &session.statements {
            let StatementEnd::Done { row } = &one.end else {
                open = None;
                continue;
            };
            let Some(&group) = group_of.get(&one.id) else {
                continue;
            };
            let mut words = one.text.split(' ');
            let word = words.next();
            match (word, words.next_back().and_then(|word| word.parse().ok())) {
                (Some("WRITE"), Some(number)) if one.in_transaction => open = Some((group, number)),
                (Some("WRITE"), Some(number)) => {
                    committed.insert(group, number);
                }
                (Some("COMMIT"), _) => committed.extend(open.take()),
                (Some("READ"), _) => {
                    let seen = row.as_deref().and_then(|row| row.parse().ok());
                    let own = committed.get(&group).copied().unwrap_or(0);
                    self.checked_reads += usize::from(own > 0);
                    if seen.unwrap_or(0) < own {
                        let detail = format!("{one:?} misses the session's own {own}");
                        self.add(FindingKind::StaleRead, detail);
                    }
                }
                _ => {}
            }
        }
    }
}

/// Runs the soak with one seed. Findings are part of the report; an error means that the run
/// itself failed.
pub async fn run_planned(options: &SoakOptions) -> Result<PlannedReport> {
    std::fs::create_dir_all(&options.folder)?;
    let mut random = StdRng::seed_from_u64(options.seed);
    let mut site = SoakSite::start(&options.program, &options.folder).await?;
    let timeout_ms = TIMEOUTS_MS[random.random_range(0..TIMEOUTS_MS.len())];
    let work_ms = WORK_MS[random.random_range(0..WORK_MS.len())];
    let slots = random.random_range(1..4);
    site.add_group(OTHER_GROUP).await?;
    let routes = |group: usize| {
        let moving = [GROUP, OTHER_GROUP][group];
        [(MOVING_ROUTE, moving), (FIXED_ROUTE, GROUP)]
    };
    let mut version = 2;
    site.configure(version, &routes(0), timeout_ms);
    let callers = Arc::new(PlannedCallers {
        hosts: site.caller_addresses(),
        sessions: Mutex::default(),
        next_number: AtomicU64::new(1),
    });
    let mut report = PlannedReport::default();
    report.work.push(format!(
        "statements time out after {timeout_ms} ms, members take {work_ms} ms, {slots} slots"
    ));
    await_service(&site.caller_addresses()).await?;
    site.set_work(Duration::from_millis(work_ms), slots);
    let mut running = JoinSet::new();
    for _ in 0..options.callers {
        running.spawn(callers.clone().run_caller(random.random()));
    }
    let mut planned = plan_work(&mut random, options.length)
        .into_iter()
        .peekable();
    let started_at = Instant::now();
    while planned.peek().is_some() || site.is_stopping() {
        let elapsed = started_at.elapsed();
        while let Some((_, work)) = planned.next_if(|(at, _)| *at <= elapsed) {
            report.work.push(format!("{elapsed:?} {work:?}"));
            match work {
                PlannedWork::Stop { host } => site.request_stop(host)?,
                PlannedWork::Reload { host } => site.request_reload(host)?,
                PlannedWork::Lead { group } => {
                    version += 1;
                    site.configure(version, &routes(group), timeout_ms);
                }
                PlannedWork::HoldReplicas { group, hold } => site.hold_replicas(group, hold),
            }
        }
        report.stops += site.restart_stopped()?;
        sleep(POLL_INTERVAL).await;
    }
    running.shutdown().await;
    site.stop_all().await?;
    let sessions = std::mem::take(&mut *callers.lock());
    report.check(&sessions, &site.groups_by_statement());
    for failure in site.exit_failures() {
        report.add(FindingKind::ProcessEnd, failure.clone());
    }
    if report.findings.is_empty() {
        std::fs::remove_dir_all(&options.folder)?;
    }
    Ok(report)
}

/// Waits until each host has served a write on both routes.
async fn await_service(hosts: &[SocketAddr]) -> Result<()> {
    let end = Instant::now() + ANSWER_LIMIT;
    for host in hosts {
        for route in [FIXED_ROUTE, MOVING_ROUTE] {
            while !has_written(*host, route).await {
                if Instant::now() > end {
                    return Err(std::io::Error::other("a host served no write in time"));
                }
                sleep(RETRY_PAUSE).await;
            }
        }
    }
    Ok(())
}

async fn has_written(host: SocketAddr, route: &str) -> bool {
    let Ok(mut caller) = LineCaller::connect(host, route, ANSWER_LIMIT).await else {
        return false;
    };
    let answer = caller.run("WRITE start 0", ANSWER_LIMIT).await;
    answer.is_ok_and(|answer| matches!(end_of(&answer), StatementEnd::Done { .. }))
}
