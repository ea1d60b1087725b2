//! Measurement of one call.

use std::time::Duration;

use kingcupfall_core::time;
use kingcupfall_core::work;
use prometheus_client::metrics::counter;
use prometheus_client::metrics::histogram;

use super::CallMetrics;
use crate::labels;

/// Time to the first token that does not count as a stall.
pub const FIRST_TOKEN_ALLOWANCE: Duration = Duration::from_millis(1_500);

/// Time between two arrivals of tokens that does not count as a stall.
pub const TOKEN_GAP_ALLOWANCE: Duration = Duration::from_millis(200);

/// Outcome label of a call whose caller disconnected before its end.
const CALLER_GONE_OUTCOME: &str = "caller_gone";

/// Measures one call from its start to its end and updates [`CallMetrics`].
#[derive(Debug)]
pub struct CallMeter {
    metrics: CallMetrics,
    labels: labels::CallerLabels,
    started_at: time::Timestamp,
    stream: Option<StreamMeter>,
}

/// Measurements of a streamed call from its first token on.
#[derive(Debug)]
struct StreamMeter {
    token_gap: histogram::Histogram,
    tokens: counter::Counter,
    last_token_at: time::Timestamp,
    stall_time: Duration,
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

    /// Records that `count` tokens of a stream arrived at `now`.
    ///
    /// Tokens that arrive together count as one arrival, with one gap before it.
    pub fn record_tokens(&mut self, now: time::Timestamp, count: usize) {
        match &mut self.stream {
            Some(stream) => stream.record_token_gap(now),
            None => self.stream = Some(self.start_stream(now)),
        }
        if let Some(stream) = &self.stream {
            stream.tokens.inc_by(count as u64);
        }
    }

    /// Records that the call ended with `outcome` at `now`. Only completed calls are counted in the
    /// response time.
    pub fn finish(self, now: time::Timestamp, outcome: work::CallOutcome) {
        if let Some(stream) = &self.stream {
            let stall = self.metrics.stall(&self.labels);
            stall.observe(stream.stall_time.as_secs_f64());
        }
        match outcome {
            work::CallOutcome::Completed => {
                let wait = now.since(self.started_at);
                let response = self.metrics.response(&self.labels);
                response.observe(wait.as_secs_f64());
            }
            work::CallOutcome::NotRun | work::CallOutcome::Unknown => {}
        }
        self.metrics
            .record_outcome(&self.labels, &outcome.to_string());
    }

    /// Records that the caller disconnected before the call ended; no stall or response time is
    /// recorded.
    pub fn abandon(self) {
        self.metrics
            .record_outcome(&self.labels, CALLER_GONE_OUTCOME);
    }

    fn start_stream(&self, now: time::Timestamp) -> StreamMeter {
        let wait = now.since(self.started_at);
        let first_token = self.metrics.first_token(&self.labels);
        first_token.observe(wait.as_secs_f64());

        StreamMeter {
            token_gap: self.metrics.token_gap(&self.labels),
            tokens: self.metrics.tokens(&self.labels),
            last_token_at: now,
            stall_time: wait.saturating_sub(FIRST_TOKEN_ALLOWANCE),
        }
    }
}

impl StreamMeter {
    fn record_token_gap(&mut self, now: time::Timestamp) {
        let token_gap = now.since(self.last_token_at);
        self.last_token_at = now;
        self.token_gap.observe(token_gap.as_secs_f64());
        self.stall_time += token_gap.saturating_sub(TOKEN_GAP_ALLOWANCE);
    }
}
