//! Pending commits and who waits for them.

use std::time::Instant;

use coordination::confirm::{CommitKey, CommitOutcome, ConfirmTracker, ResolvedCommit};
use slotmap::SecondaryMap;
use state::keys::MemberKey;
use state::log::LogPosition;
use state::member::MemberReport;
use tokio::sync::oneshot;

use crate::group_handle::ConfirmOutcome;

/// The commits of one group that wait for a majority.
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

    /// Adds a commit and answers at once when it is confirmed already.
    pub(super) fn add(&mut self, waiter: CommitWaiter, now: Instant) {
        if waiter.position.offset == 0 {
            // No commit has this position; the session's reading was wrong.
            let _ = waiter.reply.send(ConfirmOutcome::Unknown);
            return;
        }
        let ticket = self.tracker.add(waiter.position, waiter.deadline);
        self.waiters.insert(ticket, waiter);
        self.advance(now);
    }

    /// Enters a report.
    pub(super) fn report(&mut self, member: MemberKey, report: &MemberReport) {
        let settled = self.tracker.report(member, report);
        self.answer(settled);
    }

    /// Answers commits whose deadline has passed.
    pub(super) fn advance(&mut self, now: Instant) {
        let settled = self.tracker.advance(now);
        self.answer(settled);
    }

    /// Returns the instant at which [`Self::advance`] is due.
    pub(super) fn next_deadline(&self) -> Option<Instant> {
        self.tracker.next_deadline()
    }

    /// Returns the position to await at a member.
    pub(super) fn next_await(&self, member: MemberKey) -> Option<LogPosition> {
        self.tracker.next_await(member)
    }

    /// Starts again with other members. The pending commits stay and need a
    /// majority of the new members.
    pub(super) fn restart(&mut self, members: Vec<MemberKey>, now: Instant) {
        self.tracker = ConfirmTracker::new(members);
        let waiters = std::mem::take(&mut self.waiters);
        for (_, waiter) in waiters {
            self.add(waiter, now);
        }
    }

    fn answer(&mut self, settled: Vec<ResolvedCommit>) {
        for commit in settled {
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
