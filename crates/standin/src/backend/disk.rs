//! The durable part of a member: records as JSON lines, written before the
//! answer that depends on them.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::Path;

use protocol::member_control::ProposerId;
use serde::{Deserialize, Serialize};
use state::log::Term;
use state::member::MemberRole;

use super::entry::LogEntry;

/// Name of the file in the data directory.
const FILE_NAME: &str = "member.jsonl";

/// What a member has promised.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct MemberPromise {
    /// Highest term at which the member was fenced or which it follows.
    pub term: Term,
    /// Proposer that was granted the term by a fence.
    pub granted: Option<ProposerId>,
    /// Role at the term.
    pub role: MemberRole,
    /// Control address of the primary of the term.
    pub following: Option<SocketAddr>,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum DiskRecord {
    Promise(MemberPromise),
    Entry(LogEntry),
    Truncate { length: usize },
}

/// State read back at the start.
#[derive(Debug, Default)]
pub struct SavedState {
    /// Last promise, if any was written.
    pub promise: Option<MemberPromise>,
    /// The log.
    pub log: Vec<LogEntry>,
}

/// Append-only file of a member.
#[derive(Debug)]
pub struct DiskLog {
    file: File,
}

impl DiskLog {
    /// Opens the file in `directory` and reads it back.
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
        // A process that was killed while it wrote leaves an incomplete last
        // line, whose answer was never sent.
        file.set_len(length as u64)?;
        Ok((Self { file }, saved))
    }

    /// Writes a promise.
    pub fn write_promise(&mut self, promise: &MemberPromise) {
        self.write(&DiskRecord::Promise(*promise));
    }

    /// Writes an entry.
    pub fn write_entry(&mut self, entry: &LogEntry) {
        self.write(&DiskRecord::Entry(entry.clone()));
    }

    /// Records that the log was cut to `length` entries.
    pub fn write_truncate(&mut self, length: usize) {
        self.write(&DiskRecord::Truncate { length });
    }

    fn write(&mut self, record: &DiskRecord) {
        let mut line = serde_json::to_vec(record).expect("records of plain fields serialise");
        line.push(b'\n');
        // The data survives a killed process without fsync; a crash of the
        // machine is out of scope for a stand-in.
        self.file
            .write_all(&line)
            .expect("the data directory is writable");
    }
}

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
