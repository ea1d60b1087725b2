//! Checks of what callers receive and what targets run, independent of the reducers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use kingcupfall_core::ids;
use kingcupfall_core::keys;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_gateway::reducer as gateway;
use kingcupfall_gateway::state;

/// A call, and what its caller has received.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// Id of the requested operation; a repeated booking has the id of the original.
    pub operation: u64,
    /// Whether the call is a booking; otherwise it is a generation.
    pub is_booking: bool,
    /// Whether the call was sent with the idempotency key of an earlier call.
    pub is_repeat: bool,
    /// Attempts for which a start order was sent.
    pub attempts: BTreeSet<ids::AttemptId>,
    /// Idempotency key that the caller sent or received.
    pub key: Option<keys::IdempotencyKey>,
    /// Event id of the last token that the caller received.
    pub last_event: Option<state::ResumeToken>,
    /// Sequence number of the next token to receive; a resumed stream keeps that of its previous
    /// connection.
    pub next_token: u64,
    /// Final outcome; `None` until the call ends.
    pub outcome: Option<work::CallOutcome>,
    /// Whether the caller resumed this stream on another connection.
    pub resumed: bool,
    /// When the caller disconnected; a resumed stream keeps that of its previous connection. A kill
    /// of its gateway does not set it.
    pub disconnected_at: Option<time::Timestamp>,
    /// Whether the caller resumed the stream only after the grace period.
    pub resumed_late: bool,
    /// Whether the caller's connection is open.
    pub connected: bool,
}

/// Records the calls and starts of one case, and panics when they break a promise.
#[derive(Debug, Default)]
pub struct InvariantChecker {
    pub calls: BTreeMap<u64, CallRecord>,
    /// Number of starts by attempt.
    attempt_starts: BTreeMap<ids::AttemptId, u64>,
    /// Number of runs by booking.
    booking_runs: BTreeMap<u64, u64>,
    /// Number of tokens of each generation that ended.
    token_totals: BTreeMap<ids::AttemptId, u64>,
}

impl InvariantChecker {
    pub fn record_attempt(&mut self, call: u64, attempt: ids::AttemptId) {
        if let Some(record) = self.calls.get_mut(&call) {
            record.attempts.insert(attempt);
        }
    }

    /// Records that a target started `attempt`; `operation` is `None` unless it is a booking.
    pub fn record_start(&mut self, attempt: ids::AttemptId, operation: Option<u64>) {
        *self.attempt_starts.entry(attempt).or_default() += 1;
        assert_eq!(
            self.attempt_starts[&attempt], 1,
            "attempt {attempt} started twice"
        );
        if let Some(operation) = operation {
            let runs = self.booking_runs.entry(operation).or_default();
            *runs += 1;
            assert_eq!(*runs, 1, "booking {operation} ran twice");
        }
        self.check_not_run_outcomes();
    }

    pub fn record_token_total(&mut self, attempt: ids::AttemptId, total: u64) {
        self.token_totals.insert(attempt, total);
    }

    pub fn record_reply(&mut self, call: u64, reply: &gateway::CallReply) {
        let record = self
            .calls
            .get_mut(&call)
            .expect("a reply belongs to a recorded call");
        if !record.connected {
            return;
        }
        assert_eq!(
            record.outcome, None,
            "call {call} received {reply:?} after it had ended"
        );

        match reply {
            gateway::CallReply::Tokens(tokens) => record_tokens(record, call, tokens),
            gateway::CallReply::Finished { total, .. } => {
                assert_eq!(
                    total.get(),
                    record.next_token,
                    "call {call} received a number of tokens other than the reported total"
                );
                if let Some(token) = &record.last_event {
                    assert_eq!(
                        self.token_totals.get(&token.attempt),
                        Some(&total.get()),
                        "call {call} ended with a total other than that of its generation"
                    );
                }
                record.outcome = Some(work::CallOutcome::Completed);
            }
            gateway::CallReply::Buffered(buffered) => {
                let expected: Vec<String> = (0..buffered.tokens.len())
                    .map(|index| token_text(buffered.attempt, index as u64))
                    .collect();
                let texts: Vec<String> = buffered
                    .tokens
                    .iter()
                    .map(|text| text.to_string())
                    .collect();
                assert_eq!(
                    texts, expected,
                    "call {call} received tokens of another attempt or in another order"
                );
                assert_eq!(
                    self.token_totals.get(&buffered.attempt),
                    Some(&(buffered.tokens.len() as u64)),
                    "call {call} received an incomplete generation"
                );
                record.outcome = Some(work::CallOutcome::Completed);
            }
            gateway::CallReply::Service(reply) => {
                let body = String::from_utf8(reply.response.body.clone()).unwrap();
                assert_eq!(
                    body,
                    format!("booked {}", record.operation),
                    "call {call} received the response of another booking"
                );
                record.key = reply.key.clone().or(record.key.clone());
                record.outcome = Some(work::CallOutcome::Completed);
            }
            gateway::CallReply::Key(key) => record.key = Some(key.clone()),
            gateway::CallReply::Problem(problem) => {
                assert_ne!(problem.outcome, work::CallOutcome::Completed);
                record.key = problem.key.clone().or(record.key.clone());
                record.outcome = Some(problem.outcome);
            }
        }
        self.check_not_run_outcomes();
    }

    /// Checks that no attempt started for any call that ended as not run.
    fn check_not_run_outcomes(&self) {
        for (call, record) in &self.calls {
            if record.outcome != Some(work::CallOutcome::NotRun) {
                continue;
            }
            for attempt in &record.attempts {
                assert!(
                    !self.attempt_starts.contains_key(attempt),
                    "call {call} ended as not_run, but attempt {attempt} started"
                );
            }
        }
    }
}

/// Returns the text of a token; it contains the token's attempt and index.
pub fn token_text(attempt: ids::AttemptId, index: u64) -> String {
    format!("{attempt}/{index}")
}

fn record_tokens(record: &mut CallRecord, call: u64, reply: &gateway::TokenReply) {
    assert_eq!(
        reply.first.get(),
        record.next_token,
        "call {call} has a gap or a repetition in its tokens"
    );
    if let Some(token) = &record.last_event {
        assert_eq!(
            token.attempt, reply.attempt,
            "call {call} received tokens of another attempt"
        );
    }

    for (offset, text) in reply.tokens.iter().enumerate() {
        let index = record.next_token + offset as u64;
        assert_eq!(
            **text,
            *token_text(reply.attempt, index),
            "call {call} received a wrong token"
        );
    }
    record.next_token += reply.tokens.len() as u64;
    record.last_event = Some(state::ResumeToken {
        target: reply.target.clone(),
        incarnation: reply.incarnation,
        attempt: reply.attempt,
        sequence: kingcupfall_core::measures::SequenceNumber::new(record.next_token - 1),
    });
}
