//! Target VMs: one agent and one engine each.

use std::collections::BTreeMap;
use std::time::Duration;

use kingcupfall_agent::reducer as agent;
use kingcupfall_core::engine;
use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_model as model;

use super::RunPolicies;
use crate::scenario;

/// Zones that VMs are spread over.
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// How far the clocks of agents stand apart, so that no two processes share one.
const CLOCK_STEP: Duration = Duration::from_secs(1_000);

/// A generation that an engine has.
#[derive(Debug, Clone, Copy)]
pub struct EngineRun {
    /// Number of the run.
    pub run: u64,
    /// Whether it crashes the engine.
    pub is_poisonous: bool,
}

/// One target VM.
pub struct TargetNode {
    name: ids::TargetName,
    zone: ids::ZoneName,
    agent: agent::AgentReducer,
    engine: model::EngineModel,
    profile: model::EngineProfile,
    seed: u64,
    index: usize,
    life: u64,
    alive: bool,
    engine_up: bool,
    frozen_until: Option<time::Timestamp>,
    /// Time in which the engine was frozen; its own clock stands that far back.
    frozen_for: Duration,
    /// When the step event that is in the queue is due.
    pub(super) step_due: Option<time::Timestamp>,
    /// Generations by attempt.
    pub(super) runs: BTreeMap<ids::AttemptId, EngineRun>,
    /// Since when the target leaves.
    pub(super) leaving_since: Option<time::Timestamp>,
    earlier_preemptions: u64,
}

impl TargetNode {
    /// Makes a VM that runs.
    pub fn new(scenario: &scenario::Scenario, set: RunPolicies, index: usize) -> Self {
        let name: ids::TargetName = format!("engine-{}", index + 1)
            .parse()
            .expect("a valid name");
        let zone = zone_name(index);
        let profile = scenario.engine.profile.clone();
        let seed = scenario.seed.wrapping_add(1_000 + index as u64);

        Self {
            agent: make_agent(&name, &zone, set, index, 0),
            engine: model::EngineModel::new(profile.clone(), seed),
            name,
            zone,
            profile,
            seed,
            index,
            life: 0,
            alive: true,
            engine_up: true,
            frozen_until: None,
            frozen_for: Duration::ZERO,
            step_due: None,
            runs: BTreeMap::new(),
            leaving_since: None,
            earlier_preemptions: 0,
        }
    }

    /// Returns the target's name.
    pub fn name(&self) -> &ids::TargetName {
        &self.name
    }

    /// Returns the zone.
    pub fn zone(&self) -> &ids::ZoneName {
        &self.zone
    }

    /// Returns the number of the VM's life.
    pub fn life(&self) -> u64 {
        self.life
    }

    /// Says whether the VM runs, frozen or not.
    pub fn is_alive(&self) -> bool {
        self.alive
    }

    /// Says whether the engine runs.
    pub fn is_engine_up(&self) -> bool {
        self.engine_up
    }

    /// Returns when a frozen VM wakes.
    pub fn frozen_until(&self) -> Option<time::Timestamp> {
        self.frozen_until
    }

    /// Returns the agent.
    pub fn agent(&mut self) -> &mut agent::AgentReducer {
        &mut self.agent
    }

    /// Returns the engine.
    pub fn engine(&mut self) -> &mut model::EngineModel {
        &mut self.engine
    }

    /// Returns the time on the agent's clock.
    pub fn agent_time(&self, now: time::Timestamp) -> time::Timestamp {
        now + CLOCK_STEP * (self.index as u32 + 1)
    }

    /// Returns the time on the engine's clock.
    pub fn engine_time(&self, now: time::Timestamp) -> time::Timestamp {
        time::Timestamp::ZERO + now.since(time::Timestamp::ZERO + self.frozen_for)
    }

    /// Returns when the engine's step ends, on the simulation's clock.
    pub fn next_step(&self) -> Option<time::Timestamp> {
        self.engine.next_step().map(|step| step + self.frozen_for)
    }

    /// Returns the load of the engine, if it runs.
    pub fn report(&self, now: time::Timestamp) -> Option<engine::EngineReport> {
        let is_up = self.alive && self.engine_up;
        is_up.then(|| engine::EngineReport {
            taken_at: self.agent_time(now),
            ..self.engine.report(now)
        })
    }

    /// Returns the preemptions of all lives.
    pub fn preemptions(&self) -> u64 {
        self.earlier_preemptions + self.engine.preemptions()
    }

    /// Freezes agent and engine.
    pub fn freeze(&mut self, now: time::Timestamp, lasts: Duration) {
        self.frozen_until = Some(now + lasts);
    }

    /// Wakes agent and engine.
    pub fn wake(&mut self, lasts: Duration) {
        self.frozen_until = None;
        self.frozen_for += lasts;
        self.step_due = None;
    }

    /// Kills the VM.
    pub fn kill(&mut self) {
        self.alive = false;
        self.life += 1;
        self.drop_engine();
    }

    /// Starts the VM again with a new life.
    pub fn revive(&mut self, set: RunPolicies) {
        self.life += 1;
        self.alive = true;
        self.engine_up = true;
        self.frozen_until = None;
        self.leaving_since = None;
        self.drop_engine();
        self.agent = make_agent(&self.name, &self.zone, set, self.index, self.life);
    }

    /// Crashes the engine.
    pub fn crash_engine(&mut self) {
        self.engine_up = false;
        self.drop_engine();
    }

    /// Starts the engine again.
    pub fn restart_engine(&mut self) {
        self.engine_up = true;
    }

    fn drop_engine(&mut self) {
        self.earlier_preemptions += self.engine.preemptions();
        self.engine = model::EngineModel::new(self.profile.clone(), self.seed + self.life + 1);
        self.step_due = None;
        self.runs.clear();
    }
}

/// Returns the zone of the VM or gateway with this number.
pub(super) fn zone_name(index: usize) -> ids::ZoneName {
    ZONES[index % ZONES.len()].parse().expect("a valid name")
}

fn make_agent(
    name: &ids::TargetName,
    zone: &ids::ZoneName,
    set: RunPolicies,
    index: usize,
    life: u64,
) -> agent::AgentReducer {
    let incarnation = ((index as u128 + 1) << 64) | u128::from(life);
    let identity = agent::AgentIdentity {
        target: name.clone(),
        incarnation: ids::Incarnation::from_u128(incarnation),
        zone: zone.clone(),
    };
    agent::AgentReducer::new(identity, set.set.scheduler(set.ablation))
}
