//! Many fleet reducers in one process on simulated time, for tests and measurements.
//!
//! Links, the configuration service and the VM list are fakes at the reducer's interface. The same
//! seed gives the same run. After each event the versions in force are checked: one that does not
//! rise is recorded as a violation.

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

pub use node::LossKind;
pub use node::NodeIndex;
pub use node::NodeUsage;
pub use plan::SimulationPlan;
pub use platform::FakeService;
pub use platform::ServiceMode;

use crate::reducer;
use crate::sections;
use crate::validation;

/// Something that happens at a time.
#[derive(Debug)]
enum Occurrence {
    /// A process gets an event.
    Event(NodeIndex, reducer::FleetEvent),
    /// A process gets a message of so many encoded bytes.
    Arrival(NodeIndex, reducer::FleetEvent, u64),
    /// A connection that a gateway asked for is tried.
    Connect(NodeIndex, ids::VmName),
    /// Agents give up their silent links to a lost VM.
    DropAgentLinks(NodeIndex),
    /// An agent that has lost a link gets another.
    Relink(NodeIndex),
    /// A process ticks.
    Tick(NodeIndex),
    /// A watch that has waited long enough ends.
    EndWatch(NodeIndex, u64),
}

/// A watch that waits at the configuration service.
#[derive(Debug)]
struct WaitingWatch {
    node: NodeIndex,
    after: reducer::ServiceRevision,
    number: u64,
}

/// A fleet on simulated time.
#[derive(Debug)]
pub struct FleetSimulation {
    plan: SimulationPlan,
    now: time::Timestamp,
    generator: ChaCha8Rng,
    nodes: Vec<node::SimulationNode>,
    vms: BTreeMap<ids::VmName, NodeIndex>,
    queue: BinaryHeap<Reverse<(time::Timestamp, u64)>>,
    occurrences: BTreeMap<u64, Occurrence>,
    next_number: u64,
    links: network::LinkTable,
    cut_zones: BTreeSet<ids::ZoneName>,
    /// The configuration service.
    pub service: FakeService,
    service_modes: BTreeMap<ids::ZoneName, ServiceMode>,
    watches: Vec<WaitingWatch>,
    violations: Vec<Box<str>>,
}

/// Time for which a watch waits at the service.
const WATCH_TIME: Duration = Duration::from_secs(25);

/// Silence after which an agent closes a link, whatever travels on it.
const AGENT_LINK_SILENCE: Duration = Duration::from_secs(10);

/// Time of a call at the platform.
const PLATFORM_DELAY: Duration = Duration::from_millis(3);

