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
/// Longest wait for the queued lines when the process ends. It is shorter than the time
/// that the platform gives a process after SIGTERM, 6 s, and only a reader of the output
/// that has stopped makes the wait this long.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of lines that were dropped since the process started.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Returns how many log lines were dropped since the process started, because of
/// the rate limit, a full queue or a failed write.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// An entry of the queue.
#[derive(Debug)]
enum QueueEntry {
    /// An encoded line.
    Line(Vec<u8>),
    /// Asks for a message once all lines before it are written.
    Flush(SyncSender<()>),
}

/// Encodes log lines and queues them for the writing thread.
#[derive(Debug)]
pub(super) struct QueueAppender {
    encoder: JsonEncoder,
    lines: SyncSender<QueueEntry>,
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
        if self.lines.try_send(QueueEntry::Line(line.0)).is_err() {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {
        let (written, done) = sync_channel(1);
        if self.lines.try_send(QueueEntry::Flush(written)).is_ok() {
            // After the timeout the lines are lost with the process.
            let _written = done.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// Writes the queued lines until the process ends. All lines that wait are
/// written with one call where possible.
fn write_lines(queue: &Receiver<QueueEntry>) {
    let mut output = std::io::stdout();
    while let Ok(first) = queue.recv() {
        let mut lines = Vec::new();
        let mut flushed = Vec::new();
        for entry in std::iter::once(first).chain(queue.try_iter()) {
            match entry {
                QueueEntry::Line(line) => lines.extend_from_slice(&line),
                QueueEntry::Flush(written) => flushed.push(written),
            }
        }
        // The error cannot be logged, since this is the log's only output.
        let written = output.write_all(&lines).and_then(|()| output.flush());
        if written.is_err() {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        for written in flushed {
            // The process may have stopped waiting.
            let _sent = written.try_send(());
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
