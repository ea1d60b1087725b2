//! Orders of agents that are late, doubled, or no longer in charge.

use kingcupfall_agent::upgrade;
use kingcupfall_core::engine::FencingMode;
use kingcupfall_core::ids;
use kingcupfall_core::time;
use yare::parameterized;

use super::WINDOW;
use super::engine::FakeEngine;
use super::world::World;

/// Runs a world of one target until its agent has drained and is about to order.
fn world_before_order(mode: FencingMode) -> (World, ids::TargetName) {
    let mut world = World::new(2, 0.0, 1, mode);
    world.want_version("2");
    let first = world.ranking()[0].clone();
    assert!(world.run_until(60, |world| world.is_upgrading(&first)));
    world.run(11);
    assert!(world.node(&first).engine.orders.is_empty());
    (world, first)
}

#[parameterized(
    checked = { FencingMode::Checked, 0 },
    checked_a_step_later = { FencingMode::Checked, 1 },
    ignored = { FencingMode::Ignored, 0 },
    ignored_a_step_later = { FencingMode::Ignored, 1 },
)]
fn agent_paused_before_order(mode: FencingMode, steps: u64) {
    let (mut world, first) = world_before_order(mode);
    world.run(steps);
    let orders = world.node(&first).engine.orders.len();

    world.node(&first).is_paused = true;
    world.run(120);
    world.want_version("3");
    world.run(5);
    world.node(&first).is_paused = false;
    world.run(5);

    // It wakes with an order for version 2 in hand, which is no longer wanted.
    assert_eq!(world.node(&first).engine.orders.len(), orders);
    assert!(world.run_until(WINDOW, |world| world.count_serving("3") == 2));
    let node = world.node(&first);
    assert_eq!(
        node.engine.orders.last().map(|version| &**version),
        Some("3")
    );
}

#[parameterized(checked = { FencingMode::Checked }, ignored = { FencingMode::Ignored })]
fn agent_without_port_gives_no_order(mode: FencingMode) {
    let (mut world, first) = world_before_order(mode);

    world.node(&first).is_fence_held = false;
    world.run(WINDOW);

    let node = world.node(&first);
    assert!(node.engine.orders.is_empty());
    assert!(!node.is_serving);
}

#[parameterized(checked = { FencingMode::Checked }, ignored = { FencingMode::Ignored })]
fn engine_dies_in_upgrade_and_comes_back(mode: FencingMode) {
    let (mut world, first) = world_before_order(mode);
    assert!(world.run_until(10, |world| !world.nodes[&first].engine.orders.is_empty()));

    world.node(&first).engine.die();
    world.run(30);
    world.node(&first).engine.restart();

    assert!(world.run_until(120, |world| world.count_serving("2") == 1));
    assert_eq!(world.node(&first).engine.orders.len(), 2);
}

#[test]
fn engine_restarts_unseen_and_is_ordered_again() {
    let (mut world, first) = world_before_order(FencingMode::Checked);
    assert!(world.run_until(10, |world| !world.nodes[&first].engine.orders.is_empty()));

    let engine = &mut world.node(&first).engine;
    engine.die();
    engine.restart();

    assert!(world.run_until(120, |world| world.count_serving("2") == 1));
}

/// An agent that was asked for a preparation, and the number of the question.
struct LateAgent {
    reducer: upgrade::UpgradeReducer,
    effects: Vec<upgrade::UpgradeEffect>,
}

impl LateAgent {
    /// Makes an agent that finds its engine without the model, so that it orders at once.
    fn new(world: &World, target: &ids::TargetName, process: u128) -> Self {
        let process = ids::Incarnation::from_u128(process);
        let mut agent = Self {
            reducer: upgrade::UpgradeReducer::new(target.clone(), process),
            effects: Vec::new(),
        };
        let plan = upgrade::UpgradePlan::of_document(&world.document, target);
        agent.apply(at(0), upgrade::UpgradeEvent::PlanChanged(plan));
        agent
    }

