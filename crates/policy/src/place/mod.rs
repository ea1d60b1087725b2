//! Placement: the choice of the target to which a gateway sends work.

mod expected_cost;
mod least_outstanding;
mod round_robin;

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::load;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_core::work;

pub use expected_cost::ExpectedCostPlacement;
pub use least_outstanding::LeastOutstandingPlacement;
pub use round_robin::RoundRobinPlacement;

/// Distance between a target and the gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ZoneDistance {
    /// The target is in the gateway's availability zone.
    Same,
    /// The target is in another availability zone.
    Other,
}

/// Candidate target with the gateway's view of its load.
#[derive(Debug, Clone, Copy)]
pub struct TargetView<'a> {
    /// Name of the target.
    pub name: &'a ids::TargetName,
    /// Distance between its zone and the gateway's.
    pub distance: ZoneDistance,
    /// Load from the agent's last heartbeat.
    pub load: &'a load::LoadSummary,
    /// Age of that heartbeat.
    pub load_age: Duration,
    /// Attempts of this gateway at the target that have not ended.
    pub in_flight: u32,
    /// Attempts that this gateway placed at the target since that heartbeat.
    pub placed_attempts: u32,
    /// Prompt tokens of the attempts placed since that heartbeat.
    pub placed_tokens: measures::TokenCount,
}

/// Work to place on a target.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Organisation, class, priority and weight of the call.
    pub tag: &'a work::CallerTag,
    /// Estimated prompt tokens; zero for a service call.
    pub prompt_tokens: measures::TokenCount,
    /// Hash of the prompt's start; `None` for a service call.
    pub prefix: Option<work::PrefixHash>,
    /// Whether the work is suspected of crashing targets.
    pub suspect: bool,
}

/// Score of one candidate and its reason, for the administration API.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementScore {
    /// Target that was scored.
    pub target: ids::TargetName,
    /// Cost of the target; [`ExpectedCostPlacement`] chooses the lowest expected cost in seconds.
    /// Baselines report the measure they compare instead, or zero.
    pub cost_s: f64,
    /// Readable list of the components of the cost.
    pub reason: Box<str>,
}

/// Chooses targets for one gateway.
pub trait PlacementPolicy {
    /// Returns the index of the chosen candidate, or `None` if the work should wait at the gateway.
    fn choose(
        &mut self,
        now: time::Timestamp,
        request: &PlacementRequest<'_>,
        candidates: &[TargetView<'_>],
    ) -> Option<usize>;

    /// Returns true if work that waits in the queue of `current` should be assigned to another
    /// target.
    ///
    /// `waited` is the time since the work was placed there. `candidates` does not contain
    /// `current`. Work that has started is never reassigned.
    fn should_reassign(
        &mut self,
        _now: time::Timestamp,
        _request: &PlacementRequest<'_>,
        _current: &TargetView<'_>,
        _waited: Duration,
        _candidates: &[TargetView<'_>],
    ) -> bool {
        false
    }

    /// Returns the scores of all candidates, in their order, without choosing one.
    fn explain(
        &self,
        now: time::Timestamp,
        request: &PlacementRequest<'_>,
        candidates: &[TargetView<'_>],
    ) -> Vec<PlacementScore>;
}
