//! The metrics of one process, and their text.

use prometheus_client::encoding::text;
use prometheus_client::registry;

/// Media type of [`MetricRegistry::encode`].
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Prefix of every metric's name.
const PREFIX: &str = "kingcupfall";

/// All metrics of one process.
#[derive(Debug)]
pub struct MetricRegistry {
    registry: registry::Registry,
}

impl Default for MetricRegistry {
    fn default() -> Self {
        Self {
            registry: registry::Registry::with_prefix(PREFIX),
        }
    }
}

impl MetricRegistry {
    /// Adds a metric. The name gets the system's prefix, and a counter the suffix `_total`.
    pub fn register(&mut self, name: &str, help: &str, metric: impl registry::Metric) {
        self.registry.register(name, help, metric);
    }

    /// Writes all metrics in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        let mut encoded = String::new();
        text::encode(&mut encoded, &self.registry).expect("writing to a string can't fail");
        encoded
    }
}
