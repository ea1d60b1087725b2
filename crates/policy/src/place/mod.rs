//! Which target a gateway sends work to.

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

/// How far a target is from the gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ZoneDistance {
    /// The same availability zone.
    Same,
    /// Another availability zone.
    Other,
}

/// A target that could take the work, as the gateway sees it.
#[derive(Debug, Clone, Copy)]
pub struct TargetView<'a> {
    /// Name of the target.
    pub name: &'a ids::TargetName,
    /// Distance of its zone.
    pub distance: ZoneDistance,
    /// Load from the agent's last pulse.
    pub load: &'a load::LoadSummary,
    /// Age of that pulse.
    pub load_age: Duration,
    /// Attempts of this gateway that have not ended there.
    pub in_flight: u32,
    /// Attempts that this gateway placed there since that pulse.
    pub placed_since: u32,
    /// Prompt tokens of those attempts.
    pub placed_tokens: measures::TokenCount,
}

/// Work that wants a target.
#[derive(Debug, Clone, Copy)]
pub struct PlacementQuestion<'a> {
    /// Whose call it is.
    pub tag: &'a work::CallerTag,
    /// Estimated prompt tokens; zero for a service call.
    pub prompt_tokens: measures::TokenCount,
    /// Hash of the prompt's start; `None` for a service call.
    pub prefix: Option<work::PrefixHash>,
    /// Whether it is suspected of crashing targets.
    pub suspect: bool,
}

/// Why one candidate stands where it stands, for the administration API.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementScore {
    /// Target that was scored.
    pub target: ids::TargetName,
    /// Expected cost in seconds; the lowest is chosen.
    pub cost_s: f64,
    /// The parts of the cost, in words.
    pub reason: Box<str>,
}

/// Chooses targets for one gateway.
pub trait PlacementPolicy {
    /// Chooses one of `candidates` by its index, or none when the work had better wait here.
    fn choose(
        &mut self,
        now: time::Timestamp,
        question: &PlacementQuestion<'_>,
        candidates: &[TargetView<'_>],
    ) -> Option<usize>;

    /// Says whether work that waits in the queue of `current` had better move to another target.
    ///
    /// `candidates` does not hold `current`. Work that has started is never moved.
    fn reconsider(
        &mut self,
        _now: time::Timestamp,
        _question: &PlacementQuestion<'_>,
        _current: &TargetView<'_>,
        _waited: Duration,
        _candidates: &[TargetView<'_>],
    ) -> bool {
        false
    }

    /// Scores all candidates without choosing.
    fn explain(
        &self,
        now: time::Timestamp,
        question: &PlacementQuestion<'_>,
        candidates: &[TargetView<'_>],
    ) -> Vec<PlacementScore>;
}
