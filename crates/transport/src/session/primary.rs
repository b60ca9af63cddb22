//! Work at the primary: exchange, position, confirmation.

use std::time::{Duration, Instant};

use coordination::retry::{ErrorClass, SendProgress};
use coordination::routing::ReplicaPosition;
use protocol::frame;
use protocol::options::SessionVariable;
use state::keys::MemberKey;
use state::log::{LogPosition, Term};
use state::member::MemberRole;

use super::exchange::{
    self, ExchangeFailure, ExchangeOrder, ExchangeReport, PositionReading, SqlState,
};
use super::policy::ReadPolicy;
use super::read::READ_ONLY;
use super::refusal::{Result, StepError};
use super::work::{Work, WorkSummary};
use super::CallerSession;
use crate::backend::STATUS_IDLE;
use crate::caller::cancel::CancelTarget;
use crate::group_handle::ConfirmOutcome;
use crate::pool::PooledConnection;

/// How work at the primary ended.
#[derive(Debug)]
pub(super) enum PrimaryEnd {
    /// The answer is in the caller's output.
    Answered(ExchangeReport),
    /// No answer; the connection must not be used any more unless the error
    /// is `RefusedNotRun`.
    Failed {
        error: ErrorClass,
        progress: SendProgress,
    },
}

/// The place of work relative to a transaction.
#[derive(Clone, Copy, Debug)]
pub(super) struct PrimaryPlace {
    pub(super) member: MemberKey,
    /// Term at which the connection was taken from the pool.
    pub(super) term: Term,
    /// Whether a transaction was open before the work.
    pub(super) in_transaction: bool,
    /// Whether the transaction, or the frames before, may have written.
    pub(super) wrote: bool,
}

/// Work with the queries in front of it.
#[derive(Clone, Copy, Debug)]
pub(super) struct PrimaryWork<'a> {
    pub(super) work: &'a Work<'a>,
    pub(super) summary: &'a WorkSummary,
    pub(super) prefix: &'a [String],
    pub(super) needs_prefix: bool,
}

impl CallerSession {
    /// Runs work on a connection to the primary. A commit is answered only
    /// once a majority has confirmed it.
    pub(super) async fn run_at_primary(
        &mut self,
        connection: &mut PooledConnection,
        place: PrimaryPlace,
        run: PrimaryWork<'_>,
        policy: &ReadPolicy,
        deadline: Instant,
    ) -> Result<PrimaryEnd> {
        let summary = run.summary;
        let may_commit = may_commit(run.work, summary, place);
        let ends_outside = ends_outside(run.work, summary, place);
        let order = ExchangeOrder {
            prefix: run.prefix,
            needs_prefix: run.needs_prefix,
            work: run.work,
            // Behind reads too: what the primary showed becomes a pending bound.
            ask_position: ends_outside,
            hold: may_commit,
            deadline,
            patience: policy.statement,
        };
        let floor = self.io.output.len();
        let report = match self.exchange(connection, &order).await? {
            Ok(report) => report,
            Err(progress) => return Ok(failed(ErrorClass::ConnectionLost, progress)),
        };
        if let Some(error) = &report.error {
            let untouched = !place.in_transaction && !place.wrote && !summary.may_end();
            let output_kept = self.io.output.len() >= floor;
            if error == READ_ONLY && untouched && !summary.begins && output_kept {
                self.io.output.truncate(floor);
                return Ok(failed(ErrorClass::RefusedNotRun, SendProgress::Sent));
            }
            if may_commit && is_ambiguous(error) {
                self.io.output.truncate(floor);
                return Ok(failed(ErrorClass::ConnectionLost, SendProgress::Sent));
            }
        }
        if let Some(reading) = report.position {
            self.bound.record_read(reading.position);
        }
        if !may_commit || !has_committed(connection.status(), summary, &report) {
            return Ok(PrimaryEnd::Answered(report));
        }
        let position = report.position;
        if self.confirm(position, place, policy, deadline).await {
            return Ok(PrimaryEnd::Answered(report));
        }
        self.io.output.truncate(floor.min(self.io.output.len()));
        Ok(failed(ErrorClass::NotConfirmed, SendProgress::Sent))
    }

