//! Chooses the target that runs a call.

use std::collections::BTreeMap;
use std::rc::Rc;

use kingcupfall_core::ids;
use kingcupfall_core::time;

use super::CallDemand;
use super::Dispatcher;
use super::LoadCount;
use super::LoadLimit;
use super::TargetHealth;
use super::TargetObstacle;
use super::calls;
use super::forecast;
use super::headroom;
use super::queue;
use super::speeds;
use super::targets;
use crate::directory;

/// Maximum share of an engine's memory that running streams may be forecast to need: all of it, as
/// the forecast already includes growth.
const MAX_FORECAST_SHARE: f64 = 1.0;

/// The same limit for streams that already missed their target latency: leaves memory for streams
/// that can still meet theirs, even in a burst of two or three per engine.
const BEHIND_TARGET_FORECAST_SHARE: f64 = 0.6;

/// Maximum prompt tokens waiting at an engine, as a share of what it processes within the target
/// latency; beyond this, the first event would be too late.
const MAX_BACKLOG_SHARE: f64 = 0.5;

/// Prompt tokens per second that an engine processes beside running streams: half of its rate
/// without streams, as steps alternate with prompt chunks.
pub(super) const PREFILL_TOKENS_PER_S: f64 = 7_000.0;

/// Delay of concurrent streams per prompt token: the deployments' specifications state 14 tokens
/// per millisecond.
const PREFILL_DELAY_PER_TOKEN_S: f64 = 1.0 / 14_000.0;

/// Duration of a step without streams or prompts, from the same specifications.
const BASE_STEP_S: f64 = 0.007;

/// Time that each stream adds to a step: 24 streams, a full batch, add about 40 %.
const STEP_S_PER_STREAM: f64 = 0.000_12;

/// Time that a prompt chunk adds to a step, about the duration of the step itself.
pub(super) const STEP_S_PER_CHUNK: f64 = 0.008;

/// Tokens of a prompt that an engine processes in one step, from the same specifications.
pub(super) const CHUNK_TOKENS: f64 = 112.0;

/// Cost of full memory, where streams are preempted; grows with the square of the share in use.
const FULL_MEMORY_COST_S: f64 = 2.0;

/// Maximum calls of a plain service in flight at a target, per slot; a further call would wait for
/// two others and miss the target latency.
const MAX_PLAIN_CALLS_PER_SLOT: u32 = 2;

/// Cost of one failed attempt, as a multiple of the usual response time.
const FAILURE_COST_FACTOR: f64 = 4.0;

/// Cost of a target in another availability zone, about one round trip.
const REMOTE_ZONE_COST_S: f64 = 0.003;

/// Response time assumed before the first response.
const ASSUMED_LATENCY_S: f64 = 0.06;

/// A target that could run a call, with the load of all relays.
#[derive(Debug)]
pub(super) struct CandidateTarget<'a> {
    pub(super) record: &'a Rc<directory::TargetRecord>,
    pub(super) load: LoadCount,
    pub(super) health: &'a TargetHealth,
    pub(super) urgent_streams: &'a headroom::UrgentStreams,
    pub(super) speed: speeds::TargetSpeed,
}

impl CandidateTarget<'_> {
    /// Returns whether the target has capacity for a call.
    pub(super) fn has_capacity(&self, now: time::Timestamp, demand: &CallDemand) -> bool {
        self.capacity_obstacle(now, demand).is_none()
    }

    /// Returns what the target lacks for a call; `None` if it has capacity.
    pub(super) fn capacity_obstacle(
        &self,
        now: time::Timestamp,
        demand: &CallDemand,
    ) -> Option<TargetObstacle> {
        match start_limit(now, demand, self.record, self.urgent_streams) {
            Some(limit) => limit.obstacle(self.load, calls::initial_load(demand)),
            None => {
                let slots = self.record.slots.max(1);
                let max_calls = slots.saturating_mul(MAX_PLAIN_CALLS_PER_SLOT);
                (self.load.calls >= max_calls).then_some(TargetObstacle::NoSlot)
            }
        }
    }

    /// Returns the share of an engine's memory that is forecast to be needed with `tokens` more.
    pub(super) fn forecast_share(
        &self,
        engine: &directory::EngineCapabilities,
        tokens: u64,
    ) -> f64 {
        (self.load.forecast_tokens + tokens) as f64 / engine.memory.get().max(1) as f64
    }

    /// Returns the cost of sending a call to this target, in seconds of delay for all calls.
    pub(super) fn cost_s(
        &self,
        now: time::Timestamp,
        zone: &ids::ZoneName,
        demand: &CallDemand,
    ) -> f64 {
        match &demand.engine {
            Some(engine) => self.engine_cost_s(zone, demand, engine),
            None => self.plain_cost_s(now, zone),
        }
    }

    /// An engine alternates between prompt chunks and steps, each of which generates one token for
    /// every stream. A prompt delays the streams that run beside it, and a stream is delayed by the
    /// prompts that arrive while it runs. This cost therefore places prompts with short outputs
    /// where few long streams run, and long streams where few prompts arrive.
    fn engine_cost_s(
        &self,
        zone: &ids::ZoneName,
        demand: &CallDemand,
        engine: &directory::EngineCapabilities,
    ) -> f64 {
        let relative_factor = self.speed.relative_factor;
        let prompt_s = demand.prompt_tokens as f64 * PREFILL_DELAY_PER_TOKEN_S * relative_factor;
        let delay_of_others_s = prompt_s * f64::from(self.load.long_streams);
        let prefill_rate = PREFILL_TOKENS_PER_S / relative_factor;
        let backlog_s = self.load.backlog_tokens as f64 / prefill_rate;
        let prefill_share = (self.load.prompt_tokens_per_s as f64 / prefill_rate).min(1.0);
        let step_s = (step_s(self.load.calls) + STEP_S_PER_CHUNK * prefill_share) * relative_factor;
        let generation_s = demand.output_tokens as f64 * step_s;
        let forecast_share = self.forecast_share(engine, calls::initial_forecast_tokens(demand));
        let zone_cost_s = match self.record.zone == *zone {
            true => 0.0,
            false => REMOTE_ZONE_COST_S,
        };
        delay_of_others_s
            + backlog_s
            + generation_s
            + forecast_share * forecast_share * FULL_MEMORY_COST_S
            + forecast::late_streams_cost_s(demand, self.speed, self.load, generation_s)
            + zone_cost_s
    }

    fn plain_cost_s(&self, now: time::Timestamp, zone: &ids::ZoneName) -> f64 {
        let latency = self.health.latency_s().unwrap_or(ASSUMED_LATENCY_S);
        let calls_per_slot = f64::from(self.load.calls) / f64::from(self.record.slots.max(1));
        let failure_cost = self.health.failure_rate(now) * FAILURE_COST_FACTOR;
        let zone_cost_s = match self.record.zone == *zone {
            true => 0.0,
            false => REMOTE_ZONE_COST_S,
        };
        latency * (1.0 + calls_per_slot + failure_cost) + zone_cost_s
    }
}

