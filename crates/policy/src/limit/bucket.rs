//! Token buckets and concurrency limits of organisations.

use std::collections::BTreeMap;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;

use super::LimitDecision;
use super::LimitPolicy;
use super::OrganisationLimit;

/// Retry delay returned to callers with too many calls in progress.
const CONCURRENCY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Token bucket and calls in progress of one organisation.
#[derive(Debug, Clone, Copy)]
struct BucketState {
    limit: OrganisationLimit,
    /// Calls that may start now; one token admits one call.
    tokens: f64,
    refilled_at: time::Timestamp,
    in_progress: u32,
}

impl BucketState {
    fn new(limit: OrganisationLimit) -> Self {
        Self {
            limit,
            tokens: f64::from(limit.burst),
            refilled_at: time::Timestamp::ZERO,
            in_progress: 0,
        }
    }

    fn refill(&mut self, now: time::Timestamp) {
        let added_tokens = now.since(self.refilled_at).as_secs_f64() * self.limit.calls_per_s;
        self.tokens = (self.tokens + added_tokens).min(f64::from(self.limit.burst));
        self.refilled_at = now;
    }

    fn admit(&mut self, now: time::Timestamp) -> LimitDecision {
        self.refill(now);
        if self.in_progress >= self.limit.concurrent_calls {
            return LimitDecision::Refuse {
                retry_after: CONCURRENCY_RETRY_AFTER,
            };
        }
        if self.tokens < 1.0 {
            let wait_s = (1.0 - self.tokens) / self.limit.calls_per_s;
            return LimitDecision::Refuse {
                retry_after: Duration::from_secs_f64(wait_s),
            };
        }

        self.tokens -= 1.0;
        self.in_progress += 1;
        LimitDecision::Allow
    }
}

/// Limit policy with a token bucket and a concurrency limit for each organisation.
///
/// Admits all calls of organisations without a configured limit.
#[derive(Debug, Default)]
pub struct BucketLimit {
    buckets: BTreeMap<ids::OrganisationName, BucketState>,
}

impl LimitPolicy for BucketLimit {
    fn configure(
        &mut self,
        organisation: &ids::OrganisationName,
        limit: Option<OrganisationLimit>,
    ) {
        let Some(limit) = limit else {
            self.buckets.remove(organisation);
            return;
        };
        match self.buckets.get_mut(organisation) {
            Some(bucket) => {
                bucket.limit = limit;
                bucket.tokens = bucket.tokens.min(f64::from(limit.burst));
            }
            None => {
                self.buckets
                    .insert(organisation.clone(), BucketState::new(limit));
            }
        }
    }

    fn admit(
        &mut self,
        now: time::Timestamp,
        organisation: &ids::OrganisationName,
    ) -> LimitDecision {
        match self.buckets.get_mut(organisation) {
            Some(bucket) => bucket.admit(now),
            None => LimitDecision::Allow,
        }
    }

    fn release(&mut self, _now: time::Timestamp, organisation: &ids::OrganisationName) {
        if let Some(bucket) = self.buckets.get_mut(organisation) {
            bucket.in_progress = bucket.in_progress.saturating_sub(1);
        }
    }
}
