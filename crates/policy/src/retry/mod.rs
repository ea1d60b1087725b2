//! Whether and when a gateway tries a call again.

mod blind;
mod budgeted;

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;

pub use blind::BlindRetry;
pub use budgeted::BudgetedRetry;

/// Why the last attempt of a call ended without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryCause {
    /// The agent refused it for load; it did not run.
    Overloaded,
    /// The agent refused it because its target takes no such work now; it did not run.
    Unavailable,
    /// No target can be reached or chosen now; it did not run.
    NoTarget,
    /// It was running, is repeatable, and nothing of it was released to the caller.
    Lost,
}

/// A call that could be tried again.
#[derive(Debug, Clone, Copy)]
pub struct RetryQuestion<'a> {
    /// Organisation of the caller.
    pub organisation: &'a ids::OrganisationName,
    /// Attempts made so far.
    pub attempts: u32,
    /// Why the last one ended.
    pub cause: RetryCause,
    /// Wait that the agent asked for, or zero.
    pub retry_after: Duration,
    /// Time left until the call's deadline.
    pub time_left: Duration,
}

/// Answer to a [`RetryQuestion`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try again after this wait.
    After(Duration),
    /// Give the caller its final answer now.
    GiveUp {
        /// When the caller may try again.
        retry_after: Duration,
    },
}

/// Decides retries for one gateway.
pub trait RetryPolicy {
    /// Notes a new call, which adds to its organisation's retry budget.
    fn record_call(&mut self, now: time::Timestamp, organisation: &ids::OrganisationName);

    /// Decides whether a call is tried again.
    fn decide(&mut self, now: time::Timestamp, question: &RetryQuestion<'_>) -> RetryDecision;
}
