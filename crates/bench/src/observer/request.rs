//! One request as its caller sees it.

use std::time::Duration;

use kingcupfall_core::time;

/// Wait for the first token that is no stall.
const FIRST_TOKEN_GRACE: Duration = Duration::from_millis(1_500);

/// Gap between tokens that is no stall.
const GAP_GRACE: Duration = Duration::from_millis(200);

/// Stall that a request without its answer is charged beyond the time of its error.
///
/// Its caller still needs the answer. The charge is the time that a call has for its start, so
/// that no policy gains by giving up on work that it could still have started.
const FAILURE_CHARGE: Duration = super::call::START_WINDOW;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The whole answer arrived.
    Completed,
    /// The caller was told that it did not run.
    NotRun,
    /// Anything else.
    Unknown,
}

/// One request as its caller sees it.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// When it arrived.
    pub arrived: time::Timestamp,
    /// When its first token arrived.
    pub first_token: Option<time::Timestamp>,
    /// When its last token so far arrived.
    pub last_token: Option<time::Timestamp>,
    /// Stall so far.
    pub stall: Duration,
    /// Tokens so far.
    pub tokens: u64,
    /// How it ended.
    pub outcome: Option<RequestOutcome>,
}

impl RequestRecord {
    /// Makes the record of a request that has just arrived.
    pub fn new(arrived: time::Timestamp) -> Self {
        Self {
            arrived,
            first_token: None,
            last_token: None,
            stall: Duration::ZERO,
            tokens: 0,
            outcome: None,
        }
    }

    /// Notes a token, and returns its gap to the token before it.
    pub fn record_token(&mut self, now: time::Timestamp) -> Option<Duration> {
        self.tokens += 1;
        self.stall += self.open_stall(now);
        let gap = self.last_token.map(|last| now.since(last));
        self.first_token = self.first_token.or(Some(now));
        self.last_token = Some(now);
        gap
    }

    /// Notes the end.
    pub fn end(&mut self, now: time::Timestamp, outcome: RequestOutcome) {
        self.outcome = Some(outcome);
        match outcome {
            RequestOutcome::Completed => {}
            RequestOutcome::NotRun | RequestOutcome::Unknown => {
                self.stall += self.open_stall(now) + FAILURE_CHARGE;
            }
        }
    }

    fn open_stall(&self, now: time::Timestamp) -> Duration {
        match self.last_token {
            Some(last) => now.since(last).saturating_sub(GAP_GRACE),
            None => now.since(self.arrived).saturating_sub(FIRST_TOKEN_GRACE),
        }
    }
}
