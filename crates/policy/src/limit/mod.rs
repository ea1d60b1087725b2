//! Rate limits, and the rate and concurrency limits of organisations at a gateway.

mod bucket;
mod tokens;
mod unlimited;

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;

pub use bucket::BucketLimit;
pub use tokens::TokenBucket;
pub use tokens::TokenRate;
pub use unlimited::NoLimit;

/// Limits of one organisation at one gateway, as set in the document.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OrganisationLimit {
    /// New calls per second, averaged over a long time.
    pub calls_per_s: f64,
    /// New calls that may start at once after an idle time.
    pub burst: u32,
    /// Maximum number of calls in progress.
    pub concurrent_calls: u32,
}

/// Decision on a new call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitDecision {
    /// The call may proceed, and counts as in progress until it is released.
    Allow,
    /// The call is refused.
    Refuse {
        /// Time after which the caller may try again.
        retry_after: Duration,
    },
}

/// Enforces the limits of all organisations at one gateway.
pub trait LimitPolicy {
    /// Sets the limits of an organisation; `None` removes them.
    fn configure(&mut self, organisation: &ids::OrganisationName, limit: Option<OrganisationLimit>);

    /// Decides whether a new call is allowed, and counts it if so.
    fn admit(
        &mut self,
        now: time::Timestamp,
        organisation: &ids::OrganisationName,
    ) -> LimitDecision;

    /// Records that an allowed call has ended.
    fn release(&mut self, now: time::Timestamp, organisation: &ids::OrganisationName);
}
