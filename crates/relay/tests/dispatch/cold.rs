//! Cold targets, which tolerate few requests from all relays together.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_policy::limit;
use kingcupfall_relay::directory;
use kingcupfall_relay::dispatch;
use yare::parameterized;

use crate::fixtures;

const COLD_TIME: Duration = Duration::from_secs(20);

fn after(millis: u64) -> time::Timestamp {
    fixtures::START + Duration::from_millis(millis)
}

/// Gives a dispatcher a rule for cold targets.
pub fn set_rule(dispatcher: &mut dispatch::Dispatcher, now: time::Timestamp, per_second: f64) {
    let rule = directory::ColdRule {
        time: COLD_TIME,
        rate: measures::RequestRate::new(per_second).unwrap(),
    };
    let rules = BTreeMap::from([("report".parse().unwrap(), rule)]);
    dispatcher.handle(now, dispatch::DispatchEvent::ColdRulesChanged(rules));
}

/// Sends the record of the target, written at this revision. Returns how often targets became cold
/// or ended to be.
pub fn write(
    dispatcher: &mut dispatch::Dispatcher,
    now: time::Timestamp,
    target: &str,
    revision: u64,
    cold_for: Duration,
) -> usize {
    let revision = directory::DirectoryRevision::new(revision);
    write_at(dispatcher, now, target, revision, cold_for)
}

fn write_at(
    dispatcher: &mut dispatch::Dispatcher,
    now: time::Timestamp,
    target: &str,
    revision: directory::DirectoryRevision,
    cold_for: Duration,
) -> usize {
    let record = directory::TargetRecord {
        revision,
        cold_for,
        ..fixtures::engine_record(target)
    };
    let changes = vec![directory::TargetChange::Usable(Rc::new(record))];
    let changed = dispatch::DispatchEvent::TargetsChanged(changes);
    dispatcher.handle(now, changed).len()
}

/// Sets this relay's share of the requests to a cold target.
fn set_share(
    dispatcher: &mut dispatch::Dispatcher,
    now: time::Timestamp,
    target: &str,
    per_second: f64,
) {
    let share = limit::TokenRate {
        per_second,
        burst: 1.0,
    };
    let shares = vec![(fixtures::engine_record(target).key, share)];
    dispatcher.handle(now, dispatch::DispatchEvent::ColdSharesChanged(shares));
}

/// Sets the share of a relay that has none as the target becomes cold, so that its bucket is empty.
fn set_later_share(dispatcher: &mut dispatch::Dispatcher, target: &str, per_second: f64) {
    let none = limit::TokenRate::default();
    let shares = vec![(fixtures::engine_record(target).key, none)];
    let changed = dispatch::DispatchEvent::ColdSharesChanged(shares);
    dispatcher.handle(fixtures::START, changed);
    set_share(dispatcher, fixtures::START, target, per_second);
}

/// Creates a dispatcher whose only target is cold, and which has no request saved for it.
fn cold_dispatcher(per_second: f64) -> dispatch::Dispatcher {
    let mut dispatcher = fixtures::dispatcher(&["one"]);
    set_rule(&mut dispatcher, fixtures::START, 4.0);
    assert_eq!(
        write(&mut dispatcher, fixtures::START, "one", 2, COLD_TIME),
        1
    );
    set_later_share(&mut dispatcher, "one", per_second);
    dispatcher
}

fn arrive(
    dispatcher: &mut dispatch::Dispatcher,
    now: time::Timestamp,
    call: u64,
    demand: dispatch::CallDemand,
) -> Vec<dispatch::DispatchEffect> {
    let demand = dispatch::CallDemand {
        arrived_at: now,
        first_requested_at: now,
        deadline: now + Duration::from_millis(800),
        ..demand
    };
    let arrived = dispatch::DispatchEvent::Arrived {
        call: ids::CallId::new(call),
        demand: Box::new(demand),
    };
    dispatcher.handle(now, arrived)
}

