//! Writes, transactions and session features.

use std::time::Instant;

use coordination::request_record::{insert_sql, record_tag_sql, LookUpReply, CREATE_TABLE_SQL};
use coordination::retry::{ErrorClass, RetryKind, SendProgress};
use protocol::result_code::ResultCode;
use state::log::Term;
use state::request::{RequestId, RequestOutcome};

use super::attempt::AttemptCounter;
use super::exchange::SqlState;
use super::pin::PinnedConnection;
use super::policy::ReadPolicy;
use super::primary::{PrimaryEnd, PrimaryPlace, PrimaryWork};
use super::recorded::look_up;
use super::refusal::{refuse, Result, StepError};
use super::route::{self, AcquireFailure, AcquiredConnection};
use super::work::{Work, WorkSummary};
use super::{CallerSession, LostTransaction};
use crate::backend::STATUS_IDLE;

/// SQLSTATE of a unique violation: the request id is recorded already.
pub(super) const UNIQUE_VIOLATION: &[u8; 5] = b"23505";
/// Command tag that is recorded for a transaction.
const COMMIT_TAG: &str = "COMMIT";

impl CallerSession {
    /// Runs work that needs the primary, outside a pinned connection.
    pub(super) async fn run_write(
        &mut self,
        work: &Work<'_>,
        summary: &WorkSummary,
        policy: &ReadPolicy,
        deadline: Instant,
    ) -> Result<()> {
        let id = self.id_of(summary);
        if let Some(id) = id.filter(|_| summary.writes && !summary.begins) {
            if summary.pins || summary.may_end() || !work.is_synced() {
                let reason = "a request id needs a single write or a transaction";
                return refuse(ResultCode::BadVariable, reason);
            }
            return self.run_recorded(work, &id, policy, deadline).await;
        }
        // A lone BEGIN commits nothing, so it may be repeated like a read.
        let kind = match summary.writes || summary.opaque {
            true => RetryKind::Write,
            false => RetryKind::Read,
        };
        let mut attempts = AttemptCounter::new(&self.context, kind, false, deadline);
        loop {
            let acquired = self.acquire_write(summary.begins, policy, deadline).await?;
            let Some(mut acquired) = acquired else {
                let error = ErrorClass::ConnectFailed;
                let progress = SendProgress::NotSent;
                attempts.retry(&self.context, error, progress).await?;
                continue;
            };
            let place = place_of(&acquired);
            let run = PrimaryWork {
                work,
                summary,
                prefix: &[],
                needs_prefix: false,
            };
            let connection = &mut acquired.connection;
            let end = self
                .run_at_primary(connection, place, run, policy, deadline)
                .await?;
            match end {
                PrimaryEnd::Answered(_) => {
                    self.settle(acquired, work, summary);
                    return Ok(());
                }
                PrimaryEnd::Failed { error, progress } => {
                    self.give_up(acquired, error);
                    attempts.retry(&self.context, error, progress).await?;
                }
            }
        }
    }

    /// Returns the request id of a write.
    fn id_of(&self, summary: &WorkSummary) -> Option<RequestId> {
        let marked = summary.request_id.as_ref();
        marked.or(self.variables.request_id.as_ref()).cloned()
    }

    /// Drops a connection on which work failed.
    pub(super) fn give_up(&self, acquired: AcquiredConnection, error: ErrorClass) {
        self.group.handle.suspect(acquired.member.key);
        if error != ErrorClass::RefusedNotRun {
            acquired.connection.close();
        }
    }

    /// Keeps the connection for the session, or returns it to the pool.
    fn settle(&mut self, mut acquired: AcquiredConnection, work: &Work<'_>, summary: &WorkSummary) {
        if let Some(permit) = &mut acquired.permit {
            permit.record_answer();
        }
        if summary.opaque || summary.pins {
            acquired.connection.require_discard();
        }
        let in_transaction = acquired.connection.status() != STATUS_IDLE;
        if !summary.pins && !in_transaction && work.is_synced() {
            return;
        }
        self.pin = Some(PinnedConnection {
            member: acquired.member.key,
            term: acquired.member.term,
            connection: acquired.connection,
            keeps_session: summary.pins,
            wrote: (summary.writes || summary.opaque) && (in_transaction || !work.is_synced()),
            read_only: false,
            in_batch: !work.is_synced(),
            recorded: None,
        });
    }

