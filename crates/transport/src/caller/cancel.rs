//! Cancel requests of callers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use protocol::peer::CancelKey;
use tokio::sync::Notify;

use crate::backend::{self, BackendCancelKey};

/// Time limit for forwarding a cancel request to a backend server.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Cancel keys of this daemon's sessions.
#[derive(Debug, Default)]
pub struct CancelRegistry {
    entries: Mutex<HashMap<i32, Arc<CancelEntry>>>,
}

/// Cancel key of one session, and the backend on which its statement runs.
#[derive(Debug)]
pub(crate) struct CancelEntry {
    key: CancelKey,
    target: Mutex<Option<CancelTarget>>,
    cancel_notify: Notify,
}

/// Address and cancel key of a database session that runs a statement.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CancelTarget {
    pub(crate) address: SocketAddr,
    pub(crate) key: BackendCancelKey,
}

impl CancelRegistry {
    /// Registers a session under a new random key. The process number is unique and
    /// positive.
    pub(crate) fn register(&self) -> Arc<CancelEntry> {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let mut process = rand::random::<i32>() & i32::MAX;
        while process == 0 || entries.contains_key(&process) {
            process = rand::random::<i32>() & i32::MAX;
        }
        let entry = Arc::new(CancelEntry {
            key: CancelKey {
                process,
                secret: rand::random(),
            },
            target: Mutex::new(None),
            cancel_notify: Notify::new(),
        });
        entries.insert(process, entry.clone());
        entry
    }

    pub(crate) fn remove(&self, entry: &CancelEntry) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.remove(&entry.key.process);
    }

    /// Cancels the running or waiting statement of a session; returns whether the
    /// session belongs to this daemon.
    pub async fn cancel(&self, key: CancelKey) -> bool {
        let found = {
            let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
            entries.get(&key.process).cloned()
        };
        let Some(entry) = found.filter(|entry| entry.key == key) else {
            return false;
        };
        match entry.target() {
            Some(target) => {
                let deadline = Instant::now() + CANCEL_TIMEOUT;
                if let Err(error) = backend::cancel(target.address, target.key, deadline).await {
                    log::warn!("cannot forward a cancel request to the backend server: {error}");
                }
            }
            // Wakes a statement that waits at this moment. The notification is not
            // stored, so that it cannot cancel a later statement.
            None => entry.cancel_notify.notify_waiters(),
        }
        true
    }
}

impl CancelEntry {
    pub(crate) fn key(&self) -> CancelKey {
        self.key
    }

    /// Waits for a cancel request that arrives before the statement is sent.
    pub(crate) async fn cancelled(&self) {
        self.cancel_notify.notified().await;
    }

    pub(crate) fn set_target(&self, target: Option<CancelTarget>) {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner) = target;
    }

    fn target(&self) -> Option<CancelTarget> {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
