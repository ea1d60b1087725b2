//! Immediate retries up to a fixed number of attempts.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;

use super::RetryDecision;
use super::RetryPolicy;
use super::RetryRequest;

/// Baseline retry policy without budget or backoff.
#[derive(Debug, Clone, Copy)]
pub struct ImmediateRetry {
    max_attempts: u32,
}

impl ImmediateRetry {
    /// Creates a policy that allows `max_attempts` attempts per call.
    pub const fn new(max_attempts: u32) -> Self {
        Self { max_attempts }
    }
}

impl RetryPolicy for ImmediateRetry {
    fn record_call(&mut self, _now: time::Timestamp, _organisation: &ids::OrganisationName) {}

    fn decide(&mut self, _now: time::Timestamp, request: &RetryRequest<'_>) -> RetryDecision {
        if request.attempts < self.max_attempts && !request.time_left.is_zero() {
            return RetryDecision::After(Duration::ZERO);
        }
        RetryDecision::Abandon {
            retry_after: request.retry_after,
        }
    }
}
