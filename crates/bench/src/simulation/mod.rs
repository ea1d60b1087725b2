//! Discrete-event simulation on one clock: gateways, agents, engines, links and faults.
//!
//! The gateways and agents are the reducers that the product runs. Between them stand links with a
//! constant delay; nothing else of a network is modelled.

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

/// Gateways that requests are spread over.
const GATEWAYS: usize = 2;

/// Time that a frame takes on a link.
const LINK_DELAY: Duration = Duration::from_millis(1);

/// Time between two load reports of an engine.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Time from a crash of an engine until it runs again.
const ENGINE_RESTART: Duration = Duration::from_secs(10);

/// Time between two samples of the engines' load.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// Time for links to open before requests arrive.
const WARM_UP: Duration = Duration::from_secs(2);

/// Longest time that a run goes on after the last arrival.
const DRAIN_LIMIT: Duration = Duration::from_secs(600);

/// Something that happens at a point of simulated time.
#[derive(Debug)]
enum SimulationEvent {
    /// A request arrives, or is sent again.
    Arrive { request: usize },
    /// A gateway takes an event.
    Gateway {
        gateway: usize,
        event: gateway::GatewayEvent,
    },
    /// A gateway's tick is due.
    GatewayTick { gateway: usize },
    /// A link brings something to an agent.
    LinkInput {
        gateway: usize,
        link: ids::LinkId,
        input: LinkInput,
    },
    /// An agent takes an event of its own VM.
    Agent {
        node: usize,
        life: u64,
        event: agent::AgentEvent,
    },
    /// An agent's tick is due.
    AgentTick { node: usize, life: u64 },
    /// An engine's step may end.
    EngineStep { node: usize, life: u64 },
    /// An engine's load report is taken.
    TakeReport { node: usize, life: u64 },
    /// A crashed engine runs again.
    EngineRestart { node: usize, life: u64 },
    /// A fault begins.
    FaultBegin { fault: usize },
    /// A fault ends.
    FaultEnd { fault: usize },
    /// The engines' load is sampled.
    Sample,
}

/// What a link brings to an agent.
#[derive(Debug)]
enum LinkInput {
    /// The link is opened.
    Open,
    /// The link is closed.
    Close,
    /// A frame.
    Frame(Box<kingcupfall_link::frames::GatewayFrame>),
}

/// Decisions that a run uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunPolicies {
    /// Set of decisions.
    pub set: policies::PolicySet,
    /// Decision of ours that is turned off.
    pub ablation: Option<policies::Ablation>,
}

impl From<policies::PolicySet> for RunPolicies {
    fn from(set: policies::PolicySet) -> Self {
        Self {
            set,
            ablation: None,
        }
    }
}

/// One run of a scenario under one policy set.
pub struct Simulation<'a> {
    scenario: &'a scenario::Scenario,
    set: RunPolicies,
    now: time::Timestamp,
    events: EventQueue<SimulationEvent>,
    gateways: Vec<gateway::GatewayReducer>,
    nodes: Vec<TargetNode>,
    links: LinkTable,
    observer: observer::RunObserver,
    arrivals_left: usize,
}

impl<'a> Simulation<'a> {
    /// Prepares a run of `requests`.
    pub fn new(
        scenario: &'a scenario::Scenario,
        set: RunPolicies,
        requests: Vec<scenario::OfferedRequest>,
    ) -> Self {
        let shifted = shift(requests);
        let gateways = (0..GATEWAYS)
            .map(|index| gateways::make_gateway(scenario, set, index))
            .collect();
        let nodes = (0..scenario.engine.count)
            .map(|index| TargetNode::new(scenario, set, index))
            .collect();

        let mut simulation = Self {
            scenario,
            set,
            now: time::Timestamp::ZERO,
            events: EventQueue::default(),
            gateways,
            nodes,
            links: LinkTable::default(),
            arrivals_left: shifted.len(),
            observer: observer::RunObserver::new(scenario, shifted, WARM_UP),
        };
        simulation.schedule_start();
        simulation
    }

