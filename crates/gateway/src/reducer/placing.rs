//! Choosing a target for a call, and trying again.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::keys;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_policy::quarantine;
use kingcupfall_policy::retry;

use super::GatewayEffect;
use super::GatewayReducer;
use super::ProblemCode;
use super::candidates;
use crate::state;

/// Silence after which a target gets no new work.
pub const SUSPICION_SILENCE: Duration = Duration::from_millis(1_500);

/// Wait before a call that found no room is placed again.
const PLACEMENT_WAIT: Duration = Duration::from_millis(50);

/// Wait that callers are told when no target can be chosen.
pub(super) const NO_TARGET_RETRY_AFTER: Duration = Duration::from_secs(2);

impl GatewayReducer {
    /// Sends a waiting call to a target, or decides when to try again.
    pub(super) fn place(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(state) = self.calls.get(call) else {
            return;
        };
        if now > state.request.start_deadline {
            self.give_up(now, call, ProblemCode::DeadlinePassed, None, effects);
            return;
        }
        if let Some(key) = state.request.key.clone() {
            self.place_keyed(now, call, &key, effects);
            return;
        }
        if self.is_quarantined(now, call) {
            self.give_up(now, call, ProblemCode::Quarantined, None, effects);
            return;
        }

        match self.choose_target(now, call) {
            TargetChoice::Chosen(target) => self.send_start(now, call, &target, effects),
            TargetChoice::Wait => self.wait(now, call, PLACEMENT_WAIT),
            TargetChoice::NoCandidate => {
                let cause = retry::RetryCause::NoTarget;
                self.retry(now, call, cause, Duration::ZERO, effects);
            }
        }
    }

    /// Tries a call again, or ends it when its policy gives up.
    pub(super) fn retry(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        cause: retry::RetryCause,
        retry_after: Duration,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(state) = self.calls.get(call) else {
            return;
        };
        let question = retry::RetryRequest {
            organisation: &state.request.tag.organisation,
            attempts: state.attempts,
            cause,
            retry_after,
            time_left: state.request.start_deadline.since(now),
        };

        match self.policies.retry.decide(now, &question) {
            retry::RetryDecision::After(wait) if wait.is_zero() && can_place_now(cause) => {
                self.wait(now, call, Duration::ZERO);
                self.place(now, call, effects);
            }
            retry::RetryDecision::After(wait) => self.wait(now, call, wait),
            retry::RetryDecision::Abandon { retry_after } => {
                let code = match cause {
                    retry::RetryCause::Overloaded => ProblemCode::Overloaded,
                    retry::RetryCause::Unavailable | retry::RetryCause::NoTarget => {
                        ProblemCode::NoTarget
                    }
                    retry::RetryCause::Lost => ProblemCode::TargetLost,
                };
                let outcome = match cause {
                    retry::RetryCause::Overloaded
                    | retry::RetryCause::Unavailable
                    | retry::RetryCause::NoTarget => self.unplaced_outcome(call),
                    retry::RetryCause::Lost => work::CallOutcome::Unknown,
                };
                self.finish_problem(now, call, outcome, code, Some(retry_after), effects);
            }
        }
    }

    /// Returns what is known of a call that no attempt has now.
    pub(super) fn unplaced_outcome(&self, call: ids::CallId) -> work::CallOutcome {
        self.calls.get(call).map_or(
            work::CallOutcome::Unknown,
            state::CallState::unplaced_outcome,
        )
    }

    pub(super) fn wait(&mut self, now: time::Timestamp, call: ids::CallId, wait: Duration) {
        if let Some(state) = self.calls.get_mut(call) {
            state.phase = state::CallPhase::Waiting { until: now + wait };
        }
    }

    fn give_up(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        code: ProblemCode,
        retry_after: Option<Duration>,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let outcome = self.unplaced_outcome(call);
        self.finish_problem(now, call, outcome, code, retry_after, effects);
    }

    fn is_quarantined(&mut self, now: time::Timestamp, call: ids::CallId) -> bool {
        let Some(state) = self.calls.get(call) else {
            return false;
        };
        let fingerprint = state.request.fingerprint;
        match self.policies.quarantine.status(now, fingerprint) {
            quarantine::QuarantineStatus::Quarantined { .. } => true,
            quarantine::QuarantineStatus::Clear | quarantine::QuarantineStatus::Suspect => false,
        }
    }

    /// Sends a call with the caller's key to the one agent life that may run it.
    fn place_keyed(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        key: &keys::IdempotencyKey,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(target) = self.targets.get(&key.target) else {
            let code = ProblemCode::KeyExpired;
            let outcome = work::CallOutcome::Unknown;
            self.finish_problem(now, call, outcome, code, None, effects);
            return;
        };
        let is_other_life = target
            .incarnation
            .is_some_and(|incarnation| incarnation != key.incarnation);
        if is_other_life {
            let code = ProblemCode::KeyExpired;
            let outcome = work::CallOutcome::Unknown;
            self.finish_problem(now, call, outcome, code, None, effects);
            return;
        }
        if target.open_link().is_none() {
            self.ask_for(now, &key.target, effects);
            let cause = retry::RetryCause::NoTarget;
            self.retry(now, call, cause, Duration::ZERO, effects);
            return;
        }

        self.send_start(now, call, &key.target, effects);
    }

    /// Opens a link to a target that need not be among the chosen ones.
    fn ask_for(
        &mut self,
        now: time::Timestamp,
        name: &ids::TargetName,
        effects: &mut Vec<GatewayEffect>,
    ) {
        if let Some(target) = self.targets.get_mut(name) {
            target.asked_at = Some(now);
        }
        self.connect(now, name, effects);
    }

    fn choose_target(&mut self, now: time::Timestamp, call: ids::CallId) -> TargetChoice {
        let suspect = self.is_suspect(now, call);
        let Some(state) = self.calls.get(call) else {
            return TargetChoice::NoCandidate;
        };
        let names = candidates::candidates(now, &self.targets, state);
        if names.is_empty() {
            return TargetChoice::NoCandidate;
        }

        let question = candidates::question(&state.request, suspect);
        let views = candidates::views(now, &self.targets, &names, &self.identity.zone);
        let index = self.policies.placement.choose(now, &question, &views);
        match index.and_then(|index| names.get(index)) {
            Some(name) => TargetChoice::Chosen(name.clone()),
            None => TargetChoice::Wait,
        }
    }
}

/// Result of looking for a target.
enum TargetChoice {
    /// This one.
    Chosen(ids::TargetName),
    /// None now, by the policy's choice.
    Wait,
    /// None can take the call.
    NoCandidate,
}

/// Says whether another try may follow at once without turning in a circle.
fn can_place_now(cause: retry::RetryCause) -> bool {
    match cause {
        retry::RetryCause::Overloaded
        | retry::RetryCause::Unavailable
        | retry::RetryCause::Lost => true,
        retry::RetryCause::NoTarget => false,
    }
}
