//! Refusals, failures and losses of attempts: each ends its call or leads to another attempt.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_link::frames;
use kingcupfall_policy::retry;

use super::GatewayEffect;
use super::GatewayReducer;
use super::ProblemCode;
use crate::state;

impl GatewayReducer {
    /// Retries a call whose attempt was lost if the call is restartable; otherwise ends it.
    pub(super) fn handle_lost_attempt(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        code: ProblemCode,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(state) = self.calls.get(call) else {
            return;
        };
        let is_restartable = state.is_restartable();
        let placed = state.placed().cloned();

        if let Some(placed) = &placed {
            self.release_attempt(placed);
            if let Some(state) = self.calls.get_mut(call) {
                state.avoided_target = Some(placed.target.clone());
                state.may_have_run = true;
            }
        }
        if is_restartable {
            let cause = retry::RetryCause::Lost;
            self.retry(now, call, cause, Duration::ZERO, effects);
            return;
        }
        let outcome = work::CallOutcome::Unknown;
        self.finish_with_problem(now, call, outcome, code, None, effects);
    }

    pub(super) fn handle_refusal(
        &mut self,
        now: time::Timestamp,
        name: &ids::TargetName,
        report: &frames::RefusalReport,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(call) = self.expected_call(name, report.attempt) else {
            return;
        };
        let Some(state) = self.calls.get_mut(call) else {
            return;
        };
        state.avoided_target = Some(name.clone());
        state.key_checked |= implies_key_check(report.code);
        if let Some(placed) = state.placed().cloned() {
            self.release_attempt(&placed);
        }

        self.resolve_refusal(now, call, report, effects);
    }

    /// Ends or retries a call according to the reason of the refusal.
    fn resolve_refusal(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        report: &frames::RefusalReport,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let has_caller_key = self
            .calls
            .get(call)
            .is_some_and(|state| state.request.key.is_some());
        let outcome = work::CallOutcome::NotRun;

        match report.code {
            frames::RefusalCode::KeyMismatch => {
                let code = ProblemCode::KeyMismatch;
                self.finish_with_problem(now, call, outcome, code, None, effects);
            }
            frames::RefusalCode::KeyExpired if has_caller_key => {
                let outcome = work::CallOutcome::Unknown;
                let code = ProblemCode::KeyExpired;
                self.finish_with_problem(now, call, outcome, code, None, effects);
            }
            frames::RefusalCode::Leaving if has_caller_key => {
                // The agent checks the key before it refuses, so no call with this key ever ran.
                let code = ProblemCode::KeyExpired;
                self.finish_with_problem(now, call, outcome, code, None, effects);
            }
            frames::RefusalCode::Unfit => {
                let code = ProblemCode::Unfit;
                self.finish_with_problem(now, call, outcome, code, None, effects);
            }
            frames::RefusalCode::Cancelled => {
                self.schedule_placement(now, call, Duration::ZERO);
                self.place(now, call, effects);
            }
            frames::RefusalCode::Overloaded => {
                let cause = retry::RetryCause::Overloaded;
                self.retry(now, call, cause, report.retry_after, effects);
            }
            frames::RefusalCode::Leaving
            | frames::RefusalCode::TargetDown
            | frames::RefusalCode::TooLate
            | frames::RefusalCode::SuspectBusy
            | frames::RefusalCode::KeyExpired => {
                let cause = retry::RetryCause::Unavailable;
                self.retry(now, call, cause, report.retry_after, effects);
            }
        }
    }

    pub(super) fn handle_failure(
        &mut self,
        now: time::Timestamp,
        name: &ids::TargetName,
        report: &frames::FailureReport,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(call) = self.expected_call(name, report.attempt) else {
            self.acknowledge_end(name, report.attempt, effects);
            return;
        };
        self.acknowledge_end(name, report.attempt, effects);
        if report.suspect
            && let Some(state) = self.calls.get(call)
            && !state.resumed
        {
            let fingerprint = state.request.fingerprint;
            let crash = ids::CrashId::of_attempt(report.attempt);
            self.policies
                .quarantine
                .record_crash(now, fingerprint, crash);
        }

        let code = match report.cause {
            frames::FailureCause::TargetLost => ProblemCode::TargetLost,
            frames::FailureCause::TargetError => ProblemCode::TargetError,
            frames::FailureCause::Cancelled => ProblemCode::TargetLost,
            frames::FailureCause::Expired => ProblemCode::ResumeExpired,
            frames::FailureCause::ResponseLost => ProblemCode::ResponseLost,
        };
        let is_final = match report.cause {
            frames::FailureCause::TargetLost | frames::FailureCause::Expired => false,
            frames::FailureCause::TargetError
            | frames::FailureCause::Cancelled
            | frames::FailureCause::ResponseLost => true,
        };
        if is_final {
            let outcome = work::CallOutcome::Unknown;
            self.finish_with_problem(now, call, outcome, code, None, effects);
            return;
        }
        self.handle_lost_attempt(now, call, code, effects);
    }

    /// Ends a call whose caller resumed the stream through another gateway.
    ///
    /// The frame may be outdated: the caller may have returned to this gateway since then. Its new
    /// subscription has a different id and continues.
    pub(super) fn handle_superseded(
        &mut self,
        now: time::Timestamp,
        name: &ids::TargetName,
        attempt: ids::AttemptId,
        subscription: Option<ids::Nonce>,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(call) = self.expected_call(name, attempt) else {
            return;
        };
        let is_current = self
            .calls
            .get(call)
            .and_then(state::CallState::placed)
            .is_some_and(|placed| placed.subscription == subscription);
        if !is_current {
            self.counters.unexpected_frames += 1;
            return;
        }
        let outcome = work::CallOutcome::Unknown;
        let code = ProblemCode::Superseded;
        self.finish_with_problem(now, call, outcome, code, None, effects);
    }
}

/// Returns true if an agent sends `code` only after it checked the idempotency key.
fn implies_key_check(code: frames::RefusalCode) -> bool {
    match code {
        frames::RefusalCode::Leaving
        | frames::RefusalCode::TargetDown
        | frames::RefusalCode::Overloaded
        | frames::RefusalCode::SuspectBusy
        | frames::RefusalCode::Unfit => true,
        frames::RefusalCode::TooLate
        | frames::RefusalCode::Cancelled
        | frames::RefusalCode::KeyExpired
        | frames::RefusalCode::KeyMismatch => false,
    }
}
