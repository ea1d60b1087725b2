//! The default policies of a gateway.

use kingcupfall_policy::limit;
use kingcupfall_policy::place;
use kingcupfall_policy::quarantine;
use kingcupfall_policy::retry;

use crate::reducer;

/// Returns the default policies; `seed` seeds the jitter of retries.
pub fn default_policies(seed: u64) -> reducer::GatewayPolicies {
    reducer::GatewayPolicies {
        placement: Box::new(place::ExpectedCostPlacement::default()),
        retry: Box::new(retry::BudgetedRetry::new(seed)),
        limit: Box::new(limit::BucketLimit::default()),
        quarantine: Box::new(quarantine::SuspectQuarantine::default()),
    }
}
