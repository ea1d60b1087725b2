//! Which targets a gateway keeps links to.

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
const TARGETS: usize = 300;
const SUBSET: usize = 64;

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

fn list(reducer: &mut reducer::GatewayReducer, count: usize) -> Vec<ids::TargetName> {
    connected(
        reducer,
        NOW,
        reducer::GatewayEvent::Targets(listings(count)),
    )
}

fn connected(
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
fn few_targets_are_all_linked() {
    assert_eq!(list(&mut gateway(1), 20).len(), 20);
}

#[test]
fn many_targets_are_linked_by_subset_that_differs_among_gateways() {
    let first = list(&mut gateway(1), TARGETS);
    let second = list(&mut gateway(2), TARGETS);

    assert_eq!(first.len(), SUBSET);
    assert_eq!(second.len(), SUBSET);
    assert_ne!(first, second);
}

#[test]
fn keyed_call_opens_a_link_outside_the_subset() {
    let mut reducer = gateway(1);
    let chosen = list(&mut reducer, TARGETS);
    let outside = (0..TARGETS)
        .map(target_name)
        .find(|name| !chosen.contains(name))
        .unwrap();

    let call = reducer::GatewayEvent::Call(Box::new(keyed_call(&outside)));
    assert_eq!(connected(&mut reducer, NOW, call), [outside]);
}

#[test]
fn resumption_opens_a_link_outside_the_subset() {
    let mut reducer = gateway(1);
    let chosen = list(&mut reducer, TARGETS);
    let outside = (0..TARGETS)
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

    let mut opened = connected(
        &mut reducer,
        NOW,
        reducer::GatewayEvent::Resume(Box::new(request)),
    );
    opened.extend(connected(&mut reducer, NOW, reducer::GatewayEvent::Tick));

    assert_eq!(opened, [outside]);
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
