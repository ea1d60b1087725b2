//! Nightly upgrades without a coordinator, and orders to engines, under failures.

mod engine;
mod fencing;
mod holds;
mod properties;
mod world;

use kingcupfall_core::engine::FencingMode;

/// Model of all targets.
const MODEL: &str = "report";

/// Seconds in the upgrade window.
const WINDOW: u64 = 3_600;

#[test]
fn upgrade_of_all_targets() {
    let mut world = world::World::new(10, 0.7, 3, FencingMode::Checked);
    world.want_version("2");

    let is_done = world.run_until(WINDOW, |world| world.count_serving("2") == 10);

    assert!(is_done, "{} of 10", world.count_serving("2"));
    assert!(world.least_serving >= 7, "{}", world.least_serving);
    assert!(world.most_upgrading <= 3);
    for node in world.nodes.values() {
        assert_eq!(node.engine.orders, [Box::from("2")]);
    }
}

#[test]
fn upgrade_begins_with_one_target() {
    let mut world = world::World::new(10, 0.5, 5, FencingMode::Checked);
    world.want_version("2");
    let first = world.ranking()[0].clone();

    world.run_until(WINDOW, |world| world.count_serving("2") > 0);

    assert_eq!(world.most_upgrading, 1);
    assert_eq!(world.node(&first).engine.version.as_deref(), Some("2"));
}

#[test]
fn upgrade_of_version_not_loaded_needs_no_window() {
    let mut world = world::World::new(3, 1.0, 1, FencingMode::Checked);
    let fresh = world.ranking()[2].clone();
    world.node(&fresh).engine.version = None;

    let is_done = world.run_until(60, |world| world.count_serving("1") == 3);

    assert!(is_done);
    assert_eq!(world.most_upgrading, 0);
}
