//! Events and effects of the gateways, and their callers.

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

/// Name of the model that all engines serve.
const MODEL: &str = "bench";

/// Interval, in tokens, at which the gateway is notified of the tokens that a caller received.
const DELIVERY_REPORT_TOKENS: u64 = 32;

/// Maximum calls that the caller of a poisonous request makes for it, including the first.
const MAX_POISON_CALLS: usize = 5;

/// Minimum delay before that caller's next call, also used if the gateway gave no delay.
const MIN_POISON_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Maximum delay before that caller's next call.
const MAX_POISON_RETRY_DELAY: Duration = Duration::from_secs(30);

/// Delay of gossip from one gateway to another.
const GOSSIP_DELAY: Duration = Duration::from_millis(500);

/// Placeholder address of all agents, as the bench opens no sockets.
const AGENT_ADDRESS: net::SocketAddr =
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::LOCALHOST), 1);

pub(super) fn make_gateway(
    scenario: &scenario::Scenario,
    policies: RunPolicies,
    index: usize,
) -> gateway::GatewayReducer {
    let seed = scenario.seed.wrapping_mul(31).wrapping_add(index as u64);
    let identity = gateway::GatewayIdentity {
        process: ids::ProcessId::from_u128(index as u128 + 1),
        zone: super::node::zone_name(index),
        seed,
    };
    gateway::GatewayReducer::new(identity, policies.set.gateway_policies(seed))
}

pub(super) fn target_listings(nodes: &[TargetNode]) -> Vec<state::TargetListing> {
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
    pub(super) fn send_request(&mut self, request: usize) {
        let is_first = self.observer.call_count(request) == 0;
        if is_first {
            self.remaining_arrivals -= 1;
        }
        let call = self.observer.open_call(request);
        let gateway = call % self.gateways.len();
        let event = gateway::GatewayEvent::Call(Box::new(self.build_call_request(request, call)));
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
                    self.close_by_gateway(gateway, link);
                }
                gateway::GatewayEffect::Send { link, frame } => {
                    self.send_to_agent(gateway, link, LinkInput::Frame(Box::new(frame)));
                }
                gateway::GatewayEffect::Reply { call, reply } => {
                    self.handle_reply(gateway, call, &reply);
                }
                gateway::GatewayEffect::Exit => {}
            }
        }
    }

    /// Forwards each gateway's suspect requests to the other gateways, as gossip does.
    pub(super) fn gossip_suspects(&mut self) {
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

    fn handle_reply(&mut self, gateway: usize, call: ids::CallId, reply: &gateway::CallReply) {
        let call_number = call.get() as usize;
        let previous = self.observer.received_tokens(call_number);
        let has_failed = self.observer.handle_reply(self.now, call_number, reply);
        let next = self.observer.received_tokens(call_number);

        if previous / DELIVERY_REPORT_TOKENS != next / DELIVERY_REPORT_TOKENS {
            let event = gateway::GatewayEvent::TokensDelivered {
                call,
                next: measures::SequenceNumber::new(next),
            };
            self.push(Duration::ZERO, SimulationEvent::Gateway { gateway, event });
        }
        if let gateway::CallReply::Problem(problem) = reply
            && has_failed
        {
            self.schedule_retry(call_number, problem);
        }
    }

    /// Schedules another call of a poisonous request by its caller, up to the maximum of calls.
    fn schedule_retry(&mut self, call: usize, problem: &gateway::CallProblem) {
        let request = self.observer.request_of_call(call);
        let is_poisonous = self.observer.offered_request(request).is_poisonous;
        if !is_poisonous || self.observer.call_count(request) >= MAX_POISON_CALLS {
            return;
        }
        let delay = problem.retry_after.unwrap_or(MIN_POISON_RETRY_DELAY);
        self.push(
            delay.clamp(MIN_POISON_RETRY_DELAY, MAX_POISON_RETRY_DELAY),
            SimulationEvent::SendRequest { request },
        );
    }

    fn build_call_request(&self, request: usize, call: usize) -> gateway::CallRequest {
        let offered_request = self.observer.offered_request(request);
        let class = &self.scenario.classes[offered_request.class];
        let work = work::GenerationRequest {
            model: model_name(),
            prompt: call.to_string().into(),
            prompt_tokens: measures::TokenCount::new(offered_request.prompt_tokens),
            prefix: work::PrefixHash::new(offered_request.class as u64 + 1),
            max_tokens: measures::TokenCount::new(scenario::MAX_OUTPUT_TOKENS),
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
        self.now + observer::START_TIMEOUT
    }
}

fn model_name() -> ids::ModelName {
    MODEL.parse().expect("a valid name")
}
