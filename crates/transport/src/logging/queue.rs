//! A bounded queue in front of standard output.

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

/// Lines that wait for the writer. At 400 bytes a line the queue takes 1.6 MB.
const QUEUE_LINES: usize = 4_096;
/// Lines of level info and below per second. A host of half a core serves about
/// 200 statements a second, with up to two lines each.
const LINES_PER_S: u32 = 600;

/// Lines that were dropped since the process started.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Returns how many lines were dropped to bound the volume.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Encodes lines and hands them to a writing thread.
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
            DROPPED.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let mut line = SimpleWriter(Vec::with_capacity(512));
        self.encoder.encode(&mut line, record)?;
        if self.lines.try_send(line.0).is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {}
}

/// Writes what waits with one call where possible, until the process ends.
fn write_lines(queue: &Receiver<Vec<u8>>) {
    let mut output = std::io::stdout();
    while let Ok(mut lines) = queue.recv() {
        while let Ok(line) = queue.try_recv() {
            lines.extend_from_slice(&line);
        }
        // Without a reader there is nowhere to report the error to.
        let written = output.write_all(&lines).and_then(|()| output.flush());
        if written.is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Limits the lines of each second.
#[derive(Debug)]
struct LineBudget {
    second: Instant,
    left: u32,
}

impl LineBudget {
    fn new(now: Instant) -> Self {
        Self {
            second: now,
            left: LINES_PER_S,
        }
    }

    fn take(&mut self, now: Instant) -> bool {
        if now.saturating_duration_since(self.second) >= Duration::from_secs(1) {
            *self = Self::new(now);
        }
        if self.left == 0 {
            return false;
        }
        self.left -= 1;
        true
    }
}
