//! Prefix cache that drops the prefix unused for longest.

use kingcupfall_core::engine;
use kingcupfall_core::measures;
use kingcupfall_core::work;

use crate::SharedPrefix;

/// Prefixes in order of use, the latest last.
#[derive(Debug, Clone)]
pub struct PrefixCache {
    capacity: u64,
    entries: Vec<SharedPrefix>,
}

impl PrefixCache {
    /// Makes an empty cache.
    pub fn new(capacity: measures::TokenCount) -> Self {
        Self {
            capacity: capacity.get(),
            entries: Vec::new(),
        }
    }

    /// Uses a prefix, and says whether it was there.
    pub fn touch(&mut self, hash: work::PrefixHash) -> bool {
        let place = self.entries.iter().position(|entry| entry.hash == hash);
        match place {
            Some(index) => {
                let entry = self.entries.remove(index);
                self.entries.push(entry);
                true
            }
            None => false,
        }
    }

    /// Stores a prefix and appends what changed.
    pub fn store(&mut self, prefix: SharedPrefix, changes: &mut Vec<engine::CacheEvent>) {
        if prefix.tokens.get() > self.capacity || self.touch(prefix.hash) {
            return;
        }

        self.entries.push(prefix);
        changes.push(engine::CacheEvent::Stored {
            prefix: prefix.hash,
            tokens: prefix.tokens,
        });
        while self.total() > self.capacity {
            let entry = self.entries.remove(0);
            changes.push(engine::CacheEvent::Evicted { prefix: entry.hash });
        }
    }

    fn total(&self) -> u64 {
        self.entries.iter().map(|entry| entry.tokens.get()).sum()
    }
}
