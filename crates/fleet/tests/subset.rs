//! Selection of the targets that a gateway keeps links to, and of the readers of a zone.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use kingcupfall_core::ids;
use kingcupfall_fleet::subset;

const SUBSET_SIZE: usize = 64;
const ZONE_COUNT: usize = 28;
const TARGET_COUNT: usize = 2_500;

fn candidates(count: usize) -> Vec<subset::TargetCandidate> {
    let candidate = |index: usize| subset::TargetCandidate {
        target: format!("engine-{index}").parse().unwrap(),
        zone: zone(index),
    };
    (0..count).map(candidate).collect()
}

fn zone(index: usize) -> ids::ZoneName {
    format!("zone-{}", index % ZONE_COUNT).parse().unwrap()
}

fn vm(index: usize) -> ids::VmName {
    format!("vm-{index}").parse().unwrap()
}

fn choose(gateway: usize, candidates: &[subset::TargetCandidate]) -> BTreeSet<ids::TargetName> {
    let chosen = subset::choose_targets(&vm(gateway), &zone(gateway), candidates, SUBSET_SIZE);
    chosen.into_iter().collect()
}

#[test]
fn three_quarters_of_a_subset_are_in_the_zone_of_the_gateway() {
    let candidates = candidates(TARGET_COUNT);
    let chosen = choose(3, &candidates);

    let is_own = |candidate: &&subset::TargetCandidate| {
        candidate.zone == zone(3) && chosen.contains(&candidate.target)
    };
    assert_eq!(chosen.len(), SUBSET_SIZE);
    assert_eq!(
        candidates.iter().filter(is_own).count(),
        SUBSET_SIZE * 3 / 4
    );
}

#[test]
fn subset_of_few_targets_contains_all_of_them() {
    let candidates = candidates(10);

    assert_eq!(choose(3, &candidates).len(), 10);
}

#[test]
fn subset_comes_from_other_zones_if_the_zone_of_the_gateway_has_no_targets() {
    let mut candidates = candidates(TARGET_COUNT);
    candidates.retain(|candidate| candidate.zone != zone(3));

    assert_eq!(choose(3, &candidates).len(), SUBSET_SIZE);
}

#[test]
fn subset_changes_by_one_target_when_one_is_removed() {
    let all = candidates(TARGET_COUNT);
    for gateway in 0..20 {
        let before = choose(gateway, &all);
        let lost = before.iter().nth(gateway).unwrap().clone();
        let mut remaining = all.clone();
        remaining.retain(|candidate| candidate.target != lost);

        let after = choose(gateway, &remaining);
        assert_eq!(before.difference(&after).count(), 1);
        assert_eq!(after.difference(&before).count(), 1);
    }
}

#[test]
fn subsets_distribute_links_evenly_over_all_targets() {
    let candidates = candidates(TARGET_COUNT);
    let mut links: BTreeMap<ids::TargetName, u32> = BTreeMap::new();
    for gateway in 0..2_600 {
        for target in choose(gateway, &candidates) {
            *links.entry(target).or_default() += 1;
        }
    }

    // The mean is 66.6 links per target: 2,600 gateways with 64 links each to 2,500 targets.
    assert_eq!(links.len(), TARGET_COUNT);
    assert!(links.values().all(|count| (30..130).contains(count)));
}

#[test]
fn readers_change_by_one_when_one_is_removed() {
    let members: Vec<ids::ProcessId> = (1..94).map(ids::ProcessId::from_u128).collect();
    let before = subset::reader_order(&zone(1), members.clone());
    let remaining = members.into_iter().filter(|member| *member != before[1]);
    let after = subset::reader_order(&zone(1), remaining.collect());

    assert_eq!(after[..2], [before[0], before[2]]);
}
