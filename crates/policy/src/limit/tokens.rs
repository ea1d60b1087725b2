//! Tokens that accrue at a rate, up to a maximum.

use std::time::Duration;

use kingcupfall_core::time;

/// Rate at which tokens accrue, and their maximum.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TokenRate {
    /// Tokens per second.
    pub per_second: f64,
    /// Maximum number of tokens.
    pub burst: f64,
}

/// Tokens that allow one action each. Their number may be negative, if actions that could not wait
/// have taken more than there were.
#[derive(Debug, Clone, Copy, Default)]
pub struct TokenBucket {
    tokens: f64,
    refilled_at: time::Timestamp,
}

impl TokenBucket {
    /// Creates a bucket with `tokens` at `now`.
    pub const fn new(now: time::Timestamp, tokens: f64) -> Self {
        Self {
            tokens,
            refilled_at: now,
        }
    }

    /// Returns the number of tokens at `now`.
    pub fn tokens(&self, now: time::Timestamp, rate: TokenRate) -> f64 {
        let added_tokens = now.since(self.refilled_at).as_secs_f64() * rate.per_second;
        (self.tokens + added_tokens).min(rate.burst)
    }

    /// Returns the time until there are `count` tokens; `None` if there never will be.
    pub fn time_until(
        &self,
        now: time::Timestamp,
        rate: TokenRate,
        count: f64,
    ) -> Option<Duration> {
        let missing = count - self.tokens(now, rate);
        if missing <= 0.0 {
            return Some(Duration::ZERO);
        }
        if count > rate.burst {
            return None;
        }
        Duration::try_from_secs_f64(missing / rate.per_second).ok()
    }

    /// Discards the tokens above `count` that there were when some were last taken.
    pub fn discard_above(&mut self, count: f64) {
        self.tokens = self.tokens.min(count);
    }

    /// Adds the tokens that have accrued, and takes `count` of them; a negative count returns some.
    pub fn take(&mut self, now: time::Timestamp, rate: TokenRate, count: f64) {
        self.tokens = (self.tokens(now, rate) - count).min(rate.burst);
        self.refilled_at = now;
    }
}
