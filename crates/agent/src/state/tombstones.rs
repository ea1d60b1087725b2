//! Ids of attempts that must not start, or not start again.

use std::collections::BTreeMap;

use kingcupfall_core::ids;
use kingcupfall_core::time;

/// Set of attempt ids, each kept at least until the deadline of its start order has passed.
#[derive(Debug, Default)]
pub struct TombstoneTable {
    entries: BTreeMap<ids::AttemptId, time::Timestamp>,
}

impl TombstoneTable {
    /// Adds `attempt` until `expires_at`, which must not be before the deadline of its start order.
    pub fn insert(&mut self, attempt: ids::AttemptId, expires_at: time::Timestamp) {
        self.entries.insert(attempt, expires_at);
    }

    /// Returns true if `attempt` is in the table.
    pub fn contains(&self, attempt: ids::AttemptId) -> bool {
        self.entries.contains_key(&attempt)
    }

    /// Removes entries that have expired.
    pub fn expire(&mut self, now: time::Timestamp) {
        self.entries.retain(|_, expires_at| *expires_at >= now);
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