    /// Finds a connection to the primary; `None` when it could not be reached
    /// and another attempt may succeed. `reads` tells that answers may be
    /// shown before anything is confirmed, so that the primary must have what
    /// the session must see.
    pub(super) async fn acquire_write(
        &mut self,
        reads: bool,
        policy: &ReadPolicy,
        deadline: Instant,
    ) -> Result<Option<AcquiredConnection>> {
        let cancel = self.cancel.clone();
        tokio::select! {
            biased;
            acquired = self.find_primary(reads, policy, deadline) => acquired,
            () = cancel.cancelled() => Err(StepError::Cancelled),
        }
    }

    async fn find_primary(
        &mut self,
        reads: bool,
        policy: &ReadPolicy,
        deadline: Instant,
    ) -> Result<Option<AcquiredConnection>> {
        if reads {
            self.ensure_bound(deadline).await?;
        }
        let at_least = self.bound.bound().unwrap_or_default().term;
        let member = route::route_write(&self.group, at_least, deadline).await?;
        let admission = self.admission(policy, false, deadline);
        match route::acquire(&self.group, member, &admission).await {
            Ok(acquired) => Ok(Some(acquired)),
            Err(AcquireFailure::Unreachable) => Ok(None),
            Err(AcquireFailure::Refused(refusal)) => Err(refusal.into()),
        }
    }

    /// Runs work on the session's own connection.
    pub(super) async fn run_pinned(
        &mut self,
        work: &Work<'_>,
        summary: &WorkSummary,
        policy: &ReadPolicy,
        deadline: Instant,
    ) -> Result<()> {
        let Some(mut pin) = self.pin.take() else {
            return Ok(());
        };
        if !pin.read_only && self.group.handle.view().highest_term() > pin.term {
            // The member is no longer primary. Closing the connection ends
            // the transaction; its commit was not sent.
            self.pin = Some(pin);
            return self.lose_transaction(work, summary, "the primary was replaced");
        }
        let id = self.id_to_record(&pin, summary)?;
        let prefix = prefix_of(&pin, id.as_ref(), summary);
        let place = PrimaryPlace {
            member: pin.member,
            term: pin.term,
            in_transaction: pin.in_transaction(),
            wrote: pin.wrote,
        };
        let run = PrimaryWork {
            work,
            summary,
            prefix: &prefix,
            needs_prefix: id.is_some(),
        };
        let connection = &mut pin.connection;
        let end = self
            .run_at_primary(connection, place, run, policy, deadline)
            .await?;
        match end {
            PrimaryEnd::Answered(report) => {
                if let (Some(id), Some((index, error))) = (&id, report.prefix_error) {
                    let conflicts = index + 1 == prefix.len() && &error == UNIQUE_VIOLATION;
                    let error = (!conflicts).then_some(error);
                    return self.refuse_recorded(pin, id, error, policy, deadline).await;
                }
                if id.is_some() {
                    pin.recorded = id;
                }
                self.settle_pin(pin, work, summary);
                Ok(())
            }
            PrimaryEnd::Failed { error, .. } => {
                self.fail_pinned(pin, work, summary, error, deadline).await
            }
        }
    }

    /// Returns the id that must be recorded before this work: the first write
    /// of a transaction records it.
    fn id_to_record(
        &self,
        pin: &PinnedConnection,
        summary: &WorkSummary,
    ) -> Result<Option<RequestId>> {
        let Some(id) = self.id_of(summary) else {
            return Ok(None);
        };
        if !summary.writes || pin.recorded.as_ref() == Some(&id) {
            return Ok(None);
        }
        if pin.recorded.is_some() {
            let reason = "the transaction has another request id";
            return refuse(ResultCode::BadVariable, reason);
        }
        if !pin.in_transaction() || summary.may_end() {
            let reason = "a request id needs a single write or a transaction";
            return refuse(ResultCode::BadVariable, reason);
        }
        Ok(Some(id))
    }

