//! Retries at once, a fixed number of times.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;

use super::RetryDecision;
use super::RetryPolicy;
use super::RetryQuestion;

/// Retry without budget or backoff.
#[derive(Debug, Clone, Copy)]
pub struct BlindRetry {
    most_attempts: u32,
}

impl BlindRetry {
    /// Makes a policy that allows `most_attempts` attempts a call.
    pub const fn new(most_attempts: u32) -> Self {
        Self { most_attempts }
    }
}

impl RetryPolicy for BlindRetry {
    fn record_call(&mut self, _now: time::Timestamp, _organisation: &ids::OrganisationName) {}

    fn decide(&mut self, _now: time::Timestamp, question: &RetryQuestion<'_>) -> RetryDecision {
        if question.attempts < self.most_attempts && !question.time_left.is_zero() {
            return RetryDecision::After(Duration::ZERO);
        }
        RetryDecision::GiveUp {
            retry_after: question.retry_after,
        }
    }
}
