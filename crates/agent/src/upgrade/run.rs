//! One upgrade in progress.

use std::time::Duration;

use kingcupfall_core::engine;
use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::time;

use super::EngineState;
use super::ModelPlan;
use super::QuestionNumber;
use crate::protocol;

/// Orders of one kind that are given in one run.
pub(super) const ORDER_LIMIT: u32 = 3;

/// Time in which an engine loads what it was ordered to.
pub(super) const LOAD_TIMEOUT: Duration = Duration::from_secs(900);

/// Time in which a run ends once the agent is drained.
pub(super) const RUN_TIMEOUT: Duration = Duration::from_secs(1_800);

/// What a run changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RunKind {
    /// Another version replaces the one that is served; the agent drains first.
    Upgrade,
    /// Something is added that nobody is served by yet.
    Addition,
}

/// What a run waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RunStep {
    /// The agent finishes its work.
    Draining,
    /// Engine and port are checked.
    Preparing {
        question: QuestionNumber,
        asked_at: time::Timestamp,
    },
    /// An order is under way.
    Ordering {
        question: QuestionNumber,
        sent_at: time::Timestamp,
    },
    /// The engine loads, or is busy.
    Pausing { until: time::Timestamp },
}

/// An order that was given in this run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct GivenOrder {
    pub(super) order: engine::EngineOrder,
    pub(super) fencing: measures::FencingNumber,
    pub(super) tries: u32,
    /// When the engine took it, unless it was silent since then.
    pub(super) taken_at: Option<time::Timestamp>,
}

/// One upgrade in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct UpgradeRun {
    pub(super) model: ids::ModelName,
    pub(super) version: Box<str>,
    pub(super) kind: RunKind,
    pub(super) step: RunStep,
    /// When the orders began.
    pub(super) began_at: Option<time::Timestamp>,
    pub(super) given: Option<GivenOrder>,
}

impl UpgradeRun {
    /// Says whether `engine` may be loading what it was ordered to.
    ///
    /// An engine that checks fencing numbers and knows a lower one than it took has restarted.
    pub(super) fn is_loading(
        &self,
        now: time::Timestamp,
        order: &engine::EngineOrder,
        engine: &EngineState,
        fencing: engine::FencingMode,
    ) -> bool {
        let given = self.given.as_ref().filter(|given| given.order == *order);
        given.is_some_and(|given| {
            let has_restarted =
                fencing == engine::FencingMode::Checked && engine.fencing < given.fencing;
            let is_recent = |taken_at| now.since(taken_at) < LOAD_TIMEOUT;
            !has_restarted && given.taken_at.is_some_and(is_recent)
        })
    }

    /// Counts another try of `order`; returns whether it may be given.
    pub(super) fn count_try(
        &mut self,
        order: &engine::EngineOrder,
        fencing: measures::FencingNumber,
    ) -> bool {
        let tries = self
            .given
            .as_ref()
            .filter(|given| given.order == *order)
            .map_or(0, |given| given.tries);
        if tries >= ORDER_LIMIT {
            return false;
        }

        self.given = Some(GivenOrder {
            order: order.clone(),
            fencing,
            tries: tries + 1,
            taken_at: None,
        });
        true
    }

    /// Says whether the run has lasted too long.
    pub(super) fn is_overdue(&self, now: time::Timestamp) -> bool {
        self.began_at
            .is_some_and(|began_at| now.since(began_at) >= RUN_TIMEOUT)
    }
}

/// Returns the order that brings `engine` closer to `plan`, or `None` when it is there.
pub(super) fn next_order(
    model: &ids::ModelName,
    plan: &ModelPlan,
    engine: &EngineState,
) -> Option<engine::EngineOrder> {
    let loaded = find_loaded(model, engine).filter(|loaded| loaded.version == plan.version);
    let Some(loaded) = loaded else {
        return Some(engine::EngineOrder::LoadModel {
            model: model.clone(),
            version: plan.version.clone(),
        });
    };

    let mut missing = plan
        .adapters
        .iter()
        .filter(|adapter| !loaded.adapters.contains(adapter));
    let adapter = missing.next()?;
    Some(engine::EngineOrder::LoadAdapter {
        model: model.clone(),
        adapter: adapter.clone(),
    })
}

/// Returns what `engine` has loaded of `model`.
pub(super) fn find_loaded<'engine>(
    model: &ids::ModelName,
    engine: &'engine EngineState,
) -> Option<&'engine protocol::LoadedModel> {
    engine.loaded.iter().find(|loaded| loaded.model == *model)
}