    /// Answers the first write of a transaction whose request id could not be
    /// inserted. The transaction ends. Without an error the id is in the table
    /// already; the answer is the recorded outcome, because the request may have
    /// run before.
    async fn refuse_recorded(
        &mut self,
        mut pin: PinnedConnection,
        id: &RequestId,
        error: Option<SqlState>,
        policy: &ReadPolicy,
        deadline: Instant,
    ) -> Result<()> {
        self.lost = Some(LostTransaction::Reported);
        if let Some(error) = error {
            let sqlstate = String::from_utf8_lossy(&error);
            let reason = format!("request id {id} could not be recorded ({sqlstate})");
            return refuse(ResultCode::TransactionLost, reason);
        }
        self.variables.spend(id);
        let place = PrimaryPlace {
            member: pin.member,
            term: pin.term,
            in_transaction: false,
            wrote: false,
        };
        let unknown = || {
            refuse(
                ResultCode::OutcomeUnknown,
                "the recorded outcome was not found",
            )
        };
        let found = look_up(&mut pin.connection, id, deadline).await;
        let keeps_session = pin.keeps_session;
        if keeps_session && pin.connection.is_settled() {
            self.pin = Some(pin);
        }
        let Some((LookUpReply::Found(outcome), position)) = found else {
            return unknown();
        };
        if !self.confirm(position, place, policy, deadline).await {
            return unknown();
        }
        match outcome {
            RequestOutcome::Blocked => {
                refuse(ResultCode::RequestBlocked, format!("request id {id}"))
            }
            RequestOutcome::Committed { tag } => {
                Err(StepError::AlreadyRan(format!("request id {id}, {tag}")))
            }
        }
    }

    fn settle_pin(&mut self, mut pin: PinnedConnection, work: &Work<'_>, summary: &WorkSummary) {
        if summary.opaque || summary.pins {
            pin.connection.require_discard();
        }
        pin.keeps_session |= summary.pins;
        pin.in_batch = !work.is_synced();
        let stays_open = pin.in_transaction() || pin.in_batch;
        pin.wrote = stays_open && (pin.wrote || summary.writes || summary.opaque);
        if !pin.in_transaction() {
            if let Some(id) = pin.recorded.take() {
                self.variables.spend(&id);
            }
        }
        if pin.keeps_session || stays_open {
            self.pin = Some(pin);
        }
    }

    /// Answers work whose connection was lost, or whose commit was not
    /// confirmed.
    async fn fail_pinned(
        &mut self,
        pin: PinnedConnection,
        work: &Work<'_>,
        summary: &WorkSummary,
        error: ErrorClass,
        deadline: Instant,
    ) -> Result<()> {
        self.group.handle.suspect(pin.member);
        let recorded = pin.recorded.clone();
        let writes = pin.wrote || summary.writes || summary.opaque;
        let ends = summary.commits || summary.opaque || summary.rolls_back_and_goes_on();
        let may_have_committed = writes && (ends || !pin.in_transaction());
        self.pin = Some(pin);
        if !may_have_committed {
            return self.lose_transaction(work, summary, "its connection was lost");
        }
        self.lose_pin();
        self.lost = None;
        if let Some(id) = recorded {
            self.variables.spend(&id);
            return self.resolve_commit(&id, summary, deadline).await;
        }
        let reason = match error {
            ErrorClass::NotConfirmed => "no majority confirmed it in time",
            _ => "the connection was lost after it was sent",
        };
        refuse(ResultCode::OutcomeUnknown, reason)
    }

    /// Closes the pinned connection of a transaction whose commit was not sent.
    fn lose_transaction(
        &mut self,
        work: &Work<'_>,
        summary: &WorkSummary,
        reason: &str,
    ) -> Result<()> {
        self.lose_pin();
        if self.lost.is_some() {
            self.lost = Some(LostTransaction::Reported);
        }
        if summary.commits || summary.rolls_back {
            // The caller ends the transaction, which is gone already.
            self.lost = None;
        }
        if summary.rolls_back && !summary.rolls_back_and_goes_on() {
            work.put_recorded(&mut self.io.output, "ROLLBACK");
            return Ok(());
        }
        refuse(ResultCode::TransactionLost, reason)
    }
}

pub(super) fn place_of(acquired: &AcquiredConnection) -> PrimaryPlace {
    PrimaryPlace {
        member: acquired.member.key,
        term: Term(acquired.member.term.0),
        in_transaction: false,
        wrote: false,
    }
}

/// Queries in front of work in a transaction: the id goes before the first
/// write, its tag before the commit.
fn prefix_of(pin: &PinnedConnection, id: Option<&RequestId>, summary: &WorkSummary) -> Vec<String> {
    if let Some(id) = id {
        // The first request id of a group may come inside a transaction, which
        // must not fail for want of the table.
        return vec![CREATE_TABLE_SQL.to_owned(), insert_sql(id)];
    }
    match &pin.recorded {
        Some(id) if summary.commits => vec![record_tag_sql(id, COMMIT_TAG)],
        _ => Vec::new(),
    }
}
