//! Placement on the target with the fewest attempts of this gateway in flight.

use kingcupfall_core::time;

use super::PlacementPolicy;
use super::PlacementRequest;
use super::PlacementScore;
use super::TargetView;

/// Baseline placement by the gateway's own attempts in flight.
///
/// Ties go to the first candidate after the last choice.
#[derive(Debug, Default)]
pub struct LeastOutstandingPlacement {
    next_index: usize,
}

impl PlacementPolicy for LeastOutstandingPlacement {
    fn choose(
        &mut self,
        _now: time::Timestamp,
        _request: &PlacementRequest<'_>,
        candidates: &[TargetView<'_>],
    ) -> Option<usize> {
        let candidate_count = candidates.len();
        let index = (0..candidate_count)
            .map(|offset| (self.next_index + offset) % candidate_count)
            .min_by_key(|index| candidates[*index].in_flight)?;

        self.next_index = index + 1;
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
                cost_s: f64::from(candidate.in_flight),
                reason: format!("{} attempts in flight", candidate.in_flight).into(),
            })
            .collect()
    }
}
