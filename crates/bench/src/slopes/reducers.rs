//! Measures the processor time of the reducers of gateway and agent per call, token and heartbeat.

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

/// Calls submitted at once; the scheduler determines how many of them run immediately.
const CALLS: u64 = 64;

/// Tokens that each running stream generates.
const TOKENS_PER_STREAM: u64 = 200;

/// Memory that the engine reports, in tokens.
const ENGINE_MEMORY: measures::TokenCount = measures::TokenCount::new(10_000_000);

/// Number of heartbeat intervals measured.
const HEARTBEATS: u32 = 1_000;

/// Interval at which the agent sends heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Processor time of one kind of event in the two reducers.
#[derive(Debug, Clone, Serialize)]
pub struct ReducerCost {
    /// Description of the event in the table and the JSON output.
    pub event: Box<str>,
    /// Mean time in the gateway's reducer, in microseconds.
    pub gateway_us: f64,
    /// Mean time in the agent's reducer, in microseconds.
    pub agent_us: f64,
}

/// Measures calls, tokens and heartbeats between one gateway and one agent.
pub fn measure() -> Vec<ReducerCost> {
    let mut pair = ReducerPair::new();
    pair.reset_times();
    for call in 0..CALLS {
        pair.submit_call(call);
    }
    let calls = pair.cost_per_event("call, until it is queued or runs".into(), CALLS);
    let running = pair.started_attempts.len() as u64;
    let state = format!("{running} streams running, {} queued", CALLS - running);

    pair.reset_times();
    for index in 0..TOKENS_PER_STREAM {
        pair.generate_tokens(index);
    }
    let tokens = pair.cost_per_event(
        format!("token, {state}").into(),
        running.max(1) * TOKENS_PER_STREAM,
    );

    pair.reset_times();
    for _ in 0..HEARTBEATS {
        pair.tick_reducers();
    }
    let heartbeats = pair.cost_per_event(
        format!("pulse and tick, {state}").into(),
        u64::from(HEARTBEATS),
    );
    vec![calls, tokens, heartbeats]
}

/// Event for one of the two reducers.
enum PairEvent {
    Gateway(gateway::GatewayEvent),
    Agent(agent::AgentEvent),
}

/// One gateway and one agent, connected by a link without delay or loss.
struct ReducerPair {
    now: time::Timestamp,
    gateway: gateway::GatewayReducer,
    agent: agent::AgentReducer,
    events: VecDeque<PairEvent>,
    started_attempts: Vec<ids::AttemptId>,
    gateway_time: Duration,
    agent_time: Duration,
}

impl ReducerPair {
    fn new() -> Self {
        let policy_set = policies::PolicySet::Kingcupfall;
        let agent_identity = agent::AgentIdentity {
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
            gateway: gateway::GatewayReducer::new(gateway_identity, policy_set.gateway_policies(1)),
            agent: agent::AgentReducer::new(agent_identity, policy_set.scheduler(None)),
            events: VecDeque::new(),
            started_attempts: Vec::new(),
            gateway_time: Duration::ZERO,
            agent_time: Duration::ZERO,
        };
        pair.handle_event(PairEvent::Agent(agent::AgentEvent::TargetHealth {
            up: true,
        }));
        pair.report_engine_load();
        pair.handle_event(PairEvent::Gateway(gateway::GatewayEvent::TargetsChanged(
            vec![target_listing()],
        )));
        pair
    }

    fn reset_times(&mut self) {
        self.gateway_time = Duration::ZERO;
        self.agent_time = Duration::ZERO;
    }

    /// Passes the agent a load report of an engine with a large, empty memory.
    fn report_engine_load(&mut self) {
        let report = engine::EngineReport {
            taken_at: self.now,
            memory_total: ENGINE_MEMORY,
            ..engine::EngineReport::default()
        };
        self.handle_event(PairEvent::Agent(agent::AgentEvent::EngineReport(report)));
    }

    fn cost_per_event(&self, event: Box<str>, count: u64) -> ReducerCost {
        let micros_per_event = |total: Duration| total.as_secs_f64() * 1e6 / count as f64;
        ReducerCost {
            event,
            gateway_us: micros_per_event(self.gateway_time),
            agent_us: micros_per_event(self.agent_time),
        }
    }

    fn submit_call(&mut self, call: u64) {
        let request = call_request(self.now, call);
        let event = gateway::GatewayEvent::Call(Box::new(request));
        self.handle_event(PairEvent::Gateway(event));
    }

    /// Generates the token at `index` of each running stream and reports it as delivered.
    fn generate_tokens(&mut self, index: u64) {
        for attempt in self.started_attempts.clone() {
            self.handle_event(PairEvent::Agent(agent::AgentEvent::Token {
                attempt,
                index: measures::SequenceNumber::new(index),
                text: " deposit".into(),
            }));
        }
        for call in 0..self.started_attempts.len() as u64 {
            self.handle_event(PairEvent::Gateway(gateway::GatewayEvent::TokensDelivered {
                call: ids::CallId::new(call),
                next: measures::SequenceNumber::new(index + 1),
            }));
        }
    }

    /// Advances the clock by one heartbeat interval and ticks both reducers.
    fn tick_reducers(&mut self) {
        self.now = self.now + HEARTBEAT_INTERVAL;
        self.handle_event(PairEvent::Agent(agent::AgentEvent::Tick));
        self.handle_event(PairEvent::Gateway(gateway::GatewayEvent::Tick));
    }

    fn handle_event(&mut self, event: PairEvent) {
        self.events.push_back(event);
        while let Some(event) = self.events.pop_front() {
            match event {
                PairEvent::Gateway(event) => self.handle_gateway_event(event),
                PairEvent::Agent(event) => self.handle_agent_event(event),
            }
        }
    }

    fn handle_gateway_event(&mut self, event: gateway::GatewayEvent) {
        let mut effects = Vec::new();
        let started_at = Instant::now();
        self.gateway.apply(self.now, event, &mut effects);
        self.gateway_time += started_at.elapsed();

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
                    let arrived = agent::AgentEvent::FrameReceived { link, frame };
                    self.events.push_back(PairEvent::Agent(arrived));
                }
                gateway::GatewayEffect::Reply { .. } | gateway::GatewayEffect::Exit => {}
            }
        }
    }

    fn handle_agent_event(&mut self, event: agent::AgentEvent) {
        let mut effects = Vec::new();
        let started_at = Instant::now();
        self.agent.apply(self.now, event, &mut effects);
        self.agent_time += started_at.elapsed();

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
                agent::AgentEffect::Generate(command) => {
                    self.started_attempts.push(command.attempt)
                }
                agent::AgentEffect::CallService { .. }
                | agent::AgentEffect::Pause { .. }
                | agent::AgentEffect::Resume { .. }
                | agent::AgentEffect::Cancel { .. }
                | agent::AgentEffect::Exit => {}
            }
        }
    }
}

fn target_listing() -> state::TargetListing {
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
            max_tokens: measures::TokenCount::new(TOKENS_PER_STREAM * 2),
        }),
        stream: true,
        repeatable: true,
        key: None,
        start_deadline: now + Duration::from_secs(60),
    }
}
