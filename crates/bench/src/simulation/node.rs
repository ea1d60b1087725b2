//! Target VMs, each with one agent and one engine.

use std::collections::BTreeMap;
use std::time::Duration;

use kingcupfall_agent::reducer as agent;
use kingcupfall_core::engine;
use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_model as model;

use super::RunPolicies;
use crate::scenario;

/// Zones that VMs and gateways are distributed over in turn.
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Offset between the clocks of consecutive agents, so that no two processes share a clock.
const CLOCK_OFFSET_STEP: Duration = Duration::from_secs(1_000);

/// Generation that an engine is working on.
#[derive(Debug, Clone, Copy)]
pub struct EngineGeneration {
    /// Number that the observer gave it when it started.
    pub number: u64,
    /// Whether its first token crashes the engine.
    pub is_poisonous: bool,
}

/// State of one target VM.
pub struct TargetNode {
    name: ids::TargetName,
    zone: ids::ZoneName,
    agent: agent::AgentReducer,
    engine: model::EngineModel,
    profile: model::EngineProfile,
    seed: u64,
    index: usize,
    incarnation: u64,
    is_alive: bool,
    is_engine_up: bool,
    suspended_until: Option<time::Timestamp>,
    /// Total time for which the engine was suspended; its clock lags by this much.
    suspended_for: Duration,
    /// Due time of the valid step event in the queue; other step events are ignored.
    pub(super) scheduled_step: Option<time::Timestamp>,
    /// Generations in the engine by attempt.
    pub(super) generations: BTreeMap<ids::AttemptId, EngineGeneration>,
    /// When the target began to leave; `None` if it is not leaving.
    pub(super) leaving_since: Option<time::Timestamp>,
    previous_preemptions: u64,
}

impl TargetNode {
    /// Creates a running VM; `index` determines its name, zone and clock offset.
    pub fn new(scenario: &scenario::Scenario, policies: RunPolicies, index: usize) -> Self {
        let name: ids::TargetName = format!("engine-{}", index + 1)
            .parse()
            .expect("a valid name");
        let zone = zone_name(index);
        let profile = scenario.engine.profile.clone();
        let seed = scenario.seed.wrapping_add(1_000 + index as u64);

        Self {
            agent: make_agent(&name, &zone, policies, index, 0),
            engine: model::EngineModel::new(profile.clone(), seed),
            name,
            zone,
            profile,
            seed,
            index,
            incarnation: 0,
            is_alive: true,
            is_engine_up: true,
            suspended_until: None,
            suspended_for: Duration::ZERO,
            scheduled_step: None,
            generations: BTreeMap::new(),
            leaving_since: None,
            previous_preemptions: 0,
        }
    }

    /// Returns the name of the target on this VM.
    pub fn name(&self) -> &ids::TargetName {
        &self.name
    }

    /// Returns the availability zone of the VM.
    pub fn zone(&self) -> &ids::ZoneName {
        &self.zone
    }

    /// Returns the incarnation of the VM, which increases when it is killed and when it restarts.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns whether the VM is running; a suspended VM counts as running.
    pub fn is_alive(&self) -> bool {
        self.is_alive
    }

    /// Returns whether the engine is running, not crashed.
    pub fn is_engine_up(&self) -> bool {
        self.is_engine_up
    }

    /// Returns when the VM resumes; `None` if it is not suspended.
    pub fn suspended_until(&self) -> Option<time::Timestamp> {
        self.suspended_until
    }

    /// Returns the reducer of the current incarnation's agent.
    pub fn agent(&mut self) -> &mut agent::AgentReducer {
        &mut self.agent
    }

    /// Returns the engine model; it is replaced when the engine crashes or the VM restarts.
    pub fn engine(&mut self) -> &mut model::EngineModel {
        &mut self.engine
    }

    /// Converts simulated time to the agent's clock, which has a constant offset.
    pub fn agent_time(&self, now: time::Timestamp) -> time::Timestamp {
        now + CLOCK_OFFSET_STEP * (self.index as u32 + 1)
    }

    /// Converts simulated time to the engine's clock, which stops while the VM is suspended.
    pub fn engine_time(&self, now: time::Timestamp) -> time::Timestamp {
        time::Timestamp::ZERO + now.since(time::Timestamp::ZERO + self.suspended_for)
    }

    /// Returns when the engine's current step ends, in simulated time; `None` without a step.
    pub fn step_ends_at(&self) -> Option<time::Timestamp> {
        self.engine
            .step_ends_at()
            .map(|step| step + self.suspended_for)
    }

    /// Returns the load of the engine; `None` if the engine or its VM is down.
    pub fn report(&self, now: time::Timestamp) -> Option<engine::EngineReport> {
        let is_up = self.is_alive && self.is_engine_up;
        is_up.then(|| engine::EngineReport {
            taken_at: self.agent_time(now),
            ..self.engine.report(now)
        })
    }

    /// Returns the preemptions of all engines that the VM has run.
    pub fn preemptions(&self) -> u64 {
        self.previous_preemptions + self.engine.preemptions()
    }

    /// Suspends the agent and the engine for `duration`.
    pub fn suspend(&mut self, now: time::Timestamp, duration: Duration) {
        self.suspended_until = Some(now + duration);
    }

    /// Resumes the agent and the engine after a suspension of `duration`.
    pub fn resume(&mut self, duration: Duration) {
        self.suspended_until = None;
        self.suspended_for += duration;
        self.scheduled_step = None;
    }

    /// Kills the VM; its engine loses all streams.
    pub fn kill(&mut self) {
        self.is_alive = false;
        self.incarnation += 1;
        self.replace_engine();
    }

    /// Starts the VM in a new incarnation, with a new agent and engine.
    pub fn restart(&mut self, policies: RunPolicies) {
        self.incarnation += 1;
        self.is_alive = true;
        self.is_engine_up = true;
        self.suspended_until = None;
        self.leaving_since = None;
        self.replace_engine();
        self.agent = make_agent(
            &self.name,
            &self.zone,
            policies,
            self.index,
            self.incarnation,
        );
    }

    /// Stops the engine; it loses all streams.
    pub fn crash_engine(&mut self) {
        self.is_engine_up = false;
        self.replace_engine();
    }

    /// Marks the engine as running after a crash.
    pub fn restart_engine(&mut self) {
        self.is_engine_up = true;
    }

    fn replace_engine(&mut self) {
        self.previous_preemptions += self.engine.preemptions();
        self.engine =
            model::EngineModel::new(self.profile.clone(), self.seed + self.incarnation + 1);
        self.scheduled_step = None;
        self.generations.clear();
    }
}

/// Returns the zone of the VM or gateway with this index.
pub(super) fn zone_name(index: usize) -> ids::ZoneName {
    ZONES[index % ZONES.len()].parse().expect("a valid name")
}

fn make_agent(
    name: &ids::TargetName,
    zone: &ids::ZoneName,
    policies: RunPolicies,
    index: usize,
    incarnation: u64,
) -> agent::AgentReducer {
    let incarnation_id = ((index as u128 + 1) << 64) | u128::from(incarnation);
    let identity = agent::AgentIdentity {
        target: name.clone(),
        incarnation: ids::Incarnation::from_u128(incarnation_id),
        zone: zone.clone(),
    };
    agent::AgentReducer::new(identity, policies.set.scheduler(policies.disabled_feature))
}
