//! Recording of request ids in the database group, so that a request runs at
//! most once.
//!
//! The id is inserted first, in the same transaction as the write. PostgreSQL
//! lets a second insert of the id wait until the first transaction has ended,
//! so of two concurrent attempts at one member at most one commits. Across
//! members the confirmation by a majority decides: an outcome counts only once
//! its position is confirmed.

use std::time::Duration;

use state::request::{RequestId, RequestOutcome};

/// Creates the table of request ids and the index for purging.
pub const CREATE_TABLE_SQL: &str = "CREATE TABLE IF NOT EXISTS cassia_requests (\
    id text PRIMARY KEY, state text NOT NULL, tag text NOT NULL DEFAULT '', \
    recorded_at timestamptz NOT NULL DEFAULT CURRENT_TIMESTAMP)";
/// Creates the index that the purge uses.
pub const CREATE_INDEX_SQL: &str = "CREATE INDEX IF NOT EXISTS cassia_requests_recorded_at \
    ON cassia_requests (recorded_at)";
/// Rows that one purge statement deletes, so that its locks are short.
pub const PURGE_BATCH_ROWS: u64 = 500;
/// Pause between two full batches.
pub const PURGE_BATCH_PAUSE: Duration = Duration::from_millis(200);
/// Pause after a batch that found nothing more to delete.
pub const PURGE_IDLE_PAUSE: Duration = Duration::from_secs(60);
/// Rounds of insert and look-up before giving up. A second round is needed when
/// the table is missing, or when the primary changes between the two steps.
pub const RECORD_ROUNDS: u32 = 3;

const STATE_COMMITTED: &str = "committed";
const STATE_BLOCKED: &str = "blocked";

/// Returns the statement that inserts an id ahead of its write.
///
/// It fails on a conflict instead of ignoring it: statements pipelined behind
/// it in the transaction then do not run.
pub fn insert_sql(id: &RequestId) -> String {
    insert_state_sql(id, STATE_COMMITTED)
}

/// Returns the statement that blocks an id, so that a late original conflicts.
pub fn block_sql(id: &RequestId) -> String {
    insert_state_sql(id, STATE_BLOCKED)
}

/// Returns the statement that records the command tag behind the write, in the
/// same transaction.
pub fn record_tag_sql(id: &RequestId, tag: &str) -> String {
    let tag = tag.replace('\'', "''");
    format!("UPDATE cassia_requests SET tag = '{tag}' WHERE id = '{id}'")
}

/// Returns the statement that looks up the recorded outcome of an id.
pub fn look_up_sql(id: &RequestId) -> String {
    format!("SELECT state, tag FROM cassia_requests WHERE id = '{id}'")
}

/// Returns the statement that deletes one batch of rows older than
/// `retention` by the clock of the database, which wrote their times.
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
    assert!(deleted_rows <= PURGE_BATCH_ROWS, "purge batch too large");
    match deleted_rows {
        PURGE_BATCH_ROWS => PURGE_BATCH_PAUSE,
        _ => PURGE_IDLE_PAUSE,
    }
}

fn insert_state_sql(id: &RequestId, state: &str) -> String {
    format!("INSERT INTO cassia_requests (id, state) VALUES ('{id}', '{state}')")
}

/// Reads the outcome from the columns of a looked-up row. An unknown state
/// gives `None`: a later version may have written it, so nothing is claimed.
pub fn read_outcome(state: &str, tag: &str) -> Option<RequestOutcome> {
    match state {
        STATE_COMMITTED => Some(RequestOutcome::Committed {
            tag: tag.to_owned(),
        }),
        STATE_BLOCKED => Some(RequestOutcome::Blocked),
        _ => None,
    }
}

/// Who asks for the id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordPurpose {
    /// A write that is about to run.
    Write,
    /// An outcome query that wants to block the id.
    OutcomeQuery,
}

/// What came back for the insert of an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InsertReply {
    /// The row was inserted.
    Inserted,
    /// The insert itself failed with a unique violation (23505).
    Conflict,
    /// The insert failed since the table does not exist (42P01).
    TableMissing,
    /// The transaction was rolled back by the server, for instance with 40001.
    RolledBack,
    /// The connection was lost.
    Lost,
}

/// What came back for the look-up of an id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LookUpReply {
    /// The recorded outcome.
    Found(RequestOutcome),
    /// No row.
    Absent,
    /// A row of an unknown shape.
    Unreadable,
    /// The connection was lost.
    Lost,
}

/// The next step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordAction {
    /// Run the write in the same transaction, record its tag and commit.
    RunWrite,
    /// Commit the blocked row; once confirmed, the answer is `not_run`.
    CommitBlock,
    /// Roll back, then look the id up in a new transaction.
    LookUp,
    /// Roll back, create the table and insert again.
    CreateTable,
    /// Roll back and insert again.
    InsertAgain,
    /// Confirm the position read behind the look-up, then return this outcome
    /// as already run.
    ConfirmAndReturn {
        /// Recorded command tag.
        tag: String,
    },
    /// Confirm the position, then report that the id is blocked: the write was
    /// not run and never will be.
    ConfirmAndReportBlocked,
    /// This attempt ran nothing and saw no conflict. The statement was not run,
    /// unless the session itself sent an earlier attempt.
    FailNotRun,
    /// The id conflicts, so an earlier request with it may have run, but its
    /// outcome could not be read.
    FailUnknown,
}

/// Decides the steps of recording one request id.
///
/// # Invariants
///
/// `RunWrite` is returned only for `Inserted`, hence the write always runs in
/// a transaction that holds the id's unique row.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    purpose: RecordPurpose,
    rounds: u32,
    conflict_seen: bool,
}

impl RequestRecord {
    /// Starts with the insert.
    pub fn new(purpose: RecordPurpose) -> Self {
        Self {
            purpose,
            rounds: 1,
            conflict_seen: false,
        }
    }

    /// Decides after the insert. A lost connection has run nothing, because
    /// neither the write nor a commit was sent before this decision; a session
    /// that pipelines the write must treat a loss as sent.
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

    /// Decides after the look-up that follows a conflict.
    pub fn after_look_up(&mut self, reply: LookUpReply) -> RecordAction {
        match reply {
            LookUpReply::Found(RequestOutcome::Committed { tag }) => {
                RecordAction::ConfirmAndReturn { tag }
            }
            LookUpReply::Found(RequestOutcome::Blocked) => RecordAction::ConfirmAndReportBlocked,
            // A new primary lacks the row, whose commit was then never
            // acknowledged, or the purge has just deleted it.
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
