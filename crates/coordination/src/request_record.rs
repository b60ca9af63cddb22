//! Records request ids in the database group, so that a request runs at most
//! once.
//!
//! The id is inserted before the write, in the same transaction. PostgreSQL
//! blocks a second insert of the id until the first transaction has ended, so at
//! most one of two concurrent attempts at one member commits. Across members, the
//! confirmation by a majority decides: an outcome is valid only once its position
//! is confirmed.

use std::time::Duration;

use state::request::{RequestId, RequestOutcome};

/// Statement that creates the table of request ids.
pub const CREATE_TABLE_SQL: &str = "CREATE TABLE IF NOT EXISTS cassia_requests (\
    id text PRIMARY KEY, state text NOT NULL, tag text NOT NULL DEFAULT '', \
    recorded_at timestamptz NOT NULL DEFAULT CURRENT_TIMESTAMP)";
/// Statement that creates the index that the purge uses.
pub const CREATE_INDEX_SQL: &str = "CREATE INDEX IF NOT EXISTS cassia_requests_recorded_at \
    ON cassia_requests (recorded_at)";
/// Maximum number of rows that one purge statement deletes, which keeps its locks
/// short.
pub const PURGE_BATCH_ROWS: u64 = 500;
/// Pause after a batch that deleted [`PURGE_BATCH_ROWS`] rows.
pub const PURGE_BATCH_PAUSE: Duration = Duration::from_millis(200);
/// Pause after a batch that left no more rows to delete.
pub const PURGE_IDLE_PAUSE: Duration = Duration::from_secs(60);
/// Maximum number of rounds of insert and look-up. A second round is needed when
/// the table is missing, or when the primary changes between the two steps.
pub const RECORD_ROUNDS: u32 = 3;

const STATE_COMMITTED: &str = "committed";
const STATE_BLOCKED: &str = "blocked";

/// Returns the statement that inserts an id before its write.
///
/// The statement fails on a conflict, so that the statements pipelined after it
/// in the transaction do not run.
pub fn insert_sql(id: &RequestId) -> String {
    insert_state_sql(id, STATE_COMMITTED)
}

/// Returns the statement that blocks an id, so that a delayed write with the id
/// fails with a conflict.
pub fn block_sql(id: &RequestId) -> String {
    insert_state_sql(id, STATE_BLOCKED)
}

/// Returns the statement that records the command tag after the write, in the
/// same transaction.
pub fn record_tag_sql(id: &RequestId, tag: &str) -> String {
    let tag = tag.replace('\'', "''");
    format!("UPDATE cassia_requests SET tag = '{tag}' WHERE id = '{id}'")
}

/// Returns the statement that looks up the recorded outcome of an id.
pub fn look_up_sql(id: &RequestId) -> String {
    format!("SELECT state, tag FROM cassia_requests WHERE id = '{id}'")
}

/// Returns the statement that deletes one batch of rows older than `retention`.
/// The age is computed by the clock of the database, which also set
/// `recorded_at`.
pub fn purge_sql(retention: Duration) -> String {
    let seconds = retention.as_secs();
    format!(
        "DELETE FROM cassia_requests WHERE id IN (SELECT id FROM cassia_requests \
         WHERE recorded_at < CURRENT_TIMESTAMP - INTERVAL '{seconds} seconds' \
         ORDER BY recorded_at LIMIT {PURGE_BATCH_ROWS})"
    )
}

/// Returns the pause before the next batch.
pub fn pause_after_purge(deleted_rows: u64) -> Duration {
    assert!(
        deleted_rows <= PURGE_BATCH_ROWS,
        "a purge batch must not exceed its row limit"
    );
    match deleted_rows {
        PURGE_BATCH_ROWS => PURGE_BATCH_PAUSE,
        _ => PURGE_IDLE_PAUSE,
    }
}

fn insert_state_sql(id: &RequestId, state: &str) -> String {
    format!("INSERT INTO cassia_requests (id, state) VALUES ('{id}', '{state}')")
}

/// Parses the outcome from the columns of a looked-up row. Returns `None` for an
/// unknown state, which a later version of the program may have written.
pub fn parse_outcome(state: &str, tag: &str) -> Option<RequestOutcome> {
    match state {
        STATE_COMMITTED => Some(RequestOutcome::Committed {
            tag: tag.to_owned(),
        }),
        STATE_BLOCKED => Some(RequestOutcome::Blocked),
        _ => None,
    }
}

