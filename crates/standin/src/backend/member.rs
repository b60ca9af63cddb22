//! The state of a member: its promised term, its log and its committed data.
//!
//! A single lock guards the whole state, so that every report is an atomic
//! snapshot and no transaction can commit after a fence.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use protocol::member_control::{ControlAnswer, ControlRefusal, ProposerId};
use state::log::{LogPosition, Term};
use state::member::{MemberReport, MemberRole};
use tokio::sync::watch;

use super::disk::{DiskLog, MemberPromise, SavedState};
use super::entry::{common_prefix_length, term_ends, LogEntry};
use super::replication::{PullAnswer, PullBatch, PullRequest};
use super::settings::BackendSettings;
use super::store::{open_writer, CommittedStore, WriteTransaction, WriterConnection};

/// Size in bytes above which an answer to a pull takes no further entry. Frames
/// are limited to 8 MiB.
const BATCH_SOFT_LIMIT: usize = 1024 * 1024;

/// Error of a write: the member is not a primary or, for a commit, not the
/// primary of the term at which the transaction began. Nothing was committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotPrimary;

/// The primary from which a replica pulls entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowTarget {
    /// Term of which the server is the primary.
    pub term: Term,
    /// Control address of the server.
    pub primary: SocketAddr,
}

/// The state of one member, shared by all tasks of its server.
#[derive(Debug)]
pub struct GroupMemberState {
    inner: Mutex<MemberData>,
    changes: watch::Sender<u64>,
    follow_targets: watch::Sender<Option<FollowTarget>>,
    close_signals: watch::Sender<u64>,
}

#[derive(Debug)]
struct MemberData {
    promise: MemberPromise,
    heartbeat_at: Option<Instant>,
    log: Vec<StoredEntry>,
    /// Last position of each term in the log.
    term_ends: Vec<LogPosition>,
    /// Number of entries that are applied to `store`.
    /// INVARIANT: at most `log.len()`.
    applied: usize,
    store: Arc<CommittedStore>,
    /// INVARIANT: present exactly while the role is primary.
    writer: Option<WriterConnection>,
    disk: Option<DiskLog>,
    receive_lag: Duration,
    apply_lag: Duration,
}

#[derive(Debug)]
struct StoredEntry {
    entry: Arc<LogEntry>,
    stored_at: Instant,
}

impl GroupMemberState {
    /// Opens the state of a member. Without stored state, the member starts a new
    /// group or joins one, as `settings` say. Fails if the data directory cannot
    /// be opened.
    pub fn open(settings: &BackendSettings) -> io::Result<Arc<Self>> {
        let (disk, saved) = match &settings.data_dir {
            Some(directory) => {
                let (disk, saved) = DiskLog::open(directory)?;
                (Some(disk), saved)
            }
            None => (None, SavedState::default()),
        };
        let is_new = saved.promise.is_none();
        let mut data = MemberData::restore(saved, disk, settings);
        if is_new {
            data.bootstrap(settings);
        }
        let target = data.follow_target();
        Ok(Arc::new(Self {
            inner: Mutex::new(data),
            changes: watch::Sender::new(0),
            follow_targets: watch::Sender::new(target),
            close_signals: watch::Sender::new(0),
        }))
    }

    /// Returns an atomic snapshot of the state.
    pub fn report(&self) -> MemberReport {
        self.lock().report()
    }

    /// Fences the member at `term` and grants the term to `proposer`. Repeating
    /// the call has no effect.
    pub fn fence(&self, term: Term, proposer: ProposerId) -> ControlAnswer {
        let mut data = self.lock();
        let promise = data.promise;
        let is_repeat = term == promise.term && promise.granted == Some(proposer);
        if is_repeat {
            return Ok(data.report());
        }
        if term == promise.term && promise.granted.is_some() {
            return Err(ControlRefusal::WrongProposer);
        }
        if term <= promise.term {
            return Err(ControlRefusal::StaleTerm {
                promised: promise.term,
            });
        }
        self.step_down(
            &mut data,
            MemberPromise {
                term,
                granted: Some(proposer),
                role: MemberRole::Replica,
                following: None,
            },
        );
        Ok(data.report())
    }

