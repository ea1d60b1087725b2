//! Tokens and answers on their way to gateways.

use kingcupfall_core::ids;
use kingcupfall_core::keys;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_link::frames;

use super::AgentEffect;
use super::AgentReducer;
use super::intake::send_failure;
use super::send;
use crate::state;

/// Tokens of one stream that may be sent before the caller has taken them.
const STREAM_WINDOW_TOKENS: u64 = 1_024;

/// Most tokens in one frame.
const BATCH_TOKENS: usize = 256;

impl AgentReducer {
    pub(super) fn take_token(
        &mut self,
        now: time::Timestamp,
        attempt: ids::AttemptId,
        index: measures::SequenceNumber,
        text: &str,
        effects: &mut Vec<AgentEffect>,
    ) {
        let Some(state) = self.attempts.get_mut(attempt) else {
            self.counters.stray_events += 1;
            return;
        };
        if !state.is_running() || index != state.buffer.next() {
            self.counters.stray_events += 1;
            return;
        }

        state.buffer.push(text);
        self.scheduler.record_tokens(now, attempt, 1);
        self.deliver(attempt, effects);
    }

    /// Ends an attempt that the target ran to its end.
    pub(super) fn end_attempt(
        &mut self,
        now: time::Timestamp,
        attempt: ids::AttemptId,
        end: state::AttemptEnd,
        effects: &mut Vec<AgentEffect>,
    ) {
        let Some(state) = self.attempts.get_mut(attempt) else {
            self.counters.stray_events += 1;
            return;
        };
        if !state.is_running() {
            self.counters.stray_events += 1;
            return;
        }

        let work_end = super::target::work_end(&end);
        state.phase = state::AttemptPhase::Ended { at: now, end };
        let nonce = state.order.key.as_ref().map(|key| key.nonce);
        self.scheduler.end(now, attempt, work_end);
        self.deliver(attempt, effects);

        if let Some(nonce) = nonce {
            for waiter in self.executions.take_waiters(nonce) {
                self.replay(waiter.link, waiter.attempt, attempt, effects);
            }
        }
    }

    pub(super) fn take_acknowledgement(
        &mut self,
        link: ids::LinkId,
        attempt: ids::AttemptId,
        next: measures::SequenceNumber,
        effects: &mut Vec<AgentEffect>,
    ) {
        let Some(state) = self.attempts.get_mut(attempt) else {
            return;
        };
        if state.subscriber != Some(link) || next > state.sent {
            return;
        }

        state.acknowledged = state.acknowledged.max(next);
        self.deliver(attempt, effects);
    }

    /// Notes that the subscriber has taken the end of an attempt.
    pub(super) fn take_settlement(&mut self, link: ids::LinkId, attempt: ids::AttemptId) {
        let Some(state) = self.attempts.get_mut(attempt) else {
            return;
        };
        if state.subscriber == Some(link) && state.end_sent {
            state.end_settled = true;
        }
    }

    /// Answers a repeat of the call that `first` runs or ran.
    pub(super) fn answer_repeat(
        &mut self,
        link: ids::LinkId,
        attempt: ids::AttemptId,
        first: ids::AttemptId,
        key: &keys::IdempotencyKey,
        effects: &mut Vec<AgentEffect>,
    ) {
        // The repeat counts as started, because its call is.
        let retention = key.expires_at + super::intake::SETTLED_RETENTION;
        self.settled.insert(attempt, retention);

        let is_active = self
            .attempts
            .get(first)
            .is_some_and(state::AttemptState::is_active);
        if is_active {
            let waiter = state::RepeatWaiter { attempt, link };
            self.executions.add_waiter(key.nonce, waiter);
            send(effects, link, frames::AgentFrame::Accepted { attempt });
            return;
        }

        self.replay(link, attempt, first, effects);
    }

    /// Sends all that is due of an attempt to its subscriber.
    pub(super) fn deliver(&mut self, attempt: ids::AttemptId, effects: &mut Vec<AgentEffect>) {
        let Some(state) = self.attempts.get_mut(attempt) else {
            return;
        };
        let Some(link) = state.subscriber else {
            return;
        };

        send_tokens(state, link, effects);
        send_end(state, link, effects);
    }

