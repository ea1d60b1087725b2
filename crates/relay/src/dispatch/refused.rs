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
const RETENTION_TIME: Duration = Duration::from_secs(8);

/// Most requests that are remembered; beyond them the oldest are forgotten.
const MAX_RECORDS: usize = 4_096;

/// A request that was refused, as processes tell each other.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedRequest {
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
struct KnownRequest {
    first_requested_at: time::Timestamp,
    /// When it was last refused or told.
    recorded_at: time::Timestamp,
}

/// Requests that were refused by this process or its peers.
#[derive(Debug, Default)]
pub(super) struct RefusedRequests {
    known: HashMap<work::RequestFingerprint, KnownRequest>,
    /// Those requests with the times at which they were noted, oldest first.
    by_age: VecDeque<(work::RequestFingerprint, time::Timestamp)>,
    /// Those of this process, which are told to peers, likewise.
    local: VecDeque<(work::RequestFingerprint, time::Timestamp)>,
    local_count: u64,
}

impl RefusedRequests {
    /// Notes a request that this process refuses.
    pub(super) fn record(
        &mut self,
        now: time::Timestamp,
        fingerprint: work::RequestFingerprint,
        first_requested_at: time::Timestamp,
    ) {
        self.insert(now, fingerprint, first_requested_at);
        self.local.push_back((fingerprint, now));
        self.local_count += 1;
    }

    /// Takes what a peer tells.
    pub(super) fn merge(&mut self, now: time::Timestamp, record: &RefusedRequest) {
        let age = u64::try_from(record.age.as_micros()).unwrap_or(u64::MAX);
        let first_requested_at = time::Timestamp::from_micros(now.as_micros().saturating_sub(age));
        self.insert(now, record.fingerprint, first_requested_at);
    }

    /// Returns when the caller of a request asked for the first time, if it was refused then.
    pub(super) fn first_requested_at(
        &self,
        fingerprint: work::RequestFingerprint,
    ) -> Option<time::Timestamp> {
        self.known
            .get(&fingerprint)
            .map(|known| known.first_requested_at)
    }

    /// Returns the requests that this process refused after the first `told` ones, and the number
    /// of all.
    pub(super) fn records_after(
        &self,
        now: time::Timestamp,
        reported_count: u64,
    ) -> (Vec<RefusedRequest>, u64) {
        let new_count =
            usize::try_from(self.local_count.saturating_sub(reported_count)).unwrap_or(usize::MAX);
        let skipped = self.local.len().saturating_sub(new_count);
        let local = self.local.iter().skip(skipped);
        let records = local.filter_map(|(fingerprint, _)| {
            let known = self.known.get(fingerprint)?;
            Some(RefusedRequest {
                fingerprint: *fingerprint,
                age: now.since(known.first_requested_at),
            })
        });
        (records.collect(), self.local_count)
    }

    /// Forgets what was refused long ago.
    pub(super) fn remove_expired(&mut self, now: time::Timestamp) {
        let is_expired = |recorded_at: time::Timestamp| now.since(recorded_at) >= RETENTION_TIME;
        while let Some((fingerprint, recorded_at)) = self.by_age.front().copied()
            && (is_expired(recorded_at) || self.by_age.len() > MAX_RECORDS)
        {
            self.by_age.pop_front();
            let is_latest = |known: &KnownRequest| known.recorded_at == recorded_at;
            if self.known.get(&fingerprint).is_some_and(is_latest) {
                self.known.remove(&fingerprint);
            }
        }
        while let Some((_, recorded_at)) = self.local.front()
            && (is_expired(*recorded_at) || self.local.len() > MAX_RECORDS)
        {
            self.local.pop_front();
        }
    }

    fn insert(
        &mut self,
        now: time::Timestamp,
        fingerprint: work::RequestFingerprint,
        first_requested_at: time::Timestamp,
    ) {
        let known = self.known.entry(fingerprint).or_insert(KnownRequest {
            first_requested_at,
            recorded_at: now,
        });
        known.first_requested_at = first_requested_at.min(known.first_requested_at);
        known.recorded_at = now;
        self.by_age.push_back((fingerprint, now));
        self.remove_expired(now);
    }
}
