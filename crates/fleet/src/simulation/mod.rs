//! Simulation of a fleet: many reducers in one process on simulated time, for tests and benchmarks.
//!
//! Links, the configuration service and the VM list are fakes at the reducer's interface. The same
//! seed gives the same run. An activation of a section version that is not newer than the
//! previously active one is recorded as a violation.

mod network;
mod node;
mod plan;
mod platform;
mod view;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::net;
use std::time::Duration;
use std::time::Instant;

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

pub use node::FailureKind;
pub use node::NodeIndex;
pub use node::NodeUsage;
pub use plan::SimulationPlan;
pub use platform::FakeService;
pub use platform::ServiceMode;

use crate::reducer;
use crate::sections;
use crate::validation;

/// Event in the simulation's queue.
#[derive(Debug)]
enum ScheduledEvent {
    /// Deliver an event to a process.
    Deliver(NodeIndex, reducer::FleetEvent),
    /// Deliver a message, whose encoded size in bytes is the last field, to a process.
    DeliverMessage(NodeIndex, reducer::FleetEvent, u64),
    /// Attempt a connection that a gateway requested.
    Connect(NodeIndex, ids::VmName),
    /// Close the links of agents to a lost VM.
    DropAgentLinks(NodeIndex),
    /// Connect an agent to a gateway.
    ConnectAgent(NodeIndex),
    /// Deliver a tick to a process.
    Tick(NodeIndex),
    /// End the watch with this number if it is still pending.
    EndWatch(NodeIndex, u64),
}

/// A watch that is pending at the configuration service.
#[derive(Debug)]
struct PendingWatch {
    node: NodeIndex,
    after: reducer::ServiceRevision,
    /// Number of the scheduled event that ends the watch.
    number: u64,
}

/// A simulated fleet.
#[derive(Debug)]
pub struct FleetSimulation {
    plan: SimulationPlan,
    now: time::Timestamp,
    generator: ChaCha8Rng,
    nodes: Vec<node::SimulationNode>,
    vms: BTreeMap<ids::VmName, NodeIndex>,
    /// Times and numbers of the scheduled events, earliest first.
    queue: BinaryHeap<Reverse<(time::Timestamp, u64)>>,
    /// Scheduled events by number.
    scheduled: BTreeMap<u64, ScheduledEvent>,
    next_number: u64,
    links: network::LinkTable,
    /// Zones on one side of a network partition; empty without a partition.
    isolated_zones: BTreeSet<ids::ZoneName>,
    /// Fake configuration service, with the counts of its calls.
    pub service: FakeService,
    service_modes: BTreeMap<ids::ZoneName, ServiceMode>,
    watches: Vec<PendingWatch>,
    violations: Vec<Box<str>>,
}

/// Time after which the service ends a watch without a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(25);

/// Silence after which an agent closes a link; here applied only to links to lost VMs.
const AGENT_LINK_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay from a call to the platform, or from the change that ends a watch, to its result.
const PLATFORM_DELAY: Duration = Duration::from_millis(3);

impl FleetSimulation {
    /// Creates a fleet whose processes all start at time zero.
    pub fn new(plan: SimulationPlan) -> Self {
        let mut simulation = Self {
            generator: ChaCha8Rng::seed_from_u64(plan.seed),
            plan,
            now: time::Timestamp::ZERO,
            nodes: Vec::new(),
            vms: BTreeMap::new(),
            queue: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            next_number: 0,
            links: network::LinkTable::default(),
            isolated_zones: BTreeSet::new(),
            service: FakeService::default(),
            service_modes: BTreeMap::new(),
            watches: Vec::new(),
            violations: Vec::new(),
        };

        for zone in 0..simulation.plan.zones {
            for _ in 0..simulation.plan.gateways_per_zone {
                simulation.add_node(zone, reducer::FleetRole::Gateway, None);
            }
        }
        for zone in 0..simulation.plan.zones {
            for _ in 0..simulation.plan.agents_per_zone {
                simulation.add_node(zone, reducer::FleetRole::Agent, None);
            }
        }
        simulation
    }

