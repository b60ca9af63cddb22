//! Calls to members and to the platform that run as tasks of their own.

use std::future::Future;
use std::time::Instant;

use coordination::failover::LeaseAnswer;
use state::keys::MemberKey;
use state::log::Term;
use state::member::MemberReport;
use tokio::task::{JoinError, JoinSet};

use super::ProbeBudget;
use crate::services::Result;

/// Which call a result belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallKind {
    /// A probe.
    Report,
    /// A long poll for the confirmation of commits.
    Await,
    /// A fence at this term.
    Fence(Term),
    /// A promotion at this term.
    Promote(Term),
    /// An order to follow.
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
    /// From a member.
    Member(MemberResult),
    /// From the table service, about the lease.
    Lease(LeaseAnswer),
    /// A call whose answer does not matter.
    Ignored,
}

/// The calls in flight of one monitor; dropping it ends them.
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
    pub(super) fn member<A>(&mut self, member: MemberKey, kind: CallKind, now: Instant, call: A)
    where
        A: Future<Output = Result<MemberReport>> + Send + 'static,
    {
        self.budget.note_call();
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
    pub(super) fn platform<A>(&mut self, call: A)
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
        self.tasks.join_next().await.map(raise_panic)
    }

    /// Returns a result that is there already.
    pub(super) fn try_next(&mut self) -> Option<CallResult> {
        self.tasks.try_join_next().map(raise_panic)
    }
}

/// A panic in a call is a fault of the program, so it ends the monitor too. A
/// call is cancelled only when the process ends.
fn raise_panic(joined: std::result::Result<CallResult, JoinError>) -> CallResult {
    match joined {
        Ok(result) => result,
        Err(error) if error.is_panic() => std::panic::resume_unwind(error.into_panic()),
        Err(_) => CallResult::Ignored,
    }
}