    /// Runs an exchange that the caller may cancel.
    pub(super) async fn exchange(
        &mut self,
        connection: &mut PooledConnection,
        order: &ExchangeOrder<'_>,
    ) -> Result<std::result::Result<ExchangeReport, SendProgress>> {
        let address = connection.address();
        let target = connection.cancel_key();
        let target = target.map(|key| CancelTarget { address, key });
        self.cancel.set_target(target);
        let ran = exchange::run(&mut self.io, connection, order).await;
        self.cancel.set_target(None);
        match ran {
            Ok(report) => {
                for name in &report.failed_names {
                    self.batch.forget(name);
                }
                // The server ignores everything up to Sync after an error.
                self.skip_to_sync |= report.error.is_some() && !order.work.is_synced();
                Ok(Ok(report))
            }
            Err(ExchangeFailure::Caller(error)) => Err(StepError::CallerGone(error)),
            Err(ExchangeFailure::Backend { error, progress }) => {
                log::debug!("backend server {address}: {error}");
                Ok(Err(progress))
            }
        }
    }

    /// Waits for the confirmation of a commit and enters it into the session.
    pub(super) async fn confirm(
        &mut self,
        reading: Option<PositionReading>,
        place: PrimaryPlace,
        policy: &ReadPolicy,
        deadline: Instant,
    ) -> bool {
        let Some(PositionReading { role, position }) = reading else {
            return false;
        };
        // INVARIANT: a commit is confirmed at the term of its connection only.
        if role != MemberRole::Primary || position.term != place.term {
            self.group.handle.suspect(place.member);
            return false;
        }
        let deadline = confirm_deadline(policy.confirm, deadline);
        match self.group.handle.confirm(position, deadline).await {
            ConfirmOutcome::Confirmed { replica } => {
                self.note_confirmed(position, replica);
                true
            }
            ConfirmOutcome::Unknown => false,
        }
    }

    fn note_confirmed(&mut self, position: LogPosition, replica: Option<MemberKey>) {
        self.bound.record_confirmed_write(position);
        self.confirmed_at = replica.map(|member| ReplicaPosition { member, position });
        if let Some(token) = self.bound.token(&self.group.name) {
            let name = SessionVariable::SessionToken.name();
            frame::put_parameter(&mut self.io.output, name, &token.to_string());
        }
    }
}

fn failed(error: ErrorClass, progress: SendProgress) -> PrimaryEnd {
    PrimaryEnd::Failed { error, progress }
}

fn confirm_deadline(longest: Duration, deadline: Instant) -> Instant {
    deadline.min(Instant::now() + longest)
}

/// Tells whether a transaction that may have written may end in the work.
fn may_commit(work: &Work<'_>, summary: &WorkSummary, place: PrimaryPlace) -> bool {
    let writes = summary.writes || place.wrote || summary.opaque;
    writes && ends_outside(work, summary, place)
}

/// Tells whether the work may end outside a transaction.
fn ends_outside(work: &Work<'_>, summary: &WorkSummary, place: PrimaryPlace) -> bool {
    let open_end = place.in_transaction || summary.begins;
    work.is_synced() && (!open_end || summary.may_end())
}

/// Tells whether something may have committed.
fn has_committed(status: u8, summary: &WorkSummary, report: &ExchangeReport) -> bool {
    if (summary.commits && summary.statements > 1) || summary.opaque {
        return true;
    }
    let rolled_back = report.command_tag.as_deref() == Some("ROLLBACK");
    status == STATUS_IDLE && report.error.is_none() && !rolled_back
}

/// Tells whether an error may have arrived after the commit took effect: the
/// server was shutting down or losing connections.
pub(super) fn is_ambiguous(error: &SqlState) -> bool {
    error.starts_with(b"57P") || error.starts_with(b"08") || error == b"40003"
}
