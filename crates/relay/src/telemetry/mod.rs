//! The decision log and the metrics of the process.

mod gauges;
mod metrics;
mod records;
mod writer;

pub use gauges::GaugeValues;
pub use metrics::CallClass;
pub use metrics::RelayMetrics;
pub use records::DecisionRecord;
pub use records::RecordKind;
pub use writer::DecisionLog;
pub use writer::start_log;
