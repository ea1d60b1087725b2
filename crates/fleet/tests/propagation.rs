//! Propagation of sections in a simulated fleet, under faults of processes, network and service.

use std::time::Duration;

use kingcupfall_fleet::reducer;
use kingcupfall_fleet::simulation;

const SECTION: &str = "models";
const PROPAGATION_LIMIT: Duration = Duration::from_secs(4);
const REPAIR_LIMIT: Duration = Duration::from_secs(30);

/// Returns a fleet in which the first version of a section is active everywhere.
fn settled_fleet(plan: simulation::SimulationPlan) -> simulation::FleetSimulation {
    let mut fleet = simulation::FleetSimulation::new(plan);
    let version = fleet.publish(SECTION, b"first");
    fleet.run(Duration::from_secs(40));
    assert!(fleet.is_active_everywhere(SECTION, version));
    fleet
}

fn small_plan() -> simulation::SimulationPlan {
    simulation::SimulationPlan {
        agents_per_zone: 4,
        gateways_per_zone: 6,
        ..simulation::SimulationPlan::default()
    }
}

/// Publishes the next version of the section, and asserts that it is active everywhere within
/// `limit`.
fn assert_propagates(fleet: &mut simulation::FleetSimulation, bytes: &[u8], limit: Duration) {
    let version = fleet.publish(SECTION, bytes);
    let time = fleet.run_until(limit, |fleet| fleet.is_active_everywhere(SECTION, version));
    assert!(
        time.is_some(),
        "version {version} is not active everywhere after {limit:?}"
    );
    assert_eq!(fleet.violations(), &[] as &[Box<str>]);
}

/// Returns text of distinct lines, about as long as those of a real section.
fn large_text(lines: usize) -> Vec<u8> {
    let write_line = |line| format!("[targets.engine-{line}]\nvm = \"vm-{line}\"\n");
    (0..lines).map(write_line).collect::<String>().into_bytes()
}

#[test]
fn change_is_active_everywhere_within_four_seconds() {
    let mut fleet = settled_fleet(small_plan());

    assert_propagates(&mut fleet, b"second", PROPAGATION_LIMIT);
}

#[test]
fn large_value_is_active_everywhere_within_four_seconds() {
    let mut fleet = settled_fleet(small_plan());

    let bytes = large_text(20_000);
    assert!(bytes.len() > 700_000);
    assert_propagates(&mut fleet, &bytes, PROPAGATION_LIMIT);
}

#[test]
fn edit_of_a_large_value_transfers_few_bytes() {
    let mut fleet = settled_fleet(small_plan());
    let mut bytes = large_text(20_000);
    assert_propagates(&mut fleet, &bytes, PROPAGATION_LIMIT);
    fleet.run(Duration::from_secs(5));
    fleet.reset_usage();

    let middle = bytes.len() / 2;
    bytes[middle] = b'#';
    assert_propagates(&mut fleet, &bytes, PROPAGATION_LIMIT);

    let received = fleet.live().into_iter();
    let received = received.map(|index| fleet.usage(index).received_bytes);
    assert!(received.max() < Some(20_000));
}

#[test]
fn change_propagates_despite_message_loss_and_duplication() {
    let plan = simulation::SimulationPlan {
        loss_rate: 0.1,
        duplication_rate: 0.1,
        max_jitter: Duration::from_millis(20),
        ..small_plan()
    };
    let mut fleet = settled_fleet(plan);

    assert_propagates(&mut fleet, &large_text(1_000), REPAIR_LIMIT);
}

#[test]
fn lost_readers_are_replaced_within_twelve_seconds() {
    let mut fleet = settled_fleet(small_plan());
    for reader in fleet.readers() {
        fleet.kill(reader, simulation::FailureKind::Vm);
    }
    assert!(fleet.readers().is_empty());

    assert_propagates(&mut fleet, b"second", Duration::from_secs(12));
    assert!(!fleet.readers().is_empty());
}

