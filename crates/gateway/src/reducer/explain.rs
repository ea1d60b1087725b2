//! Why each target is or is not chosen, for the administration API.

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_policy::place;

use super::GatewayReducer;
use super::candidates;
use super::placing::SUSPICION_SILENCE;
use crate::state;

/// How one target stands for a piece of work.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetStanding {
    /// The target.
    pub target: ids::TargetName,
    /// Why it can't be chosen; `None` when it can.
    pub obstacle: Option<state::TargetObstacle>,
    /// Its score, when it can be chosen.
    pub score: Option<place::PlacementScore>,
}

impl GatewayReducer {
    /// Says how every target that serves `serves` stands for the work in `question`.
    pub fn explain(
        &self,
        now: time::Timestamp,
        serves: &state::ServedWork,
        question: &place::PlacementRequest<'_>,
    ) -> Vec<TargetStanding> {
        let fitting: Vec<&state::TargetState> = self
            .targets
            .iter()
            .filter(|target| overlaps(&target.listing.serves, serves))
            .collect();
        let names: Vec<ids::TargetName> = fitting
            .iter()
            .filter(|target| target.obstacle(now, SUSPICION_SILENCE).is_none())
            .map(|target| target.listing.name.clone())
            .collect();

        let views = candidates::views(now, &self.targets, &names, &self.identity.zone);
        let scores = self.policies.placement.explain(now, question, &views);
        fitting
            .into_iter()
            .map(|target| TargetStanding {
                target: target.listing.name.clone(),
                obstacle: target.obstacle(now, SUSPICION_SILENCE),
                score: scores
                    .iter()
                    .find(|score| score.target == target.listing.name)
                    .cloned(),
            })
            .collect()
    }
}

fn overlaps(served: &state::ServedWork, wanted: &state::ServedWork) -> bool {
    match (served, wanted) {
        (state::ServedWork::Models(served), state::ServedWork::Models(wanted)) => {
            wanted.iter().any(|model| served.contains(model))
        }
        (state::ServedWork::Service(served), state::ServedWork::Service(wanted)) => {
            served == wanted
        }
        (state::ServedWork::Models(_), state::ServedWork::Service(_))
        | (state::ServedWork::Service(_), state::ServedWork::Models(_)) => false,
    }
}
