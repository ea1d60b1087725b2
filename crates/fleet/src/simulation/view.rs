//! What tests and measurements see of a simulated fleet.

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::time;

use super::FleetSimulation;
use super::NodeIndex;
use super::NodeUsage;
use super::node;
use super::zone_name;
use crate::reducer;
use crate::sections;

impl FleetSimulation {
    /// Returns the simulated time.
    pub const fn now(&self) -> time::Timestamp {
        self.now
    }

    /// Returns the live gateways of a zone.
    pub fn gateways(&self, zone: usize) -> Vec<NodeIndex> {
        self.select(|node| node.is_gateway() && node.identity.zone == zone_name(zone))
    }

    /// Returns all live processes.
    pub fn live(&self) -> Vec<NodeIndex> {
        self.select(|_| true)
    }

    /// Returns the live gateways that read the configuration service.
    pub fn readers(&self) -> Vec<NodeIndex> {
        let is_reader =
            |reducer: &reducer::FleetReducer| reducer.is_reader() && !reducer.is_leaving();
        self.select(|node| node.reducer.as_ref().is_some_and(is_reader))
    }

    /// Says whether a process is a gateway.
    pub fn is_gateway(&self, index: NodeIndex) -> bool {
        self.nodes[index.0].is_gateway()
    }

    /// Returns the reducer of a live process.
    pub fn reducer(&self, index: NodeIndex) -> &reducer::FleetReducer {
        let reducer = self.nodes[index.0].reducer.as_ref();
        reducer.expect("the process is alive")
    }

    /// Returns the VM of a process.
    pub fn vm(&self, index: NodeIndex) -> &ids::VmName {
        &self.nodes[index.0].identity.vm
    }

    /// Returns the VMs that a process was told leave.
    pub fn departures(&self, index: NodeIndex) -> &[ids::VmName] {
        &self.nodes[index.0].departures
    }

    /// Returns the version of a section that is in force at a process.
    pub fn version(&self, index: NodeIndex, section: &str) -> Option<u64> {
        let section: sections::SectionName = section.parse().expect("a valid section name");
        let head = self.nodes[index.0].in_force.get(&section);
        head.map(|head| head.version.get())
    }

    /// Says whether all live processes have the same version of a section in force.
    pub fn is_in_force(&self, section: &str, version: measures::SectionVersion) -> bool {
        let wanted = Some(version.get());
        self.live()
            .into_iter()
            .all(|index| self.version(index, section) == wanted)
    }

    /// Returns what went against the promises so far.
    pub fn violations(&self) -> &[Box<str>] {
        &self.violations
    }

    /// Returns the usage of a process since the last reset.
    pub fn usage(&self, index: NodeIndex) -> NodeUsage {
        self.nodes[index.0].usage
    }

    /// Sets the usage of all processes to nothing.
    pub fn reset_usage(&mut self) {
        for node in &mut self.nodes {
            node.usage = NodeUsage::default();
        }
    }

    pub(super) fn select(&self, wanted: impl Fn(&node::SimulationNode) -> bool) -> Vec<NodeIndex> {
        let nodes = self.nodes.iter().enumerate();
        nodes
            .filter(|(_, node)| node.is_alive() && wanted(node))
            .map(|(index, _)| NodeIndex(index))
            .collect()
    }
}
