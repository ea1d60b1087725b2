//! Work that comes with time: waiting calls, deadlines, links, lost targets.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::time;

use super::GatewayEffect;
use super::GatewayReducer;
use super::ProblemCode;
use crate::state;

/// Longest time between two ticks.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two heartbeats on a link.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(3);

/// Time without a link after which an unreleased repeatable call is tried elsewhere.
const RESTART_PATIENCE: Duration = Duration::from_secs(2);

/// Time without a link after which other calls end as unknown.
const REACH_PATIENCE: Duration = Duration::from_secs(15);

/// Least time between two orders that take back the same waiting attempt.
const WITHDRAWAL_INTERVAL: Duration = Duration::from_secs(3);

impl GatewayReducer {
    pub(super) fn tick(&mut self, now: time::Timestamp, effects: &mut Vec<GatewayEffect>) {
        self.mend_links(now, effects);
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + HEARTBEAT_INTERVAL;
            self.send_heartbeats(effects);
        }

        self.place_waiting(now, effects);
        self.end_overdue(now, effects);
        self.give_up_unreachable(now, effects);
        self.weigh_moves(now, effects);
        self.drop_unlisted(now, effects);
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

    /// Takes back calls that have not started by their deadline.
    fn end_overdue(&mut self, now: time::Timestamp, effects: &mut Vec<GatewayEffect>) {
        let is_overdue = |state: &state::CallState| {
            matches!(state.phase, state::CallPhase::Placed(_))
                && state.received == measures::SequenceNumber::ZERO
                && !state.resumed
                && now > state.request.start_deadline
        };

        for call in self.calls.select(is_overdue) {
            self.ask_withdrawal(now, call, effects);
        }
    }

    fn ask_withdrawal(
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
        // Work that has started is left to end; only a waiting attempt is taken back.
        if now.since(placed.weighed_at) < WITHDRAWAL_INTERVAL {
            return;
        }
        if let state::CallPhase::Placed(placed) = &mut state.phase {
            placed.weighed_at = now;
        }
        self.send_cancel(&placed, true, effects);
    }

    /// Restarts or ends the calls of targets that have had no link for long.
    fn give_up_unreachable(&mut self, now: time::Timestamp, effects: &mut Vec<GatewayEffect>) {
        let lost: Vec<ids::CallId> = self.calls.select(|state| {
            let Some(placed) = state.placed() else {
                return false;
            };
            let patience = match state.is_restartable() {
                true => RESTART_PATIENCE,
                false => REACH_PATIENCE,
            };
            match self.targets.get(&placed.target) {
                Some(target) => target
                    .lost_at
                    .is_some_and(|lost_at| now.since(lost_at.max(placed.placed_at)) >= patience),
                None => now.since(placed.placed_at) >= patience,
            }
        });

        for call in lost {
            let placed = self
                .calls
                .get(call)
                .and_then(state::CallState::placed)
                .cloned();
            if let Some(placed) = placed {
                self.send_cancel(&placed, false, effects);
            }
            self.lose_call(now, call, ProblemCode::TargetUnreachable, effects);
        }
    }
}
