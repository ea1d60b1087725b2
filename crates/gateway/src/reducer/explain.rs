//! Explains why each target is or is not chosen, for the administration API.

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_policy::place;

use super::GatewayReducer;
use super::candidates;
use super::placement::TARGET_SILENCE_TIMEOUT;
use crate::state;

/// Eligibility and score of one target for a request.
#[derive(Debug, Clone, PartialEq)]
pub struct CandidateStatus {
    /// Name of the target.
    pub target: ids::TargetName,
    /// Why the target can't be chosen; `None` if it can.
    pub obstacle: Option<state::TargetObstacle>,
    /// Score from the placement policy; `None` if the target can't be chosen.
    pub score: Option<place::PlacementScore>,
}

impl GatewayReducer {
    /// Returns the status of every target that serves at least part of `requested`, for the work in
    /// `request`.
    pub fn explain(
        &self,
        now: time::Timestamp,
        requested: &state::ServedWork,
        request: &place::PlacementRequest<'_>,
    ) -> Vec<CandidateStatus> {
        let serving: Vec<&state::TargetState> = self
            .targets
            .iter()
            .filter(|target| overlaps(&target.listing.serves, requested))
            .collect();
        let names: Vec<ids::TargetName> = serving
            .iter()
            .filter(|target| target.obstacle(now, TARGET_SILENCE_TIMEOUT).is_none())
            .map(|target| target.listing.name.clone())
            .collect();

        let views = candidates::target_views(now, &self.targets, &names, &self.identity.zone);
        let scores = self.policies.placement.explain(now, request, &views);
        serving
            .into_iter()
            .map(|target| CandidateStatus {
                target: target.listing.name.clone(),
                obstacle: target.obstacle(now, TARGET_SILENCE_TIMEOUT),
                score: scores
                    .iter()
                    .find(|score| score.target == target.listing.name)
                    .cloned(),
            })
            .collect()
    }
}

fn overlaps(served: &state::ServedWork, requested: &state::ServedWork) -> bool {
    match (served, requested) {
        (state::ServedWork::Models(served), state::ServedWork::Models(requested)) => {
            requested.iter().any(|model| served.contains(model))
        }
        (state::ServedWork::Service(served), state::ServedWork::Service(requested)) => {
            served == requested
        }
        (state::ServedWork::Models(_), state::ServedWork::Service(_))
        | (state::ServedWork::Service(_), state::ServedWork::Models(_)) => false,
    }
}
