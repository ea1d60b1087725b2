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
    started_at: time::Timestamp,
    stream: Option<StreamMeter>,
}

/// The part of a meter that a streamed call has from its first token on.
#[derive(Debug)]
struct StreamMeter {
    gap: histogram::Histogram,
    tokens: counter::Counter,
    last_token_at: time::Timestamp,
    stalled: Duration,
}

impl CallMeter {
    pub(super) fn new(
        metrics: CallMetrics,
        labels: labels::CallerLabels,
        now: time::Timestamp,
    ) -> Self {
        Self {
            metrics,
            labels,
            started_at: now,
            stream: None,
        }
    }

    /// Notes that `count` tokens of a stream came at `now`.
    ///
    /// Tokens that come together count as one arrival.
    pub fn record_tokens(&mut self, now: time::Timestamp, count: usize) {
        match &mut self.stream {
            Some(stream) => stream.record_gap(now),
            None => self.stream = Some(self.start_stream(now)),
        }
        if let Some(stream) = &self.stream {
            stream.tokens.inc_by(count as u64);
        }
    }

    /// Notes the end of the call at `now`.
    pub fn finish(self, now: time::Timestamp, outcome: work::CallOutcome) {
        if let Some(stream) = &self.stream {
            let stall = self.metrics.stall(&self.labels);
            stall.observe(stream.stalled.as_secs_f64());
        }
        match outcome {
            work::CallOutcome::Completed => {
                let wait = now.since(self.started_at);
                let answer = self.metrics.answer(&self.labels);
                answer.observe(wait.as_secs_f64());
            }
            work::CallOutcome::NotRun | work::CallOutcome::Unknown => {}
        }
        self.metrics.record_end(&self.labels, &outcome.to_string());
    }

    /// Notes that the caller left before the call ended.
    pub fn abandon(self) {
        self.metrics.record_end(&self.labels, CALLER_GONE);
    }

    fn start_stream(&self, now: time::Timestamp) -> StreamMeter {
        let wait = now.since(self.started_at);
        let first_token = self.metrics.first_token(&self.labels);
        first_token.observe(wait.as_secs_f64());

        StreamMeter {
            gap: self.metrics.gap(&self.labels),
            tokens: self.metrics.tokens(&self.labels),
            last_token_at: now,
            stalled: wait.saturating_sub(FIRST_TOKEN_ALLOWANCE),
        }
    }
}

impl StreamMeter {
    fn record_gap(&mut self, now: time::Timestamp) {
        let gap = now.since(self.last_token_at);
        self.last_token_at = now;
        self.gap.observe(gap.as_secs_f64());
        self.stalled += gap.saturating_sub(GAP_ALLOWANCE);
    }
}
