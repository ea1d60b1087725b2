//! Cases in which targets hold their upgrade.

use kingcupfall_agent::upgrade;
use kingcupfall_agent::upgrade::HoldReason;
use kingcupfall_core::engine::FencingMode;
use kingcupfall_core::ids;

use super::MODEL;
use super::WINDOW;
use super::world::World;

fn hold_of(world: &mut World, rank: usize) -> Option<HoldReason> {
    let target = world.ranking()[rank].clone();
    let model = MODEL.parse().unwrap();
    world.node(&target).reducer.holds().get(&model).copied()
}

#[test]
fn hold_when_first_rank_dies_of_version() {
    let mut world = World::new(8, 0.5, 4, FencingMode::Checked);
    for node in world.nodes.values_mut() {
        node.engine.fatal_version = Some("2".into());
    }
    world.want_version("2");

    world.run(WINDOW);

    let ordered = world
        .nodes
        .values()
        .filter(|node| !node.engine.orders.is_empty());
    assert_eq!(ordered.count(), 1);
    assert_eq!(world.count_serving("1"), 7);
    assert!(world.least_serving >= 7);
}

#[test]
fn hold_when_first_rank_is_lost_in_upgrade() {
    let mut world = World::new(8, 0.5, 4, FencingMode::Checked);
    world.want_version("2");
    let first = world.ranking()[0].clone();
    assert!(world.run_until(60, |world| world.is_upgrading(&first)));
    world.run(2);

    world.lose(&first);
    world.run(1_800);

    assert_eq!(world.count_serving("1"), 7);
    assert_eq!(
        hold_of(&mut world, 1),
        Some(HoldReason::OthersFailed { failed: 1, done: 0 })
    );
}

#[test]
fn hold_when_others_fall_silent() {
    let mut world = World::new(8, 0.5, 4, FencingMode::Checked);
    for node in world.nodes.values_mut() {
        node.is_cut_off = true;
    }
    world.want_version("2");

    world.run(WINDOW - 10);

    // Only the first rank goes on what it heard last; the rest wait for its success.
    assert_eq!(world.count_serving("2"), 1);
    assert_eq!(world.count_serving("1"), 7);
    assert_eq!(hold_of(&mut world, 1), Some(HoldReason::Unproven));
}

#[test]
fn hold_when_others_are_known_out_of_reach() {
    let mut world = World::new(8, 0.5, 4, FencingMode::Checked);
    world.cut_off_all();
    world.want_version("2");

    world.run(WINDOW - 10);

    let reason = HoldReason::CapacityFloor {
        serving: 0,
        needed: 4,
    };
    assert_eq!(hold_of(&mut world, 0), Some(reason));
    assert_eq!(world.count_serving("1"), 8);
}

#[test]
fn hold_when_floor_leaves_no_target_free() {
    let mut world = World::new(3, 0.7, 4, FencingMode::Checked);
    world.want_version("2");

    world.run(WINDOW - 10);

    let reason = HoldReason::CapacityFloor {
        serving: 2,
        needed: 3,
    };
    assert_eq!(hold_of(&mut world, 0), Some(reason));
    assert_eq!(world.least_serving, 3);
}

#[test]
fn hold_while_too_few_targets_serve() {
    let mut world = World::new(8, 0.75, 2, FencingMode::Checked);
    let ranking = world.ranking();
    for target in &ranking[6..] {
        world.node(target).engine.die();
    }
    world.run(3);
    world.want_version("2");

    world.run(600);
    assert_eq!(world.count_serving("1"), 6);

    for target in &ranking[6..] {
        world.node(target).engine.restart();
    }
    assert!(world.run_until(WINDOW - 700, |world| world.count_serving("2") == 8));
    assert!(world.least_serving >= 6);
}

#[test]
fn hold_when_slot_mates_would_break_the_floor() {
    let mut world = World::new(8, 0.5, 4, FencingMode::Checked);
    world.want_version("2");
    let ranking = world.ranking();
    for target in &ranking[5..] {
        world.node(target).engine.die();
    }

    // Five targets serve and four are needed, so that the four of a slot go one by one.
    assert!(world.run_until(WINDOW - 10, |world| world.count_serving("2") == 5));
    assert_eq!(world.least_serving, 4);
}

#[test]
fn hold_when_failed_target_comes_back() {
    let mut world = World::new(8, 0.5, 4, FencingMode::Checked);
    world.want_version("2");
    let first = world.ranking()[0].clone();
    assert!(world.run_until(60, |world| world.is_upgrading(&first)));
    world.run(2);

    world.lose(&first);
    world.run(5);
    world.join(&first);
    world.node(&first).engine.fatal_version = Some("2".into());
    world.run(WINDOW - 100);

    let reason = HoldReason::OthersFailed { failed: 1, done: 0 };
    assert_eq!(hold_of(&mut world, 1), Some(reason));
    assert_eq!(world.count_serving("1"), 7);
}

#[test]
fn hold_after_window() {
    let mut world = World::new(4, 0.5, 1, FencingMode::Checked);
    world.run(WINDOW);
    world.want_version("2");

    world.run(600);

    assert_eq!(world.count_serving("1"), 4);
    assert_eq!(hold_of(&mut world, 0), Some(HoldReason::OutsideWindow));
}

#[test]
fn first_rank_gone_before_upgrade_lets_next_go_first() {
    let mut world = World::new(6, 0.5, 2, FencingMode::Checked);
    world.want_version("2");
    let first = world.ranking()[0].clone();
    world.lose(&first);

    assert!(world.run_until(WINDOW, |world| world.count_serving("2") == 5));
}

#[test]
fn turn_back_when_others_fail_during_drain() {
    let mut world = World::new(8, 0.5, 4, FencingMode::Checked);
    world.want_version("2");
    let ranking = world.ranking();
    assert!(world.run_until(WINDOW, |world| world.count_serving("2") == 1));
    assert!(world.run_until(WINDOW, |world| world.is_upgrading(&ranking[3])));
    world.run(2);

    // Two of the three that drain together are lost; the third serves its old version again.
    world.lose(&ranking[1]);
    world.lose(&ranking[2]);
    world.run(60);

    let third = world.node(&ranking[3]);
    assert!(third.is_serving);
    assert!(third.engine.orders.is_empty());
}

fn note(process: u128, revision: u64, serves: Option<&str>) -> upgrade::UpgradeNote {
    upgrade::UpgradeNote {
        target: "engine-1".parse().unwrap(),
        model: MODEL.parse().unwrap(),
        process: ids::Incarnation::from_u128(process),
        revision,
        serves: serves.map(Box::from),
        upgrading_to: serves.is_none().then(|| "2".into()),
        failed: None,
    }
}

#[test]
fn failure_remembered_until_version_is_served() {
    let model = MODEL.parse().unwrap();
    let target = "engine-1".parse().unwrap();
    let mut peers = upgrade::PeerTable::default();

    peers.record(note(1, 2, None));
    peers.mark_gone(&target);
    assert!(peers.has_failed(&model, &target, "2"));

    peers.record(note(2, 1, Some("1")));
    assert!(peers.has_failed(&model, &target, "2"));

    peers.record(note(2, 2, Some("2")));
    assert!(!peers.has_failed(&model, &target, "2"));
}

#[test]
fn note_that_comes_late_is_ignored() {
    let model = MODEL.parse().unwrap();
    let target = "engine-1".parse().unwrap();
    let mut peers = upgrade::PeerTable::default();

    peers.record(note(1, 3, Some("2")));
    peers.record(note(1, 2, None));

    assert!(peers.has_upgraded(&model, &target, "2"));
}
