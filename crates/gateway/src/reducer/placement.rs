//! Placement of calls at targets, and retries.

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

/// Time without a frame from its agent after which a target gets no new work.
pub const TARGET_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Delay before the next placement of a call that the policy kept waiting.
const PLACEMENT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Retry hint for callers when no target can be chosen.
pub(super) const NO_TARGET_RETRY_AFTER: Duration = Duration::from_secs(2);

impl GatewayReducer {
    /// Sends a waiting call to a target, schedules its next placement, or ends it.
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
            self.abandon_call(now, call, ProblemCode::DeadlinePassed, None, effects);
            return;
        }
        if let Some(key) = state.request.key.clone() {
            self.place_keyed(now, call, &key, effects);
            return;
        }
        if self.is_quarantined(now, call) {
            self.abandon_call(now, call, ProblemCode::Quarantined, None, effects);
            return;
        }

        match self.choose_target(now, call) {
            TargetChoice::Chosen(target) => self.send_start(now, call, &target, effects),
            TargetChoice::Wait => self.schedule_placement(now, call, PLACEMENT_RETRY_DELAY),
            TargetChoice::NoCandidate => {
                let cause = retry::RetryCause::NoTarget;
                self.retry(now, call, cause, Duration::ZERO, effects);
            }
        }
    }

    /// Schedules another attempt of a call, or ends the call if the retry policy abandons it.
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
        let request = retry::RetryRequest {
            organisation: &state.request.tag.organisation,
            attempts: state.attempts,
            cause,
            retry_after,
            time_left: state.request.start_deadline.since(now),
        };

        match self.policies.retry.decide(now, &request) {
            retry::RetryDecision::After(delay)
                if delay.is_zero() && can_retry_immediately(cause) =>
            {
                self.schedule_placement(now, call, Duration::ZERO);
                self.place(now, call, effects);
            }
            retry::RetryDecision::After(delay) => self.schedule_placement(now, call, delay),
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
                self.finish_with_problem(now, call, outcome, code, Some(retry_after), effects);
            }
        }
    }

    /// Returns whether a call without a current attempt has run, as far as the gateway knows.
    pub(super) fn unplaced_outcome(&self, call: ids::CallId) -> work::CallOutcome {
        self.calls.get(call).map_or(
            work::CallOutcome::Unknown,
            state::CallState::unplaced_outcome,
        )
    }

    /// Makes a call wait for `delay` before it is placed.
    pub(super) fn schedule_placement(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        delay: Duration,
    ) {
        if let Some(state) = self.calls.get_mut(call) {
            state.phase = state::CallPhase::Waiting { until: now + delay };
        }
    }

    /// Ends a call that has no current attempt.
    fn abandon_call(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        code: ProblemCode,
        retry_after: Option<Duration>,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let outcome = self.unplaced_outcome(call);
        self.finish_with_problem(now, call, outcome, code, retry_after, effects);
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

    /// Sends a call with the caller's own key to the agent incarnation that the key names.
    ///
    /// No other incarnation may run it.
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
            self.finish_with_problem(now, call, outcome, code, None, effects);
            return;
        };
        let is_other_incarnation = target
            .incarnation
            .is_some_and(|incarnation| incarnation != key.incarnation);
        if is_other_incarnation {
            let code = ProblemCode::KeyExpired;
            let outcome = work::CallOutcome::Unknown;
            self.finish_with_problem(now, call, outcome, code, None, effects);
            return;
        }
        if target.open_link().is_none() {
            self.request_link(now, &key.target, effects);
            let cause = retry::RetryCause::NoTarget;
            self.retry(now, call, cause, Duration::ZERO, effects);
            return;
        }

        self.send_start(now, call, &key.target, effects);
    }

    /// Opens a link to a target that may be outside the subset of linked targets.
    fn request_link(
        &mut self,
        now: time::Timestamp,
        name: &ids::TargetName,
        effects: &mut Vec<GatewayEffect>,
    ) {
        if let Some(target) = self.targets.get_mut(name) {
            target.link_requested_at = Some(now);
        }
        self.connect(now, name, effects);
    }

    fn choose_target(&mut self, now: time::Timestamp, call: ids::CallId) -> TargetChoice {
        let suspect = self.is_suspect(now, call);
        let Some(state) = self.calls.get(call) else {
            return TargetChoice::NoCandidate;
        };
        let names = candidates::eligible_targets(now, &self.targets, state);
        if names.is_empty() {
            return TargetChoice::NoCandidate;
        }

        let request = candidates::placement_request(&state.request, suspect);
        let views = candidates::target_views(now, &self.targets, &names, &self.identity.zone);
        let index = self.policies.placement.choose(now, &request, &views);
        match index.and_then(|index| names.get(index)) {
            Some(name) => TargetChoice::Chosen(name.clone()),
            None => TargetChoice::Wait,
        }
    }
}

/// Result of the choice of a target.
enum TargetChoice {
    /// The target to send the call to.
    Chosen(ids::TargetName),
    /// The policy keeps the call waiting at the gateway.
    Wait,
    /// No target is eligible.
    NoCandidate,
}

/// Returns true if the call may be placed again at once.
///
/// Without an eligible target, placement would fail again at once and recurse.
fn can_retry_immediately(cause: retry::RetryCause) -> bool {
    match cause {
        retry::RetryCause::Overloaded
        | retry::RetryCause::Unavailable
        | retry::RetryCause::Lost => true,
        retry::RetryCause::NoTarget => false,
    }
}
