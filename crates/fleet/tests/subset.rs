//! Choice of the targets that a gateway keeps links to.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use kingcupfall_core::ids;
use kingcupfall_fleet::subset;

const SUBSET: usize = 64;
const ZONES: usize = 28;
const TARGETS: usize = 2_500;

fn candidates(count: usize) -> Vec<subset::TargetCandidate> {
    let candidate = |index: usize| subset::TargetCandidate {
        target: format!("engine-{index}").parse().unwrap(),
        zone: zone(index),
    };
    (0..count).map(candidate).collect()
}

fn zone(index: usize) -> ids::ZoneName {
    format!("zone-{}", index % ZONES).parse().unwrap()
}

fn vm(index: usize) -> ids::VmName {
    format!("vm-{index}").parse().unwrap()
}

fn choose(gateway: usize, candidates: &[subset::TargetCandidate]) -> BTreeSet<ids::TargetName> {
    let chosen = subset::choose_targets(&vm(gateway), &zone(gateway), candidates, SUBSET);
    chosen.into_iter().collect()
}

#[test]
fn subset_is_mostly_of_the_own_zone() {
    let candidates = candidates(TARGETS);
    let chosen = choose(3, &candidates);

    let is_own = |candidate: &&subset::TargetCandidate| {
        candidate.zone == zone(3) && chosen.contains(&candidate.target)
    };
    assert_eq!(chosen.len(), SUBSET);
    assert_eq!(candidates.iter().filter(is_own).count(), SUBSET * 3 / 4);
}

#[test]
fn subset_of_few_targets_is_all_of_them() {
    let candidates = candidates(10);

    assert_eq!(choose(3, &candidates).len(), 10);
}

#[test]
fn subset_without_the_own_zone_comes_from_others() {
    let mut candidates = candidates(TARGETS);
    candidates.retain(|candidate| candidate.zone != zone(3));

    assert_eq!(choose(3, &candidates).len(), SUBSET);
}

#[test]
fn subset_changes_by_one_when_a_target_goes() {
    let all = candidates(TARGETS);
    for gateway in 0..20 {
        let before = choose(gateway, &all);
        let lost = before.iter().nth(gateway).unwrap().clone();
        let mut rest = all.clone();
        rest.retain(|candidate| candidate.target != lost);

        let after = choose(gateway, &rest);
        assert_eq!(before.difference(&after).count(), 1);
        assert_eq!(after.difference(&before).count(), 1);
    }
}

#[test]
fn subsets_cover_all_targets_evenly() {
    let candidates = candidates(TARGETS);
    let mut links: BTreeMap<ids::TargetName, u32> = BTreeMap::new();
    for gateway in 0..2_600 {
        for target in choose(gateway, &candidates) {
            *links.entry(target).or_default() += 1;
        }
    }

    // On average 66.6 links a target.
    assert_eq!(links.len(), TARGETS);
    assert!(links.values().all(|count| (30..130).contains(count)));
}

#[test]
fn readers_change_by_one_when_one_goes() {
    let members: Vec<ids::ProcessId> = (1..94).map(ids::ProcessId::from_u128).collect();
    let before = subset::reader_order(&zone(1), members.clone());
    let rest = members.into_iter().filter(|member| *member != before[1]);
    let after = subset::reader_order(&zone(1), rest.collect());

    assert_eq!(after[..2], [before[0], before[2]]);
}
