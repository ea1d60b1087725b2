//! Rendezvous hashing: each process selects a stable few of many candidates, without agreement
//! between processes.

use kingcupfall_core::ids;
use xxhash_rust::xxh3;

/// Fraction of a subset that comes from the gateway's own zone if that has enough candidates.
const OWN_ZONE_FRACTION: f64 = 0.75;

/// A target that a gateway may keep a link to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetCandidate {
    /// Name of the target.
    pub target: ids::TargetName,
    /// Zone of the target.
    pub zone: ids::ZoneName,
}

/// Returns the rendezvous weight of `candidate` for `chooser`, which selects the candidates with
/// the highest weights.
pub fn weight(chooser: &str, candidate: &str) -> u64 {
    let seed = xxh3::xxh3_64(chooser.as_bytes());
    xxh3::xxh3_64_with_seed(candidate.as_bytes(), seed)
}

/// Selects the targets of one model or service that the gateway on `vm` keeps links to.
///
/// Three quarters come from the gateway's own zone and the rest from other zones, so that working
/// links remain after the loss of a zone. If one side has too few candidates, the other side fills
/// the remaining places. When a candidate is added or removed, at most one other place of the
/// subset changes.
pub fn choose_targets(
    vm: &ids::VmName,
    zone: &ids::ZoneName,
    candidates: &[TargetCandidate],
    size: usize,
) -> Vec<ids::TargetName> {
    let is_in_own_zone = |candidate: &&TargetCandidate| candidate.zone == *zone;
    let own: Vec<&TargetCandidate> = candidates.iter().filter(is_in_own_zone).collect();
    let other: Vec<&TargetCandidate> = candidates
        .iter()
        .filter(|candidate| !is_in_own_zone(candidate))
        .collect();

    let own_share = (size as f64 * OWN_ZONE_FRACTION).ceil() as usize;
    let own_size = own_share.max(size.saturating_sub(other.len()));
    let mut chosen = highest_weighted(vm, own, own_size);
    let remaining = size.saturating_sub(chosen.len());
    chosen.extend(highest_weighted(vm, other, remaining));
    chosen
}

/// Orders the gateways of a zone by rendezvous weight. The first few are the zone's readers.
pub fn reader_order(zone: &ids::ZoneName, mut members: Vec<ids::ProcessId>) -> Vec<ids::ProcessId> {
    let weight_of = |member: &ids::ProcessId| weight(zone.as_str(), &member.to_string());
    members.sort_by_cached_key(|member| std::cmp::Reverse(weight_of(member)));
    members
}

/// Returns the `count` VMs with the highest weights for `chooser`, highest first.
pub fn highest_weighted_vms<'a>(
    chooser: &ids::VmName,
    vms: impl Iterator<Item = &'a ids::VmName>,
    count: usize,
) -> Vec<ids::VmName> {
    let mut vms: Vec<&ids::VmName> = vms.collect();
    vms.sort_by_cached_key(|vm| std::cmp::Reverse(weight(chooser.as_str(), vm.as_str())));
    vms.into_iter().take(count).cloned().collect()
}

fn highest_weighted(
    vm: &ids::VmName,
    mut candidates: Vec<&TargetCandidate>,
    count: usize,
) -> Vec<ids::TargetName> {
    candidates.sort_by_cached_key(|candidate| {
        std::cmp::Reverse(weight(vm.as_str(), candidate.target.as_str()))
    });
    candidates
        .into_iter()
        .take(count)
        .map(|candidate| candidate.target.clone())
        .collect()
}
