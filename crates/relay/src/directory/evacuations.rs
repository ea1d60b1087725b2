//! Which availability zones are evacuated, merged from the directory and from what peers report.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use serde::Deserialize;
use serde::Serialize;

use super::DirectoryRevision;

/// Time after the first list of an era for which an evacuation stays in force that the directory
/// lacks after its return from an older copy of itself. The operator writes it again, as the platform
/// states within about two seconds.
const REWRITE_GRACE: Duration = Duration::from_millis(2_500);

/// Maximum number of zones that are known. A deployment has a few; the limit bounds what malformed
/// messages of peers can add.
const MAX_ZONES: usize = 256;

/// Whether a zone is evacuated, as of a revision of the directory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneEvacuation {
    /// Name of the availability zone.
    #[serde(rename = "z")]
    pub zone: ids::ZoneName,
    /// Latest directory revision at which this is known to hold.
    #[serde(rename = "r")]
    pub revision: DirectoryRevision,
    /// Whether nothing may be sent to targets of the zone.
    #[serde(rename = "e")]
    pub is_evacuated: bool,
}

/// What is known of one zone.
#[derive(Debug, Clone, Copy)]
struct ZoneState {
    revision: DirectoryRevision,
    is_evacuated: bool,
    /// Revision of a list that lacks the evacuation, and when it ends unless it is written again.
    withdrawn_by: Option<(DirectoryRevision, time::Timestamp)>,
}

/// Evacuations by zone. Later revisions replace earlier ones, wherever they come from.
#[derive(Debug, Default)]
pub struct EvacuationTable {
    zones: BTreeMap<ids::ZoneName, ZoneState>,
    /// Revision of the last list, and when the first one of its era was read.
    listed: Option<(DirectoryRevision, time::Timestamp)>,
}

impl EvacuationTable {
    /// Returns all that is known, for peers.
    pub fn entries(&self) -> Vec<ZoneEvacuation> {
        let zones = self.zones.iter();
        zones.map(|(zone, state)| entry(zone, *state)).collect()
    }

    /// Returns whether a zone is evacuated.
    pub fn is_evacuated(&self, zone: &ids::ZoneName) -> bool {
        self.zones.get(zone).is_some_and(|state| state.is_evacuated)
    }

    /// Returns the zones that are evacuated.
    pub fn evacuated_zones(&self) -> BTreeSet<ids::ZoneName> {
        let evacuated = self.zones.iter().filter(|(_, state)| state.is_evacuated);
        evacuated.map(|(zone, _)| zone.clone()).collect()
    }

    /// Applies the complete list of evacuated zones as of `revision`, each with the revision at
    /// which it was written. Zones that the list lacks are withdrawn. Ignores a list that is older
    /// than the last one. Returns the zones whose state changed, or was confirmed within the grace
    /// period after the directory's return.
    pub fn apply_list(
        &mut self,
        now: time::Timestamp,
        revision: DirectoryRevision,
        evacuated: &[(ids::ZoneName, DirectoryRevision)],
    ) -> Vec<ZoneEvacuation> {
        if self.listed.is_some_and(|(listed, _)| revision < listed) {
            return Vec::new();
        }
        let era_began = match self.listed {
            Some((listed, at)) if listed.era() == revision.era() => at,
            Some(_) | None => now,
        };
        self.listed = Some((revision, era_began));
        let mut changes = Vec::new();
        for (zone, written) in evacuated {
            // The pages of a list are not one snapshot, so an item may be newer than the list.
            let state = ZoneState {
                revision: revision.max(*written),
                is_evacuated: true,
                withdrawn_by: None,
            };
            changes.extend(self.set(zone, state));
        }
        let is_listed = |zone: &ids::ZoneName| evacuated.iter().any(|(name, _)| name == zone);
        let missing: Vec<_> = self
            .zones
            .iter()
            .filter(|(zone, state)| state.revision <= revision && !is_listed(zone))
            .map(|(zone, state)| (zone.clone(), *state))
            .collect();
        for (zone, state) in missing {
            let is_restored = state.revision.era() < revision.era();
            let state = match state.is_evacuated && is_restored {
                true => ZoneState {
                    withdrawn_by: Some((revision, era_began + REWRITE_GRACE)),
                    ..state
                },
                false => withdrawn(revision),
            };
            changes.extend(self.set(&zone, state));
        }
        changes
    }