impl Dispatcher {
    /// Returns a target with the load of all relays, of which `loads` holds this relay's.
    pub(super) fn candidate<'a>(
        &'a self,
        loads: &BTreeMap<ids::TargetName, LoadCount>,
        name: &ids::TargetName,
        entry: &'a targets::TargetEntry,
    ) -> CandidateTarget<'a> {
        let mut load = self.peer_loads.sum(name);
        load += loads.get(name).copied().unwrap_or_default();
        CandidateTarget {
            record: &entry.record,
            load,
            health: &entry.health,
            urgent_streams: &self.urgent_streams,
            speed: entry.speed,
        }
    }

    /// Returns whether a call that runs at the target `current` could be sent to another one now. A
    /// request that may have crashed a target could not: it would wait until that is known.
    pub fn has_other_target(
        &self,
        now: time::Timestamp,
        demand: &CallDemand,
        current: &ids::TargetName,
    ) -> bool {
        if self.is_suspect(now, demand.fingerprint) {
            return false;
        }
        let loads = self.local_loads(now);
        let candidates = self.candidates(now, &loads, demand);
        candidates.iter().any(|candidate| {
            let name = &candidate.record.key.name;
            name != current && !demand.tried.contains(name) && candidate.has_capacity(now, demand)
        })
    }
}

/// Returns the duration in seconds of a step with `calls` streams and without prompts.
pub(super) fn step_s(calls: u32) -> f64 {
    BASE_STEP_S + STEP_S_PER_STREAM * f64::from(calls)
}

/// Returns the load limit of an engine that takes a call; `None` for a plain service.
pub(super) fn start_limit(
    now: time::Timestamp,
    demand: &CallDemand,
    record: &directory::TargetRecord,
    urgent_streams: &headroom::UrgentStreams,
) -> Option<LoadLimit> {
    let engine = demand.engine.as_ref()?;
    let share = match queue::is_behind_target(now, demand) {
        true => BEHIND_TARGET_FORECAST_SHARE,
        false => MAX_FORECAST_SHARE,
    };
    let memory = engine.memory.get();
    let headroom = urgent_streams.headroom_tokens(now, demand, memory);
    let limit = memory.saturating_sub(headroom) as f64 * share;
    let backlog = demand.target_latency.as_secs_f64() * PREFILL_TOKENS_PER_S * MAX_BACKLOG_SHARE;
    Some(LoadLimit {
        slots: record.slots,
        forecast_tokens: limit as u64,
        used_tokens: u64::MAX,
        backlog_tokens: backlog as u64,
    })
}

/// Chooses the cheapest target that has capacity for a call and was not tried yet.
pub(super) fn choose_target(
    now: time::Timestamp,
    zone: &ids::ZoneName,
    demand: &CallDemand,
    candidates: &[CandidateTarget<'_>],
) -> Option<(Rc<directory::TargetRecord>, LoadCount)> {
    let with_capacity: Vec<_> = candidates
        .iter()
        .filter(|candidate| !demand.tried.contains(&candidate.record.key.name))
        .filter(|candidate| candidate.has_capacity(now, demand))
        .collect();
    let healthy: Vec<_> = with_capacity
        .iter()
        .copied()
        .filter(|candidate| !candidate.health.is_unhealthy(now))
        .collect();
    let choices = if healthy.is_empty() {
        with_capacity
    } else {
        healthy
    };

    choices
        .iter()
        .min_by(|first, second| {
            let first_cost_s = first.cost_s(now, zone, demand);
            first_cost_s.total_cmp(&second.cost_s(now, zone, demand))
        })
        .map(|candidate| (Rc::clone(candidate.record), candidate.load))
}
