//! Reassignment of attempts that still wait in the queue of their target.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::time;

use super::GatewayEffect;
use super::GatewayReducer;
use super::candidates;
use crate::state;

/// Minimum time between two checks of the same waiting attempt.
const REASSIGNMENT_INTERVAL: Duration = Duration::from_millis(500);

impl GatewayReducer {
    /// Cancels the waiting attempts that the placement policy wants to reassign.
    ///
    /// Calls that have received tokens, were resumed, or carry the caller's own key, which names a
    /// target, stay where they are. A cancelled call is placed again once the agent confirms.
    pub(super) fn reassign_waiting(
        &mut self,
        now: time::Timestamp,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let is_due = |state: &state::CallState| match &state.phase {
            state::CallPhase::Placed(placed) => {
                state.received == measures::SequenceNumber::ZERO
                    && !state.resumed
                    && state.request.key.is_none()
                    && now.since(placed.reviewed_at) >= REASSIGNMENT_INTERVAL
            }
            state::CallPhase::Waiting { .. } => false,
        };

        for call in self.calls.select(is_due) {
            if self.check_reassignment(now, call) {
                self.start_reassignment(call, effects);
            }
        }
    }

    /// Returns true if the placement policy prefers another target to the current one.
    fn check_reassignment(&mut self, now: time::Timestamp, call: ids::CallId) -> bool {
        let suspect = self.is_suspect(now, call);
        let Some(state) = self.calls.get_mut(call) else {
            return false;
        };
        let state::CallPhase::Placed(placed) = &mut state.phase else {
            return false;
        };
        placed.reviewed_at = now;
        let waited = now.since(placed.placed_at);
        let current = placed.target.clone();

        let mut names = candidates::eligible_targets(now, &self.targets, state);
        names.retain(|name| *name != current);
        if names.is_empty() {
            return false;
        }

        let request = candidates::placement_request(&state.request, suspect);
        let views = candidates::target_views(now, &self.targets, &names, &self.identity.zone);
        let Some(view) = self
            .targets
            .get(&current)
            .map(|target| candidates::target_view(now, target, &self.identity.zone))
        else {
            return false;
        };
        self.policies
            .placement
            .should_reassign(now, &request, &view, waited, &views)
    }

    fn start_reassignment(&mut self, call: ids::CallId, effects: &mut Vec<GatewayEffect>) {
        let Some(placed) = self.calls.get(call).and_then(|state| state.placed()) else {
            return;
        };
        let placed = placed.clone();
        self.counters.reassignments += 1;
        // The agent replies only if the attempt still waits; otherwise the attempt continues there.
        self.send_cancel(&placed, true, effects);
    }
}
