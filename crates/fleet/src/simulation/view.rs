//! Queries of a simulated fleet, for tests and benchmarks.

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
    /// Returns the current simulated time.
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

    /// Returns the live gateways that read the configuration service and are not leaving.
    pub fn readers(&self) -> Vec<NodeIndex> {
        let is_reader =
            |reducer: &reducer::FleetReducer| reducer.is_reader() && !reducer.is_leaving();
        self.select(|node| node.reducer.as_ref().is_some_and(is_reader))
    }

    /// Returns true if a process is a gateway, whether live or not.
    pub fn is_gateway(&self, index: NodeIndex) -> bool {
        self.nodes[index.0].is_gateway()
    }

    /// Returns the reducer of a process.
    ///
    /// # Panics
    ///
    /// Panics if the process has ended.
    pub fn reducer(&self, index: NodeIndex) -> &reducer::FleetReducer {
        let reducer = self.nodes[index.0].reducer.as_ref();
        reducer.expect("the process is alive")
    }

    /// Returns the name of the VM of a process.
    pub fn vm(&self, index: NodeIndex) -> &ids::VmName {
        &self.nodes[index.0].identity.vm
    }

    /// Returns the leaving VMs that the reducer of a process reported to its host.
    pub fn departures(&self, index: NodeIndex) -> &[ids::VmName] {
        &self.nodes[index.0].departures
    }

    /// Returns the active version of a section at a process; `None` if no version is active.
    pub fn active_version(&self, index: NodeIndex, section: &str) -> Option<u64> {
        let section: sections::SectionName = section.parse().expect("a valid section name");
        let head = self.nodes[index.0].active_heads.get(&section);
        head.map(|head| head.version.get())
    }

    /// Returns true if `version` of a section is active at all live processes.
    pub fn is_active_everywhere(&self, section: &str, version: measures::SectionVersion) -> bool {
        let expected = Some(version.get());
        self.live()
            .into_iter()
            .all(|index| self.active_version(index, section) == expected)
    }

    /// Returns descriptions of the activations that did not raise the active version.
    pub fn violations(&self) -> &[Box<str>] {
        &self.violations
    }

    /// Returns the usage of a process since the last reset.
    pub fn usage(&self, index: NodeIndex) -> NodeUsage {
        self.nodes[index.0].usage
    }

    /// Resets the usage of all processes to zero.
    pub fn reset_usage(&mut self) {
        for node in &mut self.nodes {
            node.usage = NodeUsage::default();
        }
    }

    pub(super) fn select(
        &self,
        predicate: impl Fn(&node::SimulationNode) -> bool,
    ) -> Vec<NodeIndex> {
        let nodes = self.nodes.iter().enumerate();
        nodes
            .filter(|(_, node)| node.is_alive() && predicate(node))
            .map(|(index, _)| NodeIndex(index))
            .collect()
    }
}
