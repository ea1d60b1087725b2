//! Discrete-event simulation of gateways, agents, engines, links and faults on one clock.
//!
//! The gateways and agents are the reducers that run in production; callers and engines are
//! modelled. Links have a constant delay, and nothing else of a network is modelled.

mod agents;
mod faults;
mod gateways;
mod links;
mod node;
mod queue;

use std::time::Duration;

use kingcupfall_agent::reducer as agent;
use kingcupfall_core::engine;
use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_gateway::reducer as gateway;

use crate::observer;
use crate::policies;
use crate::scenario;

use links::LinkTable;
use node::TargetNode;
use queue::EventQueue;

/// Number of gateways, which requests are distributed over in turn.
const GATEWAY_COUNT: usize = 2;

/// Delay of everything that is sent over a link.
const LINK_DELAY: Duration = Duration::from_millis(1);

/// Interval between load reports of an engine.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Time from the crash of an engine until it is running again.
const ENGINE_RESTART_TIME: Duration = Duration::from_secs(10);

/// Interval between samples of the engines' load, and between gossip rounds of the gateways.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// Time before the arrivals begin, in which the links open.
const WARM_UP: Duration = Duration::from_secs(2);

/// Time after the arrivals end at which the run stops even if calls are still open.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(600);

/// Event that is due at a point in simulated time.
///
/// Events of a VM carry its incarnation, and are dropped if the VM was restarted or killed since.
#[derive(Debug)]
enum SimulationEvent {
    /// A caller sends a request, for the first time or again.
    SendRequest { request: usize },
    /// A gateway receives an event.
    Gateway {
        gateway: usize,
        event: gateway::GatewayEvent,
    },
    /// A gateway's tick is due.
    GatewayTick { gateway: usize },
    /// An agent receives input over a link.
    LinkInput {
        gateway: usize,
        link: ids::LinkId,
        input: LinkInput,
    },
    /// An agent receives an event from its own VM.
    Agent {
        node: usize,
        incarnation: u64,
        event: agent::AgentEvent,
    },
    /// An agent's tick is due.
    AgentTick { node: usize, incarnation: u64 },
    /// An engine's step ends, unless another step was scheduled instead.
    EngineStep { node: usize, incarnation: u64 },
    /// An engine's load report is due.
    LoadReport { node: usize, incarnation: u64 },
    /// A crashed engine is running again.
    EngineRestart { node: usize, incarnation: u64 },
    /// A fault begins.
    FaultBegin { fault: usize },
    /// A fault ends.
    FaultEnd { fault: usize },
    /// A sample of the engines' load is due.
    Sample,
}

/// Input that an agent receives over a link.
#[derive(Debug)]
enum LinkInput {
    /// The gateway opens the link.
    Open,
    /// The gateway closes the link.
    Close,
    /// The gateway sends a frame.
    Frame(Box<kingcupfall_link::frames::GatewayFrame>),
}

/// Policies of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunPolicies {
    /// Policy set of the gateways and agents.
    pub set: policies::PolicySet,
    /// Feature of the kingcupfall scheduler that is disabled; `None` for none.
    pub disabled_feature: Option<policies::SchedulerFeature>,
}

impl From<policies::PolicySet> for RunPolicies {
    fn from(set: policies::PolicySet) -> Self {
        Self {
            set,
            disabled_feature: None,
        }
    }
}

/// Simulation of one scenario under one policy set.
pub struct Simulation<'a> {
    scenario: &'a scenario::Scenario,
    policies: RunPolicies,
    now: time::Timestamp,
    events: EventQueue<SimulationEvent>,
    gateways: Vec<gateway::GatewayReducer>,
    nodes: Vec<TargetNode>,
    links: LinkTable,
    observer: observer::RunObserver,
    remaining_arrivals: usize,
}

impl<'a> Simulation<'a> {
    /// Creates a simulation of `requests`, whose arrival times don't include the warm-up.
    pub fn new(
        scenario: &'a scenario::Scenario,
        policies: RunPolicies,
        requests: Vec<scenario::OfferedRequest>,
    ) -> Self {
        let shifted_requests = shift_by_warm_up(requests);
        let gateways = (0..GATEWAY_COUNT)
            .map(|index| gateways::make_gateway(scenario, policies, index))
            .collect();
        let nodes = (0..scenario.engine.count)
            .map(|index| TargetNode::new(scenario, policies, index))
            .collect();

        let mut simulation = Self {
            scenario,
            policies,
            now: time::Timestamp::ZERO,
            events: EventQueue::default(),
            gateways,
            nodes,
            links: LinkTable::default(),
            remaining_arrivals: shifted_requests.len(),
            observer: observer::RunObserver::new(scenario, shifted_requests, WARM_UP),
        };
        simulation.schedule_start();
        simulation
    }

