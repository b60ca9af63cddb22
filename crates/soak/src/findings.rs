//! The record of what callers observed, and the checks for broken promises.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;
use std::time::{Duration, Instant};

use standin::managed::RanStatement;

/// Number of characters of a text that a finding names.
const TEXT_LIMIT: usize = 80;
/// Number of findings of a kind that are kept; the others are only counted. One
/// misplaced answer makes all later ones of its session findings.
const FINDINGS_PER_KIND: usize = 20;

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
        write!(
            formatter,
            "{} ({:?}): {}",
            self.kind.rule(),
            self.kind,
            self.detail
        )
    }
}

/// Returns the start of a text with its line feeds and other special characters
/// escaped.
pub(crate) fn excerpt(text: &str) -> String {
    let start: String = text.chars().take(TEXT_LIMIT).collect();
    match start.len() < text.len() {
        true => format!("{start:?}... ({} bytes)", text.len()),
        false => format!("{start:?}"),
    }
}

/// The promises that the soak checks, named by their violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
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
    /// An answer carries the member's signature for the caller's statement.
    BadSignature,
    /// A successful answer has the rows of its statement only, and a row is what a
    /// caller wrote under the item that is read.
    MixedAnswer,
    /// Members run what callers sent: under the same id, with the same kind, shape
    /// and arguments.
    UnaskedStatement,
    /// A stopping host answers every statement that it has read.
    CutStatement,
    /// A session has the values and prepared statements that were acknowledged.
    SessionState,
    /// After the last fault, every host serves within the target time.
    NotServing,
    /// A process ends only on request, successfully and in time.
    ProcessEnd,
    /// The log consists of JSON lines.
    BadLog,
    /// The memory of a process stays within the limit.
    TooMuchMemory,
}

impl FindingKind {
    /// Returns the name of the users' rule that is broken, or `-` if there is none.
    pub const fn rule(self) -> &'static str {
        match self {
            Self::LostWrite | Self::CutStatement => "LOST",
            Self::DoubledWrite => "TWICE",
            Self::RefusedWriteKept => "REFUSED",
            Self::StaleRead => "STALE",
            Self::BadSignature | Self::MixedAnswer => "MIXED",
            Self::UnaskedStatement => "UNASKED",
            Self::SessionState => "PINNED",
            Self::NotServing => "RECOVER",
            Self::TornTransaction | Self::ProcessEnd | Self::BadLog | Self::TooMuchMemory => "-",
        }
    }
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
    /// Number that is unique to this write.
    pub number: u64,
    /// Outcome as the caller knows it.
    pub outcome: WriteOutcome,
    /// Whether the write with the next number belongs to the same transaction.
    pub is_first_of_pair: bool,
    /// Whether the write is a statement outside of transactions. It takes effect when
    /// a member runs it.
    pub is_single: bool,
}

/// The item and the number of a write, found by its data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WriteKey {
    /// The written item.
    pub item: usize,
    /// Number of the write.
    pub number: u64,
}

/// A read, write or commit as its caller sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SentStatement {
    /// `READ`, `WRITE` or `COMMIT`.
    pub kind: String,
    /// Shape of the prepared statement; `None` for a direct statement.
    pub shape: Option<String>,
    /// Item and data.
    pub arguments: String,
}

impl SentStatement {
    /// Returns whether a member ran the statement unchanged.
    fn is_same(&self, ran: &RanStatement) -> bool {
        self.kind == ran.kind && self.shape == ran.shape && self.arguments == ran.arguments
    }
}

impl fmt::Display for SentStatement {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        describe(
            formatter,
            &self.kind,
            self.shape.as_deref(),
            &self.arguments,
        )
    }
}

fn describe(
    formatter: &mut fmt::Formatter<'_>,
    kind: &str,
    shape: Option<&str>,
    arguments: &str,
) -> fmt::Result {
    write!(formatter, "{kind} {}", excerpt(arguments))?;
    match shape {
        Some(shape) => write!(formatter, " of shape {}", excerpt(shape)),
        None => Ok(()),
    }
}

/// What the members of a run stored and ran.
#[derive(Clone, Debug, Default)]
pub struct MemberEvidence {
    /// Data in the log of the last primary.
    pub log: Vec<String>,
    /// Data in the logs of the other members.
    pub other_logs: Vec<Vec<String>>,
    /// Data that promotions rolled back.
    pub rolled_back: Vec<String>,
    /// Statements of callers that members ran.
    pub ran: Vec<RanStatement>,
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
    /// The data of all writes, recorded before they are sent.
    pub keys: HashMap<String, WriteKey>,
    /// The reads, writes and commits that callers sent, by id.
    pub sent: HashMap<String, SentStatement>,
    /// Promises that were not kept; of each kind the first ones only.
    pub findings: Vec<SoakFinding>,
    /// Number of all findings, by kind.
    pub finding_counts: BTreeMap<FindingKind, usize>,
}

impl CallerRecord {
    /// Counts a finding, and keeps it if it is one of the first of its kind.
    pub fn add_finding(&mut self, kind: FindingKind, detail: String) {
        let count = self.finding_counts.entry(kind).or_default();
        *count += 1;
        if *count <= FINDINGS_PER_KIND {
            self.findings.push(SoakFinding { kind, detail });
        }
    }

