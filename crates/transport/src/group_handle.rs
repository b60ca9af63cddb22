//! Handle through which caller sessions use the monitor of a group.

use std::sync::Arc;
use std::time::Instant;

use coordination::view::{GroupView, GroupWatermark};
use state::keys::MemberKey;
use state::log::{LogPosition, Term};
use tokio::sync::{mpsc, oneshot, watch};

/// Result of a request to the monitor.
pub type Result<T> = std::result::Result<T, MonitorStopped>;

/// Error of a request to a monitor whose task has ended, because the group was
/// removed or the daemon is shutting down. [`GroupHandle::request_watermark`]
/// returns it for a full request queue as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MonitorStopped;

/// Outcome of waiting for the confirmation of a commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfirmOutcome {
    /// A majority of the members holds the commit at its term.
    Confirmed {
        /// A replica that confirmed the commit, so it can serve the session's
        /// next read.
        replica: Option<MemberKey>,
    },
    /// The deadline passed, the term ended or the monitor stopped before a
    /// majority confirmed the commit, so its outcome is unknown.
    Unknown,
}

/// A request to the monitor.
#[derive(Debug)]
pub enum MonitorRequest {
    /// Requests a watermark from a round that starts after this request arrives.
    Watermark {
        /// Receives the watermark.
        reply: oneshot::Sender<GroupWatermark>,
    },
    /// Requests the confirmation of a commit.
    Confirm {
        /// Log position of the commit, with the term of its primary.
        position: LogPosition,
        /// Instant after which the outcome is reported as unknown.
        deadline: Instant,
        /// Receives the outcome.
        reply: oneshot::Sender<ConfirmOutcome>,
    },
    /// Reports a failed exchange with a member, which is then probed at once.
    Suspect {
        /// The member to probe.
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
/// The watch uses a channel that carries the highest term only. The channel of
/// views changes with each report, so it would wake every exchange in flight at
/// each commit.
#[derive(Clone, Debug)]
pub struct TermWatch {
    terms: watch::Receiver<Term>,
    term: Term,
}

impl TermWatch {
    /// Waits until a term above the watched one is known. Never returns if the
    /// monitor ends before that.
    pub async fn ended(&mut self) {
        let term = self.term;
        let ended = self.terms.wait_for(|highest| *highest > term).await.is_ok();
        if !ended {
            std::future::pending::<()>().await;
        }
    }
}

/// Publishes each new view, and the highest term whenever that changes.
#[derive(Debug)]
pub(crate) struct ViewPublisher {
    views: watch::Sender<Arc<GroupView>>,
    terms: watch::Sender<Term>,
}

impl ViewPublisher {
    pub(crate) fn publish(&self, view: GroupView) {
        let highest = view.highest_term();
        // Sessions that are woken by the new term route by the newest view, so
        // the view must be published first.
        self.views.send_replace(Arc::new(view));
        self.terms.send_if_modified(|term| {
            let changed = *term != highest;
            *term = highest;
            changed
        });
    }
}

impl GroupHandle {
    /// Returns a handle and the publisher that feeds it.
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
    pub fn view_and_mark_seen(&mut self) -> Arc<GroupView> {
        self.views.borrow_and_update().clone()
    }

    /// Waits for a view that differs from the last one that this handle saw.
    pub async fn next_view(&mut self) -> Result<Arc<GroupView>> {
        self.views.changed().await.map_err(|_| MonitorStopped)?;
        Ok(self.views.borrow_and_update().clone())
    }

    /// Waits for a watermark from a round that starts after this call.
    pub async fn watermark(&self) -> Result<GroupWatermark> {
        let (reply, answer) = oneshot::channel();
        self.send(MonitorRequest::Watermark { reply }).await?;
        answer.await.map_err(|_| MonitorStopped)
    }

    /// Requests a watermark without waiting for it. The request stays pending
    /// while the caller handles other events; dropping the receiver cancels it.
    pub fn request_watermark(&self) -> Result<oneshot::Receiver<GroupWatermark>> {
        let (reply, answer) = oneshot::channel();
        let request = MonitorRequest::Watermark { reply };
        self.requests
            .try_send(request)
            .map_err(|_| MonitorStopped)?;
        Ok(answer)
    }

    /// Waits until a commit is confirmed or `deadline` has passed.
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

    /// Reports a failed exchange with a member. The report is dropped if the
    /// monitor's queue is full, since its next probe round is due soon anyway.
    pub fn suspect(&self, member: MemberKey) {
        let _ = self.requests.try_send(MonitorRequest::Suspect { member });
    }

    async fn send(&self, request: MonitorRequest) -> Result<()> {
        self.requests
            .send(request)
            .await
            .map_err(|_| MonitorStopped)
    }
}
