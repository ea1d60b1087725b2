//! Failures of the target and of the work on it.

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_link::frames;
use kingcupfall_policy::schedule as policy;

use super::AgentEffect;
use super::AgentReducer;
use super::WorkFailure;
use super::intake::DEFAULT_RETRY_AFTER;
use crate::state;

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
            self.counters.stray_events += 1;
            return;
        }

        let (cause, suspect) = match failure {
            WorkFailure::NotSent => {
                let code = frames::RefusalCode::TargetDown;
                self.withdraw(now, attempt, code, DEFAULT_RETRY_AFTER, effects);
                return;
            }
            WorkFailure::Unable => (frames::FailureCause::TargetLost, false),
            WorkFailure::Lost => (frames::FailureCause::TargetLost, true),
            WorkFailure::Refused => (frames::FailureCause::TargetError, false),
        };
        let end = state::AttemptEnd::Failed { cause, suspect };
        self.end_attempt(now, attempt, end, effects);
    }

    /// Notes whether the target answers; a dead target has lost all that it ran.
    pub(super) fn set_target_health(
        &mut self,
        now: time::Timestamp,
        up: bool,
        effects: &mut Vec<AgentEffect>,
    ) {
        let was_up = self.target_up;
        self.target_up = up;
        if was_up == up {
            return;
        }

        if !up {
            for attempt in self.attempts.select(state::AttemptState::is_running) {
                self.fail_attempt(now, attempt, WorkFailure::Lost, effects);
            }
            self.refuse_queue(now, frames::RefusalCode::TargetDown, effects);
        }
        self.send_pulses(now, effects);
    }

    /// Refuses everything that has not started.
    pub(super) fn refuse_queue(
        &mut self,
        now: time::Timestamp,
        code: frames::RefusalCode,
        effects: &mut Vec<AgentEffect>,
    ) {
        let is_queued = |state: &state::AttemptState| state.phase == state::AttemptPhase::Queued;
        for attempt in self.attempts.select(is_queued) {
            self.withdraw(now, attempt, code, DEFAULT_RETRY_AFTER, effects);
        }
    }

    /// Ends a running attempt whose answer nobody wants.
    pub(super) fn abandon(
        &mut self,
        now: time::Timestamp,
        attempt: ids::AttemptId,
        effects: &mut Vec<AgentEffect>,
    ) {
        effects.push(AgentEffect::Cancel { attempt });
        self.scheduler.end(now, attempt, policy::WorkEnd::Cancelled);

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

/// Returns what the scheduler is told about an end.
pub(super) fn work_end(end: &state::AttemptEnd) -> policy::WorkEnd {
    match end {
        state::AttemptEnd::Finished(_) | state::AttemptEnd::Answered(_) => {
            policy::WorkEnd::Finished
        }
        state::AttemptEnd::Failed { .. } => policy::WorkEnd::Lost,
    }
}
