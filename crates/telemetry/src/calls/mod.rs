//! What callers see of their calls: first tokens, gaps, stalls and outcomes.

mod meter;
mod metrics;

pub use meter::CallMeter;
pub use meter::FIRST_TOKEN_ALLOWANCE;
pub use meter::GAP_ALLOWANCE;
pub use metrics::CallMetrics;
pub use metrics::CodeLabels;
pub use metrics::OutcomeLabels;
