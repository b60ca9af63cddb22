//! Applies documents to the context of a daemon's caller sessions.

use std::collections::BTreeSet;
use std::sync::{Arc, OnceLock};

use protocol::peer::CancelKey;
use state::settings::DaemonSettings;
use tokio::sync::{mpsc, watch};

use super::groups::GroupTable;
use super::share_hub::ShareHub;
use crate::caller::context::{CallerContext, DocumentInForce, GroupContext};
use crate::caller::metrics::CallerMetrics;
use crate::document_follower::AdoptedDocument;

/// Owns the context of the caller sessions, which exists once the daemon has a
/// document. Clones share the context.
#[derive(Clone, Debug)]
pub(super) struct CallerRuntime {
    parts: Arc<CallerParts>,
}

#[derive(Debug)]
struct CallerParts {
    settings: DaemonSettings,
    metrics: CallerMetrics,
    shutdown: watch::Receiver<bool>,
    peer_cancels: mpsc::Sender<CancelKey>,
    running: OnceLock<RunningCallers>,
}

#[derive(Debug)]
struct RunningCallers {
    context: Arc<CallerContext>,
    document: watch::Sender<Arc<DocumentInForce>>,
}

impl CallerRuntime {
    /// Creates the state of a daemon that has no document yet.
    pub(super) fn new(
        settings: DaemonSettings,
        metrics: CallerMetrics,
        shutdown: watch::Receiver<bool>,
        peer_cancels: mpsc::Sender<CancelKey>,
    ) -> Self {
        Self {
            parts: Arc::new(CallerParts {
                settings,
                metrics,
                shutdown,
                peer_cancels,
                running: OnceLock::new(),
            }),
        }
    }

    /// Returns the context, or `None` before the first document.
    pub(super) fn context(&self) -> Option<&Arc<CallerContext>> {
        self.parts.running.get().map(|running| &running.context)
    }

    /// Returns the number of caller connections.
    pub(super) fn count(&self) -> u64 {
        u64::try_from(self.parts.metrics.callers.get()).unwrap_or(0)
    }

    /// Applies a document. Groups that are in the document before and after keep
    /// their pools and sessions.
    pub(super) fn apply(&self, adopted: &AdoptedDocument, groups: &GroupTable, shares: &ShareHub) {
        let in_force = Arc::new(DocumentInForce {
            version: adopted.stamp.version,
            document: adopted.document.clone(),
        });
        let parts = &self.parts;
        let running = parts.running.get_or_init(|| parts.start(in_force.clone()));
        running.document.send_if_modified(|known| {
            let differs = known.version != in_force.version;
            *known = in_force;
            differs
        });
        running.apply_groups(adopted, groups, shares);
    }
}

impl CallerParts {
    fn start(&self, in_force: Arc<DocumentInForce>) -> RunningCallers {
        let (document, documents) = watch::channel(in_force);
        let settings = self.settings.clone();
        let shutdown = self.shutdown.clone();
        let mut context = CallerContext::new(settings, documents, shutdown, self.metrics.clone());
        context.peer_cancels = Some(self.peer_cancels.clone());
        RunningCallers {
            context: Arc::new(context),
            document,
        }
    }
}

impl RunningCallers {
    fn apply_groups(&self, adopted: &AdoptedDocument, groups: &GroupTable, shares: &ShareHub) {
        let document = &adopted.document;
        let queue_length = document.limits.queue_length as usize;
        let named: BTreeSet<&str> = document.group.iter().map(|one| one.name.as_str()).collect();
        for known in self.context.groups() {
            if !named.contains(known.name.as_str()) {
                self.context.remove_group(&known.name);
            }
        }
        for name in named {
            if let Some(known) = self.context.find_group(name) {
                known.set_queue_length(queue_length);
                continue;
            }
            if let Some(handle) = groups.find(name) {
                let group = GroupContext::new(name, handle, document);
                shares.apply_to(&group);
                self.context.set_group(group);
            }
        }
    }
}
