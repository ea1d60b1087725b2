//! The targets in force, from the document and the VM list.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_fleet::subset;

use super::GatewayEffect;
use super::GatewayReducer;
use crate::state;

/// Targets that a gateway keeps links to, divided among models and services.
const SUBSET_TARGETS: usize = 64;

/// Targets of one model or service that a gateway keeps links to, however many there are.
const LEAST_GROUP_TARGETS: usize = 16;

impl GatewayReducer {
    /// Replaces the list of targets. One that is missing is left, but finishes what it has.
    pub(super) fn take_targets(
        &mut self,
        now: time::Timestamp,
        listings: Vec<state::TargetListing>,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let names: BTreeSet<ids::TargetName> = listings
            .iter()
            .map(|listing| listing.name.clone())
            .collect();
        for name in self.targets.names() {
            if let Some(target) = self.targets.get_mut(&name)
                && !names.contains(&name)
            {
                target.listed = false;
            }
        }

        for listing in listings {
            self.take_listing(now, listing, effects);
        }
        self.choose_subset();
        self.mend_links(now, effects);
    }

    /// Drops targets that are no longer listed and have nothing left to do.
    pub(super) fn drop_unlisted(&mut self, now: time::Timestamp, effects: &mut Vec<GatewayEffect>) {
        let idle: Vec<ids::TargetName> = self
            .targets
            .iter()
            .filter(|target| !target.listed && target.in_flight.is_empty())
            .map(|target| target.listing.name.clone())
            .collect();

        for name in idle {
            let link = self
                .targets
                .get(&name)
                .and_then(|target| target.open_link());
            if let Some(link) = link {
                self.drop_link(now, link, effects);
            }
            self.targets.remove(&name);
        }
    }

    /// Chooses the targets that this gateway keeps links to: a bounded number of each kind.
    fn choose_subset(&mut self) {
        let chooser: ids::VmName = self
            .identity
            .process
            .to_string()
            .parse()
            .expect("hexadecimal digits make a name");
        let groups = group_candidates(&self.targets);
        let size = (SUBSET_TARGETS / groups.len().max(1)).max(LEAST_GROUP_TARGETS);

        let mut chosen = BTreeSet::new();
        for candidates in groups {
            let zone = &self.identity.zone;
            chosen.extend(subset::choose_targets(&chooser, zone, &candidates, size));
        }

        for name in self.targets.names() {
            if let Some(target) = self.targets.get_mut(&name) {
                target.chosen = chosen.contains(&name);
            }
        }
    }

    fn take_listing(
        &mut self,
        now: time::Timestamp,
        listing: state::TargetListing,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(target) = self.targets.get_mut(&listing.name) else {
            self.targets.insert(state::TargetState::new(listing, now));
            return;
        };

        let has_moved = target.listing.address != listing.address;
        if listing.leaving {
            target.mark_leaving();
        }
        target.listing = listing;
        target.listed = true;

        let link = target.open_link();
        if let Some(link) = link.filter(|_| has_moved) {
            self.drop_link(now, link, effects);
        }
    }
}

/// Returns the listed targets of each model and of each service.
fn group_candidates(targets: &state::TargetTable) -> Vec<Vec<subset::TargetCandidate>> {
    let mut groups: BTreeMap<String, Vec<subset::TargetCandidate>> = BTreeMap::new();
    for target in targets.iter().filter(|target| target.listed) {
        let candidate = subset::TargetCandidate {
            target: target.listing.name.clone(),
            zone: target.listing.zone.clone(),
        };
        for group in group_names(&target.listing.serves) {
            groups.entry(group).or_default().push(candidate.clone());
        }
    }
    groups.into_values().collect()
}

fn group_names(serves: &state::ServedWork) -> Vec<String> {
    match serves {
        state::ServedWork::Models(models) => models
            .iter()
            .map(|model| format!("model {model}"))
            .collect(),
        state::ServedWork::Service(service) => vec![format!("service {service}")],
    }
}
