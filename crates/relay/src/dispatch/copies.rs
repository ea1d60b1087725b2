//! Chooses the targets to which the memory of a running stream is copied or migrated.

use std::rc::Rc;

use super::LoadLimit;
use super::calls;
use super::forecast;
use super::placement;
use crate::directory;

/// Maximum share of an engine's memory that may be forecast to be needed after it receives a copy.
/// The rest is left to streams, which take precedence over copies.
const MAX_COPY_MEMORY_SHARE: f64 = 0.4;

/// Maximum share of an engine's memory that may be in use after a stream migrates to it. Memory
/// reserved for growth does not count: a running stream takes precedence over future ones.
const MAX_MIGRATION_MEMORY_SHARE: f64 = 0.98;

/// Returns whether a stream is worth a copy: a short one usually ends within the notice that an
/// engine gives before it leaves.
pub(super) fn is_worth_copy(demand: &super::CallDemand) -> bool {
    demand.engine.as_ref().is_some_and(|engine| engine.can_copy) && calls::is_long_stream(demand)
}

/// Chooses the copy holder for a call that runs at `source`.
pub(super) fn choose_copy_holder(
    demand: &super::CallDemand,
    source: &directory::TargetRecord,
    candidates: &[placement::CandidateTarget<'_>],
) -> Option<Rc<directory::TargetRecord>> {
    let engine = demand.engine.as_ref()?;
    let tokens = calls::initial_forecast_tokens(demand);
    let max_share = MAX_COPY_MEMORY_SHARE;
    least_loaded(demand, source, candidates, max_share, |candidate| {
        candidate.forecast_share(engine, tokens)
    })
}

/// Returns the load limit of an engine after a call's memory has migrated to it.
pub(super) fn migration_limit(
    engine: &directory::EngineCapabilities,
    record: &directory::TargetRecord,
) -> LoadLimit {
    LoadLimit {
        slots: record.slots,
        forecast_tokens: u64::MAX,
        used_tokens: (engine.memory.get() as f64 * MAX_MIGRATION_MEMORY_SHARE) as u64,
        backlog_tokens: u64::MAX,
    }
}

/// Chooses the target to which the `tokens` of a call's memory migrate.
pub(super) fn choose_migration_target(
    demand: &super::CallDemand,
    tokens: u64,
    source: &directory::TargetRecord,
    candidates: &[placement::CandidateTarget<'_>],
) -> Option<Rc<directory::TargetRecord>> {
    let engine = demand.engine.as_ref()?;
    least_loaded(
        demand,
        source,
        candidates,
        MAX_MIGRATION_MEMORY_SHARE,
        |candidate| {
            (candidate.load.used_tokens + tokens) as f64 / engine.memory.get().max(1) as f64
        },
    )
}

/// Returns whether prompts may make pauses of the stream too long at a target.
fn has_pause_risk(demand: &super::CallDemand, candidate: &placement::CandidateTarget<'_>) -> bool {
    forecast::pause_risk(demand, candidate.speed, candidate.load) > 0.0
}

/// Returns the least loaded target, preferring those where no pause of the stream becomes too long,
/// and the source's zone, where a migration takes half as long.
fn least_loaded(
    demand: &super::CallDemand,
    source: &directory::TargetRecord,
    candidates: &[placement::CandidateTarget<'_>],
    max_share: f64,
    memory_share: impl Fn(&placement::CandidateTarget<'_>) -> f64,
) -> Option<Rc<directory::TargetRecord>> {
    candidates
        .iter()
        .filter(|candidate| {
            candidate.record.key != source.key
                && candidate.load.calls + candidate.load.copies < candidate.record.slots
                && memory_share(candidate) <= max_share
        })
        .min_by(|first, second| {
            let is_first_remote = first.record.zone != source.zone;
            let is_second_remote = second.record.zone != source.zone;
            has_pause_risk(demand, first)
                .cmp(&has_pause_risk(demand, second))
                .then(is_first_remote.cmp(&is_second_remote))
                .then(memory_share(first).total_cmp(&memory_share(second)))
        })
        .map(|candidate| Rc::clone(candidate.record))
}