    /// Promotes the member at the term that was granted to `proposer`.
    pub fn promote(&self, term: Term, proposer: ProposerId) -> ControlAnswer {
        let mut data = self.lock();
        let promise = data.promise;
        if term < promise.term {
            return Err(ControlRefusal::StaleTerm {
                promised: promise.term,
            });
        }
        let is_granted = term == promise.term && promise.granted == Some(proposer);
        // A member that already follows the primary of the term must not become
        // a second primary of that term.
        if !is_granted || promise.following.is_some() {
            return Err(ControlRefusal::WrongProposer);
        }
        if promise.role == MemberRole::Primary {
            return Ok(data.report());
        }
        data.become_primary();
        self.notify(&data);
        Ok(data.report())
    }

    /// Makes the member follow the primary of `term`; `primary` is the control
    /// address of that primary.
    pub fn follow(&self, term: Term, primary: SocketAddr) -> ControlAnswer {
        let mut data = self.lock();
        let promise = data.promise;
        let is_own_term = term == promise.term && promise.role == MemberRole::Primary;
        if term < promise.term || is_own_term {
            return Err(ControlRefusal::StaleTerm {
                promised: promise.term,
            });
        }
        if term == promise.term && promise.following == Some(primary) {
            return Ok(data.report());
        }
        let granted = promise.granted.filter(|_| term == promise.term);
        self.step_down(
            &mut data,
            MemberPromise {
                term,
                granted,
                role: MemberRole::Replica,
                following: Some(primary),
            },
        );
        Ok(data.report())
    }

    /// Commits a write transaction that began at `term`. Fails if the member is no
    /// longer the primary of that term.
    pub fn commit(
        &self,
        term: Term,
        mut transaction: WriteTransaction,
    ) -> std::result::Result<(), NotPrimary> {
        let statements = transaction.take_statements();
        if statements.is_empty() {
            return Ok(());
        }
        let mut data = self.lock();
        if data.promise.term != term || data.promise.role != MemberRole::Primary {
            return Err(NotPrimary);
        }
        // INVARIANT: The entry is durable and the writer has committed before
        // the lock is released, so a fence sees either the whole commit or none
        // of it.
        data.append(statements);
        transaction
            .commit()
            .expect("an in-memory commit under the write lock cannot fail");
        data.apply_all();
        self.notify(&data);
        Ok(())
    }

    /// Returns the writer and the current term. Fails on a replica.
    pub fn writer(&self) -> std::result::Result<(Term, WriterConnection), NotPrimary> {
        let data = self.lock();
        let writer = data.writer.clone().ok_or(NotPrimary)?;
        Ok((data.promise.term, writer))
    }

    /// Returns the committed data, which serves reads.
    pub fn store(&self) -> Arc<CommittedStore> {
        self.lock().store.clone()
    }

    /// Answers a pull with a refusal or with the entries that have reached the
    /// age `request.lag`. If there are no such entries, returns as the error the
    /// instant at which the next entry reaches that age, if there is one.
    pub fn answer_pull(
        &self,
        request: &PullRequest,
        now: Instant,
    ) -> std::result::Result<PullAnswer, Option<Instant>> {
        let data = self.lock();
        if data.promise.role != MemberRole::Primary || data.promise.term != request.term {
            return Ok(PullAnswer::Refused {
                promised: data.promise.term,
            });
        }
        let common = common_prefix_length(&data.term_ends, &request.ends);
        let rest = &data.log[common as usize..];
        let entries = due_entries(rest, request.lag, now);
        if entries.is_empty() {
            return Err(rest.first().map(|stored| stored.stored_at + request.lag));
        }
        Ok(PullAnswer::Batch(PullBatch { common, entries }))
    }

    /// Builds the request for a pull from `target`. Returns `None` if the member
    /// no longer follows `target`.
    pub fn pull_request(&self, target: FollowTarget, max_wait: Duration) -> Option<PullRequest> {
        let data = self.lock();
        if data.follow_target() != Some(target) {
            return None;
        }
        Some(PullRequest {
            term: target.term,
            ends: data.term_ends.clone(),
            lag: data.receive_lag,
            max_wait,
        })
    }

