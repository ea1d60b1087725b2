//! Metrics of calls.

use kingcupfall_core::time;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter;
use prometheus_client::metrics::family;
use prometheus_client::metrics::histogram;

use super::CallMeter;
use crate::labels;
use crate::registry;

/// Bucket bounds for first tokens, stalls and complete responses, in seconds.
const WAIT_BUCKETS_S: [f64; 14] = [
    0.05, 0.1, 0.2, 0.4, 0.75, 1.0, 1.5, 2.5, 5.0, 10.0, 20.0, 40.0, 80.0, 160.0,
];

/// Bucket bounds for times between tokens, in seconds.
const TOKEN_GAP_BUCKETS_S: [f64; 14] = [
    0.005, 0.01, 0.02, 0.03, 0.038, 0.05, 0.075, 0.1, 0.2, 0.4, 0.8, 1.6, 5.0, 20.0,
];

/// Labels of the counter of ended calls.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabels {
    /// Name of the organisation.
    pub organisation: String,
    /// Name of the class.
    pub class: String,
    /// How the call ended.
    pub outcome: String,
}

/// Label of the counter of problems.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CodeLabels {
    /// Stable code of the problem.
    pub code: &'static str,
}

type HistogramFamily =
    family::Family<labels::CallerLabels, histogram::Histogram, fn() -> histogram::Histogram>;

/// Histograms and counters of all calls of a gateway.
#[derive(Debug, Clone)]
pub struct CallMetrics {
    first_token: HistogramFamily,
    token_gap: HistogramFamily,
    stall: HistogramFamily,
    response: HistogramFamily,
    tokens: family::Family<labels::CallerLabels, counter::Counter>,
    calls_ended: family::Family<OutcomeLabels, counter::Counter>,
    problems: family::Family<CodeLabels, counter::Counter>,
}

impl CallMetrics {
    /// Creates the metrics and adds them to `registry`.
    pub fn register(registry: &mut registry::MetricRegistry) -> Self {
        let metrics = Self {
            first_token: family::Family::new_with_constructor(wait_histogram),
            token_gap: family::Family::new_with_constructor(token_gap_histogram),
            stall: family::Family::new_with_constructor(wait_histogram),
            response: family::Family::new_with_constructor(wait_histogram),
            tokens: family::Family::default(),
            calls_ended: family::Family::default(),
            problems: family::Family::default(),
        };

        registry.register(
            "first_token_seconds",
            "Time from a streamed call to its first token",
            metrics.first_token.clone(),
        );
        registry.register(
            "token_gap_seconds",
            "Time between two arrivals of tokens of one stream",
            metrics.token_gap.clone(),
        );
        registry.register(
            "stall_seconds",
            "Stall time of one stream beyond the allowances, recorded at its end",
            metrics.stall.clone(),
        );
        registry.register(
            "answer_seconds",
            "Time from a call to the end of its response, streamed or buffered",
            metrics.response.clone(),
        );
        registry.register(
            "tokens",
            "Tokens delivered to callers' connections",
            metrics.tokens.clone(),
        );
        registry.register("calls", "Calls that ended", metrics.calls_ended.clone());
        registry.register(
            "problems",
            "Calls and requests that ended in a problem",
            metrics.problems.clone(),
        );
        metrics
    }

    /// Starts to measure a call that arrived at `now`.
    pub fn start(&self, now: time::Timestamp, labels: labels::CallerLabels) -> CallMeter {
        CallMeter::new(self.clone(), labels, now)
    }

    /// Counts a call or request that ended in a problem with `code`.
    pub fn record_problem(&self, code: &'static str) {
        self.problems.get_or_create(&CodeLabels { code }).inc();
    }

    /// Returns the histogram of times to the first token.
    pub(super) fn first_token(&self, labels: &labels::CallerLabels) -> histogram::Histogram {
        self.first_token.get_or_create_owned(labels)
    }

    /// Returns the histogram of times between tokens.
    pub(super) fn token_gap(&self, labels: &labels::CallerLabels) -> histogram::Histogram {
        self.token_gap.get_or_create_owned(labels)
    }

    /// Returns the histogram of stall times.
    pub(super) fn stall(&self, labels: &labels::CallerLabels) -> histogram::Histogram {
        self.stall.get_or_create_owned(labels)
    }

    /// Returns the histogram of response times, streamed or buffered.
    pub(super) fn response(&self, labels: &labels::CallerLabels) -> histogram::Histogram {
        self.response.get_or_create_owned(labels)
    }

    /// Returns the counter of tokens delivered to callers.
    pub(super) fn tokens(&self, labels: &labels::CallerLabels) -> counter::Counter {
        self.tokens.get_or_create_owned(labels)
    }

    /// Counts a call that ended with `outcome`.
    pub(super) fn record_outcome(&self, labels: &labels::CallerLabels, outcome: &str) {
        let labels = OutcomeLabels {
            organisation: labels.organisation.clone(),
            class: labels.class.clone(),
            outcome: outcome.into(),
        };
        self.calls_ended.get_or_create(&labels).inc();
    }
}

fn wait_histogram() -> histogram::Histogram {
    histogram::Histogram::new(WAIT_BUCKETS_S)
}

fn token_gap_histogram() -> histogram::Histogram {
    histogram::Histogram::new(TOKEN_GAP_BUCKETS_S)
}
