//! Registry of the metrics of one process, and their text format.

use prometheus_client::encoding::text;
use prometheus_client::registry;

/// Media type of the text that [`MetricRegistry::encode`] returns.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

const METRIC_PREFIX: &str = "kingcupfall";

/// The registered metrics of one process.
#[derive(Debug)]
pub struct MetricRegistry {
    registry: registry::Registry,
}

impl Default for MetricRegistry {
    fn default() -> Self {
        Self {
            registry: registry::Registry::with_prefix(METRIC_PREFIX),
        }
    }
}

impl MetricRegistry {
    /// Adds a metric. In the text format, its name starts with `kingcupfall_`, and the name of a
    /// counter also ends with `_total`.
    pub fn register(&mut self, name: &str, help: &str, metric: impl registry::Metric) {
        self.registry.register(name, help, metric);
    }

    /// Returns all metrics in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        let mut encoded = String::new();
        text::encode(&mut encoded, &self.registry).expect("writing to a string cannot fail");
        encoded
    }
}
