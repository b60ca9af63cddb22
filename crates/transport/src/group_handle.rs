//! The handle through which caller sessions use a group's monitor.

use std::sync::Arc;
use std::time::Instant;

use coordination::view::{GroupView, GroupWatermark};
use state::keys::MemberKey;
use state::log::{LogPosition, Term};
use tokio::sync::{mpsc, oneshot, watch};

/// Result of a request to the monitor.
pub type Result<T> = std::result::Result<T, MonitorGone>;

/// The monitor's task has ended, because the group was removed or the daemon
/// is shutting down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MonitorGone;

/// Whether a commit was confirmed by its deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfirmOutcome {
    /// A majority holds the commit at its term.
    Confirmed {
        /// A replica that confirmed it and can serve the session's next read.
        replica: Option<MemberKey>,
    },
    /// Not confirmed in time, or the term has ended: the outcome is unknown.
    Unknown,
}

/// A request to the monitor.
#[derive(Debug)]
pub enum MonitorRequest {
    /// Asks for a watermark whose round starts after this request arrived.
    Watermark {
        /// Receives the watermark.
        reply: oneshot::Sender<GroupWatermark>,
    },
    /// Asks for the confirmation of a commit.
    Confirm {
        /// Position of the commit at the term of its primary.
        position: LogPosition,
        /// Deadline.
        deadline: Instant,
        /// Receives the outcome.
        reply: oneshot::Sender<ConfirmOutcome>,
    },
    /// Reports that an exchange with a member failed, so that it is probed at
    /// once.
    Suspect {
        /// The member.
        member: MemberKey,
    },
}

/// Handle to the monitor of one group.
#[derive(Clone, Debug)]
pub struct GroupHandle {
    views: watch::Receiver<Arc<GroupView>>,
    terms: watch::Receiver<Term>,
    requests: mpsc::Sender<MonitorRequest>,
}

/// Waits for the end of the term at which a connection was checked out.
///
/// It follows a channel that changes with the highest term only. Views change
/// with each report, and would wake every exchange in flight at each commit.
#[derive(Clone, Debug)]
pub struct TermWatch {
    terms: watch::Receiver<Term>,
    term: Term,
}

impl TermWatch {
    /// Waits until a term above the watched one is known. Never returns when
    /// the monitor has ended without one.
    pub async fn ended(&mut self) {
        let term = self.term;
        let ended = self.terms.wait_for(|highest| *highest > term).await.is_ok();
        if !ended {
            std::future::pending::<()>().await;
        }
    }
}

/// Publishes views, and the highest term whenever it changes.
#[derive(Debug)]
pub(crate) struct ViewPublisher {
    views: watch::Sender<Arc<GroupView>>,
    terms: watch::Sender<Term>,
}

impl ViewPublisher {
    pub(crate) fn publish(&self, view: GroupView) {
        let highest = view.highest_term();
        // The view comes first: who sees the new term routes by it.
        self.views.send_replace(Arc::new(view));
        self.terms.send_if_modified(|term| {
            let changed = *term != highest;
            *term = highest;
            changed
        });
    }
}

impl GroupHandle {
    /// Builds a handle and the publisher of its views.
    pub(crate) fn new(
        view: GroupView,
        requests: mpsc::Sender<MonitorRequest>,
    ) -> (Self, ViewPublisher) {
        let (term_sender, terms) = watch::channel(view.highest_term());
        let (view_sender, views) = watch::channel(Arc::new(view));
        let publisher = ViewPublisher {
            views: view_sender,
            terms: term_sender,
        };
        let handle = Self {
            views,
            terms,
            requests,
        };
        (handle, publisher)
    }

    /// Returns a watch for the end of `term`.
    pub fn watch_term(&self, term: Term) -> TermWatch {
        TermWatch {
            terms: self.terms.clone(),
            term,
        }
    }

    /// Returns the newest view.
    pub fn view(&self) -> Arc<GroupView> {
        self.views.borrow().clone()
    }

    /// Returns the newest view and marks it as seen, so that
    /// [`Self::next_view`] waits for a later one.
    pub fn mark_view(&mut self) -> Arc<GroupView> {
        self.views.borrow_and_update().clone()
    }

    /// Waits for a view that differs from the last one that this handle saw.
    pub async fn next_view(&mut self) -> Result<Arc<GroupView>> {
        self.views.changed().await.map_err(|_| MonitorGone)?;
        Ok(self.views.borrow_and_update().clone())
    }

    /// Waits for a watermark that is asked after this call.
    pub async fn watermark(&self) -> Result<GroupWatermark> {
        let (reply, answer) = oneshot::channel();
        self.send(MonitorRequest::Watermark { reply }).await?;
        answer.await.map_err(|_| MonitorGone)
    }

    /// Asks for a watermark without waiting for it. The request counts even if
    /// other events end a wait in between; dropping the receiver withdraws it.
    pub fn request_watermark(&self) -> Result<oneshot::Receiver<GroupWatermark>> {
        let (reply, answer) = oneshot::channel();
        let request = MonitorRequest::Watermark { reply };
        self.requests.try_send(request).map_err(|_| MonitorGone)?;
        Ok(answer)
    }

    /// Waits until a commit is confirmed or its deadline has passed.
    pub async fn confirm(&self, position: LogPosition, deadline: Instant) -> ConfirmOutcome {
        let (reply, answer) = oneshot::channel();
        let request = MonitorRequest::Confirm {
            position,
            deadline,
            reply,
        };
        if self.send(request).await.is_err() {
            return ConfirmOutcome::Unknown;
        }
        answer.await.unwrap_or(ConfirmOutcome::Unknown)
    }

    /// Reports a failed exchange with a member. Dropped when the monitor is
    /// busy, since it then probes soon anyway.
    pub fn suspect(&self, member: MemberKey) {
        let _ = self.requests.try_send(MonitorRequest::Suspect { member });
    }

    async fn send(&self, request: MonitorRequest) -> Result<()> {
        self.requests.send(request).await.map_err(|_| MonitorGone)
    }
}
