//! Cancel requests of callers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use protocol::peer::CancelKey;
use tokio::sync::Notify;

use crate::backend::{self, BackendCancelKey};

/// Longest time to pass a cancel request on.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Cancel keys of the sessions of this daemon.
#[derive(Debug, Default)]
pub struct CancelRegistry {
    slots: Mutex<HashMap<i32, Arc<CancelSlot>>>,
}

/// Where the statement of one session runs.
#[derive(Debug)]
pub(crate) struct CancelSlot {
    key: CancelKey,
    target: Mutex<Option<CancelTarget>>,
    waiting: Notify,
}

/// A database session that runs a statement.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CancelTarget {
    pub(crate) address: SocketAddr,
    pub(crate) key: BackendCancelKey,
}

impl CancelRegistry {
    /// Gives a session a key of its own.
    pub(crate) fn register(&self) -> Arc<CancelSlot> {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        let mut process = rand::random::<i32>() & i32::MAX;
        while process == 0 || slots.contains_key(&process) {
            process = rand::random::<i32>() & i32::MAX;
        }
        let slot = Arc::new(CancelSlot {
            key: CancelKey {
                process,
                secret: rand::random(),
            },
            target: Mutex::new(None),
            waiting: Notify::new(),
        });
        slots.insert(process, slot.clone());
        slot
    }

    pub(crate) fn remove(&self, slot: &CancelSlot) {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        slots.remove(&slot.key.process);
    }

    /// Cancels the statement of a session; returns whether it was found here.
    pub async fn cancel(&self, key: CancelKey) -> bool {
        let found = {
            let slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
            slots.get(&key.process).cloned()
        };
        let Some(slot) = found.filter(|slot| slot.key == key) else {
            return false;
        };
        match slot.target() {
            Some(target) => {
                let deadline = Instant::now() + CANCEL_TIMEOUT;
                if let Err(error) = backend::cancel(target.address, target.key, deadline).await {
                    log::warn!("cancel request was not passed on: {error}");
                }
            }
            // Only a session that waits right now is interested.
            None => slot.waiting.notify_waiters(),
        }
        true
    }
}

impl CancelSlot {
    pub(crate) fn key(&self) -> CancelKey {
        self.key
    }

    /// Waits for a cancel request that arrives before the statement is sent.
    pub(crate) async fn cancelled(&self) {
        self.waiting.notified().await;
    }

    pub(crate) fn set_target(&self, target: Option<CancelTarget>) {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner) = target;
    }

    fn target(&self) -> Option<CancelTarget> {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