    /// Applies changes of single zones, from the directory or from a peer. Returns the zones whose
    /// state changed, or was confirmed within the grace period after the directory's return.
    pub fn apply_changes(
        &mut self,
        now: time::Timestamp,
        updates: &[ZoneEvacuation],
    ) -> Vec<ZoneEvacuation> {
        let updates = updates.iter();
        updates
            .filter_map(|update| self.apply_change(now, update))
            .collect()
    }

    fn apply_change(
        &mut self,
        now: time::Timestamp,
        update: &ZoneEvacuation,
    ) -> Option<ZoneEvacuation> {
        let mut state = ZoneState {
            revision: update.revision,
            is_evacuated: update.is_evacuated,
            withdrawn_by: None,
        };
        match (self.zones.get(&update.zone), self.listed) {
            (Some(known), _) if known.revision >= update.revision => return None,
            (Some(known), _) => {
                // A change of the era before the list does not end the grace period that it began.
                let grace = known.withdrawn_by;
                state.withdrawn_by = grace.filter(|(listed, _)| update.revision < *listed);
            }
            (None, Some((listed, at))) if update.revision <= listed => {
                let grace_end = at + REWRITE_GRACE;
                let is_restored = update.revision.era() < listed.era();
                match update.is_evacuated && is_restored && now < grace_end {
                    true => state.withdrawn_by = Some((listed, grace_end)),
                    // Keeps that the zone was withdrawn, so that the sender learns of it.
                    false => state = withdrawn(listed),
                }
            }
            (None, _) => {}
        }
        self.set(&update.zone, state)
    }

    /// Withdraws the evacuations that have not been written again within the grace period after the
    /// directory's return. Returns the zones whose state changed.
    pub fn remove_expired(&mut self, now: time::Timestamp) -> Vec<ZoneEvacuation> {
        let expired: Vec<_> = self
            .zones
            .iter()
            .filter_map(|(zone, state)| {
                let (revision, grace_end) = state.withdrawn_by?;
                (now >= grace_end).then(|| (zone.clone(), revision))
            })
            .collect();
        let changes = expired.into_iter();
        changes
            .filter_map(|(zone, revision)| self.set(&zone, withdrawn(revision)))
            .collect()
    }

    /// Replaces the state of a zone unless the known one is newer. Returns it if it differs in whether
    /// the zone is evacuated, or if it ends a grace period: peers in theirs have to learn of that
    /// sooner than from a heartbeat.
    fn set(&mut self, zone: &ids::ZoneName, state: ZoneState) -> Option<ZoneEvacuation> {
        let known = self.zones.get(zone).copied();
        let is_outdated = known.is_some_and(|known| known.revision > state.revision);
        if is_outdated {
            return None;
        }
        if known.is_none() && self.zones.len() >= MAX_ZONES {
            self.zones.retain(|_, known| known.is_evacuated);
            if self.zones.len() >= MAX_ZONES {
                log::warn!("more than {MAX_ZONES} zones are evacuated, ignoring {zone}");
                return None;
            }
        }
        self.zones.insert(zone.clone(), state);
        let was_evacuated = known.is_some_and(|known| known.is_evacuated);
        let had_grace = known.is_some_and(|known| known.withdrawn_by.is_some());
        let is_written_again = had_grace && state.withdrawn_by.is_none();
        (was_evacuated != state.is_evacuated || is_written_again).then(|| entry(zone, state))
    }
}

const fn withdrawn(revision: DirectoryRevision) -> ZoneState {
    ZoneState {
        revision,
        is_evacuated: false,
        withdrawn_by: None,
    }
}

fn entry(zone: &ids::ZoneName, state: ZoneState) -> ZoneEvacuation {
    ZoneEvacuation {
        zone: zone.clone(),
        revision: state.revision,
        is_evacuated: state.is_evacuated,
    }
}