    fn apply(&mut self, now: time::Timestamp, event: upgrade::UpgradeEvent) {
        self.reducer.apply(now, event, &mut self.effects);
    }

    fn prepare(&mut self, now: time::Timestamp, engine: &FakeEngine) {
        self.apply(now, upgrade::UpgradeEvent::EngineSeen(engine.state()));
        let wall = upgrade::WallTime::from_unix_seconds(0);
        self.apply(now, upgrade::UpgradeEvent::Tick { wall });
        let preparation = upgrade::Preparation {
            question: self.asked(),
            is_fence_held: true,
            engine: engine.state(),
        };
        self.apply(now, upgrade::UpgradeEvent::Prepared(preparation));
    }

    /// Returns the number of the latest preparation that it asked for.
    fn asked(&self) -> upgrade::QuestionNumber {
        let mut questions = self.effects.iter().filter_map(|effect| {
            let upgrade::UpgradeEffect::Prepare { question } = effect else {
                return None;
            };
            Some(*question)
        });
        questions.next_back().unwrap()
    }

    /// Sends the order that it has prepared.
    fn send(&mut self, now: time::Timestamp, engine: &mut FakeEngine) -> upgrade::OrderOutcome {
        let mut orders = self.effects.iter().filter_map(|effect| {
            let upgrade::UpgradeEffect::GiveOrder {
                question,
                fencing,
                order,
                ..
            } = effect
            else {
                return None;
            };
            Some((*question, *fencing, order.clone()))
        });
        let (question, fencing, order) = orders.next_back().unwrap();
        let outcome = engine.order(now, fencing, &order);
        self.apply(now, upgrade::UpgradeEvent::OrderEnded { question, outcome });
        outcome
    }
}

fn at(seconds: u64) -> time::Timestamp {
    time::Timestamp::from_micros(seconds * 1_000_000)
}

#[test]
fn two_agents_woken_late_engine_takes_one_order() {
    let world = World::new(1, 0.0, 1, FencingMode::Checked);
    let target = world.ranking()[0].clone();
    let mut engine = FakeEngine::new(FencingMode::Checked);
    engine.version = None;
    let mut early = LateAgent::new(&world, &target, 1);
    let mut late = LateAgent::new(&world, &target, 2);

    // Both prepare with the same number, and both believe to be alone.
    early.prepare(at(1), &engine);
    late.prepare(at(1), &engine);

    assert_eq!(early.send(at(2), &mut engine), upgrade::OrderOutcome::Taken);
    assert_eq!(
        late.send(at(2), &mut engine),
        upgrade::OrderOutcome::Outdated
    );
    assert_eq!(engine.orders.len(), 1);
    assert_eq!(engine.refused, 1);
}

#[test]
fn preparation_that_comes_late_is_asked_again() {
    let world = World::new(1, 0.0, 1, FencingMode::Ignored);
    let target = world.ranking()[0].clone();
    let mut engine = FakeEngine::new(FencingMode::Ignored);
    engine.version = None;
    let mut agent = LateAgent::new(&world, &target, 1);
    agent.apply(at(1), upgrade::UpgradeEvent::EngineSeen(engine.state()));
    let wall = upgrade::WallTime::from_unix_seconds(0);
    agent.apply(at(1), upgrade::UpgradeEvent::Tick { wall });
    let question = agent.asked();

    agent.effects.clear();
    let preparation = upgrade::Preparation {
        question,
        is_fence_held: true,
        engine: engine.state(),
    };
    agent.apply(at(100), upgrade::UpgradeEvent::Prepared(preparation));

    let is_order = |effect: &upgrade::UpgradeEffect| {
        matches!(effect, upgrade::UpgradeEffect::GiveOrder { .. })
    };
    assert!(!agent.effects.iter().any(is_order));
    assert_ne!(agent.asked(), question);
}