/// Guards against a record that arrives again, as with each list, and keeps its target cold.
#[test]
fn write_again_does_not_extend_the_cold_time() {
    let mut dispatcher = cold_dispatcher(1.0);
    assert_eq!(
        write(&mut dispatcher, after(15_000), "one", 2, COLD_TIME),
        0
    );
    let effects = dispatcher.handle(after(20_000), dispatch::DispatchEvent::Tick);
    assert!(matches!(
        &effects[..],
        [dispatch::DispatchEffect::ColdChanged(_)]
    ));
    assert_eq!(dispatcher.cold_target_count(), 0);
}

/// Guards against cold times that outlast the record that ends them, and targets that lose their
/// caches again unnoticed.
#[test]
fn write_later_ends_and_begins_the_cold_time() {
    let mut dispatcher = cold_dispatcher(1.0);
    assert_eq!(
        write(&mut dispatcher, after(100), "one", 3, Duration::ZERO),
        1
    );
    assert_eq!(dispatcher.cold_target_count(), 0);
    assert_eq!(write(&mut dispatcher, after(200), "one", 4, COLD_TIME), 1);
    assert_eq!(dispatcher.cold_target_count(), 1);
}

/// Guards against a store that returns from an older copy, in which the target was not cold yet.
#[test]
fn write_of_a_new_era_does_not_shorten_the_cold_time() {
    let mut dispatcher = cold_dispatcher(1.0);
    let mut write_at = |now, number| {
        let revision = directory::DirectoryRevision::in_era(1, number);
        write_at(&mut dispatcher, now, "one", revision, Duration::ZERO)
    };
    assert_eq!(write_at(after(100), 1), 0);
    assert_eq!(write_at(after(200), 2), 1);
}

/// Guards against limits in deployments that have no rule for cold targets.
#[test]
fn write_without_rule_limits_nothing() {
    let mut dispatcher = fixtures::dispatcher(&["one"]);
    assert_eq!(
        write(&mut dispatcher, fixtures::START, "one", 2, COLD_TIME),
        0
    );
    let zones = ["a".parse().unwrap()];
    assert_eq!(dispatcher.mark_cold(fixtures::START, &zones), []);
    for call in 0..10 {
        let demand = fixtures::plain_demand();
        let effects = arrive(&mut dispatcher, fixtures::START, call, demand);
        assert!(fixtures::placed_target(&effects).is_some());
    }
}

/// Guards against requests that reach the targets of a zone after its evacuation as if their caches
/// were full.
#[test]
fn mark_cold_limits_the_targets_of_the_zones_until_a_later_record() {
    let mut dispatcher = fixtures::dispatcher(&["one", "two"]);
    set_rule(&mut dispatcher, fixtures::START, 4.0);
    assert_eq!(
        dispatcher.mark_cold(fixtures::START, &["b".parse().unwrap()]),
        []
    );
    let effects = dispatcher.mark_cold(fixtures::START, &["a".parse().unwrap()]);
    let [dispatch::DispatchEffect::ColdChanged(changes)] = &effects[..] else {
        panic!("{effects:?}");
    };
    assert_eq!(changes.len(), 2);
    assert!(changes.iter().all(|change| change.began.is_some()));
    assert_eq!(
        write(&mut dispatcher, after(10), "one", 1, Duration::ZERO),
        0
    );
    assert_eq!(
        write(&mut dispatcher, after(20), "one", 2, Duration::ZERO),
        1
    );
    assert_eq!(dispatcher.cold_target_count(), 1);
    dispatcher.handle(after(20_000), dispatch::DispatchEvent::Tick);
    assert_eq!(dispatcher.cold_target_count(), 0);
}

/// Guards against calls that wait in vain, and calls that are refused though a token comes in time.
#[parameterized(
    in_time = { 10.0, true },
    too_late = { 2.0, false },
    never = { 0.0, false },
)]
fn arrive_at_cold_targets_waits_for_a_token_or_is_refused(per_second: f64, waits: bool) {
    let mut dispatcher = cold_dispatcher(per_second);
    let effects = arrive(
        &mut dispatcher,
        fixtures::START,
        1,
        fixtures::plain_demand(),
    );
    let refusal = fixtures::refusal(&effects);
    if waits {
        assert_eq!(effects, []);
        let effects = dispatcher.handle(after(150), dispatch::DispatchEvent::Tick);
        assert!(fixtures::placed_target(&effects).is_some(), "{effects:?}");
    } else {
        let refusal = refusal.unwrap();
        assert_eq!(refusal.reason, dispatch::RefusalReason::TargetsLimited);
        assert!(refusal.retry_after >= Duration::from_millis(400));
    }
}

