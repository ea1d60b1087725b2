//! Requests that were refused of late, so that they are known when their callers come back.
//!
//! A caller that comes back has waited already, and is late whatever is done. Its request goes
//! behind those that can still be answered on time; without that, each late answer would make
//! another one late.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use kingcupfall_core::time;
use kingcupfall_core::work;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

/// Time for which a refused request is remembered: the longest time after which callers are told
/// to come back, and as long again for those that take longer.
const REMEMBER_TIME: Duration = Duration::from_secs(8);

/// Most requests that are remembered; beyond them the oldest are forgotten.
const MOST_RECORDS: usize = 4_096;

/// A request that was refused, as processes tell each other.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedRecord {
    /// The same for all repetitions of the request.
    #[serde(rename = "f")]
    pub fingerprint: work::RequestFingerprint,
    /// Time since its caller asked for the first time.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "a")]
    pub age: Duration,
}

/// Requests that were refused by this process or its peers.
#[derive(Debug, Default)]
pub(super) struct RefusedCalls {
    asked_at: HashMap<work::RequestFingerprint, time::Timestamp>,
    /// The same in the order in which they came to be known, with that time.
    order: VecDeque<(work::RequestFingerprint, time::Timestamp)>,
    /// Those of this process, which are told to peers.
    own: VecDeque<(work::RequestFingerprint, time::Timestamp)>,
    own_count: u64,
}

impl RefusedCalls {
    /// Notes a request that this process refuses.
    pub(super) fn note(
        &mut self,
        now: time::Timestamp,
        fingerprint: work::RequestFingerprint,
        asked_at: time::Timestamp,
    ) {
        self.insert(now, fingerprint, asked_at);
        self.own.push_back((fingerprint, now));
        self.own_count += 1;
        self.forget(now);
    }

    /// Takes what a peer tells.
    pub(super) fn merge(&mut self, now: time::Timestamp, record: &RefusedRecord) {
        let age = u64::try_from(record.age.as_micros()).unwrap_or(u64::MAX);
        let asked_at = time::Timestamp::from_micros(now.as_micros().saturating_sub(age));
        self.insert(now, record.fingerprint, asked_at);
        self.forget(now);
    }

    /// Returns when the caller of a request asked for the first time, if it was refused then.
    pub(super) fn asked_at(
        &self,
        now: time::Timestamp,
        fingerprint: work::RequestFingerprint,
    ) -> Option<time::Timestamp> {
        let asked_at = self.asked_at.get(&fingerprint).copied();
        asked_at.filter(|at| now.since(*at) < REMEMBER_TIME * 2)
    }

    /// Returns the requests that this process refused after the first `told` ones, and the number
    /// of all.
    pub(super) fn records_after(
        &self,
        now: time::Timestamp,
        told: u64,
    ) -> (Vec<RefusedRecord>, u64) {
        let new = usize::try_from(self.own_count.saturating_sub(told)).unwrap_or(usize::MAX);
        let skipped = self.own.len().saturating_sub(new);
        let own = self.own.iter().skip(skipped);
        let records = own.filter_map(|(fingerprint, _)| {
            let asked_at = self.asked_at.get(fingerprint)?;
            Some(RefusedRecord {
                fingerprint: *fingerprint,
                age: now.since(*asked_at),
            })
        });
        (records.collect(), self.own_count)
    }

    /// Forgets what was refused long ago.
    pub(super) fn forget(&mut self, now: time::Timestamp) {
        let is_old = |known: &time::Timestamp| now.since(*known) >= REMEMBER_TIME;
        while self.order.len() > MOST_RECORDS
            || self.order.front().is_some_and(|(_, known)| is_old(known))
        {
            if let Some((fingerprint, _)) = self.order.pop_front() {
                self.asked_at.remove(&fingerprint);
            }
        }
        while self.own.front().is_some_and(|(_, known)| is_old(known)) {
            self.own.pop_front();
        }
    }

    fn insert(
        &mut self,
        now: time::Timestamp,
        fingerprint: work::RequestFingerprint,
        asked_at: time::Timestamp,
    ) {
        let known = self.asked_at.entry(fingerprint).or_insert(asked_at);
        *known = asked_at.min(*known);
        self.order.push_back((fingerprint, now));
    }
}