/// Purpose for which a request id is inserted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordPurpose {
    /// A write that is about to run.
    Write,
    /// An outcome query, which blocks the id if it is not recorded.
    OutcomeQuery,
}

/// Reply to the insert of an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InsertReply {
    /// The row was inserted.
    Inserted,
    /// The insert itself failed with a unique violation (23505).
    Conflict,
    /// The insert failed because the table does not exist (42P01).
    TableMissing,
    /// The server rolled back the transaction, for example with 40001.
    RolledBack,
    /// The connection was lost.
    Lost,
}

/// Reply to the look-up of an id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LookUpReply {
    /// The id is recorded with this outcome.
    Found(RequestOutcome),
    /// The id is not recorded.
    Absent,
    /// The row could not be parsed.
    Unreadable,
    /// The connection was lost.
    Lost,
}

/// Next step of recording a request id, or its result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordAction {
    /// Run the write in the same transaction, record its tag and commit.
    RunWrite,
    /// Commit the blocked row. Once the commit is confirmed, the outcome is
    /// `not_run`.
    CommitBlock,
    /// Roll back, then look up the id in a new transaction.
    LookUp,
    /// Roll back, create the table and insert again.
    CreateTable,
    /// Roll back and insert again.
    InsertAgain,
    /// Confirm the position read after the look-up, then report that the request
    /// has already run.
    ConfirmAndReturn {
        /// Recorded command tag.
        tag: String,
    },
    /// Confirm the position read after the look-up, then report that the id is
    /// blocked: the write has not run and never will.
    ConfirmAndReportBlocked,
    /// Fail the request. This attempt ran nothing and found no conflict, so the
    /// statement has not run unless the session sent it in an earlier attempt.
    FailNotRun,
    /// Fail the request. The id conflicts, so an earlier request with the id may
    /// have run, but its outcome could not be read.
    FailUnknown,
}

/// Decides the steps of recording one request id.
///
/// # Invariants
///
/// `RunWrite` is returned only for `Inserted`, so the write always runs in a
/// transaction that holds the id's unique row.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    purpose: RecordPurpose,
    rounds: u32,
    conflict_seen: bool,
}

impl RequestRecord {
    /// Creates the state before the first insert.
    pub fn new(purpose: RecordPurpose) -> Self {
        Self {
            purpose,
            rounds: 1,
            conflict_seen: false,
        }
    }

    /// Decides the next step after an insert.
    ///
    /// After [`InsertReply::Lost`] nothing has run, because neither the write nor
    /// a commit is sent before this decision. A session that pipelines the write
    /// must treat it as sent when the connection is lost.
    pub fn after_insert(&mut self, reply: InsertReply) -> RecordAction {
        self.conflict_seen |= reply == InsertReply::Conflict;
        match reply {
            InsertReply::Inserted if self.purpose == RecordPurpose::Write => RecordAction::RunWrite,
            InsertReply::Inserted => RecordAction::CommitBlock,
            InsertReply::Conflict => RecordAction::LookUp,
            InsertReply::TableMissing => self.next_round(RecordAction::CreateTable),
            InsertReply::RolledBack => self.next_round(RecordAction::InsertAgain),
            InsertReply::Lost => self.give_up(),
        }
    }

    /// Decides the next step after the look-up that follows a conflict.
    pub fn after_look_up(&mut self, reply: LookUpReply) -> RecordAction {
        match reply {
            LookUpReply::Found(RequestOutcome::Committed { tag }) => {
                RecordAction::ConfirmAndReturn { tag }
            }
            LookUpReply::Found(RequestOutcome::Blocked) => RecordAction::ConfirmAndReportBlocked,
            // Either the purge has just deleted the row, or a new primary lacks it,
            // in which case its commit was never acknowledged.
            LookUpReply::Absent => self.next_round(RecordAction::InsertAgain),
            LookUpReply::Unreadable | LookUpReply::Lost => self.give_up(),
        }
    }

    fn next_round(&mut self, action: RecordAction) -> RecordAction {
        self.rounds += 1;
        match self.rounds > RECORD_ROUNDS {
            true => self.give_up(),
            false => action,
        }
    }

    fn give_up(&self) -> RecordAction {
        match self.conflict_seen {
            true => RecordAction::FailUnknown,
            false => RecordAction::FailNotRun,
        }
    }
}