    /// Sends the recorded answer of `first` to the repeat `attempt`.
    fn replay(
        &self,
        link: ids::LinkId,
        attempt: ids::AttemptId,
        first: ids::AttemptId,
        effects: &mut Vec<AgentEffect>,
    ) {
        let recorded = self.attempts.get(first);
        let Some(end) = recorded.and_then(ended) else {
            let cause = frames::FailureCause::ResponseLost;
            send_failure(effects, link, attempt, cause);
            return;
        };

        match end {
            state::AttemptEnd::Answered(answer) => {
                let report = frames::ResponseReport {
                    attempt,
                    response: answer.clone(),
                    replayed: true,
                };
                send(effects, link, frames::AgentFrame::Responded(report));
            }
            state::AttemptEnd::Finished(reason) => {
                if let Some(state) = recorded {
                    replay_tokens(state, *reason, attempt, link, effects);
                }
            }
            state::AttemptEnd::Failed { .. } => {
                let cause = frames::FailureCause::ResponseLost;
                send_failure(effects, link, attempt, cause);
            }
        }
    }
}

fn ended(state: &state::AttemptState) -> Option<&state::AttemptEnd> {
    match &state.phase {
        state::AttemptPhase::Ended { end, .. } => Some(end),
        state::AttemptPhase::Queued | state::AttemptPhase::Running => None,
    }
}

fn replay_tokens(
    state: &state::AttemptState,
    reason: kingcupfall_core::work::FinishReason,
    attempt: ids::AttemptId,
    link: ids::LinkId,
    effects: &mut Vec<AgentEffect>,
) {
    let total = state.buffer.next();
    let mut first = measures::SequenceNumber::ZERO;
    while first < total {
        let tokens = state.buffer.copy(first, BATCH_TOKENS);
        let next = first + measures::SequenceNumber::new(tokens.len() as u64);
        let batch = frames::TokenBatch {
            attempt,
            first,
            tokens,
        };
        send(effects, link, frames::AgentFrame::Tokens(batch));
        first = next;
    }

    let report = frames::FinishReport {
        attempt,
        total,
        reason,
    };
    send(effects, link, frames::AgentFrame::Finished(report));
}

fn send_tokens(state: &mut state::AttemptState, link: ids::LinkId, effects: &mut Vec<AgentEffect>) {
    // A whole answer is sent when it is complete, so that a lost generation can be restarted.
    if !state.order.stream && state.is_active() {
        return;
    }

    loop {
        let in_flight = state.sent.saturating_sub(state.acknowledged).get();
        let window = match state.order.stream {
            true => STREAM_WINDOW_TOKENS.saturating_sub(in_flight),
            false => u64::MAX,
        };
        let most = usize::try_from(window)
            .unwrap_or(usize::MAX)
            .min(BATCH_TOKENS);
        let tokens = state.buffer.copy(state.sent, most);
        if tokens.is_empty() {
            return;
        }

        let first = state.sent;
        state.sent = first + measures::SequenceNumber::new(tokens.len() as u64);
        let batch = frames::TokenBatch {
            attempt: state.order.attempt,
            first,
            tokens,
        };
        send(effects, link, frames::AgentFrame::Tokens(batch));
    }
}

fn send_end(state: &mut state::AttemptState, link: ids::LinkId, effects: &mut Vec<AgentEffect>) {
    let attempt = state.order.attempt;
    if state.end_sent {
        return;
    }
    let Some(end) = ended(state) else {
        return;
    };

    let frame = match end {
        state::AttemptEnd::Finished(_) if state.sent < state.buffer.next() => return,
        state::AttemptEnd::Finished(reason) => frames::AgentFrame::Finished(frames::FinishReport {
            attempt,
            total: state.buffer.next(),
            reason: *reason,
        }),
        state::AttemptEnd::Answered(answer) => {
            frames::AgentFrame::Responded(frames::ResponseReport {
                attempt,
                response: answer.clone(),
                replayed: false,
            })
        }
        state::AttemptEnd::Failed { cause, suspect } => {
            frames::AgentFrame::Failed(frames::FailureReport {
                attempt,
                cause: *cause,
                suspect: *suspect,
            })
        }
    };
    state.end_sent = true;
    super::subscription::dismiss_formers(state, effects);
    send(effects, link, frame);
}
