//! Reports limits of targets to the decision log.

use kingcupfall_core::ids;
use kingcupfall_core::measures;

use super::state::RelayState;
use crate::dispatch;
use crate::telemetry;

/// Writes a changed limit to the log.
pub(super) fn record_change(
    state: &RelayState,
    target: &ids::TargetName,
    limit: Option<measures::RequestRate>,
    source: dispatch::LimitSource,
) {
    let kind = match limit {
        Some(_) => telemetry::RecordKind::TargetLimited,
        None => telemetry::RecordKind::TargetUnlimited,
    };
    let record = telemetry::DecisionRecord::new(kind)
        .target(target)
        .outcome(source.label())
        .limit(limit);
    state.record(&record);
}
