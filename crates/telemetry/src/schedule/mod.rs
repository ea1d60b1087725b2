//! Metrics of an agent's scheduling decisions and of its engine's load.

use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter;
use prometheus_client::metrics::family;
use prometheus_client::metrics::gauge;
use prometheus_client::metrics::histogram;

use crate::labels;
use crate::registry;

/// Bucket bounds for queue delays, in seconds.
const QUEUE_DELAY_BUCKETS_S: [f64; 13] = [
    0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 2.5, 5.0, 10.0, 20.0, 40.0, 80.0,
];

/// Label of the counter of refusals.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RefusalLabels {
    /// Stable code of the refusal.
    pub code: &'static str,
}

type HistogramFamily =
    family::Family<labels::CallerLabels, histogram::Histogram, fn() -> histogram::Histogram>;

/// Metrics of an agent's scheduler and of its target.
#[derive(Debug, Clone)]
pub struct ScheduleMetrics {
    queue_delay: HistogramFamily,
    refusals: family::Family<RefusalLabels, counter::Counter>,
    /// Number of times that the agent has paused a stream.
    pub pauses: counter::Counter,
    /// Number of times that the engine has preempted a stream.
    pub preemptions: counter::Counter,
    /// Streams that are running now.
    pub running: gauge::Gauge,
    /// Streams that are paused by the agent now.
    pub paused: gauge::Gauge,
    /// Attempts that are waiting for admission now.
    pub queued: gauge::Gauge,
    /// Key-value memory of the engine that is in use, in tokens.
    pub memory_used: gauge::Gauge,
    /// Total key-value memory of the engine, in tokens.
    pub memory_total: gauge::Gauge,
}

impl ScheduleMetrics {
    /// Creates the metrics and adds them to `registry`.
    pub fn register(registry: &mut registry::MetricRegistry) -> Self {
        let metrics = Self {
            queue_delay: family::Family::new_with_constructor(queue_histogram),
            refusals: family::Family::default(),
            pauses: counter::Counter::default(),
            preemptions: counter::Counter::default(),
            running: gauge::Gauge::default(),
            paused: gauge::Gauge::default(),
            queued: gauge::Gauge::default(),
            memory_used: gauge::Gauge::default(),
            memory_total: gauge::Gauge::default(),
        };

        metrics.register_counters(registry);
        metrics.register_gauges(registry);
        metrics
    }

    /// Records that an attempt was admitted after waiting for `wait`.
    pub fn record_admission(&self, labels: &labels::CallerLabels, wait: Duration) {
        self.queue_delay
            .get_or_create(labels)
            .observe(wait.as_secs_f64());
    }

    /// Counts an attempt that the agent refused with `code`.
    pub fn record_refusal(&self, code: &'static str) {
        self.refusals.get_or_create(&RefusalLabels { code }).inc();
    }

    fn register_counters(&self, registry: &mut registry::MetricRegistry) {
        registry.register(
            "queue_delay_seconds",
            "Time from an attempt's arrival to its admission",
            self.queue_delay.clone(),
        );
        registry.register(
            "refusals",
            "Attempts that the agent refused",
            self.refusals.clone(),
        );
        registry.register(
            "pauses",
            "Streams that the agent paused",
            self.pauses.clone(),
        );
        registry.register(
            "preemptions",
            "Streams that the engine preempted",
            self.preemptions.clone(),
        );
    }

    fn register_gauges(&self, registry: &mut registry::MetricRegistry) {
        registry.register("streams_running", "Streams that run", self.running.clone());
        registry.register(
            "streams_paused",
            "Streams that the agent has paused",
            self.paused.clone(),
        );
        registry.register(
            "attempts_queued",
            "Attempts that wait for admission",
            self.queued.clone(),
        );
        registry.register(
            "memory_used_tokens",
            "Key-value memory in use",
            self.memory_used.clone(),
        );
        registry.register(
            "memory_total_tokens",
            "Total key-value memory",
            self.memory_total.clone(),
        );
    }
}

fn queue_histogram() -> histogram::Histogram {
    histogram::Histogram::new(QUEUE_DELAY_BUCKETS_S)
}
