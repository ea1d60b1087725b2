//! Records of calls that must run at most once.

use std::collections::BTreeMap;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_core::work;

/// Repeat of a call that waits for the result of the first attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RepeatWaiter {
    /// Attempt id of the repeat.
    pub attempt: ids::AttemptId,
    /// Link to reply on.
    pub link: ids::LinkId,
}

/// Execution recorded under an idempotency key.
#[derive(Debug, Clone)]
pub struct ExecutionRecord {
    /// Attempt that runs the call.
    pub attempt: ids::AttemptId,
    /// Fingerprint of the request; a repeat must have the same one.
    pub fingerprint: work::RequestFingerprint,
    /// Organisation of the caller.
    pub organisation: ids::OrganisationName,
    /// Time after which the key is refused and the record may be removed.
    pub expires_at: time::Timestamp,
    /// Repeats that wait for the result.
    pub waiters: Vec<RepeatWaiter>,
}

/// Result of looking up a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExecutionLookup {
    /// The key was not used.
    Unused,
    /// The key was used for the same request, by this attempt.
    Repeat(ids::AttemptId),
    /// The key was used for another request or by another organisation.
    Mismatch,
}

/// Execution records by the nonce of their key.
#[derive(Debug, Default)]
pub struct ExecutionTable {
    records: BTreeMap<ids::Nonce, ExecutionRecord>,
}

impl ExecutionTable {
    /// Looks up a key, and compares the request and organisation with those of its record.
    pub fn look_up(
        &self,
        nonce: ids::Nonce,
        fingerprint: work::RequestFingerprint,
        organisation: &ids::OrganisationName,
    ) -> ExecutionLookup {
        match self.records.get(&nonce) {
            None => ExecutionLookup::Unused,
            Some(record)
                if record.fingerprint == fingerprint && record.organisation == *organisation =>
            {
                ExecutionLookup::Repeat(record.attempt)
            }
            Some(_) => ExecutionLookup::Mismatch,
        }
    }

    /// Records the first use of a key.
    pub fn insert(&mut self, nonce: ids::Nonce, record: ExecutionRecord) {
        self.records.insert(nonce, record);
    }

    /// Removes the record of a call that was refused before it ran, and returns it.
    pub fn remove(&mut self, nonce: ids::Nonce) -> Option<ExecutionRecord> {
        self.records.remove(&nonce)
    }

    /// Adds a repeat that waits for the result; ignored if the key has no record.
    pub fn add_waiter(&mut self, nonce: ids::Nonce, waiter: RepeatWaiter) {
        if let Some(record) = self.records.get_mut(&nonce) {
            record.waiters.push(waiter);
        }
    }

    /// Removes and returns all repeats that wait for the result.
    pub fn take_waiters(&mut self, nonce: ids::Nonce) -> Vec<RepeatWaiter> {
        match self.records.get_mut(&nonce) {
            Some(record) => std::mem::take(&mut record.waiters),
            None => Vec::new(),
        }
    }

    /// Returns true if repeats wait for the result.
    pub fn has_waiters(&self, nonce: ids::Nonce) -> bool {
        self.records
            .get(&nonce)
            .is_some_and(|record| !record.waiters.is_empty())
    }

    /// Removes a waiting repeat and returns its link; `None` if it was not waiting.
    pub fn remove_waiter(&mut self, attempt: ids::AttemptId) -> Option<ids::LinkId> {
        for record in self.records.values_mut() {
            let position = record
                .waiters
                .iter()
                .position(|waiter| waiter.attempt == attempt);
            if let Some(index) = position {
                return Some(record.waiters.swap_remove(index).link);
            }
        }
        None
    }

    /// Removes records whose keys have expired.
    pub fn expire(&mut self, now: time::Timestamp) {
        self.records.retain(|_, record| record.expires_at >= now);
    }

    /// Returns the number of records, which includes expired ones until the next expiry run.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns true if there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
