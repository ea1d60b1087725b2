//! Retries: whether and when a gateway makes another attempt of a call.

mod budgeted;
mod immediate;

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;

pub use budgeted::BudgetedRetry;
pub use immediate::ImmediateRetry;

/// Reason why the last attempt of a call ended without a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryCause {
    /// The agent refused it because of load; it did not run.
    Overloaded,
    /// The agent refused it because its target does not accept such work now; it did not run.
    Unavailable,
    /// No target could be reached or chosen; it did not run.
    NoTarget,
    /// It was lost while it was running. It is repeatable, and no part of its response was released
    /// to the caller.
    Lost,
}

/// A call whose last attempt failed and that may be retried.
#[derive(Debug, Clone, Copy)]
pub struct RetryRequest<'a> {
    /// Organisation of the caller.
    pub organisation: &'a ids::OrganisationName,
    /// Number of attempts made so far.
    pub attempts: u32,
    /// Reason why the last attempt ended.
    pub cause: RetryCause,
    /// Retry delay requested by the agent; zero for none.
    pub retry_after: Duration,
    /// Time left until the call's deadline.
    pub time_left: Duration,
}

/// Decision on a [`RetryRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Make another attempt after this delay.
    After(Duration),
    /// Make no further attempt and send the caller its final response now.
    Abandon {
        /// Time after which the caller may try again.
        retry_after: Duration,
    },
}

/// Decides retries for one gateway.
pub trait RetryPolicy {
    /// Records a new call, which adds to the retry budget of its organisation.
    fn record_call(&mut self, now: time::Timestamp, organisation: &ids::OrganisationName);

    /// Decides whether and when a call is retried.
    fn decide(&mut self, now: time::Timestamp, request: &RetryRequest<'_>) -> RetryDecision;
}
