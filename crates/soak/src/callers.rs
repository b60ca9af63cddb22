//! Callers that open sessions at the hosts while faults are injected.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use standin::managed::LineCaller;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::findings::{CallerRecord, WriteKey, WriteOutcome};
use crate::sessions::{CallerSession, Route};
use crate::texts::draw_text;

/// Longest wait for a connection or an answer. The statement timeout of the
/// routes is 1 s, and a paused host may delay an answer by some seconds.
pub(crate) const ANSWER_LIMIT: Duration = Duration::from_secs(8);
/// Pause of a caller after a failed connection attempt.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);

/// Data of a write.
#[derive(Clone, Debug)]
pub(crate) struct WriteData {
    pub(crate) number: u64,
    /// The data as it is sent. No other write has the same.
    pub(crate) text: String,
}

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

    /// Returns whether the run stops.
    pub(crate) fn is_stopped(&self) -> bool {
        *self.stop.borrow()
    }

    /// Returns a number that no other text of the run has.
    fn next_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Draws a text that no other caller sends.
    pub(crate) fn draw_value(&self, random: &mut StdRng) -> String {
        draw_text(random, self.next_number())
    }

    /// Draws and records the data of a write.
    pub(crate) fn draw_data(&self, random: &mut StdRng, item: usize) -> WriteData {
        let number = self.next_number();
        self.record_data(item, number, draw_text(random, number))
    }

    /// Draws and records the data of two writes with consecutive numbers.
    pub(crate) fn draw_pair(&self, random: &mut StdRng, item: usize) -> [WriteData; 2] {
        let first = self.next_number.fetch_add(2, Ordering::Relaxed);
        [first, first + 1].map(|number| self.record_data(item, number, draw_text(random, number)))
    }

    /// Records the data of a write that is a number only.
    fn plain_data(&self, item: usize) -> WriteData {
        let number = self.next_number();
        self.record_data(item, number, number.to_string())
    }

    fn record_data(&self, item: usize, number: u64, text: String) -> WriteData {
        let key = WriteKey { item, number };
        self.with_record(|record| record.keys.insert(text.clone(), key));
        WriteData { number, text }
    }

    /// Writes once through a host; returns whether the write was accepted.
    pub(crate) async fn write_once(&self, host: usize) -> bool {
        let Ok(caller) = LineCaller::connect(self.hosts[host], "current", ANSWER_LIMIT).await
        else {
            return false;
        };
        let mut session = CallerSession::new(self, caller, Route::Current);
        let data = self.plain_data(0);
        session.write(0, &data, None).await
            && self.with_record(|record| {
                let last = record.writes.last();
                last.is_some_and(|write| matches!(write.outcome, WriteOutcome::Accepted { .. }))
            })
    }

    /// Opens sessions at randomly chosen hosts until the run stops.
    pub(crate) async fn run_caller(self: Arc<Self>, seed: u64) {
        let mut random = StdRng::seed_from_u64(seed);
        while !self.is_stopped() {
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
