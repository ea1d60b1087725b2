//! Refusals and failures of attempts, and what becomes of their calls.

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
    /// Ends or restarts a call whose attempt was lost with its target.
    pub(super) fn lose_call(
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
                state.avoided = Some(placed.target.clone());
                state.may_have_run = true;
            }
        }
        if is_restartable {
            let cause = retry::RetryCause::Lost;
            self.retry(now, call, cause, Duration::ZERO, effects);
            return;
        }
        let outcome = work::CallOutcome::Unknown;
        self.finish_problem(now, call, outcome, code, None, effects);
    }

    pub(super) fn take_refusal(
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
        state.avoided = Some(name.clone());
        state.key_checked |= is_after_key_check(report.code);
        if let Some(placed) = state.placed().cloned() {
            self.release_attempt(&placed);
        }

        self.follow_refusal(now, call, report, effects);
    }

    fn follow_refusal(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        report: &frames::RefusalReport,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let is_callers_key = self
            .calls
            .get(call)
            .is_some_and(|state| state.request.key.is_some());
        let outcome = work::CallOutcome::NotRun;

        match report.code {
            frames::RefusalCode::KeyMismatch => {
                let code = ProblemCode::KeyMismatch;
                self.finish_problem(now, call, outcome, code, None, effects);
            }
            frames::RefusalCode::KeyExpired if is_callers_key => {
                let outcome = work::CallOutcome::Unknown;
                let code = ProblemCode::KeyExpired;
                self.finish_problem(now, call, outcome, code, None, effects);
            }
            frames::RefusalCode::Leaving if is_callers_key => {
                // The agent looked the key up first: no call with it ever ran.
                let code = ProblemCode::KeyExpired;
                self.finish_problem(now, call, outcome, code, None, effects);
            }
            frames::RefusalCode::Unfit => {
                let code = ProblemCode::Unfit;
                self.finish_problem(now, call, outcome, code, None, effects);
            }
            frames::RefusalCode::Cancelled => {
                self.wait(now, call, Duration::ZERO);
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

    pub(super) fn take_failure(
        &mut self,
        now: time::Timestamp,
        name: &ids::TargetName,
        report: &frames::FailureReport,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(call) = self.expected_call(name, report.attempt) else {
            self.settle(name, report.attempt, effects);
            return;
        };
        self.settle(name, report.attempt, effects);
        if report.suspect
            && let Some(state) = self.calls.get(call)
            && !state.resumed
        {
            let fingerprint = state.request.fingerprint;
            self.policies
                .quarantine
                .record_crash(now, fingerprint, report.attempt);
        }

        let code = match report.cause {
            frames::FailureCause::TargetLost => ProblemCode::TargetLost,
            frames::FailureCause::TargetError => ProblemCode::TargetError,
            frames::FailureCause::Cancelled => ProblemCode::TargetLost,
            frames::FailureCause::Expired => ProblemCode::ResumeExpired,
            frames::FailureCause::ResponseLost => ProblemCode::AnswerLost,
        };
        let is_final = match report.cause {
            frames::FailureCause::TargetLost | frames::FailureCause::Expired => false,
            frames::FailureCause::TargetError
            | frames::FailureCause::Cancelled
            | frames::FailureCause::ResponseLost => true,
        };
        if is_final {
            let outcome = work::CallOutcome::Unknown;
            self.finish_problem(now, call, outcome, code, None, effects);
            return;
        }
        self.lose_call(now, call, code, effects);
    }

    /// Ends a call whose caller has gone on through another gateway.
    ///
    /// The frame may be late: the caller may have come back here since, with a subscription of its
    /// own, which goes on.
    pub(super) fn take_takeover(
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
            self.counters.stray_frames += 1;
            return;
        }
        let outcome = work::CallOutcome::Unknown;
        let code = ProblemCode::Superseded;
        self.finish_problem(now, call, outcome, code, None, effects);
    }
}

/// Says whether an agent refuses with `code` only after it looked the key up.
fn is_after_key_check(code: frames::RefusalCode) -> bool {
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
