//! Simulated gateways, agents and targets.

use std::collections::BTreeMap;

use kingcupfall_agent::reducer as agent;
use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_gateway::reducer as gateway;
use kingcupfall_gateway::state;
use kingcupfall_policy::limit;
use kingcupfall_policy::place;
use kingcupfall_policy::quarantine;
use kingcupfall_policy::retry;
use kingcupfall_policy::schedule;

/// An attempt that a simulated target runs.
#[derive(Debug, Clone)]
pub struct RunningWork {
    /// Number of tokens still to generate; 0 for a service call.
    pub remaining_tokens: u64,
    /// Number of tokens generated so far.
    pub generated_tokens: u64,
    /// Requested generation or service call.
    pub request: work::WorkRequest,
}

/// A gateway process.
pub struct GatewayNode {
    pub reducer: gateway::GatewayReducer,
    pub alive: bool,
    /// Until then, the gateway handles no ticks and receives no frames.
    pub paused_until: time::Timestamp,
    /// Number of this incarnation, from 0.
    pub incarnation: u64,
}

/// An agent process and its target.
pub struct AgentNode {
    pub reducer: agent::AgentReducer,
    pub alive: bool,
    /// Until then, the agent handles no ticks, receives no frames and accepts no links, and its
    /// target makes no progress.
    pub paused_until: time::Timestamp,
    /// Number of this incarnation, from 0.
    pub incarnation: u64,
    pub target_up: bool,
    /// Attempts that the target runs.
    pub work: BTreeMap<ids::AttemptId, RunningWork>,
    /// When a planned stop was requested; the agent must start no work after that.
    pub stop_requested_at: Option<time::Timestamp>,
    /// Time from the exit that ends a planned stop to the next incarnation, in milliseconds.
    pub restart_delay_ms: u64,
}

impl GatewayNode {
    pub fn new(index: usize, incarnation: u64) -> Self {
        let seed = index as u64 * 1_000 + incarnation;
        let identity = gateway::GatewayIdentity {
            process: ids::ProcessId::from_u128(u128::from(seed) + 1),
            zone: "a".parse().unwrap(),
            seed,
        };
        let policies = gateway::GatewayPolicies {
            placement: Box::new(place::LeastOutstandingPlacement::default()),
            retry: Box::new(retry::BudgetedRetry::new(seed)),
            limit: Box::new(limit::BucketLimit::default()),
            quarantine: Box::new(quarantine::SuspectQuarantine::default()),
        };

        Self {
            reducer: gateway::GatewayReducer::new(identity, policies),
            alive: true,
            paused_until: time::Timestamp::ZERO,
            incarnation,
        }
    }
}

impl AgentNode {
    pub fn new(index: usize, incarnation: u64) -> Self {
        let identity = agent::AgentIdentity {
            target: target_name(index),
            incarnation: ids::Incarnation::from_u128(
                index as u128 * 1_000 + u128::from(incarnation),
            ),
            zone: "a".parse().unwrap(),
        };
        let scheduler = Box::new(schedule::ImmediateScheduler::new());

        Self {
            reducer: agent::AgentReducer::new(identity, scheduler),
            alive: true,
            paused_until: time::Timestamp::ZERO,
            incarnation,
            target_up: true,
            work: BTreeMap::new(),
            stop_requested_at: None,
            restart_delay_ms: 0,
        }
    }
}

pub fn target_name(index: usize) -> ids::TargetName {
    format!("target-{index}").parse().unwrap()
}

/// Returns the listings of all targets: the last two are booking services, the others engines.
pub fn target_listings(agent_count: usize) -> Vec<state::TargetListing> {
    (0..agent_count)
        .map(|index| state::TargetListing {
            name: target_name(index),
            address: "127.0.0.1:9".parse().unwrap(),
            zone: "a".parse().unwrap(),
            serves: match index < agent_count - 2 {
                true => state::ServedWork::Models(vec!["report".parse().unwrap()]),
                false => state::ServedWork::Service("bookings".parse().unwrap()),
            },
            leaving: false,
        })
        .collect()
}
