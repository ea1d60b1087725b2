//! Remembers recently refused requests, to recognise them when their callers retry.
//!
//! A retried request has already waited and misses its target latency in any case. It is placed
//! after those that can still meet theirs; otherwise each late response would make another one
//! late.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use kingcupfall_core::time;
use kingcupfall_core::work;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

/// Time for which a refused request is remembered: the maximum `Retry-After`, and as long again for
/// callers that take longer.
const RETENTION_TIME: Duration = Duration::from_secs(8);

/// Maximum number of remembered requests; beyond it the oldest are removed.
const MAX_RECORDS: usize = 4_096;

/// A refused request, as reported to peers.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedRequest {
    /// Identifies the request; the same for all its repetitions.
    #[serde(rename = "f")]
    pub fingerprint: work::RequestFingerprint,
    /// Time since the caller first sent the request.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "a")]
    pub age: Duration,
}

/// Times of a refused request.
#[derive(Debug, Clone, Copy)]
struct KnownRequest {
    first_requested_at: time::Timestamp,
    /// When the request was last refused here or reported by a peer.
    recorded_at: time::Timestamp,
}

/// Requests that this relay or its peers refused.
#[derive(Debug, Clone, Default)]
pub(super) struct RefusedRequests {
    known: HashMap<work::RequestFingerprint, KnownRequest>,
    /// All recorded refusals with the times of recording, oldest first.
    by_age: VecDeque<(work::RequestFingerprint, time::Timestamp)>,
    /// The refusals of this relay, which are reported to peers, with the times of recording, oldest
    /// first.
    local: VecDeque<(work::RequestFingerprint, time::Timestamp)>,
    local_count: u64,
}

impl RefusedRequests {
    /// Records a request that this relay refuses.
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

    /// Merges a refusal that a peer reported.
    pub(super) fn merge(&mut self, now: time::Timestamp, record: &RefusedRequest) {
        let age = u64::try_from(record.age.as_micros()).unwrap_or(u64::MAX);
        let first_requested_at = time::Timestamp::from_micros(now.as_micros().saturating_sub(age));
        self.insert(now, record.fingerprint, first_requested_at);
    }

    /// Returns when the caller first sent a request, if a refusal of it is remembered.
    pub(super) fn first_requested_at(
        &self,
        fingerprint: work::RequestFingerprint,
    ) -> Option<time::Timestamp> {
        self.known
            .get(&fingerprint)
            .map(|known| known.first_requested_at)
    }

    /// Returns the requests that this relay refused after the first `reported_count`, and the total
    /// number refused.
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

    /// Removes refusals that are older than the retention time or exceed the maximum number.
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