/// Guards against targets that get nothing while they are cold, as that is over before a request has
/// accrued, and against shares that are renewed with each update.
#[test]
fn first_share_is_used_at_once_and_once() {
    let mut dispatcher = fixtures::dispatcher(&["one"]);
    set_rule(&mut dispatcher, fixtures::START, 4.0);
    write(&mut dispatcher, fixtures::START, "one", 2, COLD_TIME);
    set_share(&mut dispatcher, fixtures::START, "one", 0.8);
    for (call, is_placed) in [(1, true), (2, false)] {
        set_share(&mut dispatcher, fixtures::START, "one", 0.8);
        let demand = fixtures::plain_demand();
        let effects = arrive(&mut dispatcher, fixtures::START, call, demand);
        assert_eq!(fixtures::placed_target(&effects).is_some(), is_placed);
    }
}

/// Guards against running streams that reach a cold target beyond its bound.
#[test]
fn migration_to_a_cold_target_needs_a_token_and_takes_it() {
    let mut dispatcher = fixtures::dispatcher(&["one"]);
    let effects = fixtures::arrive(&mut dispatcher, 1, fixtures::stream_demand(400));
    assert_eq!(fixtures::placed_target(&effects).as_deref(), Some("one"));
    set_rule(&mut dispatcher, fixtures::START, 4.0);
    assert_eq!(
        write(&mut dispatcher, fixtures::START, "two", 2, COLD_TIME),
        1
    );
    set_later_share(&mut dispatcher, "two", 1.0);
    let call = ids::CallId::new(1);
    let migration_target = |dispatcher: &mut dispatch::Dispatcher, now| {
        let tried = Vec::new();
        let requested = dispatch::DispatchEvent::MigrationRequested { call, tried };
        let effects = dispatcher.handle(now, requested);
        effects.into_iter().find_map(|effect| match effect {
            dispatch::DispatchEffect::MigrationTarget { target, .. } => target,
            _ => None,
        })
    };
    let key = fixtures::engine_record("two").key;
    assert_eq!(migration_target(&mut dispatcher, after(500)), None);
    assert!(dispatcher.cold_wait(after(500), &key) > Some(Duration::ZERO));
    let target = migration_target(&mut dispatcher, after(1_010)).unwrap();
    assert_eq!(
        dispatcher.cold_wait(after(1_010), &key),
        Some(Duration::ZERO)
    );
    let migrated = dispatch::DispatchEvent::Migrated { call, target };
    dispatcher.handle(after(1_010), migrated);
    assert!(dispatcher.cold_wait(after(1_010), &key) > Some(Duration::from_millis(900)));
}

/// Guards against shares whose bucket never holds a whole request, and against those that a relay
/// could exceed at once.
#[test]
fn share_of_any_rate_holds_one_request() {
    let bounds = dispatch::ColdBounds {
        overrun: 1.5,
        allowance: 5.0,
    };
    for tenths in 1..1_000_u32 {
        let rate = measures::RequestRate::new(f64::from(tenths) / 10.0).unwrap();
        for relays in [1, 2, 3, 7, 26, 30] {
            let mut at_once = 0.0;
            for rank in 0..relays {
                let sharers = dispatch::LimitSharers {
                    relays,
                    rank,
                    demand_share: None,
                };
                let share = bounds.share(rate, &sharers);
                assert!(share.per_second == 0.0 || share.burst >= 1.0, "{share:?}");
                at_once += share.burst.floor();
            }
            let bound = rate.per_second() * bounds.overrun + bounds.allowance;
            assert!(
                at_once >= 1.0 && at_once <= bound / 2.0,
                "{at_once} of {bound}"
            );
        }
    }
}
