//! Tracks the health of a target from the results of attempts.

use std::time::Duration;

use kingcupfall_core::time;

use super::AttemptResult;

/// Half-life of a target's failure rate.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);

/// Backoff after a target was unreachable or timed out; doubles with each further such failure.
const MIN_BACKOFF: Duration = Duration::from_millis(300);

/// Maximum backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Failure rate from which a target is used only if no healthy target has capacity.
pub(super) const UNHEALTHY_FAILURE_RATE: f64 = 0.35;

/// Weight of one attempt in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.25;

/// Failure rate, response time and reachability of one target.
#[derive(Debug, Clone, Default)]
pub struct TargetHealth {
    failure_rate: f64,
    sampled_at: time::Timestamp,
    latency_s: Option<f64>,
    backoff_count: u32,
    backoff_until: time::Timestamp,
}

impl TargetHealth {
    /// Records the result of an attempt.
    pub fn record(&mut self, now: time::Timestamp, result: AttemptResult) {
        let failure = match result {
            AttemptResult::Succeeded { took } => {
                self.backoff_count = 0;
                self.backoff_until = time::Timestamp::ZERO;
                let sample = took.as_secs_f64();
                let latency = self.latency_s.unwrap_or(sample);
                self.latency_s = Some(latency + SAMPLE_WEIGHT * (sample - latency));
                0.0
            }
            AttemptResult::Unreachable | AttemptResult::TimedOut => {
                self.back_off(now);
                1.0
            }
            AttemptResult::Failed | AttemptResult::Broken => 1.0,
            AttemptResult::NotRun => 0.5,
            AttemptResult::Cancelled => return,
        };
        let rate = self.failure_rate(now);
        self.failure_rate = rate + SAMPLE_WEIGHT * (failure - rate);
        self.sampled_at = now;
    }

    /// Returns the moving average of failed attempts, decayed to `now`.
    pub fn failure_rate(&self, now: time::Timestamp) -> f64 {
        let age = now.since(self.sampled_at).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.failure_rate * 0.5_f64.powf(age)
    }

    /// Returns the moving average of the response time in seconds; `None` before the first success.
    pub fn latency_s(&self) -> Option<f64> {
        self.latency_s
    }

    /// Returns whether the target is in backoff and gets no calls.
    pub fn is_backed_off(&self, now: time::Timestamp) -> bool {
        now < self.backoff_until
    }

    /// Returns whether the target is used only if no healthy one has capacity.
    pub fn is_unhealthy(&self, now: time::Timestamp) -> bool {
        self.is_backed_off(now)
            || self.failure_rate > 0.0 && self.failure_rate(now) >= UNHEALTHY_FAILURE_RATE
    }

    fn back_off(&mut self, now: time::Timestamp) {
        let backoff = MIN_BACKOFF * 2_u32.saturating_pow(self.backoff_count.min(8));
        self.backoff_count = self.backoff_count.saturating_add(1);
        self.backoff_until = now + backoff.min(MAX_BACKOFF);
    }
}
