//! Failures of the target and of the work on it.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_link::frames;
use kingcupfall_policy::schedule as policy;

use super::AgentEffect;
use super::AgentReducer;
use super::WorkFailure;
use super::intake::DEFAULT_RETRY_AFTER;
use crate::state;

/// Longest time for which a target is doubted after a failure.
const DOUBT: Duration = Duration::from_secs(3);

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

        self.doubt_target(now, failure, effects);
        let (cause, suspect) = match failure {
            WorkFailure::NotSent => {
                let code = frames::RefusalCode::TargetDown;
                self.withdraw(now, attempt, code, DEFAULT_RETRY_AFTER, effects);
                return;
            }
            WorkFailure::Unable | WorkFailure::Lost => (frames::FailureCause::TargetLost, true),
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
        let was_usable = self.is_target_usable(now);
        let was_up = self.target_up;
        self.target_up = up;
        if up {
            self.doubtful_until = now;
        }
        if was_up == up {
            if up && !was_usable {
                self.send_pulses(now, effects);
            }
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

    /// Says whether the target answers, as far as is known.
    pub(super) fn is_target_usable(&self, now: time::Timestamp) -> bool {
        self.target_up && now >= self.doubtful_until
    }

    /// Starts nothing new after a failure until the target is found to answer.
    ///
    /// A dead target fails work at once, and would take all that gateways have left before the
    /// next probe.
    fn doubt_target(
        &mut self,
        now: time::Timestamp,
        failure: WorkFailure,
        effects: &mut Vec<AgentEffect>,
    ) {
        match failure {
            WorkFailure::NotSent | WorkFailure::Unable | WorkFailure::Lost => {}
            WorkFailure::Refused => return,
        }
        let was_usable = self.is_target_usable(now);
        self.doubtful_until = now + DOUBT;
        if was_usable {
            self.send_pulses(now, effects);
        }
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

/// Returns what the scheduler is told about an end.
pub(super) fn work_end(end: &state::AttemptEnd) -> policy::WorkOutcome {
    match end {
        state::AttemptEnd::Finished(_) | state::AttemptEnd::Answered(_) => {
            policy::WorkOutcome::Finished
        }
        state::AttemptEnd::Failed { .. } => policy::WorkOutcome::Lost,
    }
}
