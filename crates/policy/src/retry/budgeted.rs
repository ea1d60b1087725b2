//! Retries within a budget of the organisation, after exponential backoff with full jitter.

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
use super::RetryQuestion;

/// Retries that one call adds to its organisation's budget.
const BUDGET_PER_CALL: f64 = 0.2;

/// Most retries that an organisation can save up.
const BUDGET_LIMIT: f64 = 50.0;

/// Retries that an organisation starts with.
const BUDGET_START: f64 = 10.0;

/// Upper end of the wait before the second attempt.
const BACKOFF_BASE: Duration = Duration::from_millis(50);

/// Longest wait before an attempt.
const BACKOFF_LIMIT: Duration = Duration::from_secs(2);

/// Doublings after which the wait stays at its limit.
const BACKOFF_DOUBLINGS: u32 = 6;

/// Attempts of one call that may be lost with their targets.
const LOST_ATTEMPTS: u32 = 4;

/// Wait that callers are told when nothing better is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Organisations whose budgets are kept; beyond it full budgets are dropped.
const ORGANISATION_LIMIT: usize = 4_096;

/// Retry policy with a budget for each organisation.
///
/// Attempts that put load on targets, because they were refused for load or were lost, cost one
/// unit of budget each. Other retries only wait, until the call's deadline.
#[derive(Debug)]
pub struct BudgetedRetry {
    budgets: BTreeMap<ids::OrganisationName, f64>,
    generator: ChaCha8Rng,
}

impl BudgetedRetry {
    /// Makes a policy whose jitter is drawn from `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            budgets: BTreeMap::new(),
            generator: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn spend(&mut self, organisation: &ids::OrganisationName) -> bool {
        let budget = self
            .budgets
            .entry(organisation.clone())
            .or_insert(BUDGET_START);
        if *budget < 1.0 {
            return false;
        }
        *budget -= 1.0;
        true
    }

    fn backoff(&mut self, attempts: u32) -> Duration {
        let doublings = attempts.saturating_sub(1).min(BACKOFF_DOUBLINGS);
        let ceiling = (BACKOFF_BASE * 2_u32.pow(doublings)).min(BACKOFF_LIMIT);
        ceiling.mul_f64(self.generator.random())
    }
}

impl RetryPolicy for BudgetedRetry {
    fn record_call(&mut self, _now: time::Timestamp, organisation: &ids::OrganisationName) {
        if self.budgets.len() >= ORGANISATION_LIMIT {
            self.budgets.retain(|_, budget| *budget < BUDGET_START);
        }
        let budget = self
            .budgets
            .entry(organisation.clone())
            .or_insert(BUDGET_START);
        *budget = (*budget + BUDGET_PER_CALL).min(BUDGET_LIMIT);
    }

    fn decide(&mut self, _now: time::Timestamp, question: &RetryQuestion<'_>) -> RetryDecision {
        let give_up = RetryDecision::GiveUp {
            retry_after: question.retry_after.max(DEFAULT_RETRY_AFTER),
        };
        let wait = self.backoff(question.attempts);
        if wait >= question.time_left {
            return give_up;
        }

        let is_allowed = match question.cause {
            RetryCause::Unavailable | RetryCause::NoTarget => true,
            RetryCause::Overloaded => self.spend(question.organisation),
            RetryCause::Lost => {
                question.attempts < LOST_ATTEMPTS && self.spend(question.organisation)
            }
        };
        match is_allowed {
            true => RetryDecision::After(wait),
            false => give_up,
        }
    }
}
