//! How far a target is trusted after failures.

use std::time::Duration;

use kingcupfall_core::time;

use super::AttemptResult;

/// Time in which what is held against a target halves.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// First pause after a target could not be reached; it doubles with each further failure.
const FIRST_PAUSE: Duration = Duration::from_millis(300);

/// Longest such pause.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// Failure rate from which a target is taken only when there is no better one.
pub(super) const FAILING_RATE: f64 = 0.35;

/// Weight of one attempt in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.25;

/// Failures, speed and reachability of one target.
#[derive(Debug, Clone, Default)]
pub struct TargetDoubt {
    failure_rate: f64,
    sampled_at: time::Timestamp,
    latency_s: Option<f64>,
    pauses: u32,
    paused_until: time::Timestamp,
}

impl TargetDoubt {
    /// Takes the result of an attempt.
    pub fn record(&mut self, now: time::Timestamp, result: AttemptResult) {
        let failure = match result {
            AttemptResult::Succeeded { took } => {
                self.pauses = 0;
                self.paused_until = time::Timestamp::ZERO;
                let sample = took.as_secs_f64();
                let latency = self.latency_s.unwrap_or(sample);
                self.latency_s = Some(latency + SAMPLE_WEIGHT * (sample - latency));
                0.0
            }
            AttemptResult::Unreachable | AttemptResult::Silent => {
                self.pause(now);
                1.0
            }
            AttemptResult::Failed | AttemptResult::Broken => 1.0,
            AttemptResult::Shed => 0.5,
            AttemptResult::Withdrawn => return,
        };
        let rate = self.failure_rate(now);
        self.failure_rate = rate + SAMPLE_WEIGHT * (failure - rate);
        self.sampled_at = now;
    }

    /// Returns the share of recent attempts that failed, fading with time.
    pub fn failure_rate(&self, now: time::Timestamp) -> f64 {
        let age = now.since(self.sampled_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.failure_rate * 0.5_f64.powf(age)
    }

    /// Returns the usual time of an answer in seconds, when there was one.
    pub fn latency_s(&self) -> Option<f64> {
        self.latency_s
    }

    /// Says whether the target is left alone for now.
    pub fn is_paused(&self, now: time::Timestamp) -> bool {
        now < self.paused_until
    }

    /// Says whether a target with better ones beside it is not used.
    pub fn is_doubted(&self, now: time::Timestamp) -> bool {
        self.is_paused(now) || self.failure_rate > 0.0 && self.failure_rate(now) >= FAILING_RATE
    }

    fn pause(&mut self, now: time::Timestamp) {
        let pause = FIRST_PAUSE * 2_u32.saturating_pow(self.pauses.min(8));
        self.pauses = self.pauses.saturating_add(1);
        self.paused_until = now + pause.min(LONGEST_PAUSE);
    }
}
