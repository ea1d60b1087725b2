//! Gateways, agents and fake targets of the test world.

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

/// Work inside a fake target.
#[derive(Debug, Clone)]
pub struct TargetWork {
    /// Tokens still to come.
    pub left: u64,
    /// Tokens so far.
    pub made: u64,
    /// What is asked for.
    pub request: work::WorkRequest,
}

/// One gateway process.
pub struct GatewayNode {
    pub reducer: gateway::GatewayReducer,
    pub alive: bool,
    pub paused_until: time::Timestamp,
    pub life: u64,
}

/// One agent process and the target beside it.
pub struct AgentNode {
    pub reducer: agent::AgentReducer,
    pub alive: bool,
    pub paused_until: time::Timestamp,
    pub life: u64,
    pub target_up: bool,
    pub work: BTreeMap<ids::AttemptId, TargetWork>,
    pub left_at: Option<time::Timestamp>,
    /// Milliseconds from the end of a planned stop to the next life.
    pub restart_span: u64,
}

impl GatewayNode {
    pub fn new(index: usize, life: u64) -> Self {
        let seed = index as u64 * 1_000 + life;
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
            life,
        }
    }
}

impl AgentNode {
    pub fn new(index: usize, life: u64) -> Self {
        let identity = agent::AgentIdentity {
            target: target_name(index),
            incarnation: ids::Incarnation::from_u128(index as u128 * 1_000 + u128::from(life)),
            zone: "a".parse().unwrap(),
        };
        let scheduler = Box::new(schedule::NaiveScheduler::new());

        Self {
            reducer: agent::AgentReducer::new(identity, scheduler),
            alive: true,
            paused_until: time::Timestamp::ZERO,
            life,
            target_up: true,
            work: BTreeMap::new(),
            left_at: None,
            restart_span: 0,
        }
    }
}

pub fn target_name(index: usize) -> ids::TargetName {
    format!("target-{index}").parse().unwrap()
}

/// Targets are engines but for the last, which is a booking service.
pub fn listings(agents: usize) -> Vec<state::TargetListing> {
    (0..agents)
        .map(|index| state::TargetListing {
            name: target_name(index),
            address: "127.0.0.1:9".parse().unwrap(),
            zone: "a".parse().unwrap(),
            serves: match index < agents - 2 {
                true => state::ServedWork::Models(vec!["report".parse().unwrap()]),
                false => state::ServedWork::Service("bookings".parse().unwrap()),
            },
            leaving: false,
        })
        .collect()
}
