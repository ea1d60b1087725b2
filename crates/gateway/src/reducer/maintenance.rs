//! Periodic work on each tick: links, heartbeats, waiting calls, deadlines and unreachable targets.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::time;

use super::GatewayEffect;
use super::GatewayReducer;
use super::ProblemCode;
use crate::state;

/// Maximum time between two ticks.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two heartbeats on a link.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(3);

/// Time without a link after which a restartable call is retried at another target.
const RESTART_TIMEOUT: Duration = Duration::from_secs(2);

/// Time without a link after which other calls end with an unknown outcome.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Minimum time between two cancel orders for the same waiting attempt.
const CANCEL_INTERVAL: Duration = Duration::from_secs(3);

impl GatewayReducer {
    pub(super) fn tick(&mut self, now: time::Timestamp, effects: &mut Vec<GatewayEffect>) {
        self.repair_links(now, effects);
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + HEARTBEAT_INTERVAL;
            self.send_heartbeats(effects);
        }

        self.place_waiting(now, effects);
        self.cancel_overdue(now, effects);
        self.abandon_unreachable(now, effects);
        self.reassign_waiting(now, effects);
        self.remove_unlisted(now, effects);
    }

    fn place_waiting(&mut self, now: time::Timestamp, effects: &mut Vec<GatewayEffect>) {
        let is_due = |state: &state::CallState| match state.phase {
            state::CallPhase::Waiting { until } => until <= now,
            state::CallPhase::Placed(_) => false,
        };
        for call in self.calls.select(is_due) {
            self.place(now, call, effects);
        }
    }

    /// Cancels attempts that have produced no token by their start deadline.
    fn cancel_overdue(&mut self, now: time::Timestamp, effects: &mut Vec<GatewayEffect>) {
        let is_overdue = |state: &state::CallState| {
            matches!(state.phase, state::CallPhase::Placed(_))
                && state.received == measures::SequenceNumber::ZERO
                && !state.resumed
                && now > state.request.start_deadline
        };

        for call in self.calls.select(is_overdue) {
            self.cancel_if_waiting(now, call, effects);
        }
    }

    /// Cancels an attempt if it still waits at its target; work that has started may finish.
    fn cancel_if_waiting(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(state) = self.calls.get_mut(call) else {
            return;
        };
        let Some(placed) = state.placed().cloned() else {
            return;
        };
        if now.since(placed.reviewed_at) < CANCEL_INTERVAL {
            return;
        }
        if let state::CallPhase::Placed(placed) = &mut state.phase {
            placed.reviewed_at = now;
        }
        self.send_cancel(&placed, true, effects);
    }

    /// Retries or ends the calls of targets that have had no link for too long.
    fn abandon_unreachable(&mut self, now: time::Timestamp, effects: &mut Vec<GatewayEffect>) {
        let unreachable: Vec<ids::CallId> = self.calls.select(|state| {
            let Some(placed) = state.placed() else {
                return false;
            };
            let timeout = match state.is_restartable() {
                true => RESTART_TIMEOUT,
                false => UNREACHABLE_TIMEOUT,
            };
            match self.targets.get(&placed.target) {
                Some(target) => target
                    .lost_at
                    .is_some_and(|lost_at| now.since(lost_at.max(placed.placed_at)) >= timeout),
                None => now.since(placed.placed_at) >= timeout,
            }
        });

        for call in unreachable {
            let placed = self
                .calls
                .get(call)
                .and_then(state::CallState::placed)
                .cloned();
            if let Some(placed) = placed {
                self.send_cancel(&placed, false, effects);
            }
            self.handle_lost_attempt(now, call, ProblemCode::TargetUnreachable, effects);
        }
    }
}
