//! Shares the limits of targets among the relays, and reports their changes to the decision log.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_policy::limit;

use super::state::RelayState;
use crate::dispatch;
use crate::telemetry;

/// Interval at which shares follow the number of relays and their requests.
const SHARE_INTERVAL: Duration = Duration::from_millis(500);

/// Updates this relay's shares of limits, if they have not been updated for some time.
pub(super) fn update_shares_regularly(state: &RelayState) {
    let age = state.now().since(state.limits_shared_at.get());
    if age >= SHARE_INTERVAL {
        update_shares(state);
    }
}

/// Updates this relay's shares of limits.
fn update_shares(state: &RelayState) {
    state.limits_shared_at.set(state.now());
    let limits = state.with_dispatcher(|dispatcher, _| dispatcher.shared_limits());
    if limits.is_empty() {
        return;
    }
    let shares = limits
        .into_iter()
        .map(|limit| {
            let share = own_share(state, &limit);
            (limit.target, share)
        })
        .collect();
    state.submit(dispatch::DispatchEvent::LimitSharesChanged(shares));
}

fn own_share(state: &RelayState, shared: &dispatch::SharedLimit) -> limit::TokenRate {
    if !shared.is_usable {
        return limit::TokenRate::default();
    }
    let (relays, rank) = state
        .members
        .borrow()
        .sharing_rank(&shared.target.name, shared.is_cell_only);
    let sharers = dispatch::LimitSharers {
        relays,
        rank,
        demand_share: state.demand_share(&shared.service),
    };
    sharers.share(shared.limit)
}

/// Writes a changed limit to the log, and updates the shares.
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
    update_shares(state);
}
