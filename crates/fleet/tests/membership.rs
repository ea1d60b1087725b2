//! Failure detection, selection of readers, and propagation of departures and suspects in a
//! simulated fleet.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::work;
use kingcupfall_fleet::members;
use kingcupfall_fleet::reducer;
use kingcupfall_fleet::simulation;
use kingcupfall_policy::quarantine;

const READERS_PER_ZONE: usize = 3;

/// Returns a fleet that has run long enough to settle after its start.
fn settled_fleet(plan: simulation::SimulationPlan) -> simulation::FleetSimulation {
    let mut fleet = simulation::FleetSimulation::new(plan);
    fleet.publish("models", b"first");
    fleet.run(Duration::from_secs(40));
    fleet
}

fn ten_gateway_plan() -> simulation::SimulationPlan {
    simulation::SimulationPlan {
        gateways_per_zone: 10,
        ..simulation::SimulationPlan::default()
    }
}

/// Returns the state of `subject` as recorded by `observer`.
fn state_at(
    fleet: &simulation::FleetSimulation,
    observer: simulation::NodeIndex,
    subject: simulation::NodeIndex,
) -> Option<members::MemberState> {
    let record = fleet.reducer(observer).member(fleet.vm(subject));
    record.map(|record| record.state)
}

#[test]
fn gateway_knows_all_gateways_of_its_zone() {
    let fleet = settled_fleet(ten_gateway_plan());

    for gateway in fleet.gateways(1) {
        assert_eq!(fleet.reducer(gateway).status().zone_live, 9);
    }
}

#[test]
fn lost_vm_is_recorded_dead_in_its_whole_zone() {
    let mut fleet = settled_fleet(ten_gateway_plan());
    let lost = fleet.gateways(0)[3];
    fleet.kill(lost, simulation::FailureKind::Vm);
    fleet.run(Duration::from_secs(30));

    for gateway in fleet.gateways(0) {
        let state = state_at(&fleet, gateway, lost);
        assert_eq!(state, Some(members::MemberState::Dead));
    }
}

#[test]
fn paused_gateway_refutes_that_it_is_dead_after_the_pause() {
    let mut fleet = settled_fleet(ten_gateway_plan());
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
fn leaving_gateway_stops_reading_and_is_recorded_leaving() {
    let mut fleet = settled_fleet(ten_gateway_plan());
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
fn each_zone_has_three_readers() {
    let fleet = settled_fleet(ten_gateway_plan());

    assert_eq!(fleet.readers().len(), 3 * READERS_PER_ZONE);
}

#[test]
fn loss_of_a_zone_causes_no_burst_of_calls_or_messages() {
    let mut fleet = settled_fleet(ten_gateway_plan());
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
fn gateways_without_peers_limit_their_service_calls() {
    let plan = simulation::SimulationPlan {
        loss_rate: 1.0,
        ..ten_gateway_plan()
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
fn departure_reaches_all_gateways() {
    let mut fleet = settled_fleet(ten_gateway_plan());
    let leaving = fleet.gateways(2)[0];
    fleet.leave(leaving);
    fleet.run(Duration::from_secs(20));

    let vm = fleet.vm(leaving).clone();
    for gateway in fleet.live() {
        assert!(fleet.departures(gateway).contains(&vm));
    }
}

#[test]
fn suspect_reaches_all_gateways_and_those_started_later() {
    let mut fleet = settled_fleet(ten_gateway_plan());
    let record = quarantine::SuspectRecord {
        fingerprint: work::RequestFingerprint::new(7),
        crashes: [Some(ids::CrashId::from_u128(1)), None],
        seconds_left: 600,
    };
    let reporter = fleet.gateways(0)[0];
    fleet.deliver(reporter, reducer::FleetEvent::SuspectsFound(vec![record]));
    fleet.run(Duration::from_secs(3));
    let new_gateway = fleet.start(1, reducer::FleetRole::Gateway);
    fleet.run(Duration::from_secs(10));

    assert!(fleet.live().contains(&new_gateway));
    for gateway in fleet.live() {
        let suspects = fleet.reducer(gateway).suspects(fleet.now());
        assert_eq!(suspects.len(), 1);
        assert_eq!(suspects[0].crashes, record.crashes);
    }
}

#[test]
fn replacement_of_a_crashed_gateway_is_recorded_alive_in_its_zone() {
    let mut fleet = settled_fleet(ten_gateway_plan());
    let lost = fleet.gateways(0)[2];
    fleet.kill(lost, simulation::FailureKind::Process);
    let new_gateway = fleet.start(0, reducer::FleetRole::Gateway);
    fleet.run(Duration::from_secs(20));

    for gateway in fleet.gateways(0) {
        if gateway != new_gateway {
            let state = state_at(&fleet, gateway, new_gateway);
            assert_eq!(state, Some(members::MemberState::Alive));
        }
    }
}
