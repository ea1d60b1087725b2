//! The active targets, from the configuration document and the VM list.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_fleet::subset;

use super::GatewayEffect;
use super::GatewayReducer;
use crate::state;

/// Number of targets that a gateway keeps links to, divided evenly among models and services.
const SUBSET_SIZE: usize = 64;

/// Minimum share of one model or service, even if the subset then exceeds [`SUBSET_SIZE`].
const MIN_TARGETS_PER_GROUP: usize = 16;

impl GatewayReducer {
    /// Replaces the list of targets.
    ///
    /// A target that is missing from the new list finishes its attempts but gets no new ones.
    pub(super) fn handle_targets_changed(
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
            self.apply_listing(now, listing, effects);
        }
        self.choose_subset();
        self.repair_links(now, effects);
    }

    /// Removes targets that are no longer listed and have no attempts in flight.
    pub(super) fn remove_unlisted(
        &mut self,
        now: time::Timestamp,
        effects: &mut Vec<GatewayEffect>,
    ) {
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

    /// Chooses a bounded number of targets per model and service to keep links to.
    fn choose_subset(&mut self) {
        let gateway_name: ids::VmName = self
            .identity
            .process
            .to_string()
            .parse()
            .expect("hexadecimal digits make a name");
        let groups = group_candidates(&self.targets);
        let size = (SUBSET_SIZE / groups.len().max(1)).max(MIN_TARGETS_PER_GROUP);

        let mut chosen = BTreeSet::new();
        for candidates in groups {
            let zone = &self.identity.zone;
            chosen.extend(subset::choose_targets(
                &gateway_name,
                zone,
                &candidates,
                size,
            ));
        }

        for name in self.targets.names() {
            if let Some(target) = self.targets.get_mut(&name) {
                target.in_subset = chosen.contains(&name);
            }
        }
    }

    /// Adds or updates one target; an open link to its previous address is dropped.
    fn apply_listing(
        &mut self,
        now: time::Timestamp,
        listing: state::TargetListing,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(target) = self.targets.get_mut(&listing.name) else {
            self.targets.insert(state::TargetState::new(listing, now));
            return;
        };

        let has_new_address = target.listing.address != listing.address;
        if listing.leaving {
            target.mark_leaving();
        }
        target.listing = listing;
        target.listed = true;

        let link = target.open_link();
        if let Some(link) = link.filter(|_| has_new_address) {
            self.drop_link(now, link, effects);
        }
    }
}

/// Returns the listed targets grouped by model and by service.
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
