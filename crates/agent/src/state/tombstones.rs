//! Attempts that must never start.

use std::collections::BTreeMap;

use kingcupfall_core::ids;
use kingcupfall_core::time;

/// Ids of attempts that were refused for good, kept until their start orders are too late anyway.
#[derive(Debug, Default)]
pub struct TombstoneTable {
    expiries: BTreeMap<ids::AttemptId, time::Timestamp>,
}

impl TombstoneTable {
    /// Refuses `attempt` for good; its start order is too late after `start_by`.
    pub fn insert(&mut self, attempt: ids::AttemptId, start_by: time::Timestamp) {
        self.expiries.insert(attempt, start_by);
    }

    /// Says whether `attempt` was refused.
    pub fn contains(&self, attempt: ids::AttemptId) -> bool {
        self.expiries.contains_key(&attempt)
    }

    /// Drops entries whose start orders are too late by now.
    pub fn expire(&mut self, now: time::Timestamp) {
        self.expiries.retain(|_, start_by| *start_by >= now);
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.expiries.len()
    }

    /// Says whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.expiries.is_empty()
    }
}
