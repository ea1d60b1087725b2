//! Token buckets and concurrency limits of organisations.

use std::collections::BTreeMap;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;

use super::LimitDecision;
use super::LimitPolicy;
use super::OrganisationLimit;
use super::TokenBucket;
use super::TokenRate;

/// Retry delay returned to callers with too many calls in progress.
const CONCURRENCY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Token bucket and calls in progress of one organisation.
#[derive(Debug, Clone, Copy)]
struct BucketState {
    limit: OrganisationLimit,
    /// Calls that may start; one token admits one call.
    bucket: TokenBucket,
    in_progress: u32,
}

impl BucketState {
    fn new(limit: OrganisationLimit) -> Self {
        Self {
            limit,
            bucket: TokenBucket::new(time::Timestamp::ZERO, f64::from(limit.burst)),
            in_progress: 0,
        }
    }

    fn rate(&self) -> TokenRate {
        TokenRate {
            per_second: self.limit.calls_per_s,
            burst: f64::from(self.limit.burst),
        }
    }

    fn admit(&mut self, now: time::Timestamp) -> LimitDecision {
        if self.in_progress >= self.limit.concurrent_calls {
            return LimitDecision::Refuse {
                retry_after: CONCURRENCY_RETRY_AFTER,
            };
        }
        let tokens = self.bucket.tokens(now, self.rate());
        if tokens < 1.0 {
            let wait_s = (1.0 - tokens) / self.limit.calls_per_s;
            return LimitDecision::Refuse {
                retry_after: Duration::from_secs_f64(wait_s),
            };
        }

        self.bucket.take(now, self.rate(), 1.0);
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
                bucket.bucket.discard_above(f64::from(limit.burst));
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
