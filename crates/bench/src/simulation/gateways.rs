//! Gateways, and the callers before them.

use std::net;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_gateway::reducer as gateway;
use kingcupfall_gateway::state;

use super::LinkInput;
use super::RunPolicies;
use super::Simulation;
use super::SimulationEvent;
use super::node::TargetNode;
use crate::observer;
use crate::scenario;

/// Model that all engines serve.
const MODEL: &str = "bench";

/// Tokens after which a caller says what it has taken.
const PROGRESS_TOKENS: u64 = 32;

/// Calls that the caller of a poisonous request makes for it.
const POISON_CALLS: usize = 5;

/// Wait of that caller when it was told none.
const POISON_WAIT: Duration = Duration::from_secs(2);

/// Longest wait of that caller.
const POISON_WAIT_LIMIT: Duration = Duration::from_secs(30);

/// Time that gossip takes from one gateway to another.
const GOSSIP_DELAY: Duration = Duration::from_millis(500);

/// Address of all agents; the bench opens no sockets.
const AGENT_ADDRESS: net::SocketAddr =
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::LOCALHOST), 1);

pub(super) fn make_gateway(
    scenario: &scenario::Scenario,
    set: RunPolicies,
    index: usize,
) -> gateway::GatewayReducer {
    let seed = scenario.seed.wrapping_mul(31).wrapping_add(index as u64);
    let identity = gateway::GatewayIdentity {
        process: ids::ProcessId::from_u128(index as u128 + 1),
        zone: super::node::zone_name(index),
        seed,
    };
    gateway::GatewayReducer::new(identity, set.set.gateway(seed))
}

pub(super) fn listings(nodes: &[TargetNode]) -> Vec<state::TargetListing> {
    nodes
        .iter()
        .map(|node| state::TargetListing {
            name: node.name().clone(),
            address: AGENT_ADDRESS,
            zone: node.zone().clone(),
            serves: state::ServedWork::Models(vec![model_name()]),
            leaving: false,
        })
        .collect()
}

impl Simulation<'_> {
    pub(super) fn arrive(&mut self, request: usize) {
        let is_first = self.observer.calls_of(request) == 0;
        if is_first {
            self.arrivals_left -= 1;
        }
        let call = self.observer.open_call(request);
        let gateway = call % self.gateways.len();
        let event = gateway::GatewayEvent::Call(Box::new(self.call_request(request, call)));
        self.apply_gateway(gateway, event);
    }

    pub(super) fn tick_gateway(&mut self, gateway: usize) {
        self.apply_gateway(gateway, gateway::GatewayEvent::Tick);
        self.push(
            gateway::TICK_INTERVAL,
            SimulationEvent::GatewayTick { gateway },
        );
    }

    pub(super) fn apply_gateway(&mut self, gateway: usize, event: gateway::GatewayEvent) {
        let mut effects = Vec::new();
        self.gateways[gateway].apply(self.now, event, &mut effects);

        for effect in effects {
            match effect {
                gateway::GatewayEffect::Connect { link, target, .. } => {
                    self.connect(gateway, link, &target);
                }
                gateway::GatewayEffect::CloseLink { link } => {
                    self.close_from_gateway(gateway, link);
                }
                gateway::GatewayEffect::Send { link, frame } => {
                    self.send_input(gateway, link, LinkInput::Frame(Box::new(frame)));
                }
                gateway::GatewayEffect::Reply { call, reply } => {
                    self.take_reply(gateway, call, &reply);
                }
                gateway::GatewayEffect::Exit => {}
            }
        }
    }

    /// Tells each gateway what the others hold against requests, as their gossip does.
    pub(super) fn share_suspects(&mut self) {
        for from in 0..self.gateways.len() {
            let records = self.gateways[from].suspects(self.now);
            if records.is_empty() {
                continue;
            }
            for gateway in (0..self.gateways.len()).filter(|gateway| *gateway != from) {
                let event = gateway::GatewayEvent::SuspectsReceived(records.clone());
                self.push(GOSSIP_DELAY, SimulationEvent::Gateway { gateway, event });
            }
        }
    }

    fn take_reply(&mut self, gateway: usize, call: ids::CallId, reply: &gateway::CallReply) {
        let number = call.get() as usize;
        let before = self.observer.received(number);
        let has_failed = self.observer.take_reply(self.now, number, reply);
        let next = self.observer.received(number);

        if before / PROGRESS_TOKENS != next / PROGRESS_TOKENS {
            let event = gateway::GatewayEvent::TokensDelivered {
                call,
                next: measures::SequenceNumber::new(next),
            };
            self.push(Duration::ZERO, SimulationEvent::Gateway { gateway, event });
        }
        if let gateway::CallReply::Problem(problem) = reply
            && has_failed
        {
            self.send_again(number, problem);
        }
    }

    /// Lets the caller of a poisonous request send it again.
    fn send_again(&mut self, call: usize, problem: &gateway::CallProblem) {
        let request = self.observer.call_request(call);
        let is_poisonous = self.observer.expected(request).is_poisonous;
        if !is_poisonous || self.observer.calls_of(request) >= POISON_CALLS {
            return;
        }
        let wait = problem.retry_after.unwrap_or(POISON_WAIT);
        self.push(
            wait.clamp(POISON_WAIT, POISON_WAIT_LIMIT),
            SimulationEvent::Arrive { request },
        );
    }

    fn call_request(&self, request: usize, call: usize) -> gateway::CallRequest {
        let expected = self.observer.expected(request);
        let class = &self.scenario.classes[expected.class];
        let work = work::GenerationRequest {
            model: model_name(),
            prompt: call.to_string().into(),
            prompt_tokens: measures::TokenCount::new(expected.prompt_tokens),
            prefix: work::PrefixHash::new(expected.class as u64 + 1),
            max_tokens: measures::TokenCount::new(scenario::OUTPUT_LIMIT_TOKENS),
        };

        gateway::CallRequest {
            call: ids::CallId::new(call as u64),
            tag: work::CallerTag {
                organisation: class.organisation.clone(),
                class: class.name.clone(),
                priority: measures::Priority::new(class.priority),
                weight: measures::Weight::new(1),
            },
            fingerprint: work::RequestFingerprint::new(request as u64 + 1),
            work: work::WorkRequest::Generation(work),
            stream: class.stream,
            repeatable: class.repeatable,
            key: None,
            start_deadline: self.start_deadline(),
        }
    }

    fn start_deadline(&self) -> time::Timestamp {
        self.now + observer::START_WINDOW
    }
}

fn model_name() -> ids::ModelName {
    MODEL.parse().expect("a valid name")
}
