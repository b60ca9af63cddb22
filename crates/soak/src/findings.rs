//! The record of what callers observed, and the checks for broken promises.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::time::{Duration, Instant};

/// A promise that was not kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SoakFinding {
    /// The broken promise.
    pub kind: FindingKind,
    /// The observation that breaks the promise.
    pub detail: String,
}

impl fmt::Display for SoakFinding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?}: {}", self.kind, self.detail)
    }
}

/// The promises that the soak checks, named by their violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FindingKind {
    /// An accepted write is kept, unless a promotion rolls it back.
    LostWrite,
    /// A write takes effect at most once.
    DoubledWrite,
    /// A write with the outcome [`WriteOutcome::Refused`] has no effect.
    RefusedWriteKept,
    /// A transaction takes effect completely or not at all.
    TornTransaction,
    /// A read is as fresh as its route promises.
    StaleRead,
    /// An answer carries the member's signature.
    BadSignature,
    /// After the last fault, every host serves within the target time.
    NotServing,
    /// A process ends only on request, successfully and in time.
    ProcessEnd,
    /// The log consists of JSON lines.
    BadLog,
    /// The memory of a process stays within the limit.
    TooMuchMemory,
}

/// Outcome of a write as its caller knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The answer confirmed the write.
    Accepted {
        /// When the caller received the answer.
        at: Instant,
    },
    /// No effect of the write may be kept: its error code guarantees that, or
    /// its transaction was never committed.
    Refused,
    /// No answer, or an error code without a guarantee.
    Unknown,
}

/// A write of a caller.
#[derive(Clone, Copy, Debug)]
pub struct WriteRecord {
    /// The written item.
    pub item: usize,
    /// Number that is unique to this write and also its data.
    pub number: u64,
    /// Outcome as the caller knows it.
    pub outcome: WriteOutcome,
    /// Whether the write with the next number belongs to the same transaction.
    pub is_first_of_pair: bool,
}

/// A read of a caller.
#[derive(Clone, Copy, Debug)]
pub struct ReadRecord {
    /// The read item.
    pub item: usize,
    /// The read must see all writes that were accepted before this instant.
    pub must_see_before: Instant,
    /// Highest number in an accepted write of the same session to this item, if
    /// the route promises that a session reads its own writes.
    pub own_write: Option<u64>,
    /// The number that was read; 0 if there was none.
    pub seen: u64,
}

/// Everything that the callers of a run observed.
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
    /// Adds a finding.
    pub fn add_finding(&mut self, kind: FindingKind, detail: String) {
        self.findings.push(SoakFinding { kind, detail });
    }

    /// Compares the record with the log of the last primary and with the data
    /// that promotions rolled back, and adds a finding for every
    /// write and read that breaks a promise.
    pub fn check(&mut self, log: &[String], rolled_back: &[String]) {
        let index = LogIndex::new(log, rolled_back);
        let mut findings = Vec::new();
        for write in &self.writes {
            if let Some(kind) = index.check_write(write) {
                let detail = format!(
                    "{write:?} appears in the log {} times",
                    index.count(write.number)
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
                .find(|(write, at)| index.misses(read, write, *at));
            if let Some((write, at)) = missed {
                let before = read.must_see_before.saturating_duration_since(*at);
                findings.push(SoakFinding {
                    kind: FindingKind::StaleRead,
                    detail: format!("{read:?} misses {write:?}, accepted {before:?} earlier"),
                });
            }
        }
        self.findings.extend(findings);
    }

    fn acceptance_times(&self) -> Vec<Instant> {
        let outcomes = self.writes.iter().map(|write| write.outcome);
        let accepted = outcomes.filter_map(|outcome| match outcome {
            WriteOutcome::Accepted { at } => Some(at),
            WriteOutcome::Refused | WriteOutcome::Unknown => None,
        });
        accepted.collect()
    }

    /// Returns the number of accepted writes.
    pub fn accepted_count(&self) -> usize {
        self.acceptance_times().len()
    }

    /// Returns the longest time between two accepted writes.
    pub fn longest_gap(&self) -> Duration {
        let mut accepted = self.acceptance_times();
        accepted.sort();
        let gaps = accepted.windows(2).map(|pair| pair[1] - pair[0]);
        gaps.max().unwrap_or_default()
    }
}

/// The log of the last primary and the rolled-back writes, indexed by the number
/// of the write.
struct LogIndex {
    positions: HashMap<u64, Vec<usize>>,
    rolled_back: HashSet<u64>,
}

impl LogIndex {
    fn new(log: &[String], rolled_back: &[String]) -> Self {
        let mut positions: HashMap<u64, Vec<usize>> = HashMap::new();
        for (position, data) in log.iter().enumerate() {
            if let Ok(number) = data.parse() {
                positions.entry(number).or_default().push(position);
            }
        }
        let rolled_back = rolled_back.iter().filter_map(|data| data.parse().ok());
        Self {
            positions,
            rolled_back: rolled_back.collect(),
        }
    }

    fn count(&self, number: u64) -> usize {
        self.positions.get(&number).map_or(0, Vec::len)
    }

    fn is_rolled_back(&self, number: u64) -> bool {
        self.rolled_back.contains(&number)
    }

    fn check_write(&self, write: &WriteRecord) -> Option<FindingKind> {
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

    /// Returns whether a read misses a write that it must see. Compares positions
    /// in the log rather than numbers, because a write without an answer may take
    /// effect after a write with a higher number.
    fn misses(&self, read: &ReadRecord, write: &WriteRecord, at: Instant) -> bool {
        let must_see = at < read.must_see_before || read.own_write == Some(write.number);
        if !must_see || write.item != read.item || self.is_rolled_back(write.number) {
            return false;
        }
        // A number from a rolled-back part of a log has no position to compare.
        if read.seen != 0 && self.count(read.seen) == 0 {
            return false;
        }
        let position = |number| {
            self.positions
                .get(&number)
                .and_then(|positions| positions.first())
        };
        position(write.number) > position(read.seen)
    }
}