    /// Compares the record with what members stored and ran, and adds a finding for
    /// everything that breaks a promise.
    pub fn check(&mut self, evidence: &MemberEvidence) {
        let index = LogIndex::new(evidence, &self.keys);
        let traces = self.write_traces();
        let mut findings = self.check_writes(&index, &traces);
        findings.extend(self.check_reads(&index, &traces));
        findings.extend(self.check_ran(&evidence.ran));
        for SoakFinding { kind, detail } in findings {
            self.add_finding(kind, detail);
        }
    }

    /// Returns the id and the data of each write, by its number.
    fn write_traces(&self) -> HashMap<u64, WriteTrace<'_>> {
        let writes = self.sent.iter().filter(|(_, sent)| sent.kind == "WRITE");
        let traces = writes.filter_map(|(id, sent)| {
            let (_, data) = sent.arguments.split_once(' ')?;
            let number = self.keys.get(data)?.number;
            Some((number, WriteTrace { id, data }))
        });
        traces.collect()
    }

    fn check_writes(
        &self,
        index: &LogIndex,
        traces: &HashMap<u64, WriteTrace<'_>>,
    ) -> Vec<SoakFinding> {
        let mut findings = Vec::new();
        for write in &self.writes {
            if let Some(kind) = index.check_write(write) {
                let count = index.count(write.number);
                let trace = traces.get(&write.number);
                let detail = format!("{trace:?}, {write:?}: {count} times in the log");
                findings.push(SoakFinding { kind, detail });
            }
        }
        findings
    }

    fn check_reads(
        &self,
        index: &LogIndex,
        traces: &HashMap<u64, WriteTrace<'_>>,
    ) -> Vec<SoakFinding> {
        let accepted: Vec<(&WriteRecord, Instant)> = self
            .writes
            .iter()
            .filter_map(|write| match write.outcome {
                WriteOutcome::Accepted { at } => Some((write, at)),
                WriteOutcome::Refused | WriteOutcome::Unknown => None,
            })
            .collect();
        let mut findings = Vec::new();
        for read in &self.reads {
            let missed = accepted
                .iter()
                .find(|(write, at)| index.misses(read, write, *at));
            if let Some((write, at)) = missed {
                let before = read.must_see_before.saturating_duration_since(*at);
                let (trace, seen) = (traces.get(&write.number), traces.get(&read.seen));
                findings.push(SoakFinding {
                    kind: FindingKind::StaleRead,
                    detail: format!(
                        "{read:?} of {seen:?} misses {write:?} of {trace:?}, \
                         accepted {before:?} earlier"
                    ),
                });
            }
        }
        findings
    }

    fn check_ran(&self, ran: &[RanStatement]) -> Vec<SoakFinding> {
        let mut findings = Vec::new();
        for statement in ran {
            let sent = self.sent.get(&statement.id);
            if sent.is_some_and(|sent| sent.is_same(statement)) {
                continue;
            }
            let sent = sent.map_or("nothing".to_owned(), SentStatement::to_string);
            let ran = SentStatement {
                kind: statement.kind.clone(),
                shape: statement.shape.clone(),
                arguments: statement.arguments.clone(),
            };
            findings.push(SoakFinding {
                kind: FindingKind::UnaskedStatement,
                detail: format!("id {}: ran {ran}, sent {sent}", statement.id),
            });
        }
        findings
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

/// The id and the data of a write, for findings.
struct WriteTrace<'a> {
    id: &'a str,
    data: &'a str,
}

impl fmt::Debug for WriteTrace<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "id {} {}", self.id, excerpt(self.data))
    }
}

/// What members stored and ran, indexed by the number of the write.
struct LogIndex {
    positions: HashMap<u64, Vec<usize>>,
    rolled_back: HashSet<u64>,
    /// Writes that are in the log of any member or were rolled back.
    logged: HashSet<u64>,
    /// Writes that a member ran, with those of transactions.
    ran: HashSet<u64>,
}

impl LogIndex {
    fn new(evidence: &MemberEvidence, keys: &HashMap<String, WriteKey>) -> Self {
        let number = |data: &String| keys.get(data).map(|key| key.number);
        let mut positions: HashMap<u64, Vec<usize>> = HashMap::new();
        for (position, data) in evidence.log.iter().enumerate() {
            if let Some(number) = number(data) {
                positions.entry(number).or_default().push(position);
            }
        }
        let rolled_back: HashSet<u64> = evidence.rolled_back.iter().filter_map(number).collect();
        let others = evidence.other_logs.iter().flatten().filter_map(number);
        let logged = others.chain(rolled_back.iter().copied());
        let logged = logged.chain(positions.keys().copied()).collect();
        let writes = evidence.ran.iter().filter(|one| one.kind == "WRITE");
        let ran = writes.filter_map(|one| {
            let (_, data) = one.arguments.split_once(' ')?;
            keys.get(data).map(|key| key.number)
        });
        Self {
            ran: ran.collect(),
            positions,
            rolled_back,
            logged,
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
            WriteOutcome::Refused if self.has_effect(write) => Some(FindingKind::RefusedWriteKept),
            _ if is_torn => Some(FindingKind::TornTransaction),
            _ => None,
        }
    }

    /// Returns whether any member ran a single write or kept a write. The log of a
    /// superseded primary may have been replaced since.
    fn has_effect(&self, write: &WriteRecord) -> bool {
        self.logged.contains(&write.number) || write.is_single && self.ran.contains(&write.number)
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
