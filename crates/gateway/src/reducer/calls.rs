//! Calls as callers make, resume and leave them.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_link::frames;
use kingcupfall_policy::limit;
use kingcupfall_policy::quarantine;

use super::CallProblem;
use super::CallReply;
use super::CallRequest;
use super::GatewayEffect;
use super::GatewayReducer;
use super::KeyRequest;
use super::ProblemCode;
use super::ResumeRequest;
use crate::state;

/// Wait that callers are told when the gateway stops.
const STOPPING_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Longest wait of a resumed stream for the link to its agent.
const RESUME_PATIENCE: Duration = Duration::from_secs(10);

/// Tokens taken by a caller that are acknowledged to the agent together.
const ACKNOWLEDGE_TOKENS: u64 = 64;

impl GatewayReducer {
    pub(super) fn take_call(
        &mut self,
        now: time::Timestamp,
        request: CallRequest,
        effects: &mut Vec<GatewayEffect>,
    ) {
        self.counters.calls += 1;
        let call = request.call;
        if let Some(problem) = self.check_call(now, &request) {
            reply(effects, call, CallReply::Problem(problem));
            return;
        }

        let organisation = request.tag.organisation.clone();
        self.policies.retry.record_call(now, &organisation);
        self.calls.insert(state::CallState::new(request, now));
        self.place(now, call, effects);
    }

    pub(super) fn take_resume(
        &mut self,
        now: time::Timestamp,
        request: ResumeRequest,
        effects: &mut Vec<GatewayEffect>,
    ) {
        self.counters.calls += 1;
        if let Some(problem) = self.check_resume(now, &request) {
            reply(effects, request.call, CallReply::Problem(problem));
            return;
        }
        self.supersede(now, &request, effects);

        let call = request.call;
        let target = request.token.target.clone();
        let subscription = ids::Nonce::random(&mut self.generator);
        let state = resumed_call(now, request, subscription);
        let attempt = state.placed().map(|placed| placed.attempt);
        self.calls.insert(state);
        if let Some(attempt) = attempt {
            self.calls.bind_attempt(attempt, call);
            if let Some(target) = self.targets.get_mut(&target) {
                target.in_flight.insert(attempt);
            }
        }
        self.ask_again(now, call, effects);
    }

    pub(super) fn take_key_request(
        &mut self,
        now: time::Timestamp,
        request: &KeyRequest,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let key = self.choose_executor(now, request);
        let answer = match key {
            Some(key) => CallReply::Key(key),
            None => CallReply::Problem(refusal(
                ProblemCode::NoTarget,
                Some(super::placing::NO_TARGET_RETRY_AFTER),
            )),
        };
        reply(effects, request.call, answer);
    }

    /// Tells the agent what its caller has taken.
    pub(super) fn take_progress(
        &mut self,
        call: ids::CallId,
        next: measures::SequenceNumber,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(state) = self.calls.get_mut(call) else {
            return;
        };
        let taken = next.saturating_sub(state.acknowledged).get();
        if taken < ACKNOWLEDGE_TOKENS || next > state.received {
            return;
        }
        state.acknowledged = next;

        let placed = state.placed().cloned();
        if let Some(placed) = placed {
            let attempt = placed.attempt;
            let frame = frames::GatewayFrame::Acknowledge { attempt, next };
            self.send_to(&placed.target, frame, effects);
        }
    }

    pub(super) fn take_departure(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(state) = self.calls.get(call) else {
            return;
        };
        let is_resumable = state.is_released();
        let is_exclusive = !state.request.repeatable;

        if let Some(placed) = state.placed().cloned() {
            let attempt = placed.attempt;
            if is_resumable || is_exclusive {
                let frame = frames::GatewayFrame::Detach { attempt };
                self.send_to(&placed.target, frame, effects);
            } else {
                self.send_cancel(&placed, false, effects);
            }
        }
        self.forget(now, call);
    }

    /// Ends a call with its final answer.
    pub(super) fn finish(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        answer: CallReply,
        effects: &mut Vec<GatewayEffect>,
    ) {
        reply(effects, call, answer);
        self.forget(now, call);
    }

    /// Ends a call without its answer.
    pub(super) fn finish_problem(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        outcome: work::CallOutcome,
        code: ProblemCode,
        retry_after: Option<Duration>,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let key = self.calls.get(call).and_then(|state| state.key().cloned());
        let problem = CallProblem {
            outcome,
            code,
            retry_after,
            key,
        };
        self.finish(now, call, CallReply::Problem(problem), effects);
    }

    /// Drops everything that is known of a call.
    pub(super) fn forget(&mut self, now: time::Timestamp, call: ids::CallId) {
        let Some(state) = self.calls.remove(call) else {
            return;
        };
        self.policies
            .limit
            .release(now, &state.request.tag.organisation);
        if let Some(placed) = state.placed() {
            self.release_attempt(placed);
        }
    }

    /// Drops everything that is known of an attempt.
    pub(super) fn release_attempt(&mut self, placed: &state::PlacedAttempt) {
        self.calls.release_attempt(placed.attempt);
        if let Some(target) = self.targets.get_mut(&placed.target) {
            target.in_flight.remove(&placed.attempt);
        }
    }

