//! Takes targets in turn.

use kingcupfall_core::time;

use super::PlacementPolicy;
use super::PlacementQuestion;
use super::PlacementScore;
use super::TargetView;

/// Placement that ignores load.
#[derive(Debug, Default)]
pub struct RoundRobinPlacement {
    next: usize,
}

impl PlacementPolicy for RoundRobinPlacement {
    fn choose(
        &mut self,
        _now: time::Timestamp,
        _question: &PlacementQuestion<'_>,
        candidates: &[TargetView<'_>],
    ) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        let index = self.next % candidates.len();
        self.next = self.next.wrapping_add(1);
        Some(index)
    }

    fn explain(
        &self,
        _now: time::Timestamp,
        _question: &PlacementQuestion<'_>,
        candidates: &[TargetView<'_>],
    ) -> Vec<PlacementScore> {
        candidates
            .iter()
            .map(|candidate| PlacementScore {
                target: candidate.name.clone(),
                cost_s: 0.0,
                reason: "taken in turn".into(),
            })
            .collect()
    }
}
