//! Runs a monitor for each group of the document.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use state::clock::MonotonicClock;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::callers::CallerRuntime;
use super::share_hub::ShareHub;
use crate::document_follower::AdoptedDocument;
use crate::group_handle::GroupHandle;
use crate::monitor::{self, MonitorConfig, MonitorServices};
use crate::services::{ControlFactory, TableService};

/// The running monitors by name of the group. Clones share the table.
#[derive(Clone, Debug, Default)]
pub(super) struct GroupTable {
    groups: Arc<Mutex<BTreeMap<String, RunningGroup>>>,
}

#[derive(Debug)]
struct RunningGroup {
    /// Configuration of the monitor, which ends when this is dropped.
    config: watch::Sender<MonitorConfig>,
    handle: GroupHandle,
}

impl GroupTable {
    /// Returns the handle of a group, if its monitor runs.
    pub(super) fn find(&self, name: &str) -> Option<GroupHandle> {
        self.lock().get(name).map(|group| group.handle.clone())
    }

    /// Returns the handles of all groups.
    pub(super) fn handles(&self) -> Vec<GroupHandle> {
        let groups = self.lock();
        groups.values().map(|group| group.handle.clone()).collect()
    }

    /// Starts, reconfigures and ends monitors so that they match a document. The
    /// monitor of a group without changes continues undisturbed.
    fn apply<F, T, C>(
        &self,
        host: &str,
        adopted: &AdoptedDocument,
        leaving: &BTreeSet<String>,
        services: &MonitorServices<F, T, C>,
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
            let (handle, task) = monitor::prepare(services.clone(), updates);
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

/// The parts of a daemon to which [`follow_groups`] applies each document.
pub(super) struct DocumentConsumers {
    /// Name of the daemon's host.
    pub(super) host: String,
    /// The monitors.
    pub(super) monitors: GroupTable,
    /// The context of the caller sessions.
    pub(super) callers: CallerRuntime,
    /// The connection shares.
    pub(super) shares: ShareHub,
    /// Becomes true once the first document has been applied.
    pub(super) ready: watch::Sender<bool>,
}

/// Applies each change of the document or of the leaving servers to the monitors,
/// the connection shares and the callers.
///
/// Returns when a monitor panics, which is a bug. Dropping the future ends all
/// monitors.
pub(super) async fn follow_groups<F, T, C>(
    consumers: DocumentConsumers,
    services: MonitorServices<F, T, C>,
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
            services.metrics.set_document_version(adopted.stamp.version);
            let monitors = &consumers.monitors;
            monitors.apply(&consumers.host, &adopted, &names, &services, &mut tasks);
            consumers.shares.apply_document(&adopted, Instant::now());
            consumers
                .callers
                .apply(&adopted, monitors, &consumers.shares);
            consumers.ready.send_replace(true);
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
