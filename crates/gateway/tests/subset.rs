//! The subset of targets that a gateway keeps links to.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::keys;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_gateway::reducer;
use kingcupfall_gateway::state;
use kingcupfall_policy::limit;
use kingcupfall_policy::place;
use kingcupfall_policy::quarantine;
use kingcupfall_policy::retry;

const NOW: time::Timestamp = time::Timestamp::from_micros(1_000_000);
const TARGET_COUNT: usize = 300;
const SUBSET_SIZE: usize = 64;

fn gateway(process: u128) -> reducer::GatewayReducer {
    let identity = reducer::GatewayIdentity {
        process: ids::ProcessId::from_u128(process),
        zone: "zone-0".parse().unwrap(),
        seed: 1,
    };
    let policies = reducer::GatewayPolicies {
        placement: Box::new(place::RoundRobinPlacement::default()),
        retry: Box::new(retry::ImmediateRetry::new(3)),
        limit: Box::new(limit::NoLimit),
        quarantine: Box::new(quarantine::NoQuarantine),
    };
    reducer::GatewayReducer::new(identity, policies)
}

fn listings(count: usize) -> Vec<state::TargetListing> {
    (0..count)
        .map(|index| state::TargetListing {
            name: target_name(index),
            address: "127.0.0.1:9".parse().unwrap(),
            zone: format!("zone-{}", index % 3).parse().unwrap(),
            serves: state::ServedWork::Service("bookings".parse().unwrap()),
            leaving: false,
        })
        .collect()
}

fn target_name(index: usize) -> ids::TargetName {
    format!("target-{index}").parse().unwrap()
}

fn connect_listed(reducer: &mut reducer::GatewayReducer, count: usize) -> Vec<ids::TargetName> {
    connected_targets(
        reducer,
        NOW,
        reducer::GatewayEvent::TargetsChanged(listings(count)),
    )
}

fn connected_targets(
    reducer: &mut reducer::GatewayReducer,
    now: time::Timestamp,
    event: reducer::GatewayEvent,
) -> Vec<ids::TargetName> {
    let mut effects = Vec::new();
    reducer.apply(now, event, &mut effects);
    effects
        .into_iter()
        .filter_map(|effect| match effect {
            reducer::GatewayEffect::Connect { target, .. } => Some(target),
            _ => None,
        })
        .collect()
}

#[test]
fn few_targets_are_all_connected() {
    assert_eq!(connect_listed(&mut gateway(1), 20).len(), 20);
}

#[test]
fn gateways_connect_to_different_subsets_of_many_targets() {
    let first = connect_listed(&mut gateway(1), TARGET_COUNT);
    let second = connect_listed(&mut gateway(2), TARGET_COUNT);

    assert_eq!(first.len(), SUBSET_SIZE);
    assert_eq!(second.len(), SUBSET_SIZE);
    assert_ne!(first, second);
}

#[test]
fn keyed_call_connects_target_outside_subset() {
    let mut reducer = gateway(1);
    let chosen = connect_listed(&mut reducer, TARGET_COUNT);
    let outside = (0..TARGET_COUNT)
        .map(target_name)
        .find(|name| !chosen.contains(name))
        .unwrap();

    let call = reducer::GatewayEvent::Call(Box::new(keyed_call(&outside)));
    assert_eq!(connected_targets(&mut reducer, NOW, call), [outside]);
}

#[test]
fn resumption_connects_target_outside_subset() {
    let mut reducer = gateway(1);
    let chosen = connect_listed(&mut reducer, TARGET_COUNT);
    let outside = (0..TARGET_COUNT)
        .map(target_name)
        .find(|name| !chosen.contains(name))
        .unwrap();
    let request = reducer::ResumeRequest {
        call: ids::CallId::new(1),
        tag: tag(),
        token: state::ResumeToken {
            target: outside.clone(),
            incarnation: ids::Incarnation::from_u128(1),
            attempt: ids::AttemptId::from_u128(1),
            sequence: measures::SequenceNumber::new(3),
        },
    };

    let mut connected = connected_targets(
        &mut reducer,
        NOW,
        reducer::GatewayEvent::Resume(Box::new(request)),
    );
    connected.extend(connected_targets(
        &mut reducer,
        NOW,
        reducer::GatewayEvent::Tick,
    ));

    assert_eq!(connected, [outside]);
}

fn keyed_call(target: &ids::TargetName) -> reducer::CallRequest {
    reducer::CallRequest {
        call: ids::CallId::new(1),
        tag: tag(),
        fingerprint: work::RequestFingerprint::new(1),
        work: work::WorkRequest::Service(work::ServiceRequest {
            service: "bookings".parse().unwrap(),
            path: "visits".into(),
            content_type: "text/plain".into(),
            body: Vec::new(),
        }),
        stream: false,
        repeatable: false,
        key: Some(keys::IdempotencyKey {
            target: target.clone(),
            incarnation: ids::Incarnation::from_u128(1),
            expires_at: NOW + Duration::from_secs(60),
            nonce: ids::Nonce::from_u128(1),
        }),
        start_deadline: NOW + Duration::from_secs(60),
    }
}

fn tag() -> work::CallerTag {
    work::CallerTag {
        organisation: "exaustao".parse().unwrap(),
        class: "booking".parse().unwrap(),
        priority: measures::Priority::new(1),
        weight: measures::Weight::new(1),
    }
}
