//! Measuring one call.

use std::time::Duration;

use kingcupfall_core::time;
use kingcupfall_core::work;
use prometheus_client::metrics::counter;
use prometheus_client::metrics::histogram;

use super::CallMetrics;
use crate::labels;

/// Wait for the first token beyond which a stream counts as stalled.
pub const FIRST_TOKEN_ALLOWANCE: Duration = Duration::from_millis(1_500);

/// Time between tokens beyond which a stream counts as stalled.
pub const GAP_ALLOWANCE: Duration = Duration::from_millis(200);

/// Stands in place of the outcome of a call whose caller left before its end.
const CALLER_GONE: &str = "caller_gone";

/// Measures one call from its start to its end.
#[derive(Debug)]
pub struct CallMeter {
    metrics: CallMetrics,
    labels: labels::CallerLabels,
    gap: histogram::Histogram,
    tokens: counter::Counter,
    started_at: time::Timestamp,
    last_token_at: Option<time::Timestamp>,
    stalled: Duration,
}

impl CallMeter {
    pub(super) fn new(
        metrics: CallMetrics,
        labels: labels::CallerLabels,
        now: time::Timestamp,
    ) -> Self {
        Self {
            gap: metrics.gap(&labels),
            tokens: metrics.tokens(&labels),
            metrics,
            labels,
            started_at: now,
            last_token_at: None,
            stalled: Duration::ZERO,
        }
    }

    /// Notes that `count` tokens came at `now`.
    ///
    /// Tokens that come together count as one arrival.
    pub fn record_tokens(&mut self, now: time::Timestamp, count: usize) {
        self.tokens.inc_by(count as u64);
        match self.last_token_at.replace(now) {
            Some(last) => {
                let gap = now.since(last);
                self.gap.observe(gap.as_secs_f64());
                self.stalled += gap.saturating_sub(GAP_ALLOWANCE);
            }
            None => self.record_first(now),
        }
    }

    /// Notes the end of the call at `now`. A whole answer counts as its own first token.
    pub fn finish(mut self, now: time::Timestamp, outcome: work::CallOutcome) {
        let is_completed = match outcome {
            work::CallOutcome::Completed => true,
            work::CallOutcome::NotRun | work::CallOutcome::Unknown => false,
        };
        if is_completed && self.last_token_at.is_none() {
            self.record_first(now);
        }
        if is_completed || self.last_token_at.is_some() {
            let stall = self.metrics.stall(&self.labels);
            stall.observe(self.stalled.as_secs_f64());
        }
        self.metrics.record_end(&self.labels, &outcome.to_string());
    }

    /// Notes that the caller left before the call ended.
    pub fn abandon(self) {
        self.metrics.record_end(&self.labels, CALLER_GONE);
    }

    fn record_first(&mut self, now: time::Timestamp) {
        let wait = now.since(self.started_at);
        self.metrics
            .first_token(&self.labels)
            .observe(wait.as_secs_f64());
        self.stalled += wait.saturating_sub(FIRST_TOKEN_ALLOWANCE);
    }
}