    /// Runs the simulation for a duration of simulated time.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.scheduled.remove(&number) {
                self.handle_scheduled(event);
            }
        }
        self.now = end;
    }

    /// Runs until `is_done` returns true, and returns the simulated time taken, rounded up to steps
    /// of 50 ms. Returns `None` if the condition is not met within `limit`.
    pub fn run_until(
        &mut self,
        limit: Duration,
        is_done: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        const STEP: Duration = Duration::from_millis(50);
        let start = self.now;
        while !is_done(self) {
            if self.now.since(start) >= limit {
                return None;
            }
            self.run(STEP);
        }
        Some(self.now.since(start))
    }

    /// Publishes the next version of a section at the configuration service, and returns it.
    pub fn publish(&mut self, section: &str, bytes: &[u8]) -> measures::SectionVersion {
        let section: sections::SectionName = section.parse().expect("a valid section name");
        let newest = self.service.newest(&section);
        let version = measures::SectionVersion::new(newest.map_or(0, |newest| newest.get()) + 1);
        let value = sections::SectionValue::new(section, version, bytes);

        self.service.publish(value);
        self.wake_watches();
        version
    }

    /// Sets how the service responds to the processes of a zone.
    pub fn set_service_mode(&mut self, zone: usize, mode: ServiceMode) {
        self.service_modes.insert(zone_name(zone), mode);
        self.wake_watches();
    }

    /// Sets how the service responds to all processes.
    pub fn set_service_mode_everywhere(&mut self, mode: ServiceMode) {
        for zone in 0..self.plan.zones {
            self.set_service_mode(zone, mode);
        }
    }

    /// Partitions the network between these zones and all others, in place of an earlier partition.
    /// An empty list removes the partition.
    pub fn isolate_zones(&mut self, zones: &[usize]) {
        self.isolated_zones = zones.iter().map(|zone| zone_name(*zone)).collect();
    }

    /// Ends a process. Agents that detect the loss connect to a gateway again.
    pub fn kill(&mut self, index: NodeIndex, failure: FailureKind) {
        let node = &mut self.nodes[index.0];
        node.reducer = None;
        node.failure = Some(failure);
        node.ended_at = Some(self.now);
        self.watches.retain(|watch| watch.node != index);
        match failure {
            FailureKind::Process => self.close_links(index),
            FailureKind::Vm => {
                self.schedule(AGENT_LINK_TIMEOUT, ScheduledEvent::DropAgentLinks(index))
            }
        }
    }

    /// Pauses a process. Events that arrive during the pause are delivered at its end.
    pub fn pause(&mut self, index: NodeIndex, duration: Duration) {
        self.nodes[index.0].paused_until = Some(self.now + duration);
    }

    /// Starts a process on a new VM of a zone.
    pub fn start(&mut self, zone: usize, role: reducer::FleetRole) -> NodeIndex {
        self.add_node(zone, role, Some(self.now))
    }

    /// Marks a process as leaving on the VM list, and requests that it leaves the fleet.
    pub fn leave(&mut self, index: NodeIndex) {
        self.nodes[index.0].is_leaving = true;
        self.deliver(index, reducer::FleetEvent::LeaveRequested);
    }

    /// Delivers an event to a process at the current simulated time.
    pub fn deliver(&mut self, index: NodeIndex, event: reducer::FleetEvent) {
        self.schedule(Duration::ZERO, ScheduledEvent::Deliver(index, event));
    }

    fn add_node(
        &mut self,
        zone: usize,
        role: reducer::FleetRole,
        started_at: Option<time::Timestamp>,
    ) -> NodeIndex {
        let index = NodeIndex(self.nodes.len());
        let port = u16::try_from(1 + index.0).unwrap_or(u16::MAX);
        let identity = reducer::FleetIdentity {
            vm: format!("vm-{}", index.0).parse().expect("a valid name"),
            zone: zone_name(zone),
            address: net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, port)),
            process: ids::ProcessId::random(&mut self.generator),
            role,
            seed: self.generator.random(),
        };
        let validator = Box::new(validation::PrefixValidator);
        let reducer = reducer::FleetReducer::new(identity.clone(), validator, self.now);
        self.vms.insert(identity.vm.clone(), index);
        self.nodes
            .push(node::SimulationNode::new(identity, started_at, reducer));

        let phase = self
            .generator
            .random_range(Duration::ZERO..reducer::TICK_INTERVAL);
        self.schedule(phase, ScheduledEvent::Tick(index));
        if role == reducer::FleetRole::Agent {
            for _ in 0..self.plan.links_per_agent {
                self.schedule(phase, ScheduledEvent::ConnectAgent(index));
            }
        }
        index
    }

    fn schedule(&mut self, delay: Duration, event: ScheduledEvent) {
        let number = self.next_number;
        self.next_number += 1;
        self.queue.push(Reverse((self.now + delay, number)));
        self.scheduled.insert(number, event);
    }

    fn handle_scheduled(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Deliver(index, event) => self.apply(index, event),
            ScheduledEvent::DeliverMessage(index, event, bytes) => {
                let usage = &mut self.nodes[index.0].usage;
                usage.received_bytes += bytes;
                usage.received_messages += 1;
                self.apply(index, event);
            }
            ScheduledEvent::Connect(index, vm) => self.try_connect(index, &vm),
            ScheduledEvent::DropAgentLinks(index) => self.drop_agent_links(index),
            ScheduledEvent::ConnectAgent(index) => self.connect_agent(index),
            ScheduledEvent::Tick(index) => {
                if self.nodes[index.0].is_alive() {
                    self.apply(index, reducer::FleetEvent::Tick);
                    self.schedule(reducer::TICK_INTERVAL, ScheduledEvent::Tick(index));
                }
            }
            ScheduledEvent::EndWatch(index, number) => self.end_watch(index, number),
        }
    }

    fn apply(&mut self, index: NodeIndex, event: reducer::FleetEvent) {
        let now = self.now;
        let node = &mut self.nodes[index.0];
        if let Some(until) = node.paused_until {
            if now < until {
                let delay = until.since(now);
                self.schedule(delay, ScheduledEvent::Deliver(index, event));
                return;
            }
            node.paused_until = None;
        }
        let Some(reducer) = &mut node.reducer else {
            return;
        };

        let started = Instant::now();
        let mut effects = Vec::new();
        reducer.apply(now, event, &mut effects);
        node.usage.busy_time += started.elapsed();
        for effect in effects {
            self.execute_effect(index, effect);
        }
    }

    fn execute_effect(&mut self, index: NodeIndex, effect: reducer::FleetEffect) {
        match effect {
            reducer::FleetEffect::Connect { vm, .. } => {
                let delay = self.plan.intra_zone_delay;
                self.schedule(delay, ScheduledEvent::Connect(index, vm));
            }
            reducer::FleetEffect::CloseLink { link } => self.close_link(index, link),
            reducer::FleetEffect::Send { link, message } => self.send(index, link, message),
            reducer::FleetEffect::ReadSections => {
                self.call_service(index, reducer::ServiceRevision::default());
            }
            reducer::FleetEffect::WatchSections { after } => self.call_service(index, after),
            reducer::FleetEffect::ReadVmList => self.read_vm_list(index),
            reducer::FleetEffect::ActivateSection(value) => self.record_activation(index, &value),
            reducer::FleetEffect::ForwardSuspects(_) | reducer::FleetEffect::ReportRejected(_) => {}
            reducer::FleetEffect::ForwardDepartures(vms) => {
                self.nodes[index.0].departures.extend(vms);
            }
        }
    }

    /// Records the activation of a version, and a violation if it is not newer than the previous one.
    fn record_activation(&mut self, index: NodeIndex, value: &sections::SectionValue) {
        let head = value.head;
        let node = &mut self.nodes[index.0];
        let old = node.active_heads.insert(value.section.clone(), head);
        if old.is_some_and(|old| old >= head) {
            let vm = &node.identity.vm;
            let section = &value.section;
            let text = format!("{vm}: active version of {section} went from {old:?} to {head:?}");
            self.violations.push(text.into());
        }
    }
}

fn zone_name(zone: usize) -> ids::ZoneName {
    format!("zone-{zone}").parse().expect("a valid name")
}
