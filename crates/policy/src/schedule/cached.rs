//! Prefixes that the engine probably has in its cache.

use kingcupfall_core::engine;
use kingcupfall_core::load;
use kingcupfall_core::work;

/// Most prefixes that gateways are told.
const PREFIX_LIMIT: usize = 16;

/// Prefixes from the engine's events, the latest last.
///
/// Events are lost and come late, so an entry is a hint. A prefix that is used again without an
/// event of its eviction moves to the end.
#[derive(Debug, Default)]
pub struct CachedPrefixes {
    entries: Vec<load::CachedPrefix>,
}

impl CachedPrefixes {
    /// Takes an event.
    pub fn observe(&mut self, event: &engine::CacheEvent) {
        match *event {
            engine::CacheEvent::Stored { prefix, tokens } => {
                self.remove(prefix);
                self.entries.push(load::CachedPrefix { prefix, tokens });
                if self.entries.len() > PREFIX_LIMIT {
                    self.entries.remove(0);
                }
            }
            engine::CacheEvent::Evicted { prefix } => self.remove(prefix),
        }
    }

    /// Notes that work with this prefix was admitted.
    pub fn touch(&mut self, prefix: work::PrefixHash) {
        let place = self.entries.iter().position(|entry| entry.prefix == prefix);
        if let Some(index) = place {
            let entry = self.entries.remove(index);
            self.entries.push(entry);
        }
    }

    /// Forgets all, because the engine was lost.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    /// Returns all entries.
    pub fn entries(&self) -> &[load::CachedPrefix] {
        &self.entries
    }

    fn remove(&mut self, prefix: work::PrefixHash) {
        self.entries.retain(|entry| entry.prefix != prefix);
    }
}
