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

/// What is known of a refused request.
#[derive(Debug, Clone, Copy)]
struct KnownRefusal {
    asked_at: time::Timestamp,
    /// When it was last refused or told.
    noted_at: time::Timestamp,
}

/// Requests that were refused by this process or its peers.
#[derive(Debug, Default)]
pub(super) struct RefusedCalls {
    known: HashMap<work::RequestFingerprint, KnownRefusal>,
    /// Those requests with the times at which they were noted, oldest first.
    order: VecDeque<(work::RequestFingerprint, time::Timestamp)>,
    /// Those of this process, which are told to peers, likewise.
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
    }

    /// Takes what a peer tells.
    pub(super) fn merge(&mut self, now: time::Timestamp, record: &RefusedRecord) {
        let age = u64::try_from(record.age.as_micros()).unwrap_or(u64::MAX);
        let asked_at = time::Timestamp::from_micros(now.as_micros().saturating_sub(age));
        self.insert(now, record.fingerprint, asked_at);
    }

    /// Returns when the caller of a request asked for the first time, if it was refused then.
    pub(super) fn asked_at(
        &self,
        fingerprint: work::RequestFingerprint,
    ) -> Option<time::Timestamp> {
        self.known.get(&fingerprint).map(|known| known.asked_at)
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
            let known = self.known.get(fingerprint)?;
            Some(RefusedRecord {
                fingerprint: *fingerprint,
                age: now.since(known.asked_at),
            })
        });
        (records.collect(), self.own_count)
    }

    /// Forgets what was refused long ago.
    pub(super) fn forget(&mut self, now: time::Timestamp) {
        let is_old = |noted_at: time::Timestamp| now.since(noted_at) >= REMEMBER_TIME;
        while let Some((fingerprint, noted_at)) = self.order.front().copied()
            && (is_old(noted_at) || self.order.len() > MOST_RECORDS)
        {
            self.order.pop_front();
            let is_last = |known: &KnownRefusal| known.noted_at == noted_at;
            if self.known.get(&fingerprint).is_some_and(is_last) {
                self.known.remove(&fingerprint);
            }
        }
        while let Some((_, noted_at)) = self.own.front()
            && (is_old(*noted_at) || self.own.len() > MOST_RECORDS)
        {
            self.own.pop_front();
        }
    }

    fn insert(
        &mut self,
        now: time::Timestamp,
        fingerprint: work::RequestFingerprint,
        asked_at: time::Timestamp,
    ) {
        let known = self.known.entry(fingerprint).or_insert(KnownRefusal {
            asked_at,
            noted_at: now,
        });
        known.asked_at = asked_at.min(known.asked_at);
        known.noted_at = now;
        self.order.push_back((fingerprint, now));
        self.forget(now);
    }
}
