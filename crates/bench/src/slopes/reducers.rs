//! Processor time of the gateway's and the agent's reducer for each call, token and pulse.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use kingcupfall_agent::reducer as agent;
use kingcupfall_core::engine;
use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_gateway::reducer as gateway;
use kingcupfall_gateway::state;
use serde::Serialize;

use crate::policies;

/// Calls made together; the scheduler decides how many of them run at first.
const STREAMS: u64 = 64;

/// Tokens of each stream.
const TOKENS: u64 = 200;

/// Memory of the engine.
const MEMORY: measures::TokenCount = measures::TokenCount::new(10_000_000);

/// Pulses measured.
const PULSES: u32 = 1_000;

/// Time between two pulses.
const PULSE_INTERVAL: Duration = Duration::from_millis(500);

/// Cost of one kind of event at both ends of a link.
#[derive(Debug, Clone, Serialize)]
pub struct ReducerCost {
    /// What is done.
    pub event: Box<str>,
    /// Time of the gateway's reducer, in microseconds.
    pub gateway_us: f64,
    /// Time of the agent's reducer, in microseconds.
    pub agent_us: f64,
}

/// Measures calls, tokens and pulses of one gateway with one agent.
pub fn measure() -> Vec<ReducerCost> {
    let mut pair = ReducerPair::new();
    pair.reset();
    for call in 0..STREAMS {
        pair.call(call);
    }
    let calls = pair.cost("call, until it is queued or runs".into(), STREAMS);
    let running = pair.started.len() as u64;
    let state = format!("{running} streams running, {} queued", STREAMS - running);

    pair.reset();
    for index in 0..TOKENS {
        pair.generate(index);
    }
    let tokens = pair.cost(format!("token, {state}").into(), running.max(1) * TOKENS);

    pair.reset();
    for _ in 0..PULSES {
        pair.advance();
    }
    let pulses = pair.cost(format!("pulse and tick, {state}").into(), u64::from(PULSES));
    vec![calls, tokens, pulses]
}

/// An event for one of the two reducers.
enum PairEvent {
    Gateway(gateway::GatewayEvent),
    Agent(agent::AgentEvent),
}

/// One gateway and one agent with a perfect link.
struct ReducerPair {
    now: time::Timestamp,
    gateway: gateway::GatewayReducer,
    agent: agent::AgentReducer,
    events: VecDeque<PairEvent>,
    started: Vec<ids::AttemptId>,
    gateway_time: Duration,
    agent_time: Duration,
}

impl ReducerPair {
    fn new() -> Self {
        let set = policies::PolicySet::Kingcupfall;
        let identity = agent::AgentIdentity {
            target: "engine-1".parse().expect("a valid name"),
            incarnation: ids::Incarnation::from_u128(1),
            zone: "a".parse().expect("a valid name"),
        };
        let gateway_identity = gateway::GatewayIdentity {
            process: ids::ProcessId::from_u128(1),
            zone: "a".parse().expect("a valid name"),
            seed: 1,
        };
        let mut pair = Self {
            now: time::Timestamp::ZERO,
            gateway: gateway::GatewayReducer::new(gateway_identity, set.gateway(1)),
            agent: agent::AgentReducer::new(identity, set.scheduler(None)),
            events: VecDeque::new(),
            started: Vec::new(),
            gateway_time: Duration::ZERO,
            agent_time: Duration::ZERO,
        };
        pair.take(PairEvent::Agent(agent::AgentEvent::TargetHealth {
            up: true,
        }));
        pair.report();
        pair.take(PairEvent::Gateway(gateway::GatewayEvent::TargetsChanged(
            vec![listing()],
        )));
        pair
    }

    fn reset(&mut self) {
        self.gateway_time = Duration::ZERO;
        self.agent_time = Duration::ZERO;
    }

    /// Has the engine report an empty and large memory.
    fn report(&mut self) {
        let report = engine::EngineReport {
            taken_at: self.now,
            memory_total: MEMORY,
            ..engine::EngineReport::default()
        };
        self.take(PairEvent::Agent(agent::AgentEvent::EngineReport(report)));
    }

    fn cost(&self, event: Box<str>, count: u64) -> ReducerCost {
        let each = |total: Duration| total.as_secs_f64() * 1e6 / count as f64;
        ReducerCost {
            event,
            gateway_us: each(self.gateway_time),
            agent_us: each(self.agent_time),
        }
    }

    fn call(&mut self, call: u64) {
        let request = call_request(self.now, call);
        let event = gateway::GatewayEvent::Call(Box::new(request));
        self.take(PairEvent::Gateway(event));
    }

