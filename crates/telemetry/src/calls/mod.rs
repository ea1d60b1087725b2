//! Metrics of calls as their callers see them: times to the first token, gaps between tokens,
//! stalls and outcomes.

mod meter;
mod metrics;

pub use meter::CallMeter;
pub use meter::FIRST_TOKEN_ALLOWANCE;
pub use meter::TOKEN_GAP_ALLOWANCE;
pub use metrics::CallMetrics;
pub use metrics::CodeLabels;
pub use metrics::OutcomeLabels;
