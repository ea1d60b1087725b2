//! Targets in evacuated zones, and outside of the zones that a call allows.

use std::rc::Rc;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_relay::directory;
use kingcupfall_relay::dispatch;
use yare::parameterized;

use crate::cold;
use crate::fixtures;

/// Returns the record of an engine in a zone.
fn record(name: &str, zone: &str) -> Rc<directory::TargetRecord> {
    Rc::new(directory::TargetRecord {
        zone: zone.parse().unwrap(),
        ..fixtures::engine_record(name)
    })
}

fn add(dispatcher: &mut dispatch::Dispatcher, name: &str, zone: &str) {
    let usable = directory::TargetChange::Usable(record(name, zone));
    let changed = dispatch::DispatchEvent::TargetsChanged(vec![usable]);
    dispatcher.handle(fixtures::START, changed);
}

/// Creates a dispatcher in zone `a` that knows the engine `near` there and `far` in zone `b`.
fn dispatcher() -> dispatch::Dispatcher {
    let mut dispatcher = fixtures::dispatcher(&[]);
    add(&mut dispatcher, "near", "a");
    add(&mut dispatcher, "far", "b");
    dispatcher
}

fn evacuate(
    dispatcher: &mut dispatch::Dispatcher,
    zones: &[&str],
) -> Vec<dispatch::DispatchEffect> {
    let zones = zones.iter().map(|zone| zone.parse().unwrap()).collect();
    let changed = dispatch::DispatchEvent::EvacuationsChanged(zones);
    dispatcher.handle(fixtures::START, changed)
}

fn placed(dispatcher: &mut dispatch::Dispatcher, call: u64) -> Option<String> {
    let effects = fixtures::arrive(dispatcher, call, fixtures::stream_demand(400));
    fixtures::placed_target(&effects)
}

fn allow(zones: &[&str]) -> dispatch::CallDemand {
    dispatch::CallDemand {
        allowed_zones: Some(zones.iter().map(|zone| zone.parse().unwrap()).collect()),
        ..fixtures::stream_demand(400)
    }
}

/// Guards against calls to evacuated targets, also to those that register meanwhile, and against a
/// withdrawal that changes nothing.
#[test]
fn arrive_avoids_an_evacuated_zone_until_the_withdrawal() {
    let mut dispatcher = dispatcher();
    evacuate(&mut dispatcher, &["a"]);
    add(&mut dispatcher, "new", "a");
    for call in 1..4 {
        assert_eq!(placed(&mut dispatcher, call).as_deref(), Some("far"));
    }
    evacuate(&mut dispatcher, &["b"]);
    let target = placed(&mut dispatcher, 4);
    assert!(
        matches!(target.as_deref(), Some("near" | "new")),
        "{target:?}"
    );
}

/// Guards against calls that wait for targets of zones that nobody knows the return of.
#[test]
fn arrive_without_a_target_left_is_refused_at_once() {
    let mut dispatcher = dispatcher();
    evacuate(&mut dispatcher, &["a", "b"]);
    let demand = fixtures::stream_demand(400);
    let refusal = fixtures::refusal(&fixtures::arrive(&mut dispatcher, 1, demand)).unwrap();
    assert_eq!(refusal.reason, dispatch::RefusalReason::NoTarget);
}

/// The targets pause while a call arrives. Guards against its placement in a zone that is evacuated
/// while it waits, and against its waiting without a target.
#[parameterized(
    another_zone_remains = { &["a"], None },
    no_zone_remains = { &["a", "b"], Some(dispatch::RefusalReason::NoTarget) },
)]
fn waiting_call_follows_an_evacuation(zones: &[&str], expected: Option<dispatch::RefusalReason>) {
    let mut dispatcher = dispatcher();
    let short = Duration::from_millis(300);
    for name in ["near", "far"] {
        let paused = dispatch::DispatchEvent::TargetPaused {
            target: fixtures::engine_record(name).key,
            pause: short,
        };
        dispatcher.handle(fixtures::START, paused);
    }
    assert_eq!(placed(&mut dispatcher, 1), None);
    let effects = evacuate(&mut dispatcher, zones);
    assert_eq!(
        fixtures::refusal(&effects).map(|refusal| refusal.reason),
        expected
    );
    let effects = dispatcher.handle(fixtures::START + short, dispatch::DispatchEvent::Tick);
    let target = fixtures::placed_target(&effects);
    assert_eq!(target.as_deref(), expected.is_none().then_some("far"));
}

/// Guards against streams that are moved or interrupted, and against copies that are kept, where
/// they would be resumed.
#[test]
fn running_stream_stays_and_its_copy_is_dropped() {
    let mut dispatcher = dispatcher();
    assert_eq!(placed(&mut dispatcher, 1).as_deref(), Some("near"));
    assert_eq!(evacuate(&mut dispatcher, &["a"]), []);
    assert_eq!(dispatcher.evacuated_stream_count(), 1);
    let dropped = dispatch::DispatchEffect::DropCopy {
        call: ids::CallId::new(1),
        holder: fixtures::engine_record("far").key,
    };
    assert_eq!(evacuate(&mut dispatcher, &["b"]), [dropped]);
    assert_eq!(dispatcher.evacuated_stream_count(), 0);
    assert_eq!(evacuate(&mut dispatcher, &["a", "b"]), []);
}