    /// Appends the entries that were pulled from `target`. An answer from a
    /// primary that the member no longer follows has no effect.
    pub fn accept_batch(&self, target: FollowTarget, batch: PullBatch) {
        let mut data = self.lock();
        if data.follow_target() != Some(target) {
            return;
        }
        data.heartbeat_at = Some(Instant::now());
        if batch.entries.is_empty() {
            return;
        }
        data.append_batch(batch);
        self.notify(&data);
    }

    /// Applies the entries whose apply lag has passed. Returns the instant at which
    /// the next entry is due, if there is one.
    pub fn apply_due(&self, now: Instant) -> Option<Instant> {
        let mut data = self.lock();
        let before = data.applied;
        let next = data.apply_due(now);
        if data.applied != before {
            self.notify(&data);
        }
        next
    }

    /// Subscribes to changes of the log, the promise, the applied position and the
    /// apply lag.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Subscribes to the primary that the member follows.
    pub fn follow_targets(&self) -> watch::Receiver<Option<FollowTarget>> {
        self.follow_targets.subscribe()
    }

    /// Subscribes to the signal that closes all statement connections.
    pub fn close_signals(&self) -> watch::Receiver<u64> {
        self.close_signals.subscribe()
    }

    /// Closes all statement connections.
    pub fn close_connections(&self) {
        self.close_signals.send_modify(|count| *count += 1);
    }

    /// Sets the age that entries must reach before the primary sends them.
    pub fn set_receive_lag(&self, lag: Duration) {
        self.lock().receive_lag = lag;
    }

    /// Sets the delay between receiving an entry and applying it.
    pub fn set_apply_lag(&self, lag: Duration) {
        let mut data = self.lock();
        data.apply_lag = lag;
        self.notify(&data);
    }

    /// Makes the member a replica with the given promise. Closes the statement
    /// connections if the member was the primary.
    fn step_down(&self, data: &mut MemberData, promise: MemberPromise) {
        let was_primary = data.promise.role == MemberRole::Primary;
        data.set_promise(promise);
        data.writer = None;
        data.heartbeat_at = None;
        if was_primary {
            self.close_connections();
        }
        self.notify(data);
    }

    /// Notifies the subscribers of a change to the state.
    fn notify(&self, data: &MemberData) {
        let target = data.follow_target();
        self.follow_targets.send_if_modified(|current| {
            let is_changed = *current != target;
            *current = target;
            is_changed
        });
        self.changes.send_modify(|count| *count += 1);
    }

    fn lock(&self) -> MutexGuard<'_, MemberData> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl MemberData {
    fn restore(saved: SavedState, disk: Option<DiskLog>, settings: &BackendSettings) -> Self {
        let store = CommittedStore::new();
        let stored_at = Instant::now();
        let log: Vec<StoredEntry> = saved
            .log
            .into_iter()
            .map(|entry| StoredEntry {
                entry: Arc::new(entry),
                stored_at,
            })
            .collect();
        let mut data = Self {
            promise: saved.promise.unwrap_or(MemberPromise {
                term: Term(0),
                granted: None,
                role: MemberRole::Replica,
                following: None,
            }),
            heartbeat_at: None,
            term_ends: term_ends(log.iter().map(|stored| stored.entry.position)),
            log,
            applied: 0,
            store,
            writer: None,
            disk,
            receive_lag: settings.receive_lag,
            apply_lag: settings.apply_lag,
        };
        data.apply_all();
        if data.promise.role == MemberRole::Primary {
            data.writer = Some(open_writer(&data.store));
        }
        data
    }

    /// Makes a member without stored state the first primary or a replica of it,
    /// at term 1.
    fn bootstrap(&mut self, settings: &BackendSettings) {
        let initial = MemberPromise {
            term: Term(1),
            granted: None,
            role: MemberRole::Replica,
            following: settings.follow,
        };
        if settings.bootstrap_primary {
            self.promise = MemberPromise {
                following: None,
                ..initial
            };
            self.become_primary();
        } else if settings.follow.is_some() {
            self.set_promise(initial);
        }
    }