#[test]
fn versions_stay_active_while_the_service_is_down_and_update_afterwards() {
    let mut fleet = settled_fleet(small_plan());
    let start = fleet.now();
    fleet.set_service_mode_everywhere(simulation::ServiceMode::Down);
    let version = fleet.publish(SECTION, b"second");

    fleet.run(Duration::from_secs(3_600));
    let has_first = |index| fleet.active_version(index, SECTION) == Some(1);
    assert!(fleet.live().into_iter().all(has_first));
    assert!(fleet.service.peak_calls(start) < 100);

    fleet.set_service_mode_everywhere(simulation::ServiceMode::Up);
    let time = fleet.run_until(PROPAGATION_LIMIT, |fleet| {
        fleet.is_active_everywhere(SECTION, version)
    });
    assert!(time.is_some());
}

#[test]
fn flapping_stale_service_never_lowers_a_version() {
    let mut fleet = settled_fleet(small_plan());
    assert_propagates(&mut fleet, b"second", PROPAGATION_LIMIT);

    for _ in 0..20 {
        let stale = simulation::ServiceMode::Stale(reducer::ServiceRevision::new(1));
        fleet.set_service_mode_everywhere(stale);
        fleet.run(Duration::from_secs(70));
        fleet.set_service_mode_everywhere(simulation::ServiceMode::Up);
        fleet.run(Duration::from_secs(3));
    }

    let has_second = |index| fleet.active_version(index, SECTION) == Some(2);
    assert!(fleet.live().into_iter().all(has_second));
    assert_eq!(fleet.violations(), &[] as &[Box<str>]);
}

#[test]
fn new_gateway_with_a_stale_service_adopts_the_version_of_its_peers() {
    let mut fleet = settled_fleet(small_plan());
    assert_propagates(&mut fleet, b"second", PROPAGATION_LIMIT);
    let stale = simulation::ServiceMode::Stale(reducer::ServiceRevision::new(1));
    fleet.set_service_mode_everywhere(stale);

    let new_gateway = fleet.start(0, reducer::FleetRole::Gateway);
    let joined = fleet.run_until(Duration::from_secs(10), |fleet| {
        fleet.active_version(new_gateway, SECTION).is_some()
    });
    assert!(joined.is_some());
    assert_eq!(fleet.active_version(new_gateway, SECTION), Some(2));
}

#[test]
fn new_gateway_without_peers_waits_and_then_activates_an_unconfirmed_version() {
    let plan = simulation::SimulationPlan {
        agents_per_zone: 0,
        ..small_plan()
    };
    let mut fleet = settled_fleet(plan);
    assert_propagates(&mut fleet, b"second", PROPAGATION_LIMIT);
    let stale = simulation::ServiceMode::Stale(reducer::ServiceRevision::new(1));
    fleet.set_service_mode_everywhere(stale);
    for gateway in fleet.gateways(0) {
        fleet.kill(gateway, simulation::FailureKind::Vm);
    }
    fleet.isolate_zones(&[0]);

    let new_gateway = fleet.start(0, reducer::FleetRole::Gateway);
    fleet.run(Duration::from_secs(20));
    assert_eq!(fleet.active_version(new_gateway, SECTION), None);

    fleet.run(Duration::from_secs(40));
    assert_eq!(fleet.active_version(new_gateway, SECTION), Some(1));
    let phase = fleet.reducer(new_gateway).join_phase();
    assert_eq!(phase, reducer::JoinPhase::Unconfirmed);

    fleet.isolate_zones(&[]);
    fleet.run(REPAIR_LIMIT);
    assert_eq!(fleet.active_version(new_gateway, SECTION), Some(2));
    let phase = fleet.reducer(new_gateway).join_phase();
    assert_eq!(phase, reducer::JoinPhase::Confirmed);
}

#[test]
fn new_gateway_without_other_gateways_adopts_the_version_of_the_agents() {
    let mut fleet = settled_fleet(small_plan());
    assert_propagates(&mut fleet, b"second", PROPAGATION_LIMIT);
    let stale = simulation::ServiceMode::Stale(reducer::ServiceRevision::new(1));
    fleet.set_service_mode_everywhere(stale);
    for gateway in fleet.gateways(0) {
        fleet.kill(gateway, simulation::FailureKind::Vm);
    }
    fleet.isolate_zones(&[0]);

    let new_gateway = fleet.start(0, reducer::FleetRole::Gateway);
    fleet.run(Duration::from_secs(20));
    assert_eq!(fleet.active_version(new_gateway, SECTION), Some(2));
    fleet.run(Duration::from_secs(40));
    assert_eq!(fleet.active_version(new_gateway, SECTION), Some(2));
    assert_eq!(fleet.violations(), &[] as &[Box<str>]);
}

