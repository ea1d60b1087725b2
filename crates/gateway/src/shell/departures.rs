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
const DEPARTURE_HOLD: Duration = Duration::from_secs(60);

/// VMs that leave, and until when they count.
#[derive(Debug, Default)]
pub struct DepartureTable {
    until: BTreeMap<ids::VmName, time::Timestamp>,
    vms: BTreeSet<ids::VmName>,
}

impl DepartureTable {
    /// Adds VMs that are newly known to leave.
    pub fn add(&mut self, now: time::Timestamp, vms: Vec<ids::VmName>) {
        for vm in vms {
            self.until.insert(vm.clone(), now + DEPARTURE_HOLD);
            self.vms.insert(vm);
        }
    }

    /// Returns the VMs that leave.
    pub fn vms(&self) -> &BTreeSet<ids::VmName> {
        &self.vms
    }

    /// Forgets VMs whose time is over, and returns whether there were any.
    pub fn expire(&mut self, now: time::Timestamp) -> bool {
        let before = self.until.len();
        self.until.retain(|_, until| *until > now);
        self.vms.retain(|vm| self.until.contains_key(vm));
        self.until.len() < before
    }
}