    fn report(&self) -> MemberReport {
        let heartbeat_age = match self.promise.role {
            MemberRole::Primary => Some(Duration::ZERO),
            MemberRole::Replica => self.heartbeat_at.map(|instant| instant.elapsed()),
        };
        let report = MemberReport {
            promised_term: self.promise.term,
            role: self.promise.role,
            log: self.position_at(self.log.len()),
            applied: self.position_at(self.applied),
            primary_heartbeat_age: heartbeat_age,
        };
        debug_assert!(report.is_consistent());
        report
    }

    fn follow_target(&self) -> Option<FollowTarget> {
        Some(FollowTarget {
            term: self.promise.term,
            primary: self.promise.following?,
        })
    }

    fn position_at(&self, length: usize) -> LogPosition {
        match length.checked_sub(1) {
            Some(index) => self.log[index].entry.position,
            None => LogPosition::START,
        }
    }

    fn set_promise(&mut self, promise: MemberPromise) {
        if let Some(disk) = &mut self.disk {
            disk.write_promise(&promise);
        }
        self.promise = promise;
    }

    fn become_primary(&mut self) {
        // INVARIANT: The first entry of a term is the one that the promotion
        // appends, so a log with a position at the term contains every accepted
        // entry of lower terms. The entry is written before the role, so a
        // restarted primary always has it.
        self.append(Vec::new());
        self.set_promise(MemberPromise {
            role: MemberRole::Primary,
            ..self.promise
        });
        self.apply_all();
        self.writer = Some(open_writer(&self.store));
    }

    fn append(&mut self, statements: Vec<super::entry::LoggedStatement>) {
        let position = LogPosition {
            term: self.promise.term,
            offset: self.log.len() as u64 + 1,
        };
        self.push(LogEntry {
            position,
            statements,
        });
    }

    fn push(&mut self, entry: LogEntry) {
        if let Some(disk) = &mut self.disk {
            disk.write_entry(&entry);
        }
        match self.term_ends.last_mut() {
            Some(end) if end.term == entry.position.term => *end = entry.position,
            _ => self.term_ends.push(entry.position),
        }
        self.log.push(StoredEntry {
            entry: Arc::new(entry),
            stored_at: Instant::now(),
        });
    }

    /// Truncates the log to the common prefix with the primary, then appends the
    /// entries of the batch.
    fn append_batch(&mut self, batch: PullBatch) {
        let common = batch.common as usize;
        let diverged = common < self.log.len();
        if diverged {
            self.truncate(common);
        }
        for entry in batch.entries {
            self.push(entry);
        }
        if self.applied <= common {
            self.apply_due(Instant::now());
            return;
        }
        // The store contains entries that were just truncated, so it is rebuilt
        // from the log. All received entries are applied at once, without the
        // apply lag, so that the applied position does not fall below what the
        // primary has confirmed.
        self.store = CommittedStore::new();
        self.applied = 0;
        self.apply_all();
    }

    fn truncate(&mut self, length: usize) {
        if let Some(disk) = &mut self.disk {
            disk.write_truncate(length);
        }
        self.log.truncate(length);
        self.term_ends = term_ends(self.log.iter().map(|stored| stored.entry.position));
    }

    fn apply_due(&mut self, now: Instant) -> Option<Instant> {
        while let Some(stored) = self.log.get(self.applied) {
            let due = stored.stored_at + self.apply_lag;
            if due > now {
                return Some(due);
            }
            self.apply_through(self.applied + 1);
        }
        None
    }

    fn apply_all(&mut self) {
        self.apply_through(self.log.len());
    }

    fn apply_through(&mut self, length: usize) {
        for stored in &self.log[self.applied..length] {
            self.store.apply(&stored.entry);
        }
        self.applied = length;
    }
}

/// Returns the leading entries that are at least `lag` old. Stops after the
/// entry that exceeds [`BATCH_SOFT_LIMIT`].
fn due_entries(stored: &[StoredEntry], lag: Duration, now: Instant) -> Vec<LogEntry> {
    let mut entries = Vec::new();
    let mut bytes = 0;
    for stored in stored {
        if stored.stored_at + lag > now || bytes > BATCH_SOFT_LIMIT {
            break;
        }
        bytes += stored.entry.size();
        entries.push(LogEntry::clone(&stored.entry));
    }
    entries
}
