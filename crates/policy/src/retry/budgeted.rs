//! Retries within a budget per organisation, after exponential backoff with full jitter.

use std::collections::BTreeMap;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::RetryCause;
use super::RetryDecision;
use super::RetryPolicy;
use super::RetryRequest;

/// Retries that each new call adds to the budget of its organisation.
const BUDGET_PER_CALL: f64 = 0.2;

/// Upper bound of an organisation's budget, in retries.
const MAX_BUDGET: f64 = 50.0;

/// Budget of a new organisation, in retries.
const INITIAL_BUDGET: f64 = 10.0;

/// Upper bound of the backoff before the second attempt; it doubles with each attempt.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Upper bound of the backoff before any attempt.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Limit of the doublings of the initial backoff; enough to reach the upper bound.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

/// Attempts of one call after which a lost attempt is not retried.
const MAX_ATTEMPTS_AFTER_LOSS: u32 = 4;

/// Lower bound of the retry delay returned to callers.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Number of budgets at which those at or above the initial budget are dropped.
const MAX_ORGANISATIONS: usize = 4_096;

/// Retry policy with a budget for each organisation.
///
/// A retry after an overload refusal or a lost attempt costs one unit of budget, because it adds
/// load to the targets. Other retries cost no budget and are limited only by the call's deadline.
#[derive(Debug)]
pub struct BudgetedRetry {
    budgets: BTreeMap<ids::OrganisationName, f64>,
    rng: ChaCha8Rng,
}

impl BudgetedRetry {
    /// Creates a policy whose jitter is drawn from a generator seeded with `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            budgets: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn try_spend(&mut self, organisation: &ids::OrganisationName) -> bool {
        let budget = self
            .budgets
            .entry(organisation.clone())
            .or_insert(INITIAL_BUDGET);
        if *budget < 1.0 {
            return false;
        }
        *budget -= 1.0;
        true
    }

    fn backoff(&mut self, attempts: u32) -> Duration {
        let doublings = attempts.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS);
        let ceiling = (INITIAL_BACKOFF * 2_u32.pow(doublings)).min(MAX_BACKOFF);
        ceiling.mul_f64(self.rng.random())
    }
}

impl RetryPolicy for BudgetedRetry {
    fn record_call(&mut self, _now: time::Timestamp, organisation: &ids::OrganisationName) {
        if self.budgets.len() >= MAX_ORGANISATIONS {
            self.budgets.retain(|_, budget| *budget < INITIAL_BUDGET);
        }
        let budget = self
            .budgets
            .entry(organisation.clone())
            .or_insert(INITIAL_BUDGET);
        *budget = (*budget + BUDGET_PER_CALL).min(MAX_BUDGET);
    }

    fn decide(&mut self, _now: time::Timestamp, request: &RetryRequest<'_>) -> RetryDecision {
        let abandon = RetryDecision::Abandon {
            retry_after: request.retry_after.max(MIN_RETRY_AFTER),
        };
        let backoff = self.backoff(request.attempts);
        if backoff >= request.time_left {
            return abandon;
        }

        let is_allowed = match request.cause {
            RetryCause::Unavailable | RetryCause::NoTarget => true,
            RetryCause::Overloaded => self.try_spend(request.organisation),
            RetryCause::Lost => {
                request.attempts < MAX_ATTEMPTS_AFTER_LOSS && self.try_spend(request.organisation)
            }
        };
        match is_allowed {
            true => RetryDecision::After(backoff),
            false => abandon,
        }
    }
}
