//! Pending commits and the sessions that wait for their confirmation.

use std::time::Instant;

use coordination::confirm::{CommitKey, CommitOutcome, ConfirmTracker, ResolvedCommit};
use slotmap::SecondaryMap;
use state::keys::MemberKey;
use state::log::LogPosition;
use state::member::MemberReport;
use tokio::sync::oneshot;

use crate::group_handle::ConfirmOutcome;

/// Commits of one group that no majority has confirmed yet.
#[derive(Debug)]
pub(super) struct PendingConfirmations {
    tracker: ConfirmTracker,
    waiters: SecondaryMap<CommitKey, CommitWaiter>,
}

/// A caller session that waits for its commit.
#[derive(Debug)]
pub(super) struct CommitWaiter {
    pub position: LogPosition,
    pub deadline: Instant,
    pub reply: oneshot::Sender<ConfirmOutcome>,
}

impl PendingConfirmations {
    pub(super) fn new(members: Vec<MemberKey>) -> Self {
        Self {
            tracker: ConfirmTracker::new(members),
            waiters: SecondaryMap::new(),
        }
    }

    /// Adds a commit; answers at once if it is confirmed already.
    pub(super) fn add(&mut self, waiter: CommitWaiter, now: Instant) {
        if waiter.position.offset == 0 {
            // No commit has offset 0, so the session read a wrong position.
            let _ = waiter.reply.send(ConfirmOutcome::Unknown);
            return;
        }
        let key = self.tracker.add(waiter.position, waiter.deadline);
        self.waiters.insert(key, waiter);
        self.advance(now);
    }

    /// Applies a member's report and answers the commits that it resolves.
    pub(super) fn report(&mut self, member: MemberKey, report: &MemberReport) {
        let resolved = self.tracker.report(member, report);
        self.answer(resolved);
    }

    /// Answers the commits whose deadline has passed.
    pub(super) fn advance(&mut self, now: Instant) {
        let resolved = self.tracker.advance(now);
        self.answer(resolved);
    }

    /// Returns the instant at which [`Self::advance`] is due.
    pub(super) fn next_deadline(&self) -> Option<Instant> {
        self.tracker.next_deadline()
    }

    /// Returns the position for the next long poll of a member, if any.
    pub(super) fn next_await(&self, member: MemberKey) -> Option<LogPosition> {
        self.tracker.next_await(member)
    }

    /// Replaces the members. Pending commits stay pending, but need a majority of
    /// the new members.
    pub(super) fn restart(&mut self, members: Vec<MemberKey>, now: Instant) {
        self.tracker = ConfirmTracker::new(members);
        let waiters = std::mem::take(&mut self.waiters);
        for (_, waiter) in waiters {
            self.add(waiter, now);
        }
    }

    fn answer(&mut self, resolved: Vec<ResolvedCommit>) {
        for commit in resolved {
            let Some(waiter) = self.waiters.remove(commit.key) else {
                continue;
            };
            let outcome = match commit.outcome {
                CommitOutcome::Confirmed { replica } => ConfirmOutcome::Confirmed { replica },
                CommitOutcome::Unknown => ConfirmOutcome::Unknown,
            };
            let _ = waiter.reply.send(outcome);
        }
    }
}
