//! Calls to members and to the platform, each of which runs in its own task.

use std::future::Future;
use std::time::Instant;

use coordination::failover::LeaseAnswer;
use state::keys::MemberKey;
use state::log::Term;
use state::member::MemberReport;
use tokio::task::{JoinError, JoinSet};

use super::ProbeBudget;
use crate::services::Result;

/// Kind of a call to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallKind {
    /// A read of the member's report, as a probe.
    Report,
    /// A long poll for a log position, to confirm commits.
    Await,
    /// An order to fence the member at this term.
    Fence(Term),
    /// An order to promote the member at this term.
    Promote(Term),
    /// An order to follow a primary.
    Follow,
}

/// Result of a call to a member.
#[derive(Debug)]
pub(super) struct MemberResult {
    pub member: MemberKey,
    pub kind: CallKind,
    pub sent_at: Instant,
    pub answer: Result<MemberReport>,
}

/// Result of a spawned call.
#[derive(Debug)]
pub(super) enum CallResult {
    /// Result of a call to a member.
    Member(MemberResult),
    /// Result of acquiring the failover lease in the table service.
    Lease(LeaseAnswer),
    /// Result that the monitor does not use.
    Ignored,
}

/// Calls in flight of one monitor; dropping the set aborts them.
#[derive(Debug)]
pub(super) struct CallSet {
    tasks: JoinSet<CallResult>,
    budget: ProbeBudget,
}

impl CallSet {
    pub(super) fn new(budget: ProbeBudget) -> Self {
        Self {
            tasks: JoinSet::new(),
            budget,
        }
    }

    /// Spawns a call to a member.
    pub(super) fn spawn_member_call<A>(
        &mut self,
        member: MemberKey,
        kind: CallKind,
        now: Instant,
        call: A,
    ) where
        A: Future<Output = Result<MemberReport>> + Send + 'static,
    {
        self.budget.record_call();
        let meter = self.budget.meter().clone();
        self.tasks.spawn(async move {
            CallResult::Member(MemberResult {
                member,
                kind,
                sent_at: now,
                answer: meter.run(call).await,
            })
        });
    }

    /// Spawns a call to the platform.
    pub(super) fn spawn_platform_call<A>(&mut self, call: A)
    where
        A: Future<Output = CallResult> + Send + 'static,
    {
        self.tasks.spawn(call);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    /// Waits for the next result.
    pub(super) async fn next(&mut self) -> Option<CallResult> {
        self.tasks.join_next().await.map(propagate_panic)
    }

    /// Returns a result if one is available without waiting.
    pub(super) fn try_next(&mut self) -> Option<CallResult> {
        self.tasks.try_join_next().map(propagate_panic)
    }
}

/// Returns the result of a call. A panic in a call is a bug, so it is propagated
/// and ends the monitor too. A call is cancelled only when the process ends.
fn propagate_panic(joined: std::result::Result<CallResult, JoinError>) -> CallResult {
    match joined {
        Ok(result) => result,
        Err(error) if error.is_panic() => std::panic::resume_unwind(error.into_panic()),
        Err(_) => CallResult::Ignored,
    }
}