    /// Makes the token at a place of each stream, and has callers take it.
    fn generate(&mut self, index: u64) {
        for attempt in self.started.clone() {
            self.take(PairEvent::Agent(agent::AgentEvent::Token {
                attempt,
                index: measures::SequenceNumber::new(index),
                text: " deposit".into(),
            }));
        }
        for call in 0..self.started.len() as u64 {
            self.take(PairEvent::Gateway(gateway::GatewayEvent::TokensDelivered {
                call: ids::CallId::new(call),
                next: measures::SequenceNumber::new(index + 1),
            }));
        }
    }

    fn advance(&mut self) {
        self.now = self.now + PULSE_INTERVAL;
        self.take(PairEvent::Agent(agent::AgentEvent::Tick));
        self.take(PairEvent::Gateway(gateway::GatewayEvent::Tick));
    }

    fn take(&mut self, event: PairEvent) {
        self.events.push_back(event);
        while let Some(event) = self.events.pop_front() {
            match event {
                PairEvent::Gateway(event) => self.take_gateway(event),
                PairEvent::Agent(event) => self.take_agent(event),
            }
        }
    }

    fn take_gateway(&mut self, event: gateway::GatewayEvent) {
        let mut effects = Vec::new();
        let started = Instant::now();
        self.gateway.apply(self.now, event, &mut effects);
        self.gateway_time += started.elapsed();

        for effect in effects {
            match effect {
                gateway::GatewayEffect::Connect { link, .. } => {
                    let opened = agent::AgentEvent::LinkOpened { link };
                    self.events.push_back(PairEvent::Agent(opened));
                    let opened = gateway::GatewayEvent::LinkOpened { link };
                    self.events.push_back(PairEvent::Gateway(opened));
                }
                gateway::GatewayEffect::CloseLink { link } => {
                    let closed = agent::AgentEvent::LinkClosed { link };
                    self.events.push_back(PairEvent::Agent(closed));
                }
                gateway::GatewayEffect::Send { link, frame } => {
                    let arrived = agent::AgentEvent::Frame { link, frame };
                    self.events.push_back(PairEvent::Agent(arrived));
                }
                gateway::GatewayEffect::Reply { .. } | gateway::GatewayEffect::Exit => {}
            }
        }
    }

    fn take_agent(&mut self, event: agent::AgentEvent) {
        let mut effects = Vec::new();
        let started = Instant::now();
        self.agent.apply(self.now, event, &mut effects);
        self.agent_time += started.elapsed();

        for effect in effects {
            match effect {
                agent::AgentEffect::Send { link, frame } => {
                    let arrived = gateway::GatewayEvent::FrameReceived { link, frame };
                    self.events.push_back(PairEvent::Gateway(arrived));
                }
                agent::AgentEffect::CloseLink { link } => {
                    let closed = gateway::GatewayEvent::LinkClosed { link };
                    self.events.push_back(PairEvent::Gateway(closed));
                }
                agent::AgentEffect::Generate(command) => self.started.push(command.attempt),
                agent::AgentEffect::CallService { .. }
                | agent::AgentEffect::Pause { .. }
                | agent::AgentEffect::Resume { .. }
                | agent::AgentEffect::Cancel { .. }
                | agent::AgentEffect::Exit => {}
            }
        }
    }
}

fn listing() -> state::TargetListing {
    state::TargetListing {
        name: "engine-1".parse().expect("a valid name"),
        address: "127.0.0.1:9".parse().expect("a valid address"),
        zone: "a".parse().expect("a valid name"),
        serves: state::ServedWork::Models(vec!["report".parse().expect("a valid name")]),
        leaving: false,
    }
}

fn call_request(now: time::Timestamp, call: u64) -> gateway::CallRequest {
    let model: ids::ModelName = "report".parse().expect("a valid name");
    let prompt = format!("Duct {call}, north wall");
    gateway::CallRequest {
        call: ids::CallId::new(call),
        tag: work::CallerTag {
            organisation: "exaustao".parse().expect("a valid name"),
            class: "report".parse().expect("a valid name"),
            priority: measures::Priority::new(2),
            weight: measures::Weight::new(1),
        },
        fingerprint: work::RequestFingerprint::new(call),
        work: work::WorkRequest::Generation(work::GenerationRequest {
            prefix: work::PrefixHash::of_prompt(&model, &prompt),
            model,
            prompt_tokens: work::estimate_tokens(&prompt),
            prompt: prompt.into(),
            max_tokens: measures::TokenCount::new(TOKENS * 2),
        }),
        stream: true,
        repeatable: true,
        key: None,
        start_deadline: now + Duration::from_secs(60),
    }
}