    /// Runs the simulation until all calls have ended, or the time limit, and returns its results.
    pub fn run(mut self) -> (observer::PolicyResult, observer::RunTraces) {
        let arrivals_end = time::Timestamp::ZERO + WARM_UP + self.scenario.duration.get();
        let end_limit = arrivals_end + MAX_DRAIN_TIME;

        while let Some((at, event)) = self.events.pop() {
            let is_done = self.remaining_arrivals == 0 && !self.observer.has_open_calls();
            if at > end_limit || (is_done && at > arrivals_end) {
                break;
            }
            self.now = at;
            self.handle_event(event);
        }

        let preemptions = self.nodes.iter().map(TargetNode::preemptions).sum();
        self.observer.finish(self.now, preemptions)
    }

    fn schedule_start(&mut self) {
        let target_listings = gateways::target_listings(&self.nodes);
        for gateway in 0..GATEWAY_COUNT {
            let event = gateway::GatewayEvent::TargetsChanged(target_listings.clone());
            self.push(Duration::ZERO, SimulationEvent::Gateway { gateway, event });
            self.push(Duration::ZERO, SimulationEvent::GatewayTick { gateway });
        }
        for node in 0..self.nodes.len() {
            self.schedule_vm_start(node);
        }
        for request in 0..self.remaining_arrivals {
            let at = self.observer.offered_request(request).at;
            self.events
                .push(at, SimulationEvent::SendRequest { request });
        }
        for fault in 0..self.scenario.faults.len() {
            let section = &self.scenario.faults[fault];
            let begin = WARM_UP + section.at.get();
            self.push(begin, SimulationEvent::FaultBegin { fault });
            if let Some(duration) = section.duration {
                self.push(begin + duration.get(), SimulationEvent::FaultEnd { fault });
            }
        }
        self.push(Duration::ZERO, SimulationEvent::Sample);
    }

    fn handle_event(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::SendRequest { request } => self.send_request(request),
            SimulationEvent::Gateway { gateway, event } => self.apply_gateway(gateway, event),
            SimulationEvent::GatewayTick { gateway } => self.tick_gateway(gateway),
            SimulationEvent::LinkInput {
                gateway,
                link,
                input,
            } => self.handle_link_input(gateway, link, input),
            SimulationEvent::Agent {
                node,
                incarnation,
                event,
            } => self.deliver_agent_event(node, incarnation, event),
            SimulationEvent::AgentTick { node, incarnation } => self.tick_agent(node, incarnation),
            SimulationEvent::EngineStep { node, incarnation } => {
                self.step_engine(node, incarnation)
            }
            SimulationEvent::LoadReport { node, incarnation } => {
                self.send_load_report(node, incarnation)
            }
            SimulationEvent::EngineRestart { node, incarnation } => {
                self.restart_engine(node, incarnation)
            }
            SimulationEvent::FaultBegin { fault } => self.begin_fault(fault),
            SimulationEvent::FaultEnd { fault } => self.end_fault(fault),
            SimulationEvent::Sample => self.sample_load(),
        }
    }

    fn push(&mut self, delay: Duration, event: SimulationEvent) {
        self.events.push(self.now + delay, event);
    }

    fn sample_load(&mut self) {
        let reports: Vec<engine::EngineReport> = self
            .nodes
            .iter()
            .filter_map(|node| node.report(self.now))
            .collect();
        let used_memory: u64 = reports.iter().map(|report| report.memory_used.get()).sum();
        let total_memory: u64 = reports.iter().map(|report| report.memory_total.get()).sum();
        let running: u64 = reports.iter().map(|report| u64::from(report.running)).sum();
        let open_calls: u64 = self
            .gateways
            .iter()
            .map(|gateway| gateway.calls().len() as u64)
            .sum();

        self.observer.record_sample(observer::LoadSample {
            at_s: self.now.as_secs_f64(),
            memory: used_memory as f64 / total_memory.max(1) as f64,
            running,
            waiting: open_calls.saturating_sub(running),
        });
        self.push(SAMPLE_INTERVAL, SimulationEvent::Sample);
        self.gossip_suspects();
    }
}

fn shift_by_warm_up(mut requests: Vec<scenario::OfferedRequest>) -> Vec<scenario::OfferedRequest> {
    for request in &mut requests {
        request.at = request.at + WARM_UP;
    }
    requests
}
