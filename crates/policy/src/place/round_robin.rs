//! Placement on each target in turn.

use kingcupfall_core::time;

use super::PlacementPolicy;
use super::PlacementRequest;
use super::PlacementScore;
use super::TargetView;

/// Baseline placement that ignores load.
#[derive(Debug, Default)]
pub struct RoundRobinPlacement {
    next_index: usize,
}

impl PlacementPolicy for RoundRobinPlacement {
    fn choose(
        &mut self,
        _now: time::Timestamp,
        _request: &PlacementRequest<'_>,
        candidates: &[TargetView<'_>],
    ) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        let index = self.next_index % candidates.len();
        self.next_index = self.next_index.wrapping_add(1);
        Some(index)
    }

    fn explain(
        &self,
        _now: time::Timestamp,
        _request: &PlacementRequest<'_>,
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
