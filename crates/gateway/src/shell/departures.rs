//! VMs that the fleet has said to leave.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;

/// Time for which a VM's targets are listed as leaving.
///
/// The reducer holds the departure against the lives of the agents that it knows meanwhile, for
/// good. A later life is on a VM that was replaced under its old name; if it is not, the fleet has
/// told the agent itself, which refuses new work.
const DEPARTURE_RETENTION: Duration = Duration::from_secs(60);

/// VMs that leave, and until when they count.
#[derive(Debug, Default)]
pub struct DepartureTable {
    expires_at: BTreeMap<ids::VmName, time::Timestamp>,
    vms: BTreeSet<ids::VmName>,
}

impl DepartureTable {
    /// Adds VMs that are newly known to leave.
    pub fn add(&mut self, now: time::Timestamp, vms: Vec<ids::VmName>) {
        for vm in vms {
            self.expires_at
                .insert(vm.clone(), now + DEPARTURE_RETENTION);
            self.vms.insert(vm);
        }
    }

    /// Returns the VMs that leave.
    pub fn vms(&self) -> &BTreeSet<ids::VmName> {
        &self.vms
    }

    /// Forgets VMs whose time is over, and returns whether there were any.
    pub fn remove_expired(&mut self, now: time::Timestamp) -> bool {
        let before = self.expires_at.len();
        self.expires_at.retain(|_, expires_at| *expires_at > now);
        self.vms.retain(|vm| self.expires_at.contains_key(vm));
        self.expires_at.len() < before
    }
}
