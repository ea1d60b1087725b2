//! Where the memory of a running stream is copied or moved to.

use std::rc::Rc;

use super::RoomBound;
use super::calls;
use super::place;
use crate::directory;

/// Share of an engine's memory up to which it takes copies. Copies give way to streams, which
/// need the rest.
const COPY_MEMORY_SHARE: f64 = 0.4;

/// Share of an engine's memory that may be in use once a stream of an engine that leaves is there.
/// What is reserved for growth does not count: a stream under way goes before those to come.
const SHELTER_MEMORY_SHARE: f64 = 0.98;

/// Says whether a stream is worth a copy: a short one usually ends within the notice that an
/// engine gives before it leaves.
pub(super) fn is_worth_copy(demand: &super::CallDemand) -> bool {
    demand.engine.as_ref().is_some_and(|engine| engine.can_copy) && calls::is_long(demand)
}

/// Chooses the target for a copy of a call that runs at `source`.
pub(super) fn choose_copy(
    demand: &super::CallDemand,
    source: &directory::TargetRecord,
    candidates: &[place::CandidateTarget<'_>],
) -> Option<Rc<directory::TargetRecord>> {
    let engine = demand.engine.as_ref()?;
    let tokens = calls::forecast_tokens(demand);
    let most = COPY_MEMORY_SHARE;
    emptiest(source, candidates, most, |candidate| {
        candidate.memory_share(engine, tokens)
    })
}

/// Returns how full an engine may be once a call's memory is there.
pub(super) fn shelter_bound(
    engine: &directory::EngineCapabilities,
    record: &directory::TargetRecord,
) -> RoomBound {
    RoomBound {
        places: record.slots,
        forecast: u64::MAX,
        used: (engine.memory.get() as f64 * SHELTER_MEMORY_SHARE) as u64,
        backlog: u64::MAX,
    }
}

/// Chooses the target to which a call's memory of `tokens` is moved.
pub(super) fn choose_shelter(
    demand: &super::CallDemand,
    tokens: u64,
    source: &directory::TargetRecord,
    candidates: &[place::CandidateTarget<'_>],
) -> Option<Rc<directory::TargetRecord>> {
    let engine = demand.engine.as_ref()?;
    emptiest(source, candidates, SHELTER_MEMORY_SHARE, |candidate| {
        (candidate.load.used + tokens) as f64 / engine.memory.get().max(1) as f64
    })
}

/// Takes the emptiest target, of the source's zone if there is one: a move takes half as long.
fn emptiest(
    source: &directory::TargetRecord,
    candidates: &[place::CandidateTarget<'_>],
    most: f64,
    share: impl Fn(&place::CandidateTarget<'_>) -> f64,
) -> Option<Rc<directory::TargetRecord>> {
    candidates
        .iter()
        .filter(|candidate| {
            candidate.record.key != source.key
                && candidate.load.calls + candidate.load.copies < candidate.record.slots
                && share(candidate) <= most
        })
        .min_by(|first, second| {
            let first_far = first.record.zone != source.zone;
            let second_far = second.record.zone != source.zone;
            first_far
                .cmp(&second_far)
                .then(share(first).total_cmp(&share(second)))
        })
        .map(|candidate| Rc::clone(candidate.record))
}
