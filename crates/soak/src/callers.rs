//! Callers that send statements to the hosts while faults are injected.

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

/// Longest wait for a connection or an answer. The statement timeout of the
/// routes is 1 s, and a paused host may delay an answer by some seconds.
const ANSWER_LIMIT: Duration = Duration::from_secs(8);
/// Maximal staleness that the routes of the stand-in allow for reads of
/// replicas.
const MAX_STALENESS: Duration = Duration::from_millis(1_500);
/// Pause of a caller after a failed connection attempt.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);
/// Number of items that callers write and read.
const ITEMS: usize = 6;

/// State that all callers of a run share.
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

    /// Runs `access` on the record of writes and reads.
    pub(crate) fn with_record<R>(&self, access: impl FnOnce(&mut CallerRecord) -> R) -> R {
        access(&mut self.record.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Writes once through a host; returns whether the write was accepted.
    pub(crate) async fn write_once(&self, host: usize) -> bool {
        let Ok(caller) = LineCaller::connect(self.hosts[host], "current", ANSWER_LIMIT).await
        else {
            return false;
        };
        let mut session = CallerSession::new(self, caller, Route::Current);
        session.write(0).await
            && self.with_record(|record| {
                let last = record.writes.last();
                last.is_some_and(|write| matches!(write.outcome, WriteOutcome::Accepted { .. }))
            })
    }

    /// Opens sessions at randomly chosen hosts until the run stops.
    pub(crate) async fn run_caller(self: Arc<Self>, seed: u64) {
        let mut random = StdRng::seed_from_u64(seed);
        while !*self.stop.borrow() {
            let host = self.hosts[random.random_range(0..self.hosts.len())];
            let route = match random.random_range(0..4) {
                0 | 1 => Route::Current,
                2 => Route::Bounded,
                _ => Route::Own,
            };
            match LineCaller::connect(host, route.database(), ANSWER_LIMIT).await {
                Ok(caller) => {
                    let statements = random.random_range(1..60);
                    let mut session = CallerSession::new(&self, caller, route);
                    session.run(&mut random, statements).await;
                }
                // Faults take hosts down, so a failed connection is no finding.
                Err(_) => sleep(RECONNECT_PAUSE).await,
            }
        }
    }
}

/// Route of a session, which determines what its reads must see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Route {
    /// All writes that were accepted before the read started.
    Current,
    /// All writes that were accepted [`MAX_STALENESS`] before the read started.
    Bounded,
    /// As for `Bounded`, and the accepted writes of the same session.
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

/// A connection of a caller and the writes that it made.
struct CallerSession<'a> {
    pool: &'a CallerPool,
    caller: LineCaller,
    route: Route,
    /// Highest number in an accepted write of this session, by item.
    own_writes: [Option<u64>; ITEMS],
}

impl<'a> CallerSession<'a> {
    fn new(pool: &'a CallerPool, caller: LineCaller, route: Route) -> Self {
        Self {
            pool,
            caller,
            route,
            own_writes: [None; ITEMS],
        }
    }

    /// Runs `statements` reads, writes and transactions. Stops early if the
    /// connection fails or the run stops.
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

    /// Sends a statement and returns the lines of its answer, or `None` if the
    /// answer is missing or incomplete.
    async fn exchange(&mut self, text: &str) -> Option<Vec<String>> {
        let answer = self.caller.run(text, ANSWER_LIMIT).await.ok()?;
        answer.last()?.starts_with("READY").then_some(answer)
    }

    fn write_outcome(&self, answer: Option<&[String]>) -> WriteOutcome {
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
            let detail = format!("answer {line:?}, expected {expected:?}");
            self.pool
                .with_record(|record| record.add_finding(FindingKind::BadSignature, detail));
        }
    }

    fn record_write(
        &mut self,
        item: usize,
        number: u64,
        outcome: WriteOutcome,
        first_of_pair: bool,
    ) {
        if matches!(outcome, WriteOutcome::Accepted { .. }) {
            self.own_writes[item] = self.own_writes[item].max(Some(number));
        }
        let write = WriteRecord {
            item,
            number,
            outcome,
            is_first_of_pair: first_of_pair,
        };
        self.pool.with_record(|record| record.writes.push(write));
    }

    /// Writes an item; returns whether the session is still usable.
    async fn write(&mut self, item: usize) -> bool {
        let number = self.pool.next_number.fetch_add(1, Ordering::Relaxed);
        let answer = self.exchange(&format!("WRITE i{item} {number}")).await;
        let outcome = self.write_outcome(answer.as_deref());
        self.record_write(item, number, outcome, false);
        answer.is_some()
    }

    /// Writes an item twice in one transaction; returns whether the session is
    /// still usable.
    async fn write_pair(&mut self, item: usize) -> bool {
        let number = self.pool.next_number.fetch_add(2, Ordering::Relaxed);
        let texts = [
            "BEGIN".to_owned(),
            format!("WRITE i{item} {number}"),
            format!("WRITE i{item} {}", number + 1),
        ];
        for text in texts {
            let answer = self.exchange(&text).await;
            let is_open = answer.as_ref().is_some_and(|lines| {
                let last = lines.last().map_or("", String::as_str);
                last.starts_with("READY T")
            });
            if !is_open {
                // A transaction without COMMIT must leave no effect.
                self.record_write(item, number, WriteOutcome::Refused, true);
                self.record_write(item, number + 1, WriteOutcome::Refused, false);
                return answer.is_some() && self.exchange("ROLLBACK").await.is_some();
            }
        }
        let answer = self.exchange("COMMIT").await;
        let outcome = self.write_outcome(answer.as_deref());
        self.record_write(item, number, outcome, true);
        self.record_write(item, number + 1, outcome, false);
        answer.is_some()
    }

    /// Reads an item; returns whether the session is still usable.
    async fn read(&mut self, item: usize) -> bool {
        let started_at = Instant::now();
        let answer = self.exchange(&format!("READ i{item}")).await;
        let Some(lines) = answer else {
            return false;
        };
        if let [row, complete, ..] = lines.as_slice() {
            if let Some(data) = row.strip_prefix("ROW ") {
                self.check_signature(complete);
                self.record_read(item, started_at, data);
            }
        }
        true
    }

    fn record_read(&self, item: usize, started_at: Instant, data: &str) {
        let must_see_before = match self.route {
            Route::Current => Some(started_at),
            Route::Bounded | Route::Own => started_at.checked_sub(MAX_STALENESS),
        };
        let read = ReadRecord {
            item,
            must_see_before: must_see_before.unwrap_or(started_at),
            own_write: self.own_writes[item].filter(|_| self.route == Route::Own),
            seen: data.parse().unwrap_or(0),
        };
        self.pool.with_record(|record| record.reads.push(read));
    }
}
