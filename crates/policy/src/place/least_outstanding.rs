//! Takes the target with the fewest attempts of this gateway in flight.

use kingcupfall_core::time;

use super::PlacementPolicy;
use super::PlacementQuestion;
use super::PlacementScore;
use super::TargetView;

/// Placement by the gateway's own attempts in flight; ties go to the first after the last choice.
#[derive(Debug, Default)]
pub struct LeastOutstandingPlacement {
    next: usize,
}

impl PlacementPolicy for LeastOutstandingPlacement {
    fn choose(
        &mut self,
        _now: time::Timestamp,
        _question: &PlacementQuestion<'_>,
        candidates: &[TargetView<'_>],
    ) -> Option<usize> {
        let count = candidates.len();
        let index = (0..count)
            .map(|offset| (self.next + offset) % count)
            .min_by_key(|index| candidates[*index].in_flight)?;

        self.next = index + 1;
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
                cost_s: f64::from(candidate.in_flight),
                reason: format!("{} attempts in flight", candidate.in_flight).into(),
            })
            .collect()
    }
}
