//! The test world: processes, links and time.

mod callers;
mod effects;
mod faults;
mod links;

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use kingcupfall_agent::reducer as agent;
use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_gateway::reducer as gateway;
use kingcupfall_link::frames;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::nodes;
use crate::observer;
use crate::operations::Operation;

const GATEWAYS: usize = 2;
const AGENTS: usize = 5;
const STEP: Duration = Duration::from_millis(10);
const TICK_STEPS: u64 = 5;
/// Time after the last operation in which every call must end.
const DRAIN: Duration = Duration::from_secs(240);

/// Times that callers give a call to start.
const START_PATIENCES: [Duration; 2] = [Duration::from_secs(4), Duration::from_secs(60)];
/// Time in which a caller that lost its connection is owed the rest of its stream.
const RESUME_GRACE: Duration = Duration::from_secs(15);
/// Usual upper end of a frame's delay, in milliseconds.
const DELAY_MILLIS: u64 = 30;
/// Share of frames at which a link stalls.
const STALL_SHARE: f64 = 0.01;
/// Upper end of a stall, in milliseconds.
const STALL_MILLIS: u64 = 8_000;
/// Upper end of the time for which frames on a closed link may still reach an agent.
const LINGER_MILLIS: u64 = 8_000;

/// A link as the network sees it.
#[derive(Debug)]
struct LinkRecord {
    gateway: usize,
    gateway_life: u64,
    agent: usize,
    agent_life: u64,
    silent: bool,
    /// Closed by the gateway; what is under way may still reach the agent until this time.
    closed_at: Option<time::Timestamp>,
    to_agent: VecDeque<(time::Timestamp, frames::GatewayFrame)>,
    to_gateway: VecDeque<(time::Timestamp, frames::AgentFrame)>,
}

/// What starts again later.
#[derive(Debug, Clone, Copy)]
enum DueStart {
    Gateway(usize),
    Agent(usize),
    Target(usize),
}

/// Everything in one case.
pub struct CaseWorld {
    now: time::Timestamp,
    steps: u64,
    generator: ChaCha8Rng,
    gateways: Vec<nodes::GatewayNode>,
    agents: Vec<nodes::AgentNode>,
    /// Links by their number, which is the same at both ends.
    links: BTreeMap<u64, LinkRecord>,
    /// Numbers of links by gateway, its life and its own number.
    names: BTreeMap<(usize, u64, ids::LinkId), u64>,
    next_link: u64,
    due: Vec<(time::Timestamp, DueStart)>,
    pub observer: observer::CaseObserver,
    /// Gateway and its life of each call.
    homes: BTreeMap<u64, (usize, u64)>,
    lengths: BTreeMap<u64, u64>,
    next_call: u64,
    patient: bool,
}

impl CaseWorld {
    pub fn new(seed: u64) -> Self {
        let mut world = Self {
            now: time::Timestamp::ZERO,
            steps: 0,
            generator: ChaCha8Rng::seed_from_u64(seed),
            gateways: (0..GATEWAYS)
                .map(|index| nodes::GatewayNode::new(index, 0))
                .collect(),
            agents: (0..AGENTS)
                .map(|index| nodes::AgentNode::new(index, 0))
                .collect(),
            links: BTreeMap::new(),
            names: BTreeMap::new(),
            next_link: 1,
            due: Vec::new(),
            observer: observer::CaseObserver::default(),
            homes: BTreeMap::new(),
            lengths: BTreeMap::new(),
            next_call: 1,
            patient: false,
        };
        for index in 0..AGENTS {
            world.agent_event(index, agent::AgentEvent::TargetHealth { up: true });
        }
        for index in 0..GATEWAYS {
            world.list_targets(index);
        }
        world.advance(Duration::from_millis(200));
        world
    }

    /// Gives every call enough time to start.
    pub fn with_patience(mut self) -> Self {
        self.patient = true;
        self
    }

    /// Checks that every caller who stayed got the whole answer.
    pub fn check_all_completed(&self) {
        for (call, record) in &self.observer.calls {
            let is_owed = record.connected && !record.repeat && !record.late;
            assert!(
                !is_owed || record.outcome == Some(work::CallOutcome::Completed),
                "call {call} did not complete: {record:?}"
            );
        }
    }

    /// Carries out all operations, lets everything end, and checks that every call did.
    pub fn run(&mut self, operations: &[Operation]) {
        for operation in operations {
            self.carry_out(*operation);
        }
        let end = self.now + DRAIN;
        while self.now < end && !self.is_idle() {
            self.advance(Duration::from_secs(1));
        }
        self.check_all_ended();
    }

