//! Limit policy without limits.

use kingcupfall_core::ids;
use kingcupfall_core::time;

use super::LimitDecision;
use super::LimitPolicy;
use super::OrganisationLimit;

/// Limit policy that allows every call.
#[derive(Debug, Default)]
pub struct NoLimit;

impl LimitPolicy for NoLimit {
    fn configure(
        &mut self,
        _organisation: &ids::OrganisationName,
        _limit: Option<OrganisationLimit>,
    ) {
    }

    fn admit(
        &mut self,
        _now: time::Timestamp,
        _organisation: &ids::OrganisationName,
    ) -> LimitDecision {
        LimitDecision::Allow
    }

    fn release(&mut self, _now: time::Timestamp, _organisation: &ids::OrganisationName) {}
}
