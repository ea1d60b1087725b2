//! Delivery of tokens and results to gateways.

use kingcupfall_core::ids;
use kingcupfall_core::keys;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_link::frames;

use super::AgentEffect;
use super::AgentReducer;
use super::orders::send_failure;
use super::send;
use crate::state;

/// Maximum number of tokens of one stream sent but not yet acknowledged by the caller.
const STREAM_WINDOW_TOKENS: u64 = 1_024;

/// Maximum number of tokens in one frame.
const MAX_BATCH_TOKENS: usize = 256;

impl AgentReducer {
    pub(super) fn handle_token(
        &mut self,
        now: time::Timestamp,
        attempt: ids::AttemptId,
        index: measures::SequenceNumber,
        text: &str,
        effects: &mut Vec<AgentEffect>,
    ) {
        let Some(state) = self.attempts.get_mut(attempt) else {
            self.counters.unexpected_events += 1;
            return;
        };
        if !state.is_running() || index != state.buffer.next() {
            self.counters.unexpected_events += 1;
            return;
        }

        state.buffer.push(text);
        self.scheduler.record_tokens(now, attempt, 1);
        self.deliver(attempt, effects);
    }

    /// Records the result of a running attempt and delivers it to all who wait for it.
    pub(super) fn end_attempt(
        &mut self,
        now: time::Timestamp,
        attempt: ids::AttemptId,
        end: state::AttemptEnd,
        effects: &mut Vec<AgentEffect>,
    ) {
        let Some(state) = self.attempts.get_mut(attempt) else {
            self.counters.unexpected_events += 1;
            return;
        };
        if !state.is_running() {
            self.counters.unexpected_events += 1;
            return;
        }

        let work_outcome = super::target::work_outcome(&end);
        state.phase = state::AttemptPhase::Ended { at: now, end };
        let nonce = state.order.key.as_ref().map(|key| key.nonce);
        self.scheduler.end(now, attempt, work_outcome);
        self.deliver(attempt, effects);

        if let Some(nonce) = nonce {
            for waiter in self.executions.take_waiters(nonce) {
                self.replay(waiter.link, waiter.attempt, attempt, effects);
            }
        }
    }

    pub(super) fn handle_acknowledgement(
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

    /// Records that the subscriber has received the end of an attempt.
    pub(super) fn handle_end_acknowledgement(
        &mut self,
        link: ids::LinkId,
        attempt: ids::AttemptId,
    ) {
        let Some(state) = self.attempts.get_mut(attempt) else {
            return;
        };
        if state.subscriber == Some(link) && state.end_sent {
            state.end_acknowledged = true;
        }
    }

    /// Replies to a repeat of the call that the attempt `first` runs or ran.
    pub(super) fn handle_repeat(
        &mut self,
        link: ids::LinkId,
        attempt: ids::AttemptId,
        first: ids::AttemptId,
        key: &keys::IdempotencyKey,
        effects: &mut Vec<AgentEffect>,
    ) {
        // The repeat counts as started, since its call may have run.
        let retention = key.expires_at + super::orders::STARTED_RETENTION;
        self.started_attempts.insert(attempt, retention);

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

    /// Sends the subscriber the tokens that fit into its window, then the result.
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

    /// Sends the recorded result of `first` to the repeat `attempt`.
    fn replay(
        &self,
        link: ids::LinkId,
        attempt: ids::AttemptId,
        first: ids::AttemptId,
        effects: &mut Vec<AgentEffect>,
    ) {
        let recorded = self.attempts.get(first);
        let Some(end) = recorded.and_then(attempt_end) else {
            let cause = frames::FailureCause::ResponseLost;
            send_failure(effects, link, attempt, cause);
            return;
        };

        match end {
            state::AttemptEnd::Responded(response) => {
                let report = frames::ResponseReport {
                    attempt,
                    response: response.clone(),
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

fn attempt_end(state: &state::AttemptState) -> Option<&state::AttemptEnd> {
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
        let tokens = state.buffer.copy(first, MAX_BATCH_TOKENS);
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
    // A response that is not streamed is sent only when complete, so that a lost generation can be
    // restarted.
    if !state.order.stream && state.is_active() {
        return;
    }

    loop {
        let unacknowledged = state.sent.saturating_sub(state.acknowledged).get();
        let window = match state.order.stream {
            true => STREAM_WINDOW_TOKENS.saturating_sub(unacknowledged),
            false => u64::MAX,
        };
        let max_tokens = usize::try_from(window)
            .unwrap_or(usize::MAX)
            .min(MAX_BATCH_TOKENS);
        let tokens = state.buffer.copy(state.sent, max_tokens);
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
    let Some(end) = attempt_end(state) else {
        return;
    };

    let frame = match end {
        state::AttemptEnd::Finished(_) if state.sent < state.buffer.next() => return,
        state::AttemptEnd::Finished(reason) => frames::AgentFrame::Finished(frames::FinishReport {
            attempt,
            total: state.buffer.next(),
            reason: *reason,
        }),
        state::AttemptEnd::Responded(response) => {
            frames::AgentFrame::Responded(frames::ResponseReport {
                attempt,
                response: response.clone(),
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
    super::subscription::send_superseded_to_previous(state, effects);
    send(effects, link, frame);
}
