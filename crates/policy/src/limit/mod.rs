//! How much of the system one organisation may use at a gateway.

mod bucket;
mod unlimited;

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;

pub use bucket::BucketLimit;
pub use unlimited::NoLimit;

/// Limits of one organisation at one gateway, from the document.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OrganisationLimit {
    /// New calls a second, in the long run.
    pub calls_per_s: f64,
    /// New calls that may come at once.
    pub burst: u32,
    /// Calls in progress.
    pub concurrent_calls: u32,
}

/// Answer to a new call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitDecision {
    /// The call may go on; it is counted until it is released.
    Allow,
    /// The call is refused.
    Refuse {
        /// When the caller may try again.
        retry_after: Duration,
    },
}

/// Holds the limits of all organisations at one gateway.
pub trait LimitPolicy {
    /// Sets the limits of an organisation; `None` removes them.
    fn configure(&mut self, organisation: &ids::OrganisationName, limit: Option<OrganisationLimit>);

    /// Judges a new call.
    fn admit(
        &mut self,
        now: time::Timestamp,
        organisation: &ids::OrganisationName,
    ) -> LimitDecision;

    /// Releases a call that was allowed and has ended.
    fn release(&mut self, now: time::Timestamp, organisation: &ids::OrganisationName);
}
