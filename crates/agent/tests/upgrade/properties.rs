//! Upgrades with pauses, engine failures and lost agents at any time.

use kingcupfall_core::engine::FencingMode;
use proptest::prelude::*;
use proptest::test_runner;

use super::WINDOW;
use super::world::World;

const TARGETS: usize = 6;

/// One thing that goes wrong.
#[derive(Debug, Clone)]
enum Trouble {
    Pause { target: usize, seconds: u64 },
    EngineDies { target: usize, seconds: u64 },
    CutOff { target: usize, seconds: u64 },
    AgentLost { target: usize },
    NewVersion,
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(0x6b63_6603),
        ..ProptestConfig::default()
    }
}

fn any_trouble() -> impl Strategy<Value = Trouble> {
    let target = 0..TARGETS;
    let seconds = 1..90u64;
    prop_oneof![
        (target.clone(), seconds.clone())
            .prop_map(|(target, seconds)| Trouble::Pause { target, seconds }),
        (target.clone(), seconds.clone())
            .prop_map(|(target, seconds)| Trouble::EngineDies { target, seconds }),
        (target.clone(), seconds).prop_map(|(target, seconds)| Trouble::CutOff { target, seconds }),
        target.prop_map(|target| Trouble::AgentLost { target }),
        Just(Trouble::NewVersion),
    ]
}

/// Runs `seconds` during which `trouble` lasts.
fn suffer(world: &mut World, trouble: &Trouble, version: &mut u32) {
    let name = |target: &usize| format!("engine-{target}").parse().unwrap();
    match trouble {
        Trouble::Pause { target, seconds } => {
            set(world, &name(target), |node| node.is_paused = true);
            world.run(*seconds);
            set(world, &name(target), |node| node.is_paused = false);
        }
        Trouble::EngineDies { target, seconds } => {
            set(world, &name(target), |node| node.engine.die());
            world.run(*seconds);
            set(world, &name(target), |node| node.engine.restart());
        }
        Trouble::CutOff { target, seconds } => {
            set(world, &name(target), |node| node.is_cut_off = true);
            world.run(*seconds);
            set(world, &name(target), |node| node.is_cut_off = false);
        }
        Trouble::AgentLost { target } => world.lose(&name(target)),
        Trouble::NewVersion => {
            *version += 1;
            world.want_version(&version.to_string());
        }
    }
}

fn set(
    world: &mut World,
    target: &kingcupfall_core::ids::TargetName,
    change: impl FnOnce(&mut super::world::Node),
) {
    if let Some(node) = world.nodes.get_mut(target) {
        change(node);
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn troubles_at_any_time(
        troubles in prop::collection::vec((any_trouble(), 0..200u64), 0..8),
        is_checked in any::<bool>(),
    ) {
        let mode = if is_checked { FencingMode::Checked } else { FencingMode::Ignored };
        let mut world = World::new(TARGETS, 0.5, 2, mode);
        let mut version = 2;
        world.want_version("2");

        for (trouble, seconds) in &troubles {
            suffer(&mut world, trouble, &mut version);
            world.run(*seconds);
        }
        world.run(2 * WINDOW);

        // Nothing stays out of service once the troubles are over.
        for (target, node) in &world.nodes {
            prop_assert!(node.is_serving, "{target} is out of service");
        }
        // An engine never takes a version again that is older than one that it was ordered.
        for node in world.nodes.values() {
            let orders: Vec<u32> =
                node.engine.orders.iter().map(|order| order.parse().unwrap()).collect();
            prop_assert!(orders.is_sorted(), "{orders:?}");
        }
    }

    #[test]
    fn floor_holds_without_troubles(
        targets in 1..12usize,
        floor in 0.0..1.0f64,
        parallel in 1..6u32,
    ) {
        let mut world = World::new(targets, floor, parallel, FencingMode::Checked);
        world.want_version("2");
        world.run(WINDOW);

        let needed = (floor * targets as f64).ceil() as usize;
        prop_assert!(world.least_serving >= needed.min(targets));
        prop_assert!(world.most_upgrading <= parallel as usize);
        if needed < targets {
            prop_assert_eq!(world.count_serving("2"), targets);
        } else {
            prop_assert_eq!(world.count_serving("1"), targets);
        }
    }
}
