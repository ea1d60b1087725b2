//! Calls from arrival to final reply: admission, resumption, progress and disconnection.

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

/// Retry hint for callers refused because the gateway is stopping.
const STOPPING_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time from a resume request to the start deadline of its call, whose attempt is already placed.
const RESUME_TIMEOUT: Duration = Duration::from_secs(10);

/// Minimum number of tokens delivered to the caller per acknowledgement to the agent.
const ACKNOWLEDGE_BATCH_TOKENS: u64 = 64;

impl GatewayReducer {
    pub(super) fn handle_call(
        &mut self,
        now: time::Timestamp,
        request: CallRequest,
        effects: &mut Vec<GatewayEffect>,
    ) {
        self.counters.calls += 1;
        let call = request.call;
        if let Some(problem) = self.check_call(now, &request) {
            push_reply(effects, call, CallReply::Problem(problem));
            return;
        }

        let organisation = request.tag.organisation.clone();
        self.policies.retry.record_call(now, &organisation);
        self.calls.insert(state::CallState::new(request, now));
        self.place(now, call, effects);
    }

    pub(super) fn handle_resume(
        &mut self,
        now: time::Timestamp,
        request: ResumeRequest,
        effects: &mut Vec<GatewayEffect>,
    ) {
        self.counters.calls += 1;
        if let Some(problem) = self.check_resume(now, &request) {
            push_reply(effects, request.call, CallReply::Problem(problem));
            return;
        }
        self.supersede_previous_call(now, &request, effects);

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
        self.request_missing_tokens(now, call, effects);
    }

    pub(super) fn handle_key_request(
        &mut self,
        now: time::Timestamp,
        request: &KeyRequest,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let key = self.issue_service_key(now, request);
        let reply = match key {
            Some(key) => CallReply::Key(key),
            None => CallReply::Problem(not_run_problem(
                ProblemCode::NoTarget,
                Some(super::placement::NO_TARGET_RETRY_AFTER),
            )),
        };
        push_reply(effects, request.call, reply);
    }

