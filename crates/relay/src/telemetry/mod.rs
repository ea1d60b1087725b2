//! Decision records and metrics.

mod metrics;
mod records;
mod writer;

pub use metrics::CallClass;
pub use metrics::MetricsState;
pub use metrics::RelayMetrics;
pub use records::DecisionRecord;
pub use records::RecordKind;
pub use writer::LogStream;
pub use writer::start;
