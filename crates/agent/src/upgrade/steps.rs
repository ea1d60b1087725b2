//! The steps of a run: drain, check, order, check again, serve again.

use std::time::Duration;

use kingcupfall_core::engine;
use kingcupfall_core::measures;
use kingcupfall_core::time;

use super::EngineState;
use super::HoldReason;
use super::ModelPlan;
use super::OrderOutcome;
use super::Preparation;
use super::QuestionNumber;
use super::UpgradeEffect;
use super::UpgradeReducer;
use super::judge;
use super::run;
use super::run::RunKind;
use super::run::RunStep;

/// Age at which the checks before an order no longer count.
const PREPARATION_LIFETIME: Duration = Duration::from_secs(2);

/// Time in which an order must be sent.
const ORDER_LIFETIME: Duration = Duration::from_secs(1);

/// Time in which the checks are answered.
const PREPARATION_TIMEOUT: Duration = Duration::from_secs(5);

/// Time in which an order is answered.
const ORDER_TIMEOUT: Duration = Duration::from_secs(60);

/// Time between two looks at an engine that loads.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

impl UpgradeReducer {
    /// Carries the run on when an answer is missing or a pause has ended.
    pub(super) fn tick_run(&mut self, now: time::Timestamp, effects: &mut Vec<UpgradeEffect>) {
        let Some(run) = &self.run else {
            return;
        };
        // Without the port another agent may be in charge, so that this one never serves again.
        let is_fenced_off = self.holds.get(&run.model) == Some(&HoldReason::FenceLost);
        if run.is_overdue(now) && !is_fenced_off {
            self.fail(now, effects);
            return;
        }

        let is_due = match run.step {
            RunStep::Draining => false,
            RunStep::Preparing { asked_at, .. } => now.since(asked_at) >= PREPARATION_TIMEOUT,
            RunStep::Ordering { sent_at, .. } => now.since(sent_at) >= ORDER_TIMEOUT,
            RunStep::Pausing { until } => now >= until,
        };
        if is_due {
            self.prepare(now, effects);
        }
    }

    pub(super) fn take_drained(&mut self, now: time::Timestamp, effects: &mut Vec<UpgradeEffect>) {
        let is_draining = self
            .run
            .as_ref()
            .is_some_and(|run| run.step == RunStep::Draining);
        if is_draining {
            self.prepare(now, effects);
        }
    }

    /// Asks for the checks that come before an order.
    pub(super) fn prepare(&mut self, now: time::Timestamp, effects: &mut Vec<UpgradeEffect>) {
        let question = self.next_question();
        let Some(run) = &mut self.run else {
            return;
        };

        run.began_at.get_or_insert(now);
        run.step = RunStep::Preparing {
            question,
            asked_at: now,
        };
        effects.push(UpgradeEffect::Prepare { question });
    }

    pub(super) fn take_preparation(
        &mut self,
        now: time::Timestamp,
        preparation: Preparation,
        effects: &mut Vec<UpgradeEffect>,
    ) {
        let Some(run) = &self.run else {
            return;
        };
        let RunStep::Preparing { question, asked_at } = run.step else {
            return;
        };
        if question != preparation.question {
            return;
        }
        // The process may have been paused since it asked.
        if now.since(asked_at) > PREPARATION_LIFETIME {
            self.prepare(now, effects);
            return;
        }

        self.holds.remove(&run.model.clone());
        self.see_engine(preparation.engine);
        if !preparation.is_fence_held {
            self.hold_run(now, HoldReason::FenceLost);
            return;
        }
        self.advance(now, effects);
    }

    pub(super) fn end_order(
        &mut self,
        now: time::Timestamp,
        question: QuestionNumber,
        outcome: OrderOutcome,
        effects: &mut Vec<UpgradeEffect>,
    ) {
        let Some(run) = &mut self.run else {
            return;
        };
        let is_awaited = matches!(run.step, RunStep::Ordering { question: asked, .. }
            if asked == question);
        if !is_awaited {
            return;
        }

        match outcome {
            OrderOutcome::Taken => {
                if let Some(given) = &mut run.given {
                    given.taken_at = Some(now);
                }
                self.prepare(now, effects);
            }
            OrderOutcome::Outdated | OrderOutcome::Expired => self.prepare(now, effects),
            OrderOutcome::Busy { retry_after } => {
                if let Some(given) = &mut run.given {
                    given.tries = given.tries.saturating_sub(1);
                }
                self.pause(now, retry_after.max(POLL_INTERVAL));
            }
            OrderOutcome::Failed => self.pause(now, POLL_INTERVAL),
        }
    }

    /// Takes the next step after a fresh check of engine and port.
    fn advance(&mut self, now: time::Timestamp, effects: &mut Vec<UpgradeEffect>) {
        let Some(plan) = self.wanted_plan() else {
            self.finish(effects);
            return;
        };
        let Some(engine) = self.engine.clone() else {
            self.pause(now, POLL_INTERVAL);
            return;
        };
        let Some(run) = &self.run else {
            return;
        };
        let Some(order) = run::next_order(&run.model, &plan, &engine) else {
            self.failures.remove(&run.model);
            self.finish(effects);
            return;
        };

        if self.must_turn_back(&plan) {
            self.finish(effects);
        } else if run.is_loading(now, &order, &engine, self.plan.fencing) {
            self.pause(now, POLL_INTERVAL);
        } else {
            self.give_order(now, &engine, order, effects);
        }
    }

    /// Returns the plan of the run's model while the document wants the run's version.
    fn wanted_plan(&self) -> Option<ModelPlan> {
        let run = self.run.as_ref()?;
        let plan = self.plan.models.get(&run.model)?;
        (plan.version == run.version).then(|| plan.clone())
    }

    /// Says whether others have failed while this target drained, before its first order.
    fn must_turn_back(&self, plan: &ModelPlan) -> bool {
        let Some(run) = &self.run else {
            return false;
        };
        let is_upgrade = run.kind == RunKind::Upgrade;
        is_upgrade
            && run.given.is_none()
            && judge::judge_failures(&run.model, plan, &self.peers).is_err()
    }

    fn give_order(
        &mut self,
        now: time::Timestamp,
        engine: &EngineState,
        order: engine::EngineOrder,
        effects: &mut Vec<UpgradeEffect>,
    ) {
        let question = self.next_question();
        let fencing = measures::FencingNumber::new(engine.fencing.get().saturating_add(1));
        let Some(run) = &mut self.run else {
            return;
        };
        if !run.count_try(&order, fencing) {
            self.fail(now, effects);
            return;
        }

        run.step = RunStep::Ordering {
            question,
            sent_at: now,
        };
        effects.push(UpgradeEffect::GiveOrder {
            question,
            fencing,
            order,
            expires_at: now + ORDER_LIFETIME,
        });
    }

    fn hold_run(&mut self, now: time::Timestamp, reason: HoldReason) {
        if let Some(run) = &self.run {
            self.holds.insert(run.model.clone(), reason);
        }
        self.pause(now, POLL_INTERVAL);
    }

    fn pause(&mut self, now: time::Timestamp, length: Duration) {
        if let Some(run) = &mut self.run {
            run.step = RunStep::Pausing {
                until: now + length,
            };
        }
    }

    fn next_question(&mut self) -> QuestionNumber {
        self.question = self.question.next();
        self.question
    }
}