    /// Acknowledges delivered tokens to the agent in batches.
    pub(super) fn handle_tokens_delivered(
        &mut self,
        call: ids::CallId,
        next: measures::SequenceNumber,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(state) = self.calls.get_mut(call) else {
            return;
        };
        let delivered = next.saturating_sub(state.acknowledged).get();
        if delivered < ACKNOWLEDGE_BATCH_TOKENS || next > state.received {
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

    /// Detaches the attempt if its stream can be resumed or its call must not run again; otherwise
    /// cancels it.
    pub(super) fn handle_caller_disconnected(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(state) = self.calls.get(call) else {
            return;
        };
        let is_resumable = state.has_delivered_tokens();
        let runs_at_most_once = !state.request.repeatable;

        if let Some(placed) = state.placed().cloned() {
            let attempt = placed.attempt;
            if is_resumable || runs_at_most_once {
                let frame = frames::GatewayFrame::Detach { attempt };
                self.send_to(&placed.target, frame, effects);
            } else {
                self.send_cancel(&placed, false, effects);
            }
        }
        self.remove_call(now, call);
    }

    /// Ends a call with its final reply.
    pub(super) fn finish_call(
        &mut self,
        now: time::Timestamp,
        call: ids::CallId,
        reply: CallReply,
        effects: &mut Vec<GatewayEffect>,
    ) {
        push_reply(effects, call, reply);
        self.remove_call(now, call);
    }

    /// Ends a call without a response.
    pub(super) fn finish_with_problem(
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
        self.finish_call(now, call, CallReply::Problem(problem), effects);
    }

    /// Removes a call, releases its share of the organisation's limits, and releases its attempt.
    pub(super) fn remove_call(&mut self, now: time::Timestamp, call: ids::CallId) {
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

    /// Removes an attempt from the call table and from the attempts in flight at its target.
    pub(super) fn release_attempt(&mut self, placed: &state::PlacedAttempt) {
        self.calls.release_attempt(placed.attempt);
        if let Some(target) = self.targets.get_mut(&placed.target) {
            target.in_flight.remove(&placed.attempt);
        }
    }

    /// Returns the problem to refuse a call with, or `None` if it is admitted.
    ///
    /// An admitted call counts against the limits of its organisation until it is removed.
    fn check_call(&mut self, now: time::Timestamp, request: &CallRequest) -> Option<CallProblem> {
        if self.stopping {
            let code = ProblemCode::GatewayStopping;
            return Some(call_refusal(request, code, Some(STOPPING_RETRY_AFTER)));
        }
        if let quarantine::QuarantineStatus::Quarantined { until } =
            self.policies.quarantine.status(now, request.fingerprint)
        {
            let code = ProblemCode::Quarantined;
            return Some(call_refusal(request, code, Some(until.since(now))));
        }
        match self.policies.limit.admit(now, &request.tag.organisation) {
            limit::LimitDecision::Allow => None,
            limit::LimitDecision::Refuse { retry_after } => Some(call_refusal(
                request,
                ProblemCode::LimitReached,
                Some(retry_after),
            )),
        }
    }

    /// Returns the problem to refuse a resumption with, or `None` if it is admitted.
    fn check_resume(
        &mut self,
        now: time::Timestamp,
        request: &ResumeRequest,
    ) -> Option<CallProblem> {
        if self.stopping {
            let code = ProblemCode::GatewayStopping;
            return Some(resume_refusal(code, Some(STOPPING_RETRY_AFTER)));
        }
        // No retry hint: an unknown target has no address to resume the stream from.
        let is_known = self.targets.get(&request.token.target).is_some();
        if !is_known || self.belongs_to_other_organisation(request) {
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

    /// Returns true if the stream belongs to another organisation's call at this gateway.
    ///
    /// The agent checks streams that belong to no call at this gateway.
    fn belongs_to_other_organisation(&self, request: &ResumeRequest) -> bool {
        let previous = self.calls.attempt_call(request.token.attempt);
        previous
            .and_then(|call| self.calls.get(call))
            .is_some_and(|state| state.request.tag.organisation != request.tag.organisation)
    }

    /// Ends the call that received the stream before, if it is at this gateway.
    fn supersede_previous_call(
        &mut self,
        now: time::Timestamp,
        request: &ResumeRequest,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(previous) = self.calls.attempt_call(request.token.attempt) else {
            return;
        };
        self.calls.release_attempt(request.token.attempt);
        if let Some(state) = self.calls.remove(previous) {
            let organisation = &state.request.tag.organisation;
            self.policies.limit.release(now, organisation);
        }
        let problem = CallProblem {
            outcome: work::CallOutcome::Unknown,
            code: ProblemCode::Superseded,
            retry_after: None,
            key: None,
        };
        push_reply(effects, previous, CallReply::Problem(problem));
    }
}

pub(super) fn push_reply(effects: &mut Vec<GatewayEffect>, call: ids::CallId, reply: CallReply) {
    effects.push(GatewayEffect::Reply { call, reply });
}

fn not_run_problem(code: ProblemCode, retry_after: Option<Duration>) -> CallProblem {
    CallProblem {
        outcome: work::CallOutcome::NotRun,
        code,
        retry_after,
        key: None,
    }
}

/// Returns the problem for a refused resumption. Its outcome is unknown because the stream has run,
/// at least in part.
fn resume_refusal(code: ProblemCode, retry_after: Option<Duration>) -> CallProblem {
    CallProblem {
        outcome: work::CallOutcome::Unknown,
        ..not_run_problem(code, retry_after)
    }
}

/// Returns the problem for a call that this gateway refuses before it sends an attempt.
///
/// The outcome of a call with the caller's own key is unknown, as it may have run through another
/// gateway.
fn call_refusal(
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

/// Returns the state of a call that continues the attempt in the resume token.
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
        reviewed_at: now,
    };
    let call = CallRequest {
        call: request.call,
        tag: request.tag,
        fingerprint: work::RequestFingerprint::new(0),
        work: work::WorkRequest::Generation(placeholder_generation()),
        stream: true,
        repeatable: false,
        key: None,
        start_deadline: now + RESUME_TIMEOUT,
    };

    let mut state = state::CallState::new(call, now);
    state.phase = state::CallPhase::Placed(placed);
    state.received = next;
    state.acknowledged = next;
    state.resumed = true;
    state
}

/// Returns a placeholder for the request of a resumed stream, which only the agent knows.
fn placeholder_generation() -> work::GenerationRequest {
    work::GenerationRequest {
        model: "resumed".parse().expect("a valid name"),
        prompt: "".into(),
        prompt_tokens: measures::TokenCount::ZERO,
        prefix: work::PrefixHash::new(0),
        max_tokens: measures::TokenCount::ZERO,
    }
}
