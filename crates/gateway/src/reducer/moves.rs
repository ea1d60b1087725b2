//! Moving attempts that still wait at their target.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::time;

use super::GatewayEffect;
use super::GatewayReducer;
use super::candidates;
use crate::state;

/// Least time between two thoughts of moving a waiting attempt.
const MOVE_INTERVAL: Duration = Duration::from_millis(500);

impl GatewayReducer {
    /// Weighs whether attempts that still wait at their target had better move.
    pub(super) fn weigh_moves(&mut self, now: time::Timestamp, effects: &mut Vec<GatewayEffect>) {
        let is_due = |state: &state::CallState| match &state.phase {
            state::CallPhase::Placed(placed) => {
                state.received == measures::SequenceNumber::ZERO
                    && !state.resumed
                    && state.request.key.is_none()
                    && now.since(placed.weighed_at) >= MOVE_INTERVAL
            }
            state::CallPhase::Waiting { .. } => false,
        };

        for call in self.calls.select(is_due) {
            if self.weigh_move(now, call) {
                self.start_move(call, effects);
            }
        }
    }

    fn weigh_move(&mut self, now: time::Timestamp, call: ids::CallId) -> bool {
        let suspect = self.is_suspect(now, call);
        let Some(state) = self.calls.get_mut(call) else {
            return false;
        };
        let state::CallPhase::Placed(placed) = &mut state.phase else {
            return false;
        };
        placed.weighed_at = now;
        let waited = now.since(placed.placed_at);
        let current = placed.target.clone();

        let mut names = candidates::candidates(now, &self.targets, state);
        names.retain(|name| *name != current);
        if names.is_empty() {
            return false;
        }

        let question = candidates::question(&state.request, suspect);
        let views = candidates::views(now, &self.targets, &names, &self.identity.zone);
        let Some(view) = self
            .targets
            .get(&current)
            .map(|target| candidates::target_view(now, target, &self.identity.zone))
        else {
            return false;
        };
        self.policies
            .placement
            .should_reassign(now, &question, &view, waited, &views)
    }

    fn start_move(&mut self, call: ids::CallId, effects: &mut Vec<GatewayEffect>) {
        let Some(placed) = self.calls.get(call).and_then(|state| state.placed()) else {
            return;
        };
        let placed = placed.clone();
        self.counters.moves += 1;
        // The agent answers only when the attempt still waits; otherwise nothing changes.
        self.send_cancel(&placed, true, effects);
    }
}
