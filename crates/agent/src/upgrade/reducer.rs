//! The reducer of upgrades: one function over all events, with effects as data.

use std::collections::BTreeMap;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;

use super::EngineState;
use super::HoldReason;
use super::PeerTable;
use super::QuestionNumber;
use super::UpgradeEffect;
use super::UpgradeEvent;
use super::UpgradeNote;
use super::UpgradePlan;
use super::WallTime;
use super::judge;
use super::run;
use super::run::RunKind;
use super::run::RunStep;
use super::run::UpgradeRun;

/// Time after which a failed addition is tried again.
const ADDITION_RETRY: Duration = Duration::from_secs(300);

/// A failed run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct RunFailure {
    version: Box<str>,
    at: time::Timestamp,
    /// Day of the window in which it failed.
    day: Option<u64>,
}

/// Upgrades of one engine.
pub struct UpgradeReducer {
    pub(super) target: ids::TargetName,
    pub(super) process: ids::Incarnation,
    pub(super) plan: UpgradePlan,
    pub(super) peers: PeerTable,
    pub(super) engine: Option<EngineState>,
    pub(super) wall: Option<WallTime>,
    pub(super) run: Option<UpgradeRun>,
    pub(super) failures: BTreeMap<ids::ModelName, RunFailure>,
    pub(super) holds: BTreeMap<ids::ModelName, HoldReason>,
    pub(super) question: QuestionNumber,
    notes: BTreeMap<ids::ModelName, UpgradeNote>,
}

impl UpgradeReducer {
    /// Makes the reducer of `target` in one life of its agent's process.
    pub fn new(target: ids::TargetName, process: ids::Incarnation) -> Self {
        Self {
            target,
            process,
            plan: UpgradePlan::default(),
            peers: PeerTable::default(),
            engine: None,
            wall: None,
            run: None,
            failures: BTreeMap::new(),
            holds: BTreeMap::new(),
            question: QuestionNumber::default(),
            notes: BTreeMap::new(),
        }
    }

    /// Takes one event at the time `now` and appends its effects, in the order to carry them out.
    pub fn apply(
        &mut self,
        now: time::Timestamp,
        event: UpgradeEvent,
        effects: &mut Vec<UpgradeEffect>,
    ) {
        match event {
            UpgradeEvent::PlanChanged(plan) => self.set_plan(plan),
            UpgradeEvent::PeerNoted(note) => self.take_note(note),
            UpgradeEvent::PeerGone { target } => self.peers.mark_gone(&target),
            UpgradeEvent::EngineSeen(engine) => self.see_engine(engine),
            UpgradeEvent::Prepared(preparation) => self.take_preparation(now, preparation, effects),
            UpgradeEvent::OrderEnded { question, outcome } => {
                self.end_order(now, question, outcome, effects);
            }
            UpgradeEvent::Drained => self.take_drained(now, effects),
            UpgradeEvent::Tick { wall } => self.tick(now, wall, effects),
        }

        self.announce(effects);
    }

    /// Returns why each model that should be upgraded is not.
    pub fn holds(&self) -> &BTreeMap<ids::ModelName, HoldReason> {
        &self.holds
    }

    /// Returns model and version of the run in progress.
    pub fn upgrading(&self) -> Option<(&ids::ModelName, &str)> {
        let run = self.run.as_ref()?;
        Some((&run.model, &run.version))
    }

    /// Returns the latest notes, for agents that come late.
    pub fn notes(&self) -> impl Iterator<Item = &UpgradeNote> {
        self.notes.values()
    }

    fn set_plan(&mut self, plan: UpgradePlan) {
        self.failures.retain(|model, failure| {
            let planned = plan.models.get(model);
            planned.is_some_and(|planned| planned.version == failure.version)
        });
        self.peers.retain(|model, target| {
            let planned = plan.models.get(model);
            planned.is_some_and(|planned| planned.ranking.contains(target))
        });
        self.holds.clear();
        self.plan = plan;
    }

    fn take_note(&mut self, note: UpgradeNote) {
        if note.target != self.target {
            self.peers.record(note);
        }
    }

    pub(super) fn see_engine(&mut self, engine: Option<EngineState>) {
        // A silent engine may have restarted without what it was ordered to load.
        if engine.is_none()
            && let Some(given) = self.run.as_mut().and_then(|run| run.given.as_mut())
        {
            given.taken_at = None;
        }
        self.engine = engine;
    }

    fn tick(&mut self, now: time::Timestamp, wall: WallTime, effects: &mut Vec<UpgradeEffect>) {
        self.wall = Some(wall);
        match self.run {
            Some(_) => self.tick_run(now, effects),
            None => self.consider(now, wall, effects),
        }
    }

