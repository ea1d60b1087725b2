//! Inputs of the placement policy: the request and the eligible targets.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_policy::place;

use super::CallRequest;
use super::placement::TARGET_SILENCE_TIMEOUT;
use crate::state;

pub(super) fn placement_request(
    request: &CallRequest,
    suspect: bool,
) -> place::PlacementRequest<'_> {
    let prefix = match &request.work {
        work::WorkRequest::Generation(generation) => Some(generation.prefix),
        work::WorkRequest::Service(_) => None,
    };
    place::PlacementRequest {
        tag: &request.tag,
        prompt_tokens: prompt_tokens(&request.work),
        prefix,
        suspect,
    }
}

pub(super) fn prompt_tokens(request: &work::WorkRequest) -> measures::TokenCount {
    match request {
        work::WorkRequest::Generation(generation) => generation.prompt_tokens,
        work::WorkRequest::Service(_) => measures::TokenCount::ZERO,
    }
}

/// Returns the targets that can run a call now.
///
/// Excludes the target that refused or lost the last attempt, unless it is the only eligible one.
pub(super) fn eligible_targets(
    now: time::Timestamp,
    targets: &state::TargetTable,
    state: &state::CallState,
) -> Vec<ids::TargetName> {
    let eligible: Vec<ids::TargetName> = targets
        .iter()
        .filter(|target| target.listing.serves.includes(&state.request.work))
        .filter(|target| target.obstacle(now, TARGET_SILENCE_TIMEOUT).is_none())
        .map(|target| target.listing.name.clone())
        .collect();

    let alternatives: Vec<ids::TargetName> = eligible
        .iter()
        .filter(|name| Some(*name) != state.avoided_target.as_ref())
        .cloned()
        .collect();
    match alternatives.is_empty() {
        true => eligible,
        false => alternatives,
    }
}

/// Returns the placement policy's view of each target in `names`, in the same order.
pub(super) fn target_views<'a>(
    now: time::Timestamp,
    targets: &'a state::TargetTable,
    names: &[ids::TargetName],
    zone: &ids::ZoneName,
) -> Vec<place::TargetView<'a>> {
    names
        .iter()
        .filter_map(|name| targets.get(name))
        .map(|target| target_view(now, target, zone))
        .collect()
}

pub(super) fn target_view<'a>(
    now: time::Timestamp,
    target: &'a state::TargetState,
    zone: &ids::ZoneName,
) -> place::TargetView<'a> {
    let distance = match target.listing.zone == *zone {
        true => place::ZoneDistance::Same,
        false => place::ZoneDistance::Other,
    };
    let load_age = target.clock.map_or(Duration::MAX, |clock| clock.age(now));

    place::TargetView {
        name: &target.listing.name,
        distance,
        load: &target.load,
        load_age,
        in_flight: u32::try_from(target.in_flight.len()).unwrap_or(u32::MAX),
        placed_attempts: target.placed_attempts,
        placed_tokens: target.placed_tokens,
    }
}
