//! Callers that use the hosts while faults happen.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use standin::managed::{LineCaller, NOT_APPLIED_CODES};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::findings::{CallerRecord, FindingKind, ReadRecord, WriteOutcome, WriteRecord};

/// Longest wait for an answer: the routes' statement timeout is 1 s, and a
/// paused host may hold one back for some seconds.
const PATIENCE: Duration = Duration::from_secs(8);
/// Staleness that the stand-in's bounded routes tolerate.
const STALENESS: Duration = Duration::from_millis(1_500);
/// Pause of a caller whose connection failed.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);
/// Items that callers write and read.
const ITEMS: usize = 6;

/// What all callers share.
#[derive(Debug)]
pub(crate) struct CallerPool {
    hosts: Vec<SocketAddr>,
    record: Mutex<CallerRecord>,
    next_number: AtomicU64,
    stop: watch::Receiver<bool>,
}

impl CallerPool {
    pub(crate) fn new(hosts: Vec<SocketAddr>, stop: watch::Receiver<bool>) -> Arc<Self> {
        Arc::new(Self {
            hosts,
            record: Mutex::default(),
            next_number: AtomicU64::new(1),
            stop,
        })
    }

    /// Runs `look` on what callers saw.
    pub(crate) fn with<R>(&self, look: impl FnOnce(&mut CallerRecord) -> R) -> R {
        look(&mut self.record.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Writes once through a host; tells whether the write was accepted.
    pub(crate) async fn write_once(&self, host: usize) -> bool {
        let Ok(caller) = LineCaller::connect(self.hosts[host], "current", PATIENCE).await else {
            return false;
        };
        let mut session = CallerSession::new(self, caller, Route::Current);
        session.write(0).await
            && self.with(|record| {
                let last = record.writes.last();
                last.is_some_and(|write| matches!(write.outcome, WriteOutcome::Accepted { .. }))
            })
    }

    /// Uses the hosts until the run stops.
    pub(crate) async fn run_caller(self: Arc<Self>, seed: u64) {
        let mut random = StdRng::seed_from_u64(seed);
        while !*self.stop.borrow() {
            let host = self.hosts[random.random_range(0..self.hosts.len())];
            let route = match random.random_range(0..4) {
                0 | 1 => Route::Current,
                2 => Route::Bounded,
                _ => Route::Own,
            };
            match LineCaller::connect(host, route.database(), PATIENCE).await {
                Ok(caller) => {
                    let statements = random.random_range(1..60);
                    let mut session = CallerSession::new(&self, caller, route);
                    session.run(&mut random, statements).await;
                }
                // Hosts that are down are part of the run.
                Err(_) => sleep(RECONNECT_PAUSE).await,
            }
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Route {
    Current,
    Bounded,
    Own,
}

impl Route {
    const fn database(self) -> &'static str {
        match self {
            Self::Current => "current",
            Self::Bounded => "bounded",
            Self::Own => "own",
        }
    }
}

struct CallerSession<'a> {
    pool: &'a CallerPool,
    caller: LineCaller,
    route: Route,
    /// Highest number that this session wrote, by item.
    own: [Option<u64>; ITEMS],
}

impl<'a> CallerSession<'a> {
    fn new(pool: &'a CallerPool, caller: LineCaller, route: Route) -> Self {
        Self {
            pool,
            caller,
            route,
            own: [None; ITEMS],
        }
    }

    /// Works until the connection fails or the statements are used up.
    async fn run(&mut self, random: &mut StdRng, statements: u32) {
        for _ in 0..statements {
            if *self.pool.stop.borrow() {
                return;
            }
            let item = random.random_range(0..ITEMS);
            let is_usable = match random.random_range(0..10) {
                _ if self.route == Route::Bounded => self.read(item).await,
                0..=3 => self.write(item).await,
                4 => self.write_pair(item).await,
                _ => self.read(item).await,
            };
            if !is_usable {
                return;
            }
            sleep(Duration::from_millis(random.random_range(0..20))).await;
        }
    }

    /// Sends a statement and returns the lines of its answer.
    async fn ask(&mut self, text: &str) -> Option<Vec<String>> {
        let answer = self.caller.run(text, PATIENCE).await.ok()?;
        answer.last()?.starts_with("READY").then_some(answer)
    }

    fn outcome_of(&self, answer: Option<&[String]>) -> WriteOutcome {
        let Some(line) = answer.and_then(<[String]>::first) else {
            return WriteOutcome::Unknown;
        };
        if line.starts_with("COMPLETE") {
            self.check_signature(line);
            return WriteOutcome::Accepted { at: Instant::now() };
        }
        let code = line.split(' ').nth(1).unwrap_or("");
        match NOT_APPLIED_CODES.contains(&code) {
            true => WriteOutcome::Refused,
            false => WriteOutcome::Unknown,
        }
    }

    fn check_signature(&self, line: &str) {
        let expected = format!("COMPLETE mac-{}", self.caller.last_id());
        if line != expected {
            let detail = format!("{line:?} in place of {expected:?}");
            self.pool
                .with(|record| record.report(FindingKind::BadSignature, detail));
        }
    }

    fn note_write(&mut self, item: usize, number: u64, outcome: WriteOutcome, pair: bool) {
        if matches!(outcome, WriteOutcome::Accepted { .. }) {
            self.own[item] = self.own[item].max(Some(number));
        }
        let write = WriteRecord {
            item,
            number,
            outcome,
            is_first_of_pair: pair,
        };
        self.pool.with(|record| record.writes.push(write));
    }

    /// Writes an item; returns whether the session can go on.
    async fn write(&mut self, item: usize) -> bool {
        let number = self.pool.next_number.fetch_add(1, Ordering::Relaxed);
        let answer = self.ask(&format!("WRITE i{item} {number}")).await;
        let outcome = self.outcome_of(answer.as_deref());
        self.note_write(item, number, outcome, false);
        answer.is_some()
    }

    /// Writes an item twice in one transaction.
    async fn write_pair(&mut self, item: usize) -> bool {
        let number = self.pool.next_number.fetch_add(2, Ordering::Relaxed);
        let texts = [
            "BEGIN".to_owned(),
            format!("WRITE i{item} {number}"),
            format!("WRITE i{item} {}", number + 1),
        ];
        for text in texts {
            let answer = self.ask(&text).await;
            let is_open = answer.as_ref().is_some_and(|lines| {
                let last = lines.last().map_or("", String::as_str);
                last.starts_with("READY T")
            });
            if !is_open {
                // Nothing is kept of a transaction without COMMIT.
                self.note_write(item, number, WriteOutcome::Refused, true);
                self.note_write(item, number + 1, WriteOutcome::Refused, false);
                return answer.is_some() && self.ask("ROLLBACK").await.is_some();
            }
        }
        let answer = self.ask("COMMIT").await;
        let outcome = self.outcome_of(answer.as_deref());
        self.note_write(item, number, outcome, true);
        self.note_write(item, number + 1, outcome, false);
        answer.is_some()
    }

    /// Reads an item; returns whether the session can go on.
    async fn read(&mut self, item: usize) -> bool {
        let began_at = Instant::now();
        let answer = self.ask(&format!("READ i{item}")).await;
        let Some(lines) = answer else {
            return false;
        };
        if let [row, complete, ..] = lines.as_slice() {
            if let Some(data) = row.strip_prefix("ROW ") {
                self.check_signature(complete);
                self.note_read(item, began_at, data);
            }
        }
        true
    }

    fn note_read(&self, item: usize, began_at: Instant, data: &str) {
        let covers = match self.route {
            Route::Current => Some(began_at),
            Route::Bounded | Route::Own => began_at.checked_sub(STALENESS),
        };
        let read = ReadRecord {
            item,
            covers: covers.unwrap_or(began_at),
            own: self.own[item].filter(|_| self.route == Route::Own),
            seen: data.parse().unwrap_or(0),
        };
        self.pool.with(|record| record.reads.push(read));
    }
}
