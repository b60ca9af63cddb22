//! What was sent, answered and run, with the milliseconds since the start.

use std::fs::File;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::Instant;

/// A statement that a member ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub at_ms: u64,
    pub member: String,
    pub caller: String,
    pub id: String,
}

pub struct Record {
    started: Instant,
    file: Mutex<File>,
    runs: Mutex<Vec<Run>>,
    numbers: AtomicU64,
}

impl Record {
    pub fn create(path: &str) -> Record {
        Record {
            started: Instant::now(),
            file: Mutex::new(File::create(path).expect("the record can be written")),
            runs: Mutex::default(),
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
        self.runs.lock().unwrap().push(Run {
            at_ms: self.now_ms(),
            member: member.to_owned(),
            caller: caller.to_owned(),
            id: id.to_owned(),
        });
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    pub fn next_number(&self) -> u64 {
        self.numbers.fetch_add(1, Ordering::Relaxed)
    }
}