#[test]
fn isolated_zone_with_a_stale_service_converges_after_the_partition() {
    let mut fleet = settled_fleet(small_plan());
    fleet.isolate_zones(&[2]);
    let stale = simulation::ServiceMode::Stale(reducer::ServiceRevision::new(1));
    fleet.set_service_mode(2, stale);
    let version = fleet.publish(SECTION, b"second");
    fleet.run(Duration::from_secs(3_600));

    let isolated = fleet.gateways(2);
    let has_first = |index| fleet.active_version(index, SECTION) == Some(1);
    assert!(isolated.into_iter().all(has_first));

    fleet.isolate_zones(&[]);
    let time = fleet.run_until(REPAIR_LIMIT, |fleet| {
        fleet.is_active_everywhere(SECTION, version)
    });
    assert!(time.is_some());
    assert_eq!(fleet.violations(), &[] as &[Box<str>]);
}

#[test]
fn isolated_zone_reads_the_service_itself() {
    let mut fleet = settled_fleet(small_plan());
    fleet.isolate_zones(&[2]);
    fleet.run(Duration::from_secs(60));

    assert_propagates(&mut fleet, b"second", PROPAGATION_LIMIT);
}

#[test]
fn paused_process_catches_up_and_lowers_no_version() {
    let mut fleet = settled_fleet(small_plan());
    let paused = fleet.gateways(1)[0];
    fleet.pause(paused, Duration::from_secs(120));
    for round in 0..5 {
        fleet.publish(SECTION, format!("round {round}").as_bytes());
        fleet.run(Duration::from_secs(20));
    }

    fleet.run(Duration::from_secs(60));
    assert_eq!(fleet.active_version(paused, SECTION), Some(6));
    assert_eq!(fleet.violations(), &[] as &[Box<str>]);
}

#[test]
fn agents_restore_versions_after_all_gateways_of_a_zone_restart() {
    let plan = simulation::SimulationPlan {
        zones: 1,
        ..small_plan()
    };
    let mut fleet = settled_fleet(plan);
    assert_propagates(&mut fleet, b"second", PROPAGATION_LIMIT);
    fleet.set_service_mode_everywhere(simulation::ServiceMode::Down);

    for gateway in fleet.gateways(0) {
        fleet.kill(gateway, simulation::FailureKind::Process);
    }
    let new_gateway = fleet.start(0, reducer::FleetRole::Gateway);
    fleet.run(REPAIR_LIMIT);
    assert_eq!(fleet.active_version(new_gateway, SECTION), Some(2));
}

#[test]
fn section_with_findings_keeps_its_last_accepted_value() {
    let mut fleet = settled_fleet(small_plan());
    fleet.publish(SECTION, b"bad second");
    fleet.run(PROPAGATION_LIMIT);

    for index in fleet.live() {
        assert_eq!(fleet.active_version(index, SECTION), Some(1));
        let status = fleet.reducer(index).status();
        let rejected = status.sections[0].rejected;
        assert_eq!(rejected.map(|version| version.get()), Some(2));
    }

    assert_propagates(&mut fleet, b"third", PROPAGATION_LIMIT);
    let index = fleet.live()[0];
    assert_eq!(fleet.reducer(index).status().sections[0].rejected, None);
}

#[test]
fn new_gateway_receives_the_accepted_and_the_rejected_version() {
    let mut fleet = settled_fleet(small_plan());
    fleet.publish(SECTION, b"bad second");
    fleet.run(PROPAGATION_LIMIT);

    let new_gateway = fleet.start(1, reducer::FleetRole::Gateway);
    fleet.run(Duration::from_secs(10));
    assert_eq!(fleet.active_version(new_gateway, SECTION), Some(1));
    let rejected = fleet.reducer(new_gateway).status().sections[0].rejected;
    assert_eq!(rejected.map(|version| version.get()), Some(2));
}
