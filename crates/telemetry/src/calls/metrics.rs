//! Metrics of calls.

use kingcupfall_core::time;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter;
use prometheus_client::metrics::family;
use prometheus_client::metrics::histogram;

use super::CallMeter;
use crate::labels;
use crate::registry;

/// Bounds of the buckets for waits of the length of an answer, in seconds.
const WAIT_BUCKETS: [f64; 14] = [
    0.05, 0.1, 0.2, 0.4, 0.75, 1.0, 1.5, 2.5, 5.0, 10.0, 20.0, 40.0, 80.0, 160.0,
];

/// Bounds of the buckets for times between tokens, in seconds.
const GAP_BUCKETS: [f64; 14] = [
    0.005, 0.01, 0.02, 0.03, 0.038, 0.05, 0.075, 0.1, 0.2, 0.4, 0.8, 1.6, 5.0, 20.0,
];

/// Organisation, class and outcome of a call.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabels {
    /// Name of the organisation.
    pub organisation: String,
    /// Name of the class.
    pub class: String,
    /// What is known of the call.
    pub outcome: String,
}

/// Stable code of a problem.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CodeLabels {
    /// The code.
    pub code: &'static str,
}

type HistogramFamily =
    family::Family<labels::CallerLabels, histogram::Histogram, fn() -> histogram::Histogram>;

/// Histograms and counters of all calls of a gateway.
#[derive(Debug, Clone)]
pub struct CallMetrics {
    first_token: HistogramFamily,
    gap: HistogramFamily,
    stall: HistogramFamily,
    answer: HistogramFamily,
    tokens: family::Family<labels::CallerLabels, counter::Counter>,
    ended: family::Family<OutcomeLabels, counter::Counter>,
    problems: family::Family<CodeLabels, counter::Counter>,
}

impl CallMetrics {
    /// Makes the metrics and adds them to `registry`.
    pub fn register(registry: &mut registry::MetricRegistry) -> Self {
        let metrics = Self {
            first_token: family::Family::new_with_constructor(wait_histogram),
            gap: family::Family::new_with_constructor(gap_histogram),
            stall: family::Family::new_with_constructor(wait_histogram),
            answer: family::Family::new_with_constructor(wait_histogram),
            tokens: family::Family::default(),
            ended: family::Family::default(),
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
            metrics.gap.clone(),
        );
        registry.register(
            "stall_seconds",
            "Time that one stream stood still beyond what is allowed, at its end",
            metrics.stall.clone(),
        );
        registry.register(
            "answer_seconds",
            "Time from a call to the end of its answer, streamed or whole",
            metrics.answer.clone(),
        );
        registry.register(
            "tokens",
            "Tokens given to callers' connections",
            metrics.tokens.clone(),
        );
        registry.register("calls", "Calls that ended", metrics.ended.clone());
        registry.register(
            "problems",
            "Calls and requests that ended in a problem",
            metrics.problems.clone(),
        );
        metrics
    }

    /// Starts to measure a call that came at `now`.
    pub fn start(&self, now: time::Timestamp, labels: labels::CallerLabels) -> CallMeter {
        CallMeter::new(self.clone(), labels, now)
    }

    /// Counts a problem.
    pub fn record_problem(&self, code: &'static str) {
        self.problems.get_or_create(&CodeLabels { code }).inc();
    }

    /// Returns the histogram of first tokens.
    pub(super) fn first_token(&self, labels: &labels::CallerLabels) -> histogram::Histogram {
        self.first_token.get_or_create_owned(labels)
    }

    /// Returns the histogram of gaps.
    pub(super) fn gap(&self, labels: &labels::CallerLabels) -> histogram::Histogram {
        self.gap.get_or_create_owned(labels)
    }

    /// Returns the histogram of stalls.
    pub(super) fn stall(&self, labels: &labels::CallerLabels) -> histogram::Histogram {
        self.stall.get_or_create_owned(labels)
    }

    /// Returns the histogram of whole answers.
    pub(super) fn answer(&self, labels: &labels::CallerLabels) -> histogram::Histogram {
        self.answer.get_or_create_owned(labels)
    }

    /// Returns the counter of tokens.
    pub(super) fn tokens(&self, labels: &labels::CallerLabels) -> counter::Counter {
        self.tokens.get_or_create_owned(labels)
    }

    /// Counts the end of a call.
    pub(super) fn record_end(&self, labels: &labels::CallerLabels, outcome: &str) {
        let labels = OutcomeLabels {
            organisation: labels.organisation.clone(),
            class: labels.class.clone(),
            outcome: outcome.into(),
        };
        self.ended.get_or_create(&labels).inc();
    }
}

fn wait_histogram() -> histogram::Histogram {
    histogram::Histogram::new(WAIT_BUCKETS)
}

fn gap_histogram() -> histogram::Histogram {
    histogram::Histogram::new(GAP_BUCKETS)
}