/// Guards against migrations and copies into a zone that gets no work, and against resumptions there
/// from a copy that was made before.
#[parameterized(
    evacuated = { &["b"], fixtures::stream_demand(400) },
    not_allowed = { &[], allow(&["a"]) },
)]
fn memory_is_not_sent_to_a_zone_without_work(zones: &[&str], demand: dispatch::CallDemand) {
    let mut dispatcher = dispatcher();
    evacuate(&mut dispatcher, zones);
    let effects = fixtures::arrive(&mut dispatcher, 1, demand.clone());
    let [dispatch::DispatchEffect::Place { placement, .. }] = &effects[..] else {
        panic!("{effects:?}");
    };
    assert_eq!(placement.copy_holder, None);
    let requested = dispatch::DispatchEvent::MigrationRequested {
        call: ids::CallId::new(1),
        tried: Vec::new(),
    };
    let effects = dispatcher.handle(fixtures::START, requested);
    let none = dispatch::DispatchEffect::MigrationTarget {
        call: ids::CallId::new(1),
        target: None,
    };
    assert_eq!(effects, [none]);
    assert!(!dispatcher.may_receive(&record("far", "b"), &demand));
    let near = "near".parse().unwrap();
    assert!(!dispatcher.has_other_target(fixtures::START, &demand, &near));
}

/// Guards against grants to a peer that does not know of the evacuation yet, and against reports
/// that are read in an evacuated zone.
#[test]
fn arbiter_grants_nothing_in_an_evacuated_zone() {
    let mut dispatcher = dispatcher();
    evacuate(&mut dispatcher, &["a"]);
    let claim = dispatch::ReservationRequest {
        target: fixtures::engine_record("near").key,
        load: dispatch::LoadCount::default(),
        limit: dispatch::LoadLimit {
            slots: 24,
            forecast_tokens: u64::MAX,
            used_tokens: u64::MAX,
            backlog_tokens: u64::MAX,
        },
    };
    let received = dispatch::DispatchEvent::ReservationReceived {
        peer: "peer".parse().unwrap(),
        message: dispatch::ReservationMessage::Requested {
            call: ids::CallId::new(7),
            claim,
        },
    };
    let effects = dispatcher.handle(fixtures::START, received);
    let replies: Vec<_> = effects
        .iter()
        .filter_map(|effect| match effect {
            dispatch::DispatchEffect::Send {
                message: dispatch::ReservationMessage::Replied { is_granted, .. },
                ..
            } => Some(*is_granted),
            _ => None,
        })
        .collect();
    assert_eq!(replies, [false]);
    let arbitrated = dispatcher.arbitrated_targets(fixtures::START);
    assert!(arbitrated.iter().all(|target| target.zone.as_str() == "b"));
}

/// Guards against requests outside of the allowed zones, and against calls that wait for a target
/// that may not run them.
#[test]
fn arrive_stays_in_the_allowed_zones() {
    let mut dispatcher = dispatcher();
    let effects = fixtures::arrive(&mut dispatcher, 1, allow(&["b"]));
    assert_eq!(fixtures::placed_target(&effects).as_deref(), Some("far"));
    let effects = fixtures::arrive(&mut dispatcher, 2, allow(&[]));
    let refusal = fixtures::refusal(&effects).unwrap();
    assert_eq!(refusal.reason, dispatch::RefusalReason::NoTarget);
    evacuate(&mut dispatcher, &["b"]);
    let refusal = fixtures::refusal(&fixtures::arrive(&mut dispatcher, 3, allow(&["b"])));
    assert_eq!(refusal.unwrap().reason, dispatch::RefusalReason::NoTarget);
}

/// Guards against calls that wait for capacity in an evacuated zone: what runs in the other zone takes
/// longer than a call may wait, and what runs in the evacuated zone would have ended.
#[test]
fn arrive_does_not_wait_for_streams_in_an_evacuated_zone() {
    let mut dispatcher = dispatcher();
    evacuate(&mut dispatcher, &["a"]);
    for call in 1..=5 {
        let demand = fixtures::stream_demand(4_000);
        let effects = fixtures::arrive(&mut dispatcher, call, demand);
        assert_eq!(fixtures::placed_target(&effects).as_deref(), Some("far"));
        let call = ids::CallId::new(call);
        dispatcher.handle(fixtures::START, dispatch::DispatchEvent::Started { call });
    }
    evacuate(&mut dispatcher, &[]);
    assert_eq!(placed(&mut dispatcher, 6).as_deref(), Some("near"));
    evacuate(&mut dispatcher, &["a"]);
    let now = fixtures::START + Duration::from_secs(60);
    let demand = dispatch::CallDemand {
        arrived_at: now,
        first_requested_at: now,
        deadline: now + Duration::from_secs(39),
        ..fixtures::stream_demand(400)
    };
    let arrival = dispatch::DispatchEvent::Arrived {
        call: ids::CallId::new(7),
        demand: Box::new(demand),
    };
    let refusal = fixtures::refusal(&dispatcher.handle(now, arrival)).unwrap();
    assert_eq!(refusal.reason, dispatch::RefusalReason::QueueTooLong);
}

/// Guards against a zone that is flooded when it is taken back: its targets count as cold, others
/// don't.
#[test]
fn withdrawal_limits_the_targets_of_the_zone() {
    let mut dispatcher = dispatcher();
    cold::set_rule(&mut dispatcher, fixtures::START, 30.0);
    evacuate(&mut dispatcher, &["b"]);
    assert_eq!(dispatcher.cold_target_count(), 0);
    evacuate(&mut dispatcher, &[]);
    assert_eq!(dispatcher.cold_target_count(), 1);
    assert!(dispatcher.shared_cold_limits()[0].target.name.as_str() == "far");
}