    /// Begins the first run that is due and may begin.
    fn consider(&mut self, now: time::Timestamp, wall: WallTime, effects: &mut Vec<UpgradeEffect>) {
        let Some(engine) = &self.engine else {
            return;
        };

        let mut holds = BTreeMap::new();
        let mut due = None;
        for (model, plan) in &self.plan.models {
            if run::next_order(model, plan, engine).is_none() {
                continue;
            }
            let kind = match run::find_loaded(model, engine) {
                Some(loaded) if loaded.version != plan.version => RunKind::Upgrade,
                Some(_) | None => RunKind::Addition,
            };
            let judgement = self.judge_run(now, wall, model, kind);
            match judgement {
                Ok(()) => due = due.or(Some((model.clone(), plan.version.clone(), kind))),
                Err(reason) => {
                    holds.insert(model.clone(), reason);
                }
            }
        }

        self.holds = holds;
        if let Some((model, version, kind)) = due {
            self.begin(now, model, version, kind, effects);
        }
    }

    fn judge_run(
        &self,
        now: time::Timestamp,
        wall: WallTime,
        model: &ids::ModelName,
        kind: RunKind,
    ) -> Result<(), HoldReason> {
        let Some(plan) = self.plan.models.get(model) else {
            return Ok(());
        };
        let failure = self.failures.get(model);

        match kind {
            RunKind::Addition => match failure {
                Some(failure) if now.since(failure.at) < ADDITION_RETRY => {
                    Err(HoldReason::OwnFailure)
                }
                Some(_) | None => Ok(()),
            },
            RunKind::Upgrade => {
                judge::judge_start(model, plan, &self.plan.models, &self.peers, wall)?;
                match failure {
                    Some(failure) if failure.day == self.window_day(model) => {
                        Err(HoldReason::OwnFailure)
                    }
                    Some(_) | None => Ok(()),
                }
            }
        }
    }

    fn begin(
        &mut self,
        now: time::Timestamp,
        model: ids::ModelName,
        version: Box<str>,
        kind: RunKind,
        effects: &mut Vec<UpgradeEffect>,
    ) {
        self.run = Some(UpgradeRun {
            model,
            version,
            kind,
            step: RunStep::Draining,
            began_at: None,
            given: None,
        });

        match kind {
            RunKind::Upgrade => effects.push(UpgradeEffect::Drain),
            RunKind::Addition => self.prepare(now, effects),
        }
    }

    /// Ends the run and serves again with whatever the engine has loaded.
    pub(super) fn finish(&mut self, effects: &mut Vec<UpgradeEffect>) {
        let Some(run) = self.run.take() else {
            return;
        };
        match run.kind {
            RunKind::Upgrade => effects.push(UpgradeEffect::Rejoin),
            RunKind::Addition => {}
        }
    }

    /// Ends the run and remembers that it failed.
    pub(super) fn fail(&mut self, now: time::Timestamp, effects: &mut Vec<UpgradeEffect>) {
        if let Some(run) = &self.run {
            let failure = RunFailure {
                version: run.version.clone(),
                at: now,
                day: self.window_day(&run.model),
            };
            self.failures.insert(run.model.clone(), failure);
        }
        self.finish(effects);
    }

    fn window_day(&self, model: &ids::ModelName) -> Option<u64> {
        let window = self.plan.models.get(model)?.window.as_ref()?;
        let position = self.wall?.position_in(window)?;
        Some(position.day)
    }

    /// Announces the models whose state has changed.
    fn announce(&mut self, effects: &mut Vec<UpgradeEffect>) {
        for model in self.plan.models.keys() {
            let known = self.notes.get(model);
            let note = self.make_note(model, known.map_or(0, |known| known.revision));
            if known == Some(&note) {
                continue;
            }

            let note = UpgradeNote {
                revision: note.revision + 1,
                ..note
            };
            self.notes.insert(model.clone(), note.clone());
            effects.push(UpgradeEffect::Announce(note));
        }
        self.notes
            .retain(|model, _| self.plan.models.contains_key(model));
    }

    fn make_note(&self, model: &ids::ModelName, revision: u64) -> UpgradeNote {
        let is_draining = self
            .run
            .as_ref()
            .is_some_and(|run| run.kind == RunKind::Upgrade);
        let loaded = self
            .engine
            .as_ref()
            .and_then(|engine| run::find_loaded(model, engine));
        let upgraded = self
            .run
            .as_ref()
            .filter(|run| run.kind == RunKind::Upgrade && run.model == *model);

        UpgradeNote {
            target: self.target.clone(),
            model: model.clone(),
            process: self.process,
            revision,
            serves: loaded
                .filter(|_| !is_draining)
                .map(|loaded| loaded.version.clone()),
            upgrading_to: upgraded.map(|run| run.version.clone()),
            failed: self
                .failures
                .get(model)
                .map(|failure| failure.version.clone()),
        }
    }
}