    fn check_call(&mut self, now: time::Timestamp, request: &CallRequest) -> Option<CallProblem> {
        if self.stopping {
            let code = ProblemCode::GatewayStopping;
            return Some(refusal_of(request, code, Some(STOPPING_RETRY_AFTER)));
        }
        if let quarantine::QuarantineStatus::Quarantined { until } =
            self.policies.quarantine.status(now, request.fingerprint)
        {
            let code = ProblemCode::Quarantined;
            return Some(refusal_of(request, code, Some(until.since(now))));
        }
        match self.policies.limit.admit(now, &request.tag.organisation) {
            limit::LimitDecision::Allow => None,
            limit::LimitDecision::Refuse { retry_after } => Some(refusal_of(
                request,
                ProblemCode::LimitReached,
                Some(retry_after),
            )),
        }
    }

    /// Refuses a resumption whose stream ran, or may have, and which this gateway can't go on with.
    fn check_resume(
        &mut self,
        now: time::Timestamp,
        request: &ResumeRequest,
    ) -> Option<CallProblem> {
        if self.stopping {
            let code = ProblemCode::GatewayStopping;
            return Some(resume_refusal(code, Some(STOPPING_RETRY_AFTER)));
        }
        // Waiting would not help: there is no address to ask.
        let is_listed = self.targets.get(&request.token.target).is_some();
        if !is_listed || self.is_foreign(request) {
            return Some(resume_refusal(ProblemCode::ResumeExpired, None));
        }
        match self.policies.limit.admit(now, &request.tag.organisation) {
            limit::LimitDecision::Allow => None,
            limit::LimitDecision::Refuse { retry_after } => {
                let code = ProblemCode::LimitReached;
                Some(resume_refusal(code, Some(retry_after)))
            }
        }
    }

    /// Says whether the stream belongs to a call of another organisation at this gateway.
    fn is_foreign(&self, request: &ResumeRequest) -> bool {
        let former = self.calls.attempt_call(request.token.attempt);
        former
            .and_then(|call| self.calls.get(call))
            .is_some_and(|state| state.request.tag.organisation != request.tag.organisation)
    }

    /// Ends the call that had the stream before, when it is at this gateway.
    fn supersede(
        &mut self,
        now: time::Timestamp,
        request: &ResumeRequest,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(former) = self.calls.attempt_call(request.token.attempt) else {
            return;
        };
        self.calls.release_attempt(request.token.attempt);
        if let Some(state) = self.calls.remove(former) {
            let organisation = &state.request.tag.organisation;
            self.policies.limit.release(now, organisation);
        }
        let problem = CallProblem {
            outcome: work::CallOutcome::Unknown,
            code: ProblemCode::Superseded,
            retry_after: None,
            key: None,
        };
        reply(effects, former, CallReply::Problem(problem));
    }
}

/// Appends the effect that gives `answer` to a caller.
pub(super) fn reply(effects: &mut Vec<GatewayEffect>, call: ids::CallId, answer: CallReply) {
    effects.push(GatewayEffect::Reply {
        call,
        reply: answer,
    });
}

fn refusal(code: ProblemCode, retry_after: Option<Duration>) -> CallProblem {
    CallProblem {
        outcome: work::CallOutcome::NotRun,
        code,
        retry_after,
        key: None,
    }
}

/// Makes the refusal of a resumption; its stream has run, wholly or in part.
fn resume_refusal(code: ProblemCode, retry_after: Option<Duration>) -> CallProblem {
    CallProblem {
        outcome: work::CallOutcome::Unknown,
        ..refusal(code, retry_after)
    }
}

/// Makes the refusal of a call that was sent nowhere by this gateway.
///
/// A call with the caller's own key may have run through another gateway.
fn refusal_of(
    request: &CallRequest,
    code: ProblemCode,
    retry_after: Option<Duration>,
) -> CallProblem {
    let outcome = match request.key {
        Some(_) => work::CallOutcome::Unknown,
        None => work::CallOutcome::NotRun,
    };
    CallProblem {
        outcome,
        code,
        retry_after,
        key: request.key.clone(),
    }
}

fn resumed_call(
    now: time::Timestamp,
    request: ResumeRequest,
    subscription: ids::Nonce,
) -> state::CallState {
    let token = request.token;
    let next = token.sequence + measures::SequenceNumber::new(1);
    let placed = state::PlacedAttempt {
        attempt: token.attempt,
        target: token.target,
        incarnation: token.incarnation,
        start_by: None,
        subscription: Some(subscription),
        placed_at: now,
        weighed_at: now,
    };
    let call = CallRequest {
        call: request.call,
        tag: request.tag,
        fingerprint: work::RequestFingerprint::new(0),
        work: work::WorkRequest::Generation(empty_generation()),
        stream: true,
        repeatable: false,
        key: None,
        start_deadline: now + RESUME_PATIENCE,
    };

    let mut state = state::CallState::new(call, now);
    state.phase = state::CallPhase::Placed(placed);
    state.received = next;
    state.acknowledged = next;
    state.resumed = true;
    state
}

/// Stands for the request of a resumed stream, which only the agent knows.
fn empty_generation() -> work::GenerationRequest {
    work::GenerationRequest {
        model: "resumed".parse().expect("a valid name"),
        prompt: "".into(),
        prompt_tokens: measures::TokenCount::ZERO,
        prefix: work::PrefixHash::new(0),
        max_tokens: measures::TokenCount::ZERO,
    }
}
