//! Progress of one request from its caller's side.

use std::time::Duration;

use kingcupfall_core::time;

/// Delay of the first token that does not count as a stall.
const FIRST_TOKEN_ALLOWANCE: Duration = Duration::from_millis(1_500);

/// Gap between tokens that does not count as a stall.
const TOKEN_GAP_ALLOWANCE: Duration = Duration::from_millis(200);

/// Stall added to a request that ends without a complete response, as its caller still needs one.
///
/// It equals the start timeout of a call, so that a policy can't reduce its stall by abandoning
/// work that it could still have started.
const FAILURE_PENALTY: Duration = super::run::START_TIMEOUT;

/// Outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The complete response arrived.
    Completed,
    /// The gateway reported that the request did not run, and no engine had started it.
    NotRun,
    /// Any other outcome, or none by the end of the simulation.
    Unknown,
}

/// What the caller of one request has observed.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// When the request was first sent.
    pub arrived_at: time::Timestamp,
    /// When the first token arrived; `None` until then.
    pub first_token_at: Option<time::Timestamp>,
    /// When the latest token arrived; `None` before the first.
    pub last_token_at: Option<time::Timestamp>,
    /// Total stall so far: time spent waiting for tokens beyond the allowances, and penalties.
    pub stall: Duration,
    /// Tokens received so far.
    pub tokens: u64,
    /// Outcome; `None` while the request is open.
    pub outcome: Option<RequestOutcome>,
}

impl RequestRecord {
    /// Creates the record of a request that is sent at `arrived_at`.
    pub fn new(arrived_at: time::Timestamp) -> Self {
        Self {
            arrived_at,
            first_token_at: None,
            last_token_at: None,
            stall: Duration::ZERO,
            tokens: 0,
            outcome: None,
        }
    }

    /// Records a token and returns the time since the previous one; `None` for the first token.
    pub fn record_token(&mut self, now: time::Timestamp) -> Option<Duration> {
        self.tokens += 1;
        self.stall += self.current_stall(now);
        let gap = self.last_token_at.map(|last| now.since(last));
        self.first_token_at = self.first_token_at.or(Some(now));
        self.last_token_at = Some(now);
        gap
    }

    /// Records the outcome, and the stall since the latest token unless the request completed.
    pub fn end(&mut self, now: time::Timestamp, outcome: RequestOutcome) {
        self.outcome = Some(outcome);
        match outcome {
            RequestOutcome::Completed => {}
            RequestOutcome::NotRun | RequestOutcome::Unknown => {
                self.stall += self.current_stall(now) + FAILURE_PENALTY;
            }
        }
    }

    fn current_stall(&self, now: time::Timestamp) -> Duration {
        match self.last_token_at {
            Some(last) => now.since(last).saturating_sub(TOKEN_GAP_ALLOWANCE),
            None => now
                .since(self.arrived_at)
                .saturating_sub(FIRST_TOKEN_ALLOWANCE),
        }
    }
}