    /// Runs to the end and returns the figures.
    pub fn run(mut self) -> (observer::PolicyResult, observer::RunTraces) {
        let arrivals_end = time::Timestamp::ZERO + WARM_UP + self.scenario.duration.get();
        let limit = arrivals_end + DRAIN_LIMIT;

        while let Some((at, event)) = self.events.pop() {
            let is_done = self.arrivals_left == 0 && !self.observer.has_open_calls();
            if at > limit || (is_done && at > arrivals_end) {
                break;
            }
            self.now = at;
            self.take(event);
        }

        let preemptions = self.nodes.iter().map(TargetNode::preemptions).sum();
        self.observer.finish(self.now, preemptions)
    }

    fn schedule_start(&mut self) {
        let listings = gateways::listings(&self.nodes);
        for gateway in 0..GATEWAYS {
            let event = gateway::GatewayEvent::TargetsChanged(listings.clone());
            self.push(Duration::ZERO, SimulationEvent::Gateway { gateway, event });
            self.push(Duration::ZERO, SimulationEvent::GatewayTick { gateway });
        }
        for node in 0..self.nodes.len() {
            self.schedule_life(node);
        }
        for request in 0..self.arrivals_left {
            let at = self.observer.expected(request).at;
            self.events.push(at, SimulationEvent::Arrive { request });
        }
        for fault in 0..self.scenario.faults.len() {
            let section = &self.scenario.faults[fault];
            let begin = WARM_UP + section.at.get();
            self.push(begin, SimulationEvent::FaultBegin { fault });
            if let Some(lasts) = section.lasts {
                self.push(begin + lasts.get(), SimulationEvent::FaultEnd { fault });
            }
        }
        self.push(Duration::ZERO, SimulationEvent::Sample);
    }

    fn take(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Arrive { request } => self.arrive(request),
            SimulationEvent::Gateway { gateway, event } => self.apply_gateway(gateway, event),
            SimulationEvent::GatewayTick { gateway } => self.tick_gateway(gateway),
            SimulationEvent::LinkInput {
                gateway,
                link,
                input,
            } => self.take_link_input(gateway, link, input),
            SimulationEvent::Agent { node, life, event } => self.agent_event(node, life, event),
            SimulationEvent::AgentTick { node, life } => self.tick_agent(node, life),
            SimulationEvent::EngineStep { node, life } => self.step_engine(node, life),
            SimulationEvent::TakeReport { node, life } => self.take_report(node, life),
            SimulationEvent::EngineRestart { node, life } => self.restart_engine(node, life),
            SimulationEvent::FaultBegin { fault } => self.begin_fault(fault),
            SimulationEvent::FaultEnd { fault } => self.end_fault(fault),
            SimulationEvent::Sample => self.sample(),
        }
    }

    fn push(&mut self, delay: Duration, event: SimulationEvent) {
        self.events.push(self.now + delay, event);
    }

    fn sample(&mut self) {
        let reports: Vec<engine::EngineReport> = self
            .nodes
            .iter()
            .filter_map(|node| node.report(self.now))
            .collect();
        let used: u64 = reports.iter().map(|report| report.memory_used.get()).sum();
        let total: u64 = reports.iter().map(|report| report.memory_total.get()).sum();
        let running: u64 = reports.iter().map(|report| u64::from(report.running)).sum();
        let open: u64 = self
            .gateways
            .iter()
            .map(|gateway| gateway.calls().len() as u64)
            .sum();

        self.observer.sample(observer::LoadSample {
            at_s: self.now.as_secs_f64(),
            memory: used as f64 / total.max(1) as f64,
            running,
            waiting: open.saturating_sub(running),
        });
        self.push(SAMPLE_INTERVAL, SimulationEvent::Sample);
        self.share_suspects();
    }
}

fn shift(mut requests: Vec<scenario::OfferedRequest>) -> Vec<scenario::OfferedRequest> {
    for request in &mut requests {
        request.at = request.at + WARM_UP;
    }
    requests
}
