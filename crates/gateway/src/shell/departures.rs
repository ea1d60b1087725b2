//! VMs that the fleet has reported as leaving.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;

/// Time for which the targets on a leaving VM are listed as leaving.
///
/// Within it, the reducer permanently marks the agents' incarnations that it knows as leaving. An
/// incarnation that appears later is taken to run on a new VM that reuses the name. If it runs on
/// the leaving VM after all, its agent refuses new work, since the fleet has notified the agent as
/// well.
const DEPARTURE_RETENTION: Duration = Duration::from_secs(60);

/// Leaving VMs, each with the time at which its entry expires.
#[derive(Debug, Default)]
pub struct DepartureTable {
    expires_at: BTreeMap<ids::VmName, time::Timestamp>,
    vms: BTreeSet<ids::VmName>,
}

impl DepartureTable {
    /// Adds VMs that were newly reported as leaving.
    pub fn add(&mut self, now: time::Timestamp, vms: Vec<ids::VmName>) {
        for vm in vms {
            self.expires_at
                .insert(vm.clone(), now + DEPARTURE_RETENTION);
            self.vms.insert(vm);
        }
    }

    /// Returns the VMs that count as leaving.
    pub fn vms(&self) -> &BTreeSet<ids::VmName> {
        &self.vms
    }

    /// Removes the VMs whose entries have expired, and returns true if there were any.
    pub fn remove_expired(&mut self, now: time::Timestamp) -> bool {
        let before = self.expires_at.len();
        self.expires_at.retain(|_, expires_at| *expires_at > now);
        self.vms.retain(|vm| self.expires_at.contains_key(vm));
        self.expires_at.len() < before
    }
}
