//! What an evacuation of an availability zone means for its targets: they get nothing new, and what
//! runs there continues to its end.

use std::collections::BTreeSet;
use std::net;

use kingcupfall_core::ids;
use kingcupfall_core::time;

use super::CallDemand;
use super::DispatchEffect;
use super::Dispatcher;
use super::targets;
use crate::directory;

impl targets::TargetEntry {
    /// Returns whether the target gets new work: it stays, and its zone is not evacuated.
    pub(super) fn takes_work(&self) -> bool {
        !self.is_leaving && !self.is_evacuated
    }

    /// Returns whether the target gets new work and is one of those that may run a call.
    pub(super) fn may_run(&self, demand: &CallDemand) -> bool {
        self.record.service == demand.service && self.standing_obstacle(demand).is_none()
    }
}

impl Dispatcher {
    /// Replaces the set of evacuated zones. Copies in these zones are dropped, calls that wait are
    /// placed elsewhere, and those for which no target remains are refused.
    pub(super) fn handle_evacuations(
        &mut self,
        now: time::Timestamp,
        zones: BTreeSet<ids::ZoneName>,
        effects: &mut Vec<DispatchEffect>,
    ) {
        let previous = std::mem::replace(&mut self.evacuated_zones, zones);
        for entry in self.targets.values_mut() {
            entry.is_evacuated = self.evacuated_zones.contains(&entry.record.zone);
        }
        // Targets that got no requests for a while may have lost their caches.
        let withdrawn: Vec<_> = previous
            .difference(&self.evacuated_zones)
            .cloned()
            .collect();
        effects.extend(self.mark_cold(now, &withdrawn));
        self.drop_evacuated_copies(effects);
        self.refuse_without_target(effects);
        self.place_waiting(now, effects);
    }

    /// Drops the copies that streams have in evacuated zones. A stream whose memory migrates there
    /// now has no copy; it is not resumed there once the migration ends.
    fn drop_evacuated_copies(&mut self, effects: &mut Vec<DispatchEffect>) {
        for (call, placed) in &mut self.placed {
            let dropped = placed
                .copy_holder
                .take_if(|holder| self.evacuated_zones.contains(&holder.zone));
            if let Some(holder) = dropped {
                self.changed_targets.insert(holder.key.name.clone());
                effects.push(DispatchEffect::DropCopy {
                    call: *call,
                    holder: holder.key.clone(),
                });
            }
        }
    }

    /// Returns whether a target may receive a call, or a stream that is to be resumed there: it is
    /// in a zone that is not evacuated and that the call allows.
    pub fn may_receive(&self, target: &directory::TargetRecord, demand: &CallDemand) -> bool {
        !self.evacuated_zones.contains(&target.zone) && demand.allows_zone(&target.zone)
    }

    /// Returns whether an address belongs to a target of an evacuated zone.
    pub fn is_address_evacuated(&self, address: net::SocketAddr) -> bool {
        let mut evacuated = self.targets.values().filter(|entry| entry.is_evacuated);
        evacuated.any(|entry| entry.record.address == address)
    }

    /// Returns the number of evacuated zones.
    pub fn evacuated_zone_count(&self) -> usize {
        self.evacuated_zones.len()
    }

    /// Returns the number of this relay's streams that still run in evacuated zones.
    pub fn evacuated_stream_count(&self) -> usize {
        let streams = self.placed.values().filter(|placed| {
            placed.demand.engine.is_some() && self.evacuated_zones.contains(&placed.target.zone)
        });
        streams.count()
    }
}
