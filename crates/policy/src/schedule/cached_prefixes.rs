//! Prefixes that are probably in the engine's cache.

use kingcupfall_core::engine;
use kingcupfall_core::load;
use kingcupfall_core::work;

/// Maximum number of prefixes that are kept and reported to gateways.
const MAX_PREFIXES: usize = 16;

/// Prefixes from the engine's cache events, the most recently used last.
///
/// Events may be lost or delayed, so an entry is only a hint.
#[derive(Debug, Default)]
pub struct CachedPrefixes {
    entries: Vec<load::CachedPrefix>,
}

impl CachedPrefixes {
    /// Applies a cache event; a stored prefix beyond the limit replaces the least recently used.
    pub fn observe(&mut self, event: &engine::CacheEvent) {
        match *event {
            engine::CacheEvent::Stored { prefix, tokens } => {
                self.remove(prefix);
                self.entries.push(load::CachedPrefix { prefix, tokens });
                if self.entries.len() > MAX_PREFIXES {
                    self.entries.remove(0);
                }
            }
            engine::CacheEvent::Evicted { prefix } => self.remove(prefix),
        }
    }

    /// Marks a prefix as most recently used when work with it is admitted; unknown prefixes are
    /// ignored.
    pub fn record_use(&mut self, prefix: work::PrefixHash) {
        let position = self.entries.iter().position(|entry| entry.prefix == prefix);
        if let Some(index) = position {
            let entry = self.entries.remove(index);
            self.entries.push(entry);
        }
    }

    /// Removes all entries, for when the engine was lost and its cache with it.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    /// Returns all entries, the most recently used last.
    pub fn entries(&self) -> &[load::CachedPrefix] {
        &self.entries
    }

    fn remove(&mut self, prefix: work::PrefixHash) {
        self.entries.retain(|entry| entry.prefix != prefix);
    }
}
