//! What agents say of attempts, on its way to callers.

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_link::frames;
use kingcupfall_policy::retry;

use super::CallReply;
use super::GatewayEffect;
use super::GatewayReducer;
use super::ProblemCode;
use super::ServiceReply;
use super::TokenReply;
use super::WholeReply;
use super::calls::reply;
use super::links::after;
use crate::state;

impl GatewayReducer {
    pub(super) fn take_frame(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        frame: frames::AgentFrame,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(name) = self.targets.link_target(link).cloned() else {
            self.counters.stray_frames += 1;
            return;
        };
        if let Some(target) = self.targets.get_mut(&name) {
            target.last_heard = now;
        }

        match frame {
            frames::AgentFrame::Hello(hello) => self.take_hello(now, link, &hello, effects),
            frames::AgentFrame::Pulse(pulse) => self.take_pulse(now, &name, *pulse, effects),
            frames::AgentFrame::Superseded {
                attempt,
                subscription,
            } => self.take_takeover(now, &name, attempt, subscription, effects),
            frames::AgentFrame::Accepted { .. } | frames::AgentFrame::Fleet(_) => {}
            frames::AgentFrame::Refused(report) => {
                self.take_refusal(now, &name, &report, effects);
            }
            frames::AgentFrame::Tokens(batch) => self.take_tokens(now, &name, batch, effects),
            frames::AgentFrame::Finished(report) => {
                self.take_finish(now, &name, &report, effects);
            }
            frames::AgentFrame::Answered(report) => self.take_answer(now, &name, report, effects),
            frames::AgentFrame::Failed(report) => self.take_failure(now, &name, &report, effects),
        }
    }

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
            self.retry(now, call, cause, std::time::Duration::ZERO, effects);
            return;
        }
        let outcome = work::CallOutcome::Unknown;
        self.finish_problem(now, call, outcome, code, None, effects);
    }

    fn take_refusal(
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
                self.wait(now, call, std::time::Duration::ZERO);
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

    fn take_tokens(
        &mut self,
        now: time::Timestamp,
        name: &ids::TargetName,
        batch: frames::TokenBatch,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(call) = self.expected_call(name, batch.attempt) else {
            return;
        };
        let Some(state) = self.calls.get_mut(call) else {
            return;
        };
        if batch.first > state.received {
            // Some tokens went with a link; the agent still has them.
            self.ask_again(now, call, effects);
            return;
        }

        let known = state.received.saturating_sub(batch.first).get();
        let skip = usize::try_from(known).unwrap_or(usize::MAX);
        let fresh: Vec<Box<str>> = batch.tokens.into_iter().skip(skip).collect();
        if fresh.is_empty() {
            self.counters.stray_frames += 1;
            return;
        }

        let first = state.received;
        state.received = after(first, fresh.len());
        if !state.request.stream {
            state.collected.extend(fresh);
            return;
        }
        let Some(placed) = state.placed() else {
            return;
        };
        let tokens = TokenReply {
            target: placed.target.clone(),
            incarnation: placed.incarnation,
            attempt: placed.attempt,
            first,
            tokens: fresh,
        };
        reply(effects, call, CallReply::Tokens(tokens));
    }

    fn take_finish(
        &mut self,
        now: time::Timestamp,
        name: &ids::TargetName,
        report: &frames::FinishReport,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(call) = self.expected_call(name, report.attempt) else {
            self.settle(name, report.attempt, effects);
            return;
        };
        let Some(state) = self.calls.get_mut(call) else {
            return;
        };
        if state.received < report.total {
            self.ask_again(now, call, effects);
            return;
        }

        let answer = if state.request.stream {
            CallReply::Finished {
                total: report.total,
                reason: report.reason,
            }
        } else {
            CallReply::Whole(WholeReply {
                attempt: report.attempt,
                tokens: std::mem::take(&mut state.collected),
                reason: report.reason,
                key: state.key().cloned(),
            })
        };
        let fingerprint = state.request.fingerprint;
        self.policies.quarantine.record_completion(now, fingerprint);

        self.settle(name, report.attempt, effects);
        self.finish(now, call, answer, effects);
    }

    fn take_answer(
        &mut self,
        now: time::Timestamp,
        name: &ids::TargetName,
        report: frames::AnswerReport,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(call) = self.expected_call(name, report.attempt) else {
            self.settle(name, report.attempt, effects);
            return;
        };
        let Some(state) = self.calls.get(call) else {
            return;
        };
        let fingerprint = state.request.fingerprint;
        let answer = CallReply::Service(ServiceReply {
            answer: report.answer,
            key: state.key().cloned(),
            replayed: report.replayed,
        });

        self.policies.quarantine.record_completion(now, fingerprint);
        self.settle(name, report.attempt, effects);
        self.finish(now, call, answer, effects);
    }

    fn take_failure(
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
            frames::FailureCause::AnswerLost => ProblemCode::AnswerLost,
        };
        let is_final = match report.cause {
            frames::FailureCause::TargetLost | frames::FailureCause::Expired => false,
            frames::FailureCause::TargetError
            | frames::FailureCause::Cancelled
            | frames::FailureCause::AnswerLost => true,
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
    fn take_takeover(
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

    /// Tells an agent that the end of an attempt has come in.
    fn settle(
        &self,
        name: &ids::TargetName,
        attempt: ids::AttemptId,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let frame = frames::GatewayFrame::Settled { attempt };
        self.send_to(name, frame, effects);
    }

    /// Returns the call that waits for `attempt` from the target `name`.
    ///
    /// Frames for attempts that were given up, moved, or are another target's are counted.
    fn expected_call(
        &mut self,
        name: &ids::TargetName,
        attempt: ids::AttemptId,
    ) -> Option<ids::CallId> {
        let call = self.calls.attempt_call(attempt).filter(|call| {
            self.calls
                .get(*call)
                .and_then(state::CallState::placed)
                .is_some_and(|placed| placed.attempt == attempt && placed.target == *name)
        });
        if call.is_none() {
            self.counters.stray_frames += 1;
        }
        call
    }

    fn take_pulse(
        &mut self,
        now: time::Timestamp,
        name: &ids::TargetName,
        pulse: frames::AgentPulse,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        target.clock = Some(state::AgentClock::new(pulse.now, now));
        target.target_up = pulse.target_up;
        let known = std::mem::take(&mut target.load.cached);
        target.load = pulse.load;
        target.load.cached = pulse.cached.unwrap_or(known);
        target.placed_since = 0;
        target.placed_tokens = measures::TokenCount::ZERO;
        if pulse.leaving {
            target.mark_leaving();
            let frame = frames::GatewayFrame::LeavingSeen { pulse: pulse.now };
            self.send_to(name, frame, effects);
        }
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
