//! Which target a call goes to.

use std::rc::Rc;

use kingcupfall_core::ids;
use kingcupfall_core::time;

use super::CallDemand;
use super::LoadCount;
use super::RoomBound;
use super::TargetDoubt;
use super::calls;
use super::queue;
use crate::directory;

/// Share of an engine's memory that admitted streams may be forecast to need: all of it, as the
/// forecast holds room for growth already.
const MEMORY_SHARE: f64 = 1.0;

/// The same for streams that are late already: those that can be on time still find room, also in a
/// burst of two or three at an engine.
const LATE_MEMORY_SHARE: f64 = 0.6;

/// Prompt tokens that may wait at an engine, in parts of what it processes within the target
/// latency; beyond that the first event would be late.
const BACKLOG_SHARE: f64 = 0.5;

/// Prompt tokens that an engine processes a second beside running streams: half of what it does
/// alone, as steps alternate with chunks.
const PREFILL_TOKENS_PER_S: f64 = 7_000.0;

/// Time by which each prompt token delays the streams beside it: the deployments' sheets state 14
/// tokens in a millisecond.
const CHUNK_TOKEN_S: f64 = 1.0 / 14_000.0;

/// Time of a step without streams or prompts, from the same sheets.
const STEP_S: f64 = 0.007;

/// Time that each stream adds to a step: 24 of them, a full batch, add some 40 %.
const STREAM_STEP_S: f64 = 0.000_12;

/// Time that a chunk of a prompt adds to a step, about that of a step itself.
const CHUNK_STEP_S: f64 = 0.008;

/// Cost of full memory, where streams are preempted; it grows with the square of what is used.
const CROWDING_COST_S: f64 = 2.0;

/// Calls of a plain service in flight at a target, in multiples of its slots, up to which more
/// are sent there; a further call would wait for two others and be late.
const PLAIN_DEPTH: u32 = 2;

/// Cost of one failed attempt, in multiples of the usual time of an answer.
const FAILURE_COST: f64 = 4.0;

/// Cost of another availability zone in seconds, about one round trip.
const ZONE_COST_S: f64 = 0.003;

/// Time of an answer that is assumed before the first one.
const ASSUMED_LATENCY_S: f64 = 0.06;

/// A target that could take a call.
#[derive(Debug)]
pub(super) struct CandidateTarget<'a> {
    pub(super) record: &'a Rc<directory::TargetRecord>,
    pub(super) load: LoadCount,
    pub(super) doubt: &'a TargetDoubt,
}

impl CandidateTarget<'_> {
    /// Says whether the target has room for a call.
    pub(super) fn has_room(&self, now: time::Timestamp, demand: &CallDemand) -> bool {
        match start_bound(now, demand, self.record) {
            Some(bound) => bound.has_room(self.load, calls::start_load(demand)),
            None => self.load.calls < self.record.slots.max(1) * PLAIN_DEPTH,
        }
    }

    /// Returns the share of an engine's memory that is forecast with `tokens` more.
    pub(super) fn memory_share(&self, engine: &directory::EngineCapabilities, tokens: u64) -> f64 {
        (self.load.forecast + tokens) as f64 / engine.memory.get().max(1) as f64
    }

    /// Cost of sending a call here, in seconds of delay for all calls.
    fn cost_s(&self, now: time::Timestamp, zone: &ids::ZoneName, demand: &CallDemand) -> f64 {
        match &demand.engine {
            Some(engine) => self.engine_cost_s(zone, demand, engine),
            None => self.plain_cost_s(now, zone),
        }
    }

    /// An engine processes prompts in chunks between steps, each of which gives every stream a
    /// token. A prompt delays the streams that run beside it, and a stream is delayed by the
    /// prompts that come while it runs. So prompts with short answers gather where few long
    /// streams are, and long streams where few prompts come.
    fn engine_cost_s(
        &self,
        zone: &ids::ZoneName,
        demand: &CallDemand,
        engine: &directory::EngineCapabilities,
    ) -> f64 {
        let prompt_s = demand.prompt_tokens as f64 * CHUNK_TOKEN_S;
        let imposed_s = prompt_s * f64::from(self.load.long_streams);
        let backlog_s = self.load.backlog as f64 / PREFILL_TOKENS_PER_S;
        let chunks_share = (self.load.prompt_rate as f64 / PREFILL_TOKENS_PER_S).min(1.0);
        let step_s =
            STEP_S + STREAM_STEP_S * f64::from(self.load.calls) + CHUNK_STEP_S * chunks_share;
        let own_s = demand.output_tokens as f64 * step_s;
        let crowding = self.memory_share(engine, calls::forecast_tokens(demand));
        let distance = match self.record.zone == *zone {
            true => 0.0,
            false => ZONE_COST_S,
        };
        imposed_s + backlog_s + own_s + crowding * crowding * CROWDING_COST_S + distance
    }

    fn plain_cost_s(&self, now: time::Timestamp, zone: &ids::ZoneName) -> f64 {
        let latency = self.doubt.latency_s().unwrap_or(ASSUMED_LATENCY_S);
        let depth = f64::from(self.load.calls) / f64::from(self.record.slots.max(1));
        let failures = self.doubt.failure_rate(now) * FAILURE_COST;
        let distance = match self.record.zone == *zone {
            true => 0.0,
            false => ZONE_COST_S,
        };
        latency * (1.0 + depth + failures) + distance
    }
}

/// Returns how full an engine may be once it runs a call; `None` for a plain service.
pub(super) fn start_bound(
    now: time::Timestamp,
    demand: &CallDemand,
    record: &directory::TargetRecord,
) -> Option<RoomBound> {
    let engine = demand.engine.as_ref()?;
    let share = match queue::is_late(now, demand) {
        true => LATE_MEMORY_SHARE,
        false => MEMORY_SHARE,
    };
    let memory = engine.memory.get() as f64 * share;
    let backlog = demand.target_latency.as_secs_f64() * PREFILL_TOKENS_PER_S * BACKLOG_SHARE;
    Some(RoomBound {
        places: record.slots,
        forecast: memory as u64,
        used: u64::MAX,
        backlog: backlog as u64,
    })
}

/// Chooses a target with room for a call that did not try it yet.
pub(super) fn choose(
    now: time::Timestamp,
    zone: &ids::ZoneName,
    demand: &CallDemand,
    candidates: &[CandidateTarget<'_>],
) -> Option<(Rc<directory::TargetRecord>, LoadCount)> {
    let with_room: Vec<_> = candidates
        .iter()
        .filter(|candidate| !demand.tried.contains(&candidate.record.key.name))
        .filter(|candidate| candidate.has_room(now, demand))
        .collect();
    let sound: Vec<_> = with_room
        .iter()
        .copied()
        .filter(|candidate| !candidate.doubt.is_doubted(now))
        .collect();
    let best = if sound.is_empty() { with_room } else { sound };

    best.iter()
        .min_by(|first, second| {
            let first = first.cost_s(now, zone, demand);
            first.total_cmp(&second.cost_s(now, zone, demand))
        })
        .map(|candidate| (Rc::clone(candidate.record), candidate.load))
}
