//! Which target a call goes to.

use std::rc::Rc;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::load;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_policy::place;

use super::CallDemand;
use super::LoadCount;
use super::TargetDoubt;
use super::calls;
use crate::directory;

/// Share of an engine's memory that admitted streams may be forecast to need.
const MEMORY_SHARE: f64 = 0.95;

/// Prompt tokens that may wait at an engine, in parts of what it processes within the target
/// latency; beyond that the first event would be late.
const BACKLOG_SHARE: f64 = 0.5;

/// Prompt tokens that an engine processes a second beside running streams.
const PREFILL_TOKENS_PER_S: f64 = 7_000.0;

/// Calls of a plain service in flight at a target, in multiples of its slots, up to which more
/// are sent there; a further call would wait for two others and be late.
const PLAIN_DEPTH: u32 = 2;

/// Failure rate from which a target is taken only when there is no better one.
const FAILING_RATE: f64 = 0.35;

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
    pub(super) fn has_room(&self, demand: &CallDemand) -> bool {
        let places = self.load.calls + self.load.copies;
        match &demand.engine {
            Some(engine) => {
                let memory = engine.memory.get() as f64 * MEMORY_SHARE;
                let wanted = self.load.forecast + calls::forecast_tokens(demand);
                let backlog = demand.target_latency.as_secs_f64() * PREFILL_TOKENS_PER_S;
                let is_idle = self.load.backlog == 0;
                places < self.record.slots
                    && wanted as f64 <= memory
                    && (is_idle || self.load.backlog as f64 <= backlog * BACKLOG_SHARE)
            }
            None => self.load.calls < self.record.slots.max(1) * PLAIN_DEPTH,
        }
    }

    /// Returns the share of an engine's memory that is forecast with `tokens` more.
    pub(super) fn memory_share(&self, engine: &directory::EngineRule, tokens: u64) -> f64 {
        (self.load.forecast + tokens) as f64 / engine.memory.get().max(1) as f64
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

/// Chooses a target with room for a call.
pub(super) fn choose(
    now: time::Timestamp,
    zone: &ids::ZoneName,
    demand: &CallDemand,
    candidates: &[CandidateTarget<'_>],
    policy: &mut dyn place::PlacementPolicy,
) -> Option<Rc<directory::TargetRecord>> {
    let with_room: Vec<_> = candidates
        .iter()
        .filter(|candidate| candidate.has_room(demand))
        .collect();
    let sound: Vec<_> = with_room
        .iter()
        .copied()
        .filter(|candidate| candidate.doubt.failure_rate(now) < FAILING_RATE)
        .collect();
    let best = if sound.is_empty() { with_room } else { sound };

    match &demand.engine {
        Some(engine) => choose_engine(now, zone, demand, engine, &best, policy),
        None => best
            .iter()
            .min_by(|first, second| {
                let first = first.plain_cost_s(now, zone);
                first.total_cmp(&second.plain_cost_s(now, zone))
            })
            .map(|candidate| Rc::clone(candidate.record)),
    }
}

fn choose_engine(
    now: time::Timestamp,
    zone: &ids::ZoneName,
    demand: &CallDemand,
    engine: &directory::EngineRule,
    candidates: &[&CandidateTarget<'_>],
    policy: &mut dyn place::PlacementPolicy,
) -> Option<Rc<directory::TargetRecord>> {
    let loads: Vec<load::LoadSummary> = candidates
        .iter()
        .map(|candidate| candidate.load.summary(engine.memory))
        .collect();
    let views: Vec<_> = candidates
        .iter()
        .zip(&loads)
        .map(|(candidate, load)| place::TargetView {
            name: &candidate.record.key.name,
            distance: match candidate.record.zone == *zone {
                true => place::ZoneDistance::Same,
                false => place::ZoneDistance::Other,
            },
            load,
            load_age: Duration::ZERO,
            in_flight: candidate.load.calls,
            placed_since: 0,
            placed_tokens: measures::TokenCount::ZERO,
        })
        .collect();
    let question = place::PlacementQuestion {
        tag: &demand.tag,
        prompt_tokens: measures::TokenCount::new(demand.prompt_tokens),
        prefix: None,
        suspect: false,
    };

    let index = policy.choose(now, &question, &views)?;
    candidates
        .get(index)
        .map(|candidate| Rc::clone(candidate.record))
}
