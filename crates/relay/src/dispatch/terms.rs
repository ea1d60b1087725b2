//! What targets ask of relays: pauses and limits in their responses, cold times in their records.
//!
//! It holds for the incarnation that asked. A record that disappears and is written again, as after
//! an outage of the platform's directory, changes nothing in it.

use std::collections::BTreeMap;
use std::time::Duration;

use kingcupfall_core::time;

use super::Dispatcher;
use super::cold;
use super::limits;
use super::shares;
use crate::directory;

/// Time for which the terms of an incarnation without a record are kept: the longest pause.
const RETENTION_TIME: Duration = Duration::from_secs(600);

/// Maximum number of incarnations without a record whose terms are kept.
const MAX_UNLISTED: usize = 1_024;

/// What one incarnation of a target has asked for.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct TargetTerms {
    /// End of the pause that the target asked for.
    pub(super) paused_until: time::Timestamp,
    /// Limit on the requests that it takes.
    pub(super) limit: limits::HeardLimit,
    /// Whether it is cold.
    pub(super) cold: cold::ColdState,
}

impl TargetTerms {
    /// Returns whether there is anything that the target still asks for.
    pub(super) fn apply(&self, now: time::Timestamp) -> bool {
        self.paused_until > now || self.limit.is_limited() || self.cold.applies(now)
    }

    /// Counts a request that is sent to the target.
    pub(super) fn record_request(&mut self, now: time::Timestamp) {
        self.limit.record_request(now);
        self.cold.record_request(now);
    }

    /// Withdraws a request that was counted at `counted_at` and not sent.
    pub(super) fn withdraw_request(&mut self, now: time::Timestamp, counted_at: time::Timestamp) {
        self.limit.withdraw_request(now);
        self.cold.withdraw_request(now, counted_at);
    }

    /// Returns the requests that the target takes of this relay; `None` if it takes any number.
    pub(super) fn supply(&self, now: time::Timestamp) -> Option<shares::RequestSupply> {
        match (self.limit.supply(now), self.cold.supply(now)) {
            (Some(limited), Some(cold)) => Some(limited.combine(cold)),
            (limited, cold) => limited.or(cold),
        }
    }
}

/// Terms of an incarnation that has no record now.
#[derive(Debug, Clone)]
struct UnlistedEntry {
    terms: TargetTerms,
    unlisted_at: time::Timestamp,
}

/// Terms of incarnations that have no record now, but may be registered again.
#[derive(Debug, Clone, Default)]
pub(super) struct UnlistedTerms {
    entries: BTreeMap<directory::TargetKey, UnlistedEntry>,
}

impl UnlistedTerms {
    /// Keeps the terms of an incarnation whose record was removed.
    pub(super) fn insert(
        &mut self,
        now: time::Timestamp,
        key: directory::TargetKey,
        terms: TargetTerms,
    ) {
        self.entries
            .retain(|_, entry| now.since(entry.unlisted_at) < RETENTION_TIME);
        if self.entries.len() >= MAX_UNLISTED {
            let oldest = self
                .entries
                .iter()
                .min_by_key(|(_, entry)| entry.unlisted_at);
            if let Some(key) = oldest.map(|(key, _)| key.clone()) {
                self.entries.remove(&key);
            }
        }
        let entry = UnlistedEntry {
            terms,
            unlisted_at: now,
        };
        self.entries.insert(key, entry);
    }

    /// Returns the terms of an incarnation whose record is written, and forgets them here.
    pub(super) fn take(&mut self, key: &directory::TargetKey) -> TargetTerms {
        let entry = self.entries.remove(key);
        entry.map(|entry| entry.terms).unwrap_or_default()
    }

    fn get_mut(
        &mut self,
        now: time::Timestamp,
        key: &directory::TargetKey,
    ) -> Option<&mut TargetTerms> {
        if !self.entries.contains_key(key) {
            self.insert(now, key.clone(), TargetTerms::default());
        }
        self.entries.get_mut(key).map(|entry| &mut entry.terms)
    }
}

impl Dispatcher {
    /// Returns the terms of an incarnation, whether it has a record now or not; `None` if another
    /// incarnation has replaced it.
    pub(super) fn terms_mut(
        &mut self,
        now: time::Timestamp,
        key: &directory::TargetKey,
    ) -> Option<&mut TargetTerms> {
        match self.targets.get_mut(&key.name) {
            Some(entry) if entry.record.key == *key => Some(&mut entry.terms),
            Some(_) => None,
            None => self.unlisted_terms.get_mut(now, key),
        }
    }
}