impl FleetSimulation {
    /// Makes a fleet whose processes all start at once.
    pub fn new(plan: SimulationPlan) -> Self {
        let mut simulation = Self {
            generator: ChaCha8Rng::seed_from_u64(plan.seed),
            plan,
            now: time::Timestamp::ZERO,
            nodes: Vec::new(),
            vms: BTreeMap::new(),
            queue: BinaryHeap::new(),
            occurrences: BTreeMap::new(),
            next_number: 0,
            links: network::LinkTable::default(),
            cut_zones: BTreeSet::new(),
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

    /// Runs for a time.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(occurrence) = self.occurrences.remove(&number) {
                self.carry_out(occurrence);
            }
        }
        self.now = end;
    }

    /// Runs until `is_done`, and returns the time that took, or nothing when it took longer than
    /// `limit`.
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

    /// Publishes the next version of a section at the configuration service.
    pub fn publish(&mut self, section: &str, bytes: &[u8]) -> measures::SectionVersion {
        let section: sections::SectionName = section.parse().expect("a valid section name");
        let newest = self.service.newest(&section);
        let version = measures::SectionVersion::new(newest.map_or(0, |newest| newest.get()) + 1);
        let value = sections::SectionValue::new(section, version, bytes);

        self.service.publish(value);
        self.wake_watches();
        version
    }

    /// Sets how the service answers the processes of a zone.
    pub fn set_service(&mut self, zone: usize, mode: ServiceMode) {
        self.service_modes.insert(zone_name(zone), mode);
        self.wake_watches();
    }

    /// Sets how the service answers all processes.
    pub fn set_service_everywhere(&mut self, mode: ServiceMode) {
        for zone in 0..self.plan.zones {
            self.set_service(zone, mode);
        }
    }

    /// Cuts zones off from all others; an empty list heals all cuts.
    pub fn cut(&mut self, zones: &[usize]) {
        self.cut_zones = zones.iter().map(|zone| zone_name(*zone)).collect();
    }

    /// Ends a process.
    pub fn kill(&mut self, index: NodeIndex, loss: LossKind) {
        let node = &mut self.nodes[index.0];
        node.reducer = None;
        node.loss = Some(loss);
        node.died_at = Some(self.now);
        self.watches.retain(|watch| watch.node != index);
        match loss {
            LossKind::Process => self.close_links(index),
            LossKind::Vm => self.schedule(AGENT_LINK_SILENCE, Occurrence::DropAgentLinks(index)),
        }
    }

    /// Pauses a process for a time; what comes in meanwhile waits.
    pub fn pause(&mut self, index: NodeIndex, duration: Duration) {
        self.nodes[index.0].paused_until = Some(self.now + duration);
    }

    /// Starts a process on a new VM of a zone.
    pub fn start(&mut self, zone: usize, role: reducer::FleetRole) -> NodeIndex {
        self.add_node(zone, role, Some(self.now))
    }

    /// Marks a process as leaving, on the VM list and by its own notice.
    pub fn leave(&mut self, index: NodeIndex) {
        self.nodes[index.0].is_leaving = true;
        self.deliver(index, reducer::FleetEvent::LeaveRequested);
    }

    /// Gives a process an event.
    pub fn deliver(&mut self, index: NodeIndex, event: reducer::FleetEvent) {
        self.schedule(Duration::ZERO, Occurrence::Event(index, event));
    }

    fn add_node(
        &mut self,
        zone: usize,
        role: reducer::FleetRole,
        born_at: Option<time::Timestamp>,
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
            .push(node::SimulationNode::new(identity, born_at, reducer));

        let phase = self
            .generator
            .random_range(Duration::ZERO..reducer::TICK_INTERVAL);
        self.schedule(phase, Occurrence::Tick(index));
        if role == reducer::FleetRole::Agent {
            for _ in 0..self.plan.links_per_agent {
                self.schedule(phase, Occurrence::Relink(index));
            }
        }
        index
    }

    fn schedule(&mut self, delay: Duration, occurrence: Occurrence) {
        let number = self.next_number;
        self.next_number += 1;
        self.queue.push(Reverse((self.now + delay, number)));
        self.occurrences.insert(number, occurrence);
    }

    fn carry_out(&mut self, occurrence: Occurrence) {
        match occurrence {
            Occurrence::Event(index, event) => self.apply(index, event),
            Occurrence::Arrival(index, event, bytes) => {
                let usage = &mut self.nodes[index.0].usage;
                usage.received_bytes += bytes;
                usage.received_messages += 1;
                self.apply(index, event);
            }
            Occurrence::Connect(index, vm) => self.try_connect(index, &vm),
            Occurrence::DropAgentLinks(index) => self.drop_agent_links(index),
            Occurrence::Relink(index) => self.relink_agent(index),
            Occurrence::Tick(index) => {
                if self.nodes[index.0].is_alive() {
                    self.apply(index, reducer::FleetEvent::Tick);
                    self.schedule(reducer::TICK_INTERVAL, Occurrence::Tick(index));
                }
            }
            Occurrence::EndWatch(index, number) => self.end_watch(index, number),
        }
    }

    fn apply(&mut self, index: NodeIndex, event: reducer::FleetEvent) {
        let now = self.now;
        let node = &mut self.nodes[index.0];
        if let Some(until) = node.paused_until {
            if now < until {
                let delay = until.since(now);
                self.schedule(delay, Occurrence::Event(index, event));
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
        node.usage.work += started.elapsed();
        for effect in effects {
            self.follow(index, effect);
        }
    }

    fn follow(&mut self, index: NodeIndex, effect: reducer::FleetEffect) {
        match effect {
            reducer::FleetEffect::Connect { vm, .. } => {
                let delay = self.plan.zone_delay;
                self.schedule(delay, Occurrence::Connect(index, vm));
            }
            reducer::FleetEffect::CloseLink { link } => self.close_link(index, link),
            reducer::FleetEffect::Send { link, message } => self.send(index, link, message),
            reducer::FleetEffect::ReadSections => {
                self.call_service(index, reducer::ServiceRevision::default());
            }
            reducer::FleetEffect::WatchSections { after } => self.call_service(index, after),
            reducer::FleetEffect::ReadVmList => self.read_vms(index),
            reducer::FleetEffect::ActivateSection(value) => self.check_publication(index, &value),
            reducer::FleetEffect::ForwardSuspects(_) | reducer::FleetEffect::ReportRejected(_) => {}
            reducer::FleetEffect::ForwardDepartures(vms) => {
                self.nodes[index.0].departures.extend(vms);
            }
        }
    }

    fn check_publication(&mut self, index: NodeIndex, value: &sections::SectionValue) {
        let head = value.head;
        let node = &mut self.nodes[index.0];
        let old = node.in_force.insert(value.section.clone(), head);
        if old.is_some_and(|old| old >= head) {
            let vm = &node.identity.vm;
            let section = &value.section;
            let text = format!("{vm}: {section} went from {old:?} to {head:?}");
            self.violations.push(text.into());
        }
    }
}

fn zone_name(zone: usize) -> ids::ZoneName {
    format!("zone-{zone}").parse().expect("a valid name")
}
