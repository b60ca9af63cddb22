//! The durable state of a member: a file of JSON lines. A record is written
//! before the answer that depends on it is sent.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::Path;

use protocol::member_control::ProposerId;
use serde::{Deserialize, Serialize};
use state::log::Term;
use state::member::MemberRole;

use super::entry::LogEntry;

/// Name of the file within the data directory.
const FILE_NAME: &str = "member.jsonl";

/// The term that a member has promised, and its role at that term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct MemberPromise {
    /// Promised term: the highest term at which the member was fenced, follows a
    /// primary or is the primary.
    pub term: Term,
    /// Proposer to which a fence granted the term.
    pub granted: Option<ProposerId>,
    /// Role of the member at the term.
    pub role: MemberRole,
    /// Control address of the primary that the member follows at the term.
    pub following: Option<SocketAddr>,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum DiskRecord {
    Promise(MemberPromise),
    Entry(LogEntry),
    Truncate { length: usize },
}

/// State that a member reads from disk when it starts.
#[derive(Debug, Default)]
pub struct SavedState {
    /// Last promise that was written, if any.
    pub promise: Option<MemberPromise>,
    /// Entries of the log, in order.
    pub log: Vec<LogEntry>,
}

/// The append-only file that holds a member's promises and log.
#[derive(Debug)]
pub struct DiskLog {
    file: File,
}

impl DiskLog {
    /// Opens the file in `directory`, creating both if needed, and reads the
    /// stored state. Cuts off an incomplete last record.
    pub fn open(directory: &Path) -> io::Result<(Self, SavedState)> {
        fs::create_dir_all(directory)?;
        let path = directory.join(FILE_NAME);
        let bytes = match fs::read(&path) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == io::ErrorKind::NotFound => Vec::new(),
            Err(error) => return Err(error),
        };
        let (saved, length) = read_records(&bytes);
        let file = OpenOptions::new().create(true).append(true).open(&path)?;
        // A process that is killed during a write leaves an incomplete last
        // line. The answer that depends on that record was never sent.
        file.set_len(length as u64)?;
        Ok((Self { file }, saved))
    }

    /// Appends a promise. Panics if the file cannot be written.
    pub fn write_promise(&mut self, promise: &MemberPromise) {
        self.write(&DiskRecord::Promise(*promise));
    }

    /// Appends a log entry. Panics if the file cannot be written.
    pub fn write_entry(&mut self, entry: &LogEntry) {
        self.write(&DiskRecord::Entry(entry.clone()));
    }

    /// Records that the log was truncated to `length` entries. Panics if the file
    /// cannot be written.
    pub fn write_truncate(&mut self, length: usize) {
        self.write(&DiskRecord::Truncate { length });
    }

    fn write(&mut self, record: &DiskRecord) {
        let mut line = serde_json::to_vec(record).expect("records of plain fields serialise");
        line.push(b'\n');
        // No fsync: written data survives a killed process, and a crash of the
        // machine is out of scope for a stand-in.
        self.file
            .write_all(&line)
            .expect("the data directory is writable");
    }
}

/// Rebuilds the state from the records in `bytes` and returns it with the
/// length in bytes of the complete records.
fn read_records(bytes: &[u8]) -> (SavedState, usize) {
    let mut saved = SavedState::default();
    let mut length = 0;
    for line in bytes.split_inclusive(|byte| *byte == b'\n') {
        if line.last() != Some(&b'\n') {
            break;
        }
        let Ok(record) = serde_json::from_slice(line) else {
            break;
        };
        length += line.len();
        match record {
            DiskRecord::Promise(promise) => saved.promise = Some(promise),
            DiskRecord::Entry(entry) => saved.log.push(entry),
            DiskRecord::Truncate { length } => saved.log.truncate(length),
        }
    }
    (saved, length)
}