    fn carry_out(&mut self, operation: Operation) {
        match operation {
            Operation::Advance(millis) => self.advance(Duration::from_millis(millis)),
            Operation::Call(gateway, kind, tokens) => self.call(gateway % GATEWAYS, kind, tokens),
            Operation::Repeat(call, gateway) => self.repeat(call, gateway % GATEWAYS),
            Operation::Leave(call) => self.break_caller(call),
            Operation::Resume(call, gateway) => self.resume(call, gateway % GATEWAYS),
            Operation::CloseLink(link) => {
                if let Some(number) = self.pick_link(link) {
                    self.lose_link(number);
                }
            }
            Operation::Silence(link) => {
                if let Some(number) = self.pick_link(link)
                    && let Some(record) = self.links.get_mut(&number)
                {
                    record.silent = true;
                }
            }
            Operation::KillGateway(index, span) => self.kill_gateway(index % GATEWAYS, span),
            Operation::KillAgent(index, span) => self.kill_agent(index % AGENTS, span),
            Operation::KillTarget(index, span) => self.kill_target(index % AGENTS, span),
            Operation::PauseGateway(index, span) => {
                let until = self.now + Duration::from_millis(span);
                self.gateways[index % GATEWAYS].paused_until = until;
            }
            Operation::PauseAgent(index, span) => {
                let until = self.now + Duration::from_millis(span);
                self.agents[index % AGENTS].paused_until = until;
            }
            Operation::LeaveAgent(index, span) => self.leave_agent(index % AGENTS, span),
        }
    }

    pub fn advance(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + STEP;
            self.steps += 1;
            self.make_due_changes();
            self.run_targets();
            self.deliver_frames();
            if self.steps.is_multiple_of(TICK_STEPS) {
                self.tick();
            }
        }
    }

    fn tick(&mut self) {
        for index in 0..AGENTS {
            self.agent_event(index, agent::AgentEvent::Tick);
        }
        for index in 0..GATEWAYS {
            self.gateway_event(index, gateway::GatewayEvent::Tick);
        }
    }

    fn list_targets(&mut self, index: usize) {
        let listings = nodes::listings(AGENTS);
        self.gateway_event(index, gateway::GatewayEvent::TargetsChanged(listings));
    }

    /// Lets every target make some tokens or answers.
    fn run_targets(&mut self) {
        for index in 0..AGENTS {
            let node = &self.agents[index];
            if !node.alive || !node.target_up || node.paused_until > self.now {
                continue;
            }
            let attempts: Vec<ids::AttemptId> = node.work.keys().copied().collect();
            for attempt in attempts {
                if self.generator.random_bool(0.3) {
                    self.run_work(index, attempt);
                }
            }
        }
    }

    fn run_work(&mut self, index: usize, attempt: ids::AttemptId) {
        let Some(target) = self.agents[index].work.get_mut(&attempt) else {
            return;
        };
        if target.left > 0 {
            let made = target.made;
            target.left -= 1;
            target.made += 1;
            let event = agent::AgentEvent::Token {
                attempt,
                index: measures::SequenceNumber::new(made),
                text: observer::token_text(attempt, made).into(),
            };
            self.agent_event(index, event);
            return;
        }

        let target = self.agents[index].work.remove(&attempt).unwrap();
        let event = match target.request {
            work::WorkRequest::Generation(_) => {
                self.observer.record_total(attempt, target.made);
                agent::AgentEvent::GenerationEnded {
                    attempt,
                    reason: work::FinishReason::Stop,
                }
            }
            work::WorkRequest::Service(request) => {
                let operation = String::from_utf8(request.body).unwrap();
                agent::AgentEvent::Responded {
                    attempt,
                    response: work::ServiceResponse {
                        status: 200,
                        content_type: "text/plain".into(),
                        body: format!("booked {operation}").into_bytes(),
                    },
                }
            }
        };
        self.agent_event(index, event);
    }

    fn is_idle(&self) -> bool {
        let gateways_idle = self
            .gateways
            .iter()
            .all(|node| node.reducer.calls().is_empty());
        let targets_idle = self.agents.iter().all(|node| node.work.is_empty());
        let links_idle = self.links.values().all(|record| record.closed_at.is_none());
        gateways_idle && targets_idle && links_idle && self.due.is_empty()
    }

    fn check_all_ended(&self) {
        for (call, record) in &self.observer.calls {
            let (gateway, life) = self.homes[call];
            let node = &self.gateways[gateway];
            if record.connected && node.alive && node.life == life {
                assert!(
                    record.outcome.is_some(),
                    "call {call} never ended: {record:?}"
                );
            }
        }
        for (index, node) in self.gateways.iter().enumerate() {
            assert!(
                node.reducer.calls().is_empty(),
                "gateway {index} keeps calls"
            );
        }
        for (index, node) in self.agents.iter().enumerate() {
            assert!(node.work.is_empty(), "target {index} still works");
        }
    }
}
