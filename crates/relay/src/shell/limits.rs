//! Shares the limits of targets, and the requests to cold ones, among the relays, and reports their
//! changes to the decision log.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_policy::limit;

use super::state::RelayState;
use crate::directory;
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
    if !limits.is_empty() {
        let shares = collect_shares(state, limits, own_share);
        state.submit(dispatch::DispatchEvent::LimitSharesChanged(shares));
    }
    let cold = state.with_dispatcher(|dispatcher, _| dispatcher.shared_cold_limits());
    if !cold.is_empty() {
        let shares = collect_shares(state, cold, own_cold_share);
        state.submit(dispatch::DispatchEvent::ColdSharesChanged(shares));
    }
}

fn collect_shares(
    state: &RelayState,
    limits: Vec<dispatch::SharedLimit>,
    share: impl Fn(&RelayState, &dispatch::SharedLimit) -> limit::TokenRate,
) -> Vec<(directory::TargetKey, limit::TokenRate)> {
    let shares = limits.into_iter().map(|limit| {
        let share = share(state, &limit);
        (limit.target, share)
    });
    shares.collect()
}

/// Returns this relay's share of the requests to a cold target. It does not depend on the demand of
/// the relays, which those that can't reach each other do not know.
fn own_cold_share(state: &RelayState, shared: &dispatch::SharedLimit) -> limit::TokenRate {
    let now = state.now();
    let members = state.members.borrow();
    let Some(place) = members.cold_rank(now, &shared.target.name, shared.is_cell_only) else {
        return limit::TokenRate::default();
    };
    let sharers = dispatch::LimitSharers {
        relays: place.relays,
        rank: place.rank,
        demand_share: None,
    };
    let bounds = state.settings.borrow().cold_bounds;
    bounds.share(shared.limit, &sharers)
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

/// Writes to the log which targets became cold or are no longer, and updates the shares.
pub(super) fn record_cold_changes(state: &RelayState, changes: &[dispatch::ColdChange]) {
    for change in changes {
        let record = match change.began {
            Some((limit, time)) => {
                telemetry::DecisionRecord::new(telemetry::RecordKind::TargetCold)
                    .limit(Some(limit))
                    .after(time)
            }
            None => telemetry::DecisionRecord::new(telemetry::RecordKind::TargetWarm),
        };
        state.record(&record.target(&change.target));
    }
    if changes.iter().any(|change| change.began.is_some()) {
        update_shares(state);
    }
}
