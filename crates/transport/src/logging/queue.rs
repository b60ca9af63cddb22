//! A bounded queue of log lines between the threads that log and standard output.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use log::{Level, Record};
use log4rs::append::Append;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::writer::simple::SimpleWriter;
use log4rs::encode::Encode;

/// Largest number of queued lines. At 400 bytes a line a full queue takes
/// 1.6 MB.
const QUEUE_LINES: usize = 4_096;
/// Largest number of lines of level info and below per second. A host with half
/// a core serves about 200 statements a second, each with up to two lines.
const LINES_PER_S: u32 = 600;

/// Number of lines that were dropped since the process started.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Returns how many log lines were dropped since the process started, because of
/// the rate limit, a full queue or a failed write.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Encodes log lines and queues them for the writing thread.
#[derive(Debug)]
pub(super) struct QueueAppender {
    encoder: JsonEncoder,
    lines: SyncSender<Vec<u8>>,
    budget: Mutex<LineBudget>,
}

impl QueueAppender {
    /// Starts the writing thread.
    pub(super) fn start() -> Self {
        let (lines, queue) = sync_channel(QUEUE_LINES);
        std::thread::spawn(move || write_lines(&queue));
        Self {
            encoder: JsonEncoder::new(),
            lines,
            budget: Mutex::new(LineBudget::new(Instant::now())),
        }
    }

    /// Returns whether the rate limit allows the line. Warnings and errors are
    /// always allowed.
    fn admits(&self, record: &Record<'_>) -> bool {
        if record.level() <= Level::Warn {
            return true;
        }
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget.take(Instant::now())
    }
}

impl Append for QueueAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        if !self.admits(record) {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let mut line = SimpleWriter(Vec::with_capacity(512));
        self.encoder.encode(&mut line, record)?;
        if self.lines.try_send(line.0).is_err() {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {}
}

/// Writes the queued lines until the process ends. All lines that wait are
/// written with one call where possible.
fn write_lines(queue: &Receiver<Vec<u8>>) {
    let mut output = std::io::stdout();
    while let Ok(mut lines) = queue.recv() {
        while let Ok(line) = queue.try_recv() {
            lines.extend_from_slice(&line);
        }
        // The error cannot be logged, since this is the log's only output.
        let written = output.write_all(&lines).and_then(|()| output.flush());
        if written.is_err() {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Limits the number of lines in each second.
#[derive(Debug)]
struct LineBudget {
    second_start: Instant,
    remaining: u32,
}

impl LineBudget {
    fn new(now: Instant) -> Self {
        Self {
            second_start: now,
            remaining: LINES_PER_S,
        }
    }

    fn take(&mut self, now: Instant) -> bool {
        if now.saturating_duration_since(self.second_start) >= Duration::from_secs(1) {
            *self = Self::new(now);
        }
        if self.remaining == 0 {
            return false;
        }
        self.remaining -= 1;
        true
    }
}
