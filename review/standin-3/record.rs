//! What was sent, answered and run, with the milliseconds since the start.

use std::collections::HashSet;
use std::fs::File;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started: Instant,
    file: Mutex<File>,
    /// Ids of the statements that members ran.
    ids: Mutex<HashSet<String>>,
    numbers: AtomicU64,
}

impl Record {
    pub fn create(path: &str) -> Record {
        Record {
            started: Instant::now(),
            file: Mutex::new(File::create(path).expect("the record can be written")),
            ids: Mutex::default(),
            numbers: AtomicU64::new(0),
        }
    }

    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>7} ms  {text}\n", self.now_ms());
        self.file.lock().unwrap().write_all(line.as_bytes()).ok();
    }

    pub fn ran(&self, member: &str, caller: &str, id: &str, text: &str) {
        let shown: String = text.chars().take(60).collect();
        self.line(&format!("member {member} runs {id} of {caller}: {shown}"));
        self.ids.lock().unwrap().insert(id.to_owned());
    }

    /// Returns whether a member ran the statement with an id.
    pub fn has_run(&self, id: &str) -> bool {
        self.ids.lock().unwrap().contains(id)
    }

    pub fn next_number(&self) -> u64 {
        self.numbers.fetch_add(1, Ordering::Relaxed)
    }
}
