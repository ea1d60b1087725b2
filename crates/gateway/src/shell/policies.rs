//! The decisions that a gateway makes unless it is told otherwise.

use kingcupfall_policy::limit;
use kingcupfall_policy::place;
use kingcupfall_policy::quarantine;
use kingcupfall_policy::retry;

use crate::reducer;

/// Makes the decisions of a gateway; `seed` is that of their jitter.
pub fn standard_policies(seed: u64) -> reducer::GatewayPolicies {
    reducer::GatewayPolicies {
        placement: Box::new(place::ExpectedCostPlacement::default()),
        retry: Box::new(retry::BudgetedRetry::new(seed)),
        limit: Box::new(limit::BucketLimit::default()),
        quarantine: Box::new(quarantine::SuspectQuarantine::default()),
    }
}
