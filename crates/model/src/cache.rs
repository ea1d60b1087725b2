//! Prefix cache with least-recently-used eviction.

use kingcupfall_core::engine;
use kingcupfall_core::measures;
use kingcupfall_core::work;

use crate::SharedPrefix;

/// Least-recently-used cache of prompt prefixes, limited by their total tokens.
#[derive(Debug, Clone)]
pub struct PrefixCache {
    capacity_tokens: u64,
    /// In order of use, the most recently used last.
    entries: Vec<SharedPrefix>,
}

impl PrefixCache {
    /// Creates an empty cache that holds at most `capacity` tokens.
    pub fn new(capacity: measures::TokenCount) -> Self {
        Self {
            capacity_tokens: capacity.get(),
            entries: Vec::new(),
        }
    }

    /// Marks a prefix as the most recently used, and returns whether it is cached.
    pub fn touch(&mut self, hash: work::PrefixHash) -> bool {
        let position = self.entries.iter().position(|entry| entry.hash == hash);
        match position {
            Some(index) => {
                let entry = self.entries.remove(index);
                self.entries.push(entry);
                true
            }
            None => false,
        }
    }

    /// Stores a prefix, evicts others if the cache is over capacity, and appends the changes.
    ///
    /// A prefix larger than the cache is not stored.
    pub fn store(&mut self, prefix: SharedPrefix, changes: &mut Vec<engine::CacheEvent>) {
        if prefix.tokens.get() > self.capacity_tokens || self.touch(prefix.hash) {
            return;
        }

        self.entries.push(prefix);
        changes.push(engine::CacheEvent::Stored {
            prefix: prefix.hash,
            tokens: prefix.tokens,
        });
        while self.total_tokens() > self.capacity_tokens {
            let entry = self.entries.remove(0);
            changes.push(engine::CacheEvent::Evicted { prefix: entry.hash });
        }
    }

    fn total_tokens(&self) -> u64 {
        self.entries.iter().map(|entry| entry.tokens.get()).sum()
    }
}
