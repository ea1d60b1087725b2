//! Health of the target, and failures of the work on it.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_link::frames;
use kingcupfall_policy::schedule as policy;

use super::AgentEffect;
use super::AgentReducer;
use super::WorkFailure;
use super::orders::DEFAULT_RETRY_AFTER;
use crate::state;

/// Time after a failure for which nothing is started, unless a probe finds the target healthy
/// earlier.
const MAX_UNHEALTHY_TIME: Duration = Duration::from_secs(3);

impl AgentReducer {
    pub(super) fn fail_attempt(
        &mut self,
        now: time::Timestamp,
        attempt: ids::AttemptId,
        failure: WorkFailure,
        effects: &mut Vec<AgentEffect>,
    ) {
        let is_running = self
            .attempts
            .get(attempt)
            .is_some_and(state::AttemptState::is_running);
        if !is_running {
            self.counters.unexpected_events += 1;
            return;
        }

        self.mark_target_unhealthy(now, failure, effects);
        let (cause, suspect) = match failure {
            WorkFailure::NotSent => {
                let code = frames::RefusalCode::TargetDown;
                self.refuse_unstarted(now, attempt, code, DEFAULT_RETRY_AFTER, effects);
                return;
            }
            WorkFailure::ServerError | WorkFailure::Lost => {
                (frames::FailureCause::TargetLost, true)
            }
            WorkFailure::Rejected => (frames::FailureCause::TargetError, false),
        };
        let end = state::AttemptEnd::Failed { cause, suspect };
        self.end_attempt(now, attempt, end, effects);
    }

    /// Applies the result of a health probe; a dead target has lost all that it ran.
    pub(super) fn set_target_health(
        &mut self,
        now: time::Timestamp,
        up: bool,
        effects: &mut Vec<AgentEffect>,
    ) {
        let was_usable = self.is_target_usable(now);
        let was_up = self.target_up;
        self.target_up = up;
        if up {
            self.unhealthy_until = now;
        }
        if was_up == up {
            if up && !was_usable {
                self.send_heartbeats(now, effects);
            }
            return;
        }

        if !up {
            for attempt in self.attempts.select(state::AttemptState::is_running) {
                self.fail_attempt(now, attempt, WorkFailure::Lost, effects);
            }
            self.refuse_queued(now, frames::RefusalCode::TargetDown, effects);
        }
        self.send_heartbeats(now, effects);
    }

    /// Returns true if the target responds to probes and no recent failure marks it as unhealthy.
    pub(super) fn is_target_usable(&self, now: time::Timestamp) -> bool {
        self.target_up && now >= self.unhealthy_until
    }

    /// Stops starting work after a failure until a probe finds the target healthy.
    ///
    /// A dead target fails work at once, and would fail everything that gateways still send it
    /// before the next probe.
    fn mark_target_unhealthy(
        &mut self,
        now: time::Timestamp,
        failure: WorkFailure,
        effects: &mut Vec<AgentEffect>,
    ) {
        match failure {
            WorkFailure::NotSent | WorkFailure::ServerError | WorkFailure::Lost => {}
            WorkFailure::Rejected => return,
        }
        let was_usable = self.is_target_usable(now);
        self.unhealthy_until = now + MAX_UNHEALTHY_TIME;
        if was_usable {
            self.send_heartbeats(now, effects);
        }
    }

    /// Refuses everything that has not started.
    pub(super) fn refuse_queued(
        &mut self,
        now: time::Timestamp,
        code: frames::RefusalCode,
        effects: &mut Vec<AgentEffect>,
    ) {
        let is_queued = |state: &state::AttemptState| state.phase == state::AttemptPhase::Queued;
        for attempt in self.attempts.select(is_queued) {
            self.refuse_unstarted(now, attempt, code, DEFAULT_RETRY_AFTER, effects);
        }
    }

    /// Ends a running attempt whose response is no longer needed.
    pub(super) fn abandon(
        &mut self,
        now: time::Timestamp,
        attempt: ids::AttemptId,
        effects: &mut Vec<AgentEffect>,
    ) {
        effects.push(AgentEffect::Cancel { attempt });
        self.scheduler
            .end(now, attempt, policy::WorkOutcome::Cancelled);

        if let Some(state) = self.attempts.get_mut(attempt) {
            state.phase = state::AttemptPhase::Ended {
                at: now,
                end: state::AttemptEnd::Failed {
                    cause: frames::FailureCause::Cancelled,
                    suspect: false,
                },
            };
            state.end_sent = true;
        }
        self.drop_attempt(now, attempt);
    }
}

/// Returns the outcome reported to the scheduler.
pub(super) fn work_outcome(end: &state::AttemptEnd) -> policy::WorkOutcome {
    match end {
        state::AttemptEnd::Finished(_) | state::AttemptEnd::Responded(_) => {
            policy::WorkOutcome::Finished
        }
        state::AttemptEnd::Failed { .. } => policy::WorkOutcome::Lost,
    }
}
