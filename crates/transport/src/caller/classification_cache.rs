//! Cache of statement classifications by SQL text.

use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};
use std::sync::{Arc, PoisonError, RwLock};

use protocol::classify::{classify, StatementClass};

/// Number of shards, so that sessions on different cores rarely contend for a lock.
const SHARD_COUNT: usize = 16;
/// Texts per shard. A full shard is emptied: texts with literals fill it with
/// entries that are not used again, and evicting just those would need LRU
/// bookkeeping.
const SHARD_TEXTS: usize = 1_024;
/// Longest text that is cached, so that the texts in the cache stay below 64 MB.
const TEXT_MAX_BYTES: usize = 4 << 10;

type Shard = RwLock<HashMap<Box<str>, Arc<StatementClass>>>;

/// Sharded cache of the classifications of recent SQL texts.
#[derive(Debug, Default)]
pub(crate) struct ClassificationCache {
    hasher: RandomState,
    shards: [Shard; SHARD_COUNT],
}

impl ClassificationCache {
    /// Returns the classification of a text, from the cache if possible.
    pub(crate) fn classify(&self, text: &str) -> Arc<StatementClass> {
        let shard = &self.shards[self.hasher.hash_one(text) as usize % SHARD_COUNT];
        let known = shard.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(classification) = known.get(text) {
            return classification.clone();
        }
        drop(known);
        let classification = Arc::new(classify(text));
        if text.len() <= TEXT_MAX_BYTES {
            let mut known = shard.write().unwrap_or_else(PoisonError::into_inner);
            if known.len() >= SHARD_TEXTS {
                known.clear();
            }
            known.insert(text.into(), classification.clone());
        }
        classification
    }
}
