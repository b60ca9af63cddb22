//! What callers saw, and which of it breaks a promise.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::time::{Duration, Instant};

/// A promise that was not kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SoakFinding {
    /// Which promise.
    pub kind: FindingKind,
    /// What was seen.
    pub detail: String,
}

impl fmt::Display for SoakFinding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?}: {}", self.kind, self.detail)
    }
}

/// A promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FindingKind {
    /// An accepted write is kept, unless a promotion rolled it back.
    LostWrite,
    /// A write takes effect once.
    DoubledWrite,
    /// A write that was refused with a promise has no effect.
    RefusedWriteKept,
    /// A transaction takes effect whole or not at all.
    TornTransaction,
    /// A read sees what its route promises.
    StaleRead,
    /// An answer carries the member's signature.
    BadSignature,
    /// Every host serves within the target after the last fault.
    NotServing,
    /// A process ends only when it is told to, and in time.
    ProcessEnd,
    /// The log consists of JSON lines.
    BadLog,
    /// Memory stays within the target.
    TooMuchMemory,
}

/// What became of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// Accepted.
    Accepted {
        /// When the caller had the answer.
        at: Instant,
    },
    /// Refused with a promise that nothing is kept.
    Refused,
    /// No answer, or one that promises nothing.
    Unknown,
}

/// One write of a caller; each has its own number, which is also its data.
#[derive(Clone, Copy, Debug)]
pub struct WriteRecord {
    /// Item that was written.
    pub item: usize,
    /// Number, which is also the data.
    pub number: u64,
    /// What the caller learned.
    pub outcome: WriteOutcome,
    /// Written in one transaction with the next number.
    pub is_first_of_pair: bool,
}

/// One read of an item.
#[derive(Clone, Copy, Debug)]
pub struct ReadRecord {
    /// Item that was read.
    pub item: usize,
    /// Instant before which accepted writes had to be seen.
    pub covers: Instant,
    /// Number that the session itself wrote last, if its own writes count.
    pub own: Option<u64>,
    /// Number that was read; 0 when there was none.
    pub seen: u64,
}

/// All that callers saw.
#[derive(Debug, Default)]
pub struct CallerRecord {
    /// Writes in the order of their answers.
    pub writes: Vec<WriteRecord>,
    /// Reads in the order of their answers.
    pub reads: Vec<ReadRecord>,
    /// Promises that were not kept.
    pub findings: Vec<SoakFinding>,
}

impl CallerRecord {
    /// Enters a finding.
    pub fn report(&mut self, kind: FindingKind, detail: String) {
        self.findings.push(SoakFinding { kind, detail });
    }

    /// Compares the record with the log of the last primary and with what
    /// promotions rolled back.
    pub fn judge(&mut self, log: &[String], rolled_back: &[String]) {
        let truth = LogTruth::new(log, rolled_back);
        let mut findings = Vec::new();
        for write in &self.writes {
            if let Some(kind) = truth.judge_write(write) {
                let detail = format!(
                    "{write:?} is in the log {} times",
                    truth.count(write.number)
                );
                findings.push(SoakFinding { kind, detail });
            }
        }
        let accepted: Vec<(&WriteRecord, Instant)> = self
            .writes
            .iter()
            .filter_map(|write| match write.outcome {
                WriteOutcome::Accepted { at } => Some((write, at)),
                WriteOutcome::Refused | WriteOutcome::Unknown => None,
            })
            .collect();
        for read in &self.reads {
            let missed = accepted
                .iter()
                .find(|(write, at)| truth.misses(read, write, *at));
            if let Some((write, at)) = missed {
                let before = read.covers.saturating_duration_since(*at);
                findings.push(SoakFinding {
                    kind: FindingKind::StaleRead,
                    detail: format!("{read:?} lacks {write:?}, accepted {before:?} earlier"),
                });
            }
        }
        self.findings.extend(findings);
    }

    fn accepted_at(&self) -> Vec<Instant> {
        let outcomes = self.writes.iter().map(|write| write.outcome);
        let accepted = outcomes.filter_map(|outcome| match outcome {
            WriteOutcome::Accepted { at } => Some(at),
            WriteOutcome::Refused | WriteOutcome::Unknown => None,
        });
        accepted.collect()
    }

    /// Returns the number of accepted writes.
    pub fn accepted(&self) -> usize {
        self.accepted_at().len()
    }

    /// Returns the longest time between two accepted writes.
    pub fn longest_gap(&self) -> Duration {
        let mut accepted = self.accepted_at();
        accepted.sort();
        let gaps = accepted.windows(2).map(|pair| pair[1] - pair[0]);
        gaps.max().unwrap_or_default()
    }
}

/// The log of the last primary, by number.
struct LogTruth {
    places: HashMap<u64, Vec<usize>>,
    rolled_back: HashSet<u64>,
}

impl LogTruth {
    fn new(log: &[String], rolled_back: &[String]) -> Self {
        let mut places: HashMap<u64, Vec<usize>> = HashMap::new();
        for (place, data) in log.iter().enumerate() {
            if let Ok(number) = data.parse() {
                places.entry(number).or_default().push(place);
            }
        }
        let rolled_back = rolled_back.iter().filter_map(|data| data.parse().ok());
        Self {
            places,
            rolled_back: rolled_back.collect(),
        }
    }

    fn count(&self, number: u64) -> usize {
        self.places.get(&number).map_or(0, Vec::len)
    }

    fn is_rolled_back(&self, number: u64) -> bool {
        self.rolled_back.contains(&number)
    }

    fn judge_write(&self, write: &WriteRecord) -> Option<FindingKind> {
        let count = self.count(write.number);
        let was_kept = count > 0 || self.is_rolled_back(write.number);
        let is_torn = write.is_first_of_pair
            && count != self.count(write.number + 1)
            && !self.is_rolled_back(write.number)
            && !self.is_rolled_back(write.number + 1);
        match write.outcome {
            _ if count > 1 => Some(FindingKind::DoubledWrite),
            WriteOutcome::Accepted { .. } if !was_kept => Some(FindingKind::LostWrite),
            WriteOutcome::Refused if was_kept => Some(FindingKind::RefusedWriteKept),
            _ if is_torn => Some(FindingKind::TornTransaction),
            _ => None,
        }
    }

    /// Tells whether a read lacks a write that it had to see. The order of the
    /// log decides: a write without an answer may take effect later.
    fn misses(&self, read: &ReadRecord, write: &WriteRecord, at: Instant) -> bool {
        let must_see = at < read.covers || read.own == Some(write.number);
        if !must_see || write.item != read.item || self.is_rolled_back(write.number) {
            return false;
        }
        // What a read saw of a log that was rolled back has no place.
        if read.seen != 0 && self.count(read.seen) == 0 {
            return false;
        }
        let place = |number| self.places.get(&number).and_then(|places| places.first());
        place(write.number) > place(read.seen)
    }
}
