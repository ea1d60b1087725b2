//! An independent record of what callers got and what targets ran.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use kingcupfall_core::ids;
use kingcupfall_core::keys;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_gateway::reducer as gateway;
use kingcupfall_gateway::state;

/// What one caller asked for and got.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// Operation that the caller wants done; repeats of a booking have the same.
    pub operation: u64,
    /// Whether it is a booking.
    pub booking: bool,
    /// Whether it was sent with a key that an earlier call was given.
    pub repeat: bool,
    /// Attempts sent for this call.
    pub attempts: BTreeSet<ids::AttemptId>,
    /// Key the caller was given.
    pub key: Option<keys::IdempotencyKey>,
    /// Last event id of a stream.
    pub last_event: Option<state::ResumeToken>,
    /// Tokens of the stream that this connection continues, or its first place.
    pub next_token: u64,
    /// Final outcome.
    pub outcome: Option<work::CallOutcome>,
    /// Whether the caller went on with this stream on another connection.
    pub resumed: bool,
    /// When the connection broke.
    pub broken_at: Option<time::Timestamp>,
    /// Whether the caller came back later than streams are kept for.
    pub late: bool,
    /// Whether the caller's connection is open.
    pub connected: bool,
}

/// The record of a whole case. Every check panics with what it saw.
#[derive(Debug, Default)]
pub struct CaseObserver {
    pub calls: BTreeMap<u64, CallRecord>,
    /// Attempts that a target started, with how often.
    starts: BTreeMap<ids::AttemptId, u64>,
    /// Bookings that a target started, with how often.
    bookings: BTreeMap<u64, u64>,
    /// Tokens that each generation had when it ended.
    totals: BTreeMap<ids::AttemptId, u64>,
}

impl CaseObserver {
    pub fn record_attempt(&mut self, call: u64, attempt: ids::AttemptId) {
        if let Some(record) = self.calls.get_mut(&call) {
            record.attempts.insert(attempt);
        }
    }

    /// Notes that a target started `attempt`, for the booking `operation` when it is one.
    pub fn record_start(&mut self, attempt: ids::AttemptId, operation: Option<u64>) {
        *self.starts.entry(attempt).or_default() += 1;
        assert_eq!(self.starts[&attempt], 1, "attempt {attempt} started twice");
        if let Some(operation) = operation {
            let runs = self.bookings.entry(operation).or_default();
            *runs += 1;
            assert_eq!(*runs, 1, "booking {operation} ran twice");
        }
        self.check_not_run();
    }

    pub fn record_total(&mut self, attempt: ids::AttemptId, total: u64) {
        self.totals.insert(attempt, total);
    }

    pub fn record_reply(&mut self, call: u64, reply: &gateway::CallReply) {
        let record = self.calls.get_mut(&call).expect("a reply to a known call");
        if !record.connected {
            return;
        }
        assert_eq!(
            record.outcome, None,
            "call {call} got {reply:?} after its end"
        );

        match reply {
            gateway::CallReply::Tokens(tokens) => take_tokens(record, call, tokens),
            gateway::CallReply::Finished { total, .. } => {
                assert_eq!(
                    total.get(),
                    record.next_token,
                    "call {call} lost its last tokens"
                );
                if let Some(token) = &record.last_event {
                    assert_eq!(
                        self.totals.get(&token.attempt),
                        Some(&total.get()),
                        "call {call} ended before its generation"
                    );
                }
                record.outcome = Some(work::CallOutcome::Completed);
            }
            gateway::CallReply::Buffered(whole) => {
                let expected: Vec<String> = (0..whole.tokens.len())
                    .map(|index| token_text(whole.attempt, index as u64))
                    .collect();
                let texts: Vec<String> = whole.tokens.iter().map(|text| text.to_string()).collect();
                assert_eq!(texts, expected, "call {call} got a mixed answer");
                assert_eq!(
                    self.totals.get(&whole.attempt),
                    Some(&(whole.tokens.len() as u64)),
                    "call {call} got part of an answer"
                );
                record.outcome = Some(work::CallOutcome::Completed);
            }
            gateway::CallReply::Service(reply) => {
                let body = String::from_utf8(reply.response.body.clone()).unwrap();
                assert_eq!(body, format!("booked {}", record.operation), "call {call}");
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
        self.check_not_run();
    }

    /// Checks that nothing ran of any call that was told so.
    fn check_not_run(&self) {
        for (call, record) in &self.calls {
            if record.outcome != Some(work::CallOutcome::NotRun) {
                continue;
            }
            for attempt in &record.attempts {
                assert!(
                    !self.starts.contains_key(attempt),
                    "call {call} was told not_run, and attempt {attempt} ran"
                );
            }
        }
    }
}

/// Text of a token, which names its generation and place.
pub fn token_text(attempt: ids::AttemptId, index: u64) -> String {
    format!("{attempt}/{index}")
}

fn take_tokens(record: &mut CallRecord, call: u64, reply: &gateway::TokenReply) {
    assert_eq!(
        reply.first.get(),
        record.next_token,
        "call {call} lost or repeated tokens"
    );
    if let Some(token) = &record.last_event {
        assert_eq!(
            token.attempt, reply.attempt,
            "call {call} mixes generations"
        );
    }

    for (offset, text) in reply.tokens.iter().enumerate() {
        let index = record.next_token + offset as u64;
        assert_eq!(**text, *token_text(reply.attempt, index), "call {call}");
    }
    record.next_token += reply.tokens.len() as u64;
    record.last_event = Some(state::ResumeToken {
        target: reply.target.clone(),
        incarnation: reply.incarnation,
        attempt: reply.attempt,
        sequence: kingcupfall_core::measures::SequenceNumber::new(record.next_token - 1),
    });
}
