//! The monitors of the document's groups.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use state::clock::MonotonicClock;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::callers::CallerSide;
use super::share_hub::ShareHub;
use crate::document_follower::AdoptedDocument;
use crate::group_handle::GroupHandle;
use crate::monitor::{self, MonitorConfig, MonitorServices};
use crate::services::{ControlFactory, TableService};

/// The running monitors; its clones share them.
#[derive(Clone, Debug, Default)]
pub(super) struct GroupTable {
    groups: Arc<Mutex<BTreeMap<String, RunningGroup>>>,
}

#[derive(Debug)]
struct RunningGroup {
    /// Dropping it ends the monitor.
    config: watch::Sender<MonitorConfig>,
    handle: GroupHandle,
}

impl GroupTable {
    /// Returns the handle of a group.
    pub(super) fn find(&self, name: &str) -> Option<GroupHandle> {
        self.lock().get(name).map(|group| group.handle.clone())
    }

    /// Returns all handles.
    pub(super) fn handles(&self) -> Vec<GroupHandle> {
        let groups = self.lock();
        groups.values().map(|group| group.handle.clone()).collect()
    }

    /// Starts, changes and ends monitors so that they match a document. The
    /// monitor of an unchanged group is not touched.
    fn apply<F, T, C>(
        &self,
        host: &str,
        adopted: &AdoptedDocument,
        leaving: &BTreeSet<String>,
        seams: &MonitorServices<F, T, C>,
        tasks: &mut JoinSet<()>,
    ) where
        F: ControlFactory,
        T: TableService,
        C: MonotonicClock,
    {
        let document = &adopted.document;
        let mut groups = self.lock();
        groups.retain(|name, _| document.find_group(name).is_some());
        for group in &document.group {
            let config = MonitorConfig::new(host, document, group, leaving);
            if let Some(running) = groups.get(&group.name) {
                running.config.send_if_modified(|known| {
                    let differs = *known != config;
                    *known = config;
                    differs
                });
                continue;
            }
            let (sender, updates) = watch::channel(config);
            let (handle, task) = monitor::prepare(seams.clone(), updates);
            tasks.spawn(task);
            let running = RunningGroup {
                config: sender,
                handle,
            };
            groups.insert(group.name.clone(), running);
        }
    }

    /// Ends all monitors.
    pub(super) fn clear(&self) {
        self.lock().clear();
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, RunningGroup>> {
        self.groups.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What [`follow_groups`] keeps in step.
pub(super) struct GroupSides {
    /// Name of the daemon's host.
    pub(super) host: String,
    /// The monitors.
    pub(super) monitors: GroupTable,
    /// The callers' side.
    pub(super) callers: CallerSide,
    /// The connection shares.
    pub(super) shares: ShareHub,
    /// Turns true when the first document was applied.
    pub(super) ready: watch::Sender<bool>,
}

/// Keeps monitors and callers in step with the document and the leaving
/// servers. Returns early when a monitor panics, which is a fault of the
/// program; dropping the future ends all monitors.
pub(super) async fn follow_groups<F, T, C>(
    sides: GroupSides,
    seams: MonitorServices<F, T, C>,
    mut documents: watch::Receiver<Option<Arc<AdoptedDocument>>>,
    mut leaving: watch::Receiver<BTreeSet<String>>,
) where
    F: ControlFactory,
    T: TableService,
    C: MonotonicClock,
{
    let mut tasks = JoinSet::new();
    loop {
        let adopted = documents.borrow_and_update().clone();
        let names = leaving.borrow_and_update().clone();
        if let Some(adopted) = adopted {
            seams.metrics.set_document_version(adopted.stamp.version);
            let monitors = &sides.monitors;
            monitors.apply(&sides.host, &adopted, &names, &seams, &mut tasks);
            sides.shares.apply_document(&adopted, Instant::now());
            sides.callers.apply(&adopted, monitors, &sides.shares);
            sides.ready.send_replace(true);
        }
        tokio::select! {
            Some(ended) = tasks.join_next(), if !tasks.is_empty() => {
                if ended.is_err() {
                    return;
                }
            }
            changed = documents.changed() => if changed.is_err() { return },
            changed = leaving.changed() => if changed.is_err() { return },
        }
    }
}
