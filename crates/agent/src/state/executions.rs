//! Records of calls that must run at most once.

use std::collections::BTreeMap;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_core::work;

/// A repeat of a call that waits for the answer of the first attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RepeatWaiter {
    /// Attempt id of the repeat.
    pub attempt: ids::AttemptId,
    /// Link to answer on.
    pub link: ids::LinkId,
}

/// The one execution under a key.
#[derive(Debug, Clone)]
pub struct ExecutionRecord {
    /// Attempt that runs the call.
    pub attempt: ids::AttemptId,
    /// Fingerprint of the request, which a repeat must have too.
    pub fingerprint: work::RequestFingerprint,
    /// Organisation of the caller.
    pub organisation: ids::OrganisationName,
    /// Time after which the key is refused, and the record may be dropped.
    pub expires_at: time::Timestamp,
    /// Repeats that wait.
    pub waiters: Vec<RepeatWaiter>,
}

/// Answer to whether a key was used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExecutionLookup {
    /// It was not.
    Fresh,
    /// It was, by this attempt of the same request.
    Repeat(ids::AttemptId),
    /// It was, by another request or organisation.
    Mismatch,
}

/// Records by the unique part of the key.
#[derive(Debug, Default)]
pub struct ExecutionTable {
    records: BTreeMap<ids::Nonce, ExecutionRecord>,
}

impl ExecutionTable {
    /// Looks a key up.
    pub fn look_up(
        &self,
        nonce: ids::Nonce,
        fingerprint: work::RequestFingerprint,
        organisation: &ids::OrganisationName,
    ) -> ExecutionLookup {
        match self.records.get(&nonce) {
            None => ExecutionLookup::Fresh,
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

    /// Forgets a key whose call was refused before it ran.
    pub fn remove(&mut self, nonce: ids::Nonce) -> Option<ExecutionRecord> {
        self.records.remove(&nonce)
    }

    /// Adds a repeat that waits.
    pub fn add_waiter(&mut self, nonce: ids::Nonce, waiter: RepeatWaiter) {
        if let Some(record) = self.records.get_mut(&nonce) {
            record.waiters.push(waiter);
        }
    }

    /// Takes all repeats that wait.
    pub fn take_waiters(&mut self, nonce: ids::Nonce) -> Vec<RepeatWaiter> {
        match self.records.get_mut(&nonce) {
            Some(record) => std::mem::take(&mut record.waiters),
            None => Vec::new(),
        }
    }

    /// Says whether repeats wait.
    pub fn has_waiters(&self, nonce: ids::Nonce) -> bool {
        self.records
            .get(&nonce)
            .is_some_and(|record| !record.waiters.is_empty())
    }

    /// Removes a repeat that no longer waits, and says whether it did.
    pub fn drop_waiter(&mut self, attempt: ids::AttemptId) -> Option<ids::LinkId> {
        for record in self.records.values_mut() {
            let place = record
                .waiters
                .iter()
                .position(|waiter| waiter.attempt == attempt);
            if let Some(index) = place {
                return Some(record.waiters.swap_remove(index).link);
            }
        }
        None
    }

    /// Drops records whose keys have expired.
    pub fn expire(&mut self, now: time::Timestamp) {
        self.records.retain(|_, record| record.expires_at >= now);
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Says whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
