//! Cache of classifications by SQL text.

use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};
use std::sync::{Arc, PoisonError, RwLock};

use protocol::classify::{classify, StatementClass};

/// Parts of the cache, so that sessions on different cores rarely meet.
const SHARD_COUNT: usize = 16;
/// Texts per part. A full part is emptied, since texts with literals would
/// otherwise need an order of use.
const SHARD_TEXTS: usize = 1_024;
/// Longest text that is kept, so that the cache stays below 64 MB.
const TEXT_MAX_BYTES: usize = 4 << 10;

type Shard = RwLock<HashMap<Box<str>, Arc<StatementClass>>>;

/// Classifications of recent texts.
#[derive(Debug, Default)]
pub(crate) struct ClassCache {
    hasher: RandomState,
    shards: [Shard; SHARD_COUNT],
}

impl ClassCache {
    /// Classifies a text.
    pub(crate) fn classify(&self, text: &str) -> Arc<StatementClass> {
        let shard = &self.shards[self.hasher.hash_one(text) as usize % SHARD_COUNT];
        let known = shard.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(class) = known.get(text) {
            return class.clone();
        }
        drop(known);
        let class = Arc::new(classify(text));
        if text.len() <= TEXT_MAX_BYTES {
            let mut known = shard.write().unwrap_or_else(PoisonError::into_inner);
            if known.len() >= SHARD_TEXTS {
                known.clear();
            }
            known.insert(text.into(), class.clone());
        }
        class
    }
}
