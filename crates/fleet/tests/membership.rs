//! Failure detection, readers and departures of a simulated fleet.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::work;
use kingcupfall_fleet::members;
use kingcupfall_fleet::reducer;
use kingcupfall_fleet::simulation;
use kingcupfall_policy::quarantine;

const READERS_PER_ZONE: usize = 3;

fn started_fleet(plan: simulation::SimulationPlan) -> simulation::FleetSimulation {
    let mut fleet = simulation::FleetSimulation::new(plan);
    fleet.publish("models", b"first");
    fleet.run(Duration::from_secs(40));
    fleet
}

fn zone_plan() -> simulation::SimulationPlan {
    simulation::SimulationPlan {
        gateways_per_zone: 10,
        ..simulation::SimulationPlan::default()
    }
}

fn state_at(
    fleet: &simulation::FleetSimulation,
    observer: simulation::NodeIndex,
    subject: simulation::NodeIndex,
) -> Option<members::MemberState> {
    let record = fleet.reducer(observer).member(fleet.vm(subject));
    record.map(|record| record.state)
}

#[test]
fn zone_knows_all_its_gateways() {
    let fleet = started_fleet(zone_plan());

    for gateway in fleet.gateways(1) {
        assert_eq!(fleet.reducer(gateway).status().zone_live, 9);
    }
}

#[test]
fn lost_vm_is_dead_in_its_whole_zone() {
    let mut fleet = started_fleet(zone_plan());
    let lost = fleet.gateways(0)[3];
    fleet.kill(lost, simulation::FailureKind::Vm);
    fleet.run(Duration::from_secs(30));

    for gateway in fleet.gateways(0) {
        let state = state_at(&fleet, gateway, lost);
        assert_eq!(state, Some(members::MemberState::Dead));
    }
}

#[test]
fn paused_gateway_refutes_its_death() {
    let mut fleet = started_fleet(zone_plan());
    let paused = fleet.gateways(0)[3];
    fleet.pause(paused, Duration::from_secs(30));
    fleet.run(Duration::from_secs(20));
    let observer = fleet.gateways(0)[0];
    let state = state_at(&fleet, observer, paused);
    assert_eq!(state, Some(members::MemberState::Dead));

    fleet.run(Duration::from_secs(60));
    for gateway in fleet.gateways(0) {
        if gateway != paused {
            let state = state_at(&fleet, gateway, paused);
            assert_eq!(state, Some(members::MemberState::Alive));
        }
    }
}

#[test]
fn leaving_gateway_stops_reading_and_is_known_to_leave() {
    let mut fleet = started_fleet(zone_plan());
    let leaving = fleet.readers()[0];
    fleet.leave(leaving);
    fleet.run(Duration::from_secs(10));

    assert!(!fleet.reducer(leaving).is_reader());
    assert_eq!(fleet.readers().len(), 3 * READERS_PER_ZONE);
    let observer = fleet
        .gateways(0)
        .into_iter()
        .find(|index| *index != leaving);
    let state = state_at(&fleet, observer.unwrap(), leaving);
    assert_eq!(state, Some(members::MemberState::Leaving));
}

#[test]
fn readers_are_a_few_of_each_zone() {
    let fleet = started_fleet(zone_plan());

    assert_eq!(fleet.readers().len(), 3 * READERS_PER_ZONE);
}

#[test]
fn lost_zone_makes_no_stampede() {
    let mut fleet = started_fleet(zone_plan());
    let lost = fleet.gateways(0);
    let start = fleet.now();
    fleet.reset_usage();
    for gateway in lost {
        fleet.kill(gateway, simulation::FailureKind::Vm);
    }
    fleet.run(Duration::from_secs(30));

    assert_eq!(fleet.readers().len(), 2 * READERS_PER_ZONE);
    assert!(fleet.service.peak_calls(start) <= 10);
    for gateway in fleet.live() {
        let usage = fleet.usage(gateway);
        assert!(usage.sent_bytes < 30 * 17_000);
    }
}

#[test]
fn gateways_cut_from_all_peers_space_their_calls() {
    let plan = simulation::SimulationPlan {
        loss_rate: 1.0,
        ..zone_plan()
    };
    let mut fleet = simulation::FleetSimulation::new(plan);
    fleet.publish("models", b"first");
    fleet.set_service_mode_everywhere(simulation::ServiceMode::Down);
    fleet.run(Duration::from_secs(60));

    let start = fleet.now();
    fleet.run(Duration::from_secs(60));
    assert_eq!(fleet.readers().len(), 30);
    assert!(fleet.service.peak_calls(start) < 150);
}

#[test]
fn departures_reach_all_gateways_from_one_reading() {
    let mut fleet = started_fleet(zone_plan());
    let leaving = fleet.gateways(2)[0];
    fleet.leave(leaving);
    fleet.run(Duration::from_secs(20));

    let vm = fleet.vm(leaving).clone();
    for gateway in fleet.live() {
        assert!(fleet.departures(gateway).contains(&vm));
    }
}

#[test]
fn suspects_reach_all_gateways_and_late_ones() {
    let mut fleet = started_fleet(zone_plan());
    let record = quarantine::SuspectRecord {
        fingerprint: work::RequestFingerprint::new(7),
        crashes: [Some(ids::AttemptId::from_u128(1)), None],
        seconds_left: 600,
    };
    let finder = fleet.gateways(0)[0];
    fleet.deliver(finder, reducer::FleetEvent::SuspectsFound(vec![record]));
    fleet.run(Duration::from_secs(3));
    let fresh = fleet.start(1, reducer::FleetRole::Gateway);
    fleet.run(Duration::from_secs(10));

    assert!(fleet.live().contains(&fresh));
    for gateway in fleet.live() {
        let suspects = fleet.reducer(gateway).suspects(fleet.now());
        assert_eq!(suspects.len(), 1);
        assert_eq!(suspects[0].crashes, record.crashes);
    }
}

#[test]
fn replaced_process_on_the_same_address_is_learned() {
    let mut fleet = started_fleet(zone_plan());
    let lost = fleet.gateways(0)[2];
    fleet.kill(lost, simulation::FailureKind::Process);
    let fresh = fleet.start(0, reducer::FleetRole::Gateway);
    fleet.run(Duration::from_secs(20));

    for gateway in fleet.gateways(0) {
        if gateway != fresh {
            let state = state_at(&fleet, gateway, fresh);
            assert_eq!(state, Some(members::MemberState::Alive));
        }
    }
}
