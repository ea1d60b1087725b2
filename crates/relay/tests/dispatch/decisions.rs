//! Queueing, refusal, placement and migration decisions of one dispatcher.

use std::collections::BTreeMap;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::work;
use kingcupfall_relay::dispatch;
use kingcupfall_relay::membership;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs;
use yare::parameterized;

use crate::fixtures;

#[test]
fn arrive_without_target_is_refused_immediately() {
    let mut dispatcher = fixtures::dispatcher(&[]);
    let refusal = fixtures::refusal(&fixtures::arrive(
        &mut dispatcher,
        1,
        fixtures::stream_demand(400),
    ))
    .unwrap();
    assert_eq!(refusal.reason, dispatch::RefusalReason::NoTarget);
    assert!(refusal.retry_after > Duration::ZERO);
}

#[test]
fn arrive_larger_than_memory_is_refused_immediately() {
    let mut dispatcher = fixtures::dispatcher(&["one"]);
    let demand = dispatch::CallDemand {
        prompt_tokens: fixtures::MEMORY_TOKENS + 1,
        ..fixtures::stream_demand(400)
    };
    let refusal = fixtures::refusal(&fixtures::arrive(&mut dispatcher, 1, demand)).unwrap();
    assert_eq!(refusal.reason, dispatch::RefusalReason::TooLarge);
}

#[test]
fn arrive_is_never_placed_on_a_leaving_target() {
    let mut dispatcher = fixtures::dispatcher(&["one", "two"]);
    fixtures::announce_departure(&mut dispatcher, "one");
    for call in 1..4 {
        let effects = fixtures::arrive(&mut dispatcher, call, fixtures::stream_demand(400));
        assert_ne!(fixtures::placed_target(&effects).as_deref(), Some("one"));
    }
}

#[test]
fn arrive_distributes_streams_over_engines() {
    let mut dispatcher = fixtures::dispatcher(&["one", "two", "three"]);
    let mut targets: Vec<_> = (1..4)
        .filter_map(|call| {
            fixtures::placed_target(&fixtures::arrive(
                &mut dispatcher,
                call,
                fixtures::stream_demand(400),
            ))
        })
        .collect();
    targets.sort();
    assert_eq!(targets, ["one", "three", "two"]);
}

/// A burst of calls: each engine takes what its memory holds and what it can start on time; the
/// other calls are refused immediately with a time to retry.
#[test]
fn arrive_burst_is_placed_until_memory_is_full_then_refused() {
    let mut dispatcher = fixtures::dispatcher(&["one", "two"]);
    let mut placed_count = 0;
    let mut refusals = Vec::new();
    for call in 1..=40 {
        let effects = fixtures::arrive(&mut dispatcher, call, fixtures::stream_demand(400));
        placed_count += usize::from(fixtures::placed_target(&effects).is_some());
        let started = dispatch::DispatchEvent::Started {
            call: ids::CallId::new(call),
        };
        dispatcher.handle(fixtures::START, started);
        refusals.extend(fixtures::refusal(&effects));
    }

    let max_calls = 2 * (fixtures::MEMORY_TOKENS / 3_000) as usize;
    assert!(
        placed_count <= max_calls && placed_count >= max_calls / 2,
        "{placed_count}"
    );
    assert!(!refusals.is_empty());
    for refusal in refusals {
        assert_eq!(refusal.reason, dispatch::RefusalReason::QueueTooLong);
        assert!(refusal.retry_after >= Duration::from_millis(990));
    }
}

/// A stream that missed its target latency still waits, but not until its caller times out, which
/// is after four times the target latency.
#[test]
fn tick_refuses_a_call_that_reached_its_maximum_wait() {
    let mut dispatcher = fixtures::dispatcher(&["one"]);
    for call in 1..=3 {
        fixtures::arrive(&mut dispatcher, call, fixtures::stream_demand(20));
    }
    let effects = fixtures::arrive(&mut dispatcher, 4, fixtures::stream_demand(20));
    assert_eq!(
        (
            fixtures::placed_target(&effects),
            fixtures::refusal(&effects)
        ),
        (None, None)
    );

    let before_max_wait = fixtures::START + Duration::from_secs(4);
    let effects = dispatcher.handle(before_max_wait, dispatch::DispatchEvent::Tick);
    assert_eq!(fixtures::refusal(&effects), None);
    let after_max_wait = fixtures::START + Duration::from_secs(5);
    let effects = dispatcher.handle(after_max_wait, dispatch::DispatchEvent::Tick);
    let refusal = fixtures::refusal(&effects).unwrap();
    assert_eq!(refusal.reason, dispatch::RefusalReason::WaitTimedOut);
    // A call that was not placed for this long has no reason to expect a shorter wait next time.
    assert!(refusal.retry_after >= Duration::from_secs(4));
}

/// A stream that waits when the relay stops could not end before it does.
#[test]
fn stop_refuses_waiting_streams() {
    let mut dispatcher = fixtures::dispatcher(&["one"]);
    for call in 1..=4 {
        fixtures::arrive(&mut dispatcher, call, fixtures::stream_demand(20));
    }
    let effects = dispatcher.handle(fixtures::START, dispatch::DispatchEvent::Stopping);
    let refusal = fixtures::refusal(&effects).unwrap();
    assert_eq!(refusal.reason, dispatch::RefusalReason::Stopping);
    assert_eq!(effects.len(), 1);
    assert_eq!(dispatcher.call_counts(), (0, 3));
}

/// Guards against forgetting a request that is refused twice too early: the retention time starts
/// again with the second refusal.
#[test]
fn second_refusal_restarts_the_retention_time() {
    let mut dispatcher = fixtures::dispatcher(&["one"]);
    let record = dispatch::RefusedRequest {
        fingerprint: work::RequestFingerprint::new(8),
        age: Duration::ZERO,
    };
    for call in 1..=3 {
        fixtures::arrive(&mut dispatcher, call, fixtures::stream_demand(20));
    }
    for second in [0, 5, 10] {
        let now = fixtures::START + Duration::from_secs(second);
        dispatcher.handle(now, dispatch::DispatchEvent::Tick);
        if second < 10 {
            dispatcher.merge_refused_request(now, &record);
        }
    }
    let now = fixtures::START + Duration::from_secs(10);
    for (call, fingerprint) in [(4, 8), (5, 7)] {
        let demand = dispatch::CallDemand {
            arrived_at: now,
            first_requested_at: now,
            fingerprint: work::RequestFingerprint::new(fingerprint),
            ..fixtures::stream_demand(20)
        };
        let call = ids::CallId::new(call);
        let demand = Box::new(demand);
        dispatcher.handle(now, dispatch::DispatchEvent::Arrived { call, demand });
    }
    // Without this event, the target would have been silent and be probed.
    let progressed = dispatch::DispatchEvent::Progressed {
        call: ids::CallId::new(1),
        events: 1,
    };
    dispatcher.handle(now, progressed);
    let ended = dispatch::DispatchEvent::CallEnded {
        call: ids::CallId::new(1),
    };
    let effects = dispatcher.handle(now, ended);
    assert!(matches!(
        effects[..],
        [dispatch::DispatchEffect::Place { call, .. }] if call == ids::CallId::new(5)
    ));
}

#[test]
fn call_end_places_a_waiting_call() {
    let mut dispatcher = fixtures::dispatcher(&["one"]);
    for call in 1..=4 {
        fixtures::arrive(&mut dispatcher, call, fixtures::stream_demand(20));
    }
    let ended = dispatch::DispatchEvent::CallEnded {
        call: ids::CallId::new(1),
    };
    let effects = dispatcher.handle(fixtures::START, ended);
    assert_eq!(fixtures::placed_target(&effects).as_deref(), Some("one"));
}

/// An engine is full and two callers wait. The one that was refused before sent its request first
/// and misses its target latency in any case; the other one can still meet it and is placed.
#[test]
fn call_end_places_the_call_that_can_still_be_on_time() {
    let mut dispatcher = fixtures::dispatcher(&["one"]);
    for call in 1..=3 {
        fixtures::arrive(&mut dispatcher, call, fixtures::stream_demand(20));
    }
    let fingerprint = work::RequestFingerprint::new(8);
    let refused = dispatch::RefusedRequest {
        fingerprint,
        age: Duration::from_secs(3),
    };
    dispatcher.merge_refused_request(fixtures::START, &refused);
    let retried = dispatch::CallDemand {
        fingerprint,
        ..fixtures::stream_demand(20)
    };
    fixtures::arrive(&mut dispatcher, 4, retried);
    fixtures::arrive(&mut dispatcher, 5, fixtures::stream_demand(20));

    let ended = dispatch::DispatchEvent::CallEnded {
        call: ids::CallId::new(1),
    };
    let effects = dispatcher.handle(fixtures::START, ended);
    assert!(matches!(
        effects[..],
        [dispatch::DispatchEffect::Place { call, .. }] if call == ids::CallId::new(5)
    ));
}

/// A retried request is placed immediately if there is capacity for others beside it.
#[test]
fn arrive_after_a_refusal_is_placed_while_there_is_capacity() {
    let mut dispatcher = fixtures::dispatcher(&["one"]);
    let refused = dispatch::RefusedRequest {
        fingerprint: work::RequestFingerprint::new(7),
        age: Duration::from_secs(3),
    };
    dispatcher.merge_refused_request(fixtures::START, &refused);
    let effects = fixtures::arrive(&mut dispatcher, 1, fixtures::stream_demand(20));
    assert_eq!(fixtures::placed_target(&effects).as_deref(), Some("one"));
}

/// Peers receive each refusal once, with the time since the caller first sent the request.
#[test]
fn refused_requests_after_returns_each_refusal_once() {
    let mut dispatcher = fixtures::dispatcher(&["one"]);
    for call in 1..=40 {
        let demand = dispatch::CallDemand {
            fingerprint: work::RequestFingerprint::new(call),
            ..fixtures::stream_demand(400)
        };
        fixtures::arrive(&mut dispatcher, call, demand);
    }
    let now = fixtures::START + Duration::from_secs(2);
    let (records, reported_count) = dispatcher.refused_requests_after(now, 0);
    assert!(!records.is_empty());
    assert_eq!(records[0].age, Duration::from_secs(2));
    assert_eq!(
        dispatcher.refused_requests_after(now, reported_count),
        (Vec::new(), reported_count)
    );
}

/// A burst of twice what two engines hold, then calls as fast as slots become free. Calls
/// that arrive after the burst are placed on time, although callers of the burst still wait or
/// retry.
#[test]
fn arrive_after_a_burst_is_placed_on_time() {
    let mut dispatcher = fixtures::dispatcher(&["one", "two"]);
    let mut running = Vec::new();
    let mut on_time = 0;
    let mut next = 0;
    let step = Duration::from_millis(100);
    for round in 0..100_u32 {
        let now = fixtures::START + step * round;
        let arrivals = if round == 0 { 24 } else { round % 2 };
        let mut effects = dispatcher.handle(now, dispatch::DispatchEvent::Tick);
        for _ in 0..arrivals {
            next += 1;
            let demand = dispatch::CallDemand {
                arrived_at: now,
                first_requested_at: now,
                deadline: now + Duration::from_secs(39),
                fingerprint: work::RequestFingerprint::new(next),
                ..fixtures::stream_demand(400)
            };
            let call = ids::CallId::new(next);
            let demand = Box::new(demand);
            effects
                .extend(dispatcher.handle(now, dispatch::DispatchEvent::Arrived { call, demand }));
        }
        // A stream takes one to three seconds.
        let length = |call: &ids::CallId| 10 + 2 * (call.get() * 7 % 11) as u32;
        let ended: Vec<_> = running
            .extract_if(.., |(call, at): &mut (ids::CallId, _)| {
                now.since(*at) >= step * length(call)
            })
            .collect();
        for (call, _) in ended {
            effects.extend(dispatcher.handle(now, dispatch::DispatchEvent::CallEnded { call }));
        }
        for effect in effects {
            if let dispatch::DispatchEffect::Place { call, .. } = effect {
                dispatcher.handle(now, dispatch::DispatchEvent::Started { call });
                running.push((call, now));
                let arrived_at =
                    fixtures::START + step * (2 * (call.get().saturating_sub(24)) as u32);
                on_time += u32::from(call.get() > 24 && now.since(arrived_at) < step * 10);
            }
        }
    }
    let after_burst = next - 24;
    assert!(
        u64::from(on_time) >= after_burst * 9 / 10,
        "{on_time} of {after_burst}"
    );
}

/// Two relays place a stream each within one heartbeat interval. With the update on the first
/// placement, the second relay takes the other engine; without it, both take the engine that looks
/// best to both.
#[parameterized(
    with_update = { true },
    without_update = { false },
)]
fn arrive_at_two_relays_uses_both_engines_only_with_update(has_update: bool) {
    let mut first = fixtures::dispatcher(&["one", "two"]);
    let mut second = fixtures::dispatcher(&["one", "two"]);
    let peer: ids::VmName = "vm-1".parse().unwrap();
    let empty_loads = dispatch::DispatchEvent::PeerLoadsReplaced {
        peer: peer.clone(),
        loads: Vec::new(),
    };
    second.handle(fixtures::START, empty_loads);
    let first_target = fixtures::placed_target(&fixtures::arrive(
        &mut first,
        1,
        fixtures::stream_demand(400),
    ));
    let update = dispatch::DispatchEvent::PeerLoadsUpdated {
        peer,
        loads: first.take_changed_loads(fixtures::START),
    };
    if has_update {
        second.handle(fixtures::START, update);
    }
    let second_target = fixtures::placed_target(&fixtures::arrive(
        &mut second,
        1,
        fixtures::stream_demand(400),
    ));
    assert_eq!(first_target != second_target, has_update);
}

/// Whatever peers report, the load on which a placement is based is the sum of each peer's last
/// report.
#[test]
fn placement_load_is_the_sum_of_last_peer_reports() {
    let mut random = rngs::SmallRng::seed_from_u64(11);
    let names: Vec<ids::VmName> = (0..5)
        .map(|index| format!("relay-{index}").parse().unwrap())
        .collect();
    let mut dispatcher = fixtures::dispatcher(&["one"]);
    let mut reported: BTreeMap<ids::VmName, u32> = BTreeMap::new();
    for call in 1..2_000 {
        let peer = names[random.random_range(0..names.len())].clone();
        let calls = random.random_range(0..4);
        let loads = vec![dispatch::PeerLoad {
            target: "one".parse().unwrap(),
            load: dispatch::LoadCount {
                calls,
                ..dispatch::LoadCount::default()
            },
        }];
        let event = match random.random_range(0..4) {
            0 => {
                reported.remove(&peer);
                dispatch::DispatchEvent::PeerLost { peer }
            }
            1 => {
                reported.insert(peer.clone(), 0);
                let loads = Vec::new();
                dispatch::DispatchEvent::PeerLoadsReplaced { peer, loads }
            }
            2 => {
                reported.insert(peer.clone(), calls);
                dispatch::DispatchEvent::PeerLoadsReplaced { peer, loads }
            }
            // A change counts only after the peer has reported all of its loads.
            _ => {
                reported
                    .entry(peer.clone())
                    .and_modify(|reported| *reported = calls);
                dispatch::DispatchEvent::PeerLoadsUpdated { peer, loads }
            }
        };
        dispatcher.handle(fixtures::START, event);

        let effects = fixtures::arrive(&mut dispatcher, call, fixtures::plain_demand());
        let load = effects.iter().find_map(|effect| match effect {
            dispatch::DispatchEffect::Place { placement, .. } => Some(placement.load.calls),
            _ => None,
        });
        assert_eq!(load, Some(reported.values().sum()));
        let call = ids::CallId::new(call);
        dispatcher.handle(fixtures::START, dispatch::DispatchEvent::CallEnded { call });
    }
}

#[test]
fn target_departure_migrates_streams_and_drops_copies() {
    let mut dispatcher = fixtures::dispatcher(&["one", "two"]);
    let effects = fixtures::arrive(&mut dispatcher, 1, fixtures::stream_demand(400));
    let (target, copy) = effects
        .iter()
        .find_map(|effect| match effect {
            dispatch::DispatchEffect::Place { placement, .. } => Some((
                placement.target.key.name.to_string(),
                placement.copy_holder.as_ref()?.key.name.to_string(),
            )),
            _ => None,
        })
        .unwrap();
    assert_ne!(target, copy);

    let effects = fixtures::announce_departure(&mut dispatcher, &copy);
    let call = ids::CallId::new(1);
    let holder = fixtures::engine_record(&copy).key;
    assert_eq!(
        effects,
        [dispatch::DispatchEffect::DropCopy { call, holder }]
    );
    let effects = fixtures::announce_departure(&mut dispatcher, &target);
    let target = fixtures::engine_record(&target).key;
    assert_eq!(
        effects,
        [dispatch::DispatchEffect::Migrate { call, target }]
    );
}

#[parameterized(
    with_capacity = { &["one", "two"], true },
    without_other_target = { &["one"], false },
)]
fn migration_request_finds_a_target_only_at_another_engine(engines: &[&str], is_found: bool) {
    let mut dispatcher = fixtures::dispatcher(engines);
    let target = fixtures::placed_target(&fixtures::arrive(
        &mut dispatcher,
        1,
        fixtures::stream_demand(20),
    ))
    .unwrap();
    fixtures::announce_departure(&mut dispatcher, &target);
    let request = dispatch::DispatchEvent::MigrationRequested {
        call: ids::CallId::new(1),
        tried: Vec::new(),
    };
    let effects = dispatcher.handle(fixtures::START, request);
    let found = effects.iter().any(|effect| {
        matches!(
            effect,
            dispatch::DispatchEffect::MigrationTarget {
                target: Some(_),
                ..
            }
        )
    });
    assert_eq!(found, is_found);
}

#[test]
fn unreachable_target_is_not_used_during_its_backoff() {
    let mut dispatcher = fixtures::dispatcher(&["one", "two"]);
    let target = fixtures::placed_target(&fixtures::arrive(
        &mut dispatcher,
        1,
        fixtures::plain_demand(),
    ))
    .unwrap();
    let attempt_ended = dispatch::DispatchEvent::AttemptEnded {
        call: ids::CallId::new(1),
        result: dispatch::AttemptResult::Unreachable,
    };
    dispatcher.handle(fixtures::START, attempt_ended);
    for call in 2..6 {
        assert_ne!(
            fixtures::placed_target(&fixtures::arrive(
                &mut dispatcher,
                call,
                fixtures::plain_demand()
            ))
            .as_ref(),
            Some(&target)
        );
    }
}

/// A target that fails becomes unhealthy, and healthy again once its failure rate has decayed; each
/// change is reported once.
#[test]
fn tick_reports_each_health_change_once() {
    let mut dispatcher = fixtures::dispatcher(&["one"]);
    for call in 1..4 {
        fixtures::arrive(&mut dispatcher, call, fixtures::plain_demand());
        let attempt_ended = dispatch::DispatchEvent::AttemptEnded {
            call: ids::CallId::new(call),
            result: dispatch::AttemptResult::Failed,
        };
        dispatcher.handle(fixtures::START, attempt_ended);
    }
    let mut health_changes = Vec::new();
    for second in 0..20 {
        let now = fixtures::START + Duration::from_secs(second);
        for effect in dispatcher.handle(now, dispatch::DispatchEvent::Tick) {
            if let dispatch::DispatchEffect::HealthChanged { is_healthy, .. } = effect {
                health_changes.push(is_healthy);
            }
        }
    }
    assert_eq!(health_changes, [false, true]);
}

/// All relays together stay within the bounds, however the requests are distributed among them.
#[parameterized(
    one = { 1, dispatch::RepeatKind::Retry },
    four = { 4, dispatch::RepeatKind::Retry },
    thirty = { 30, dispatch::RepeatKind::Retry },
    resumptions_of_one = { 1, dispatch::RepeatKind::Resumption },
    resumptions_of_four = { 4, dispatch::RepeatKind::Resumption },
    resumptions_of_thirty = { 30, dispatch::RepeatKind::Resumption },
)]
fn budgets_of_all_relays_stay_within_bounds(relay_count: usize, kind: dispatch::RepeatKind) {
    let bounds = dispatch::RetryBounds {
        ratio: 0.2,
        window: Duration::from_secs(10),
        allowance: 52.0,
    };
    let requests = 600;
    let mut budgets: Vec<_> = (0..relay_count)
        .map(|_| dispatch::RetryBudget::default())
        .collect();
    for index in 0..requests {
        budgets[index % relay_count].record_request(fixtures::START, &bounds);
    }
    let taken: usize = budgets
        .iter_mut()
        .map(|budget| {
            (0..requests)
                .filter(|_| budget.try_acquire(fixtures::START, &bounds, relay_count, kind))
                .count()
        })
        .sum();
    assert!(taken > 0);
    assert!(taken as f64 <= bounds.ratio * requests as f64 + bounds.allowance);
}

/// Retries leave part of the budget to streams that resume elsewhere.
#[test]
fn retries_leave_budget_for_resumptions() {
    let bounds = dispatch::RetryBounds {
        ratio: 0.2,
        window: Duration::from_secs(10),
        allowance: 52.0,
    };
    let mut budget = dispatch::RetryBudget::default();
    while budget.try_acquire(fixtures::START, &bounds, 1, dispatch::RepeatKind::Retry) {}
    assert!(budget.try_acquire(
        fixtures::START,
        &bounds,
        1,
        dispatch::RepeatKind::Resumption
    ));
}

/// All engines of a fleet break at once, and again after peers have reported their usage. All
/// relays together stay within the bounds, even if one of them has most of the streams.
#[parameterized(
    even = { 1 },
    uneven = { 20 },
)]
fn resumptions_with_peer_updates_stay_within_bounds(weight_of_first: usize) {
    let bounds = dispatch::RetryBounds {
        ratio: 0.2,
        window: Duration::from_secs(10),
        allowance: 52.0,
    };
    let names: Vec<ids::VmName> = (0..8)
        .map(|index| format!("relay-{index}").parse().unwrap())
        .collect();
    let mut budgets: Vec<_> = names
        .iter()
        .map(|_| dispatch::RetryBudget::default())
        .collect();
    let mut requests = 0;
    for (index, budget) in budgets.iter_mut().enumerate() {
        let own = 5 * if index == 0 { weight_of_first } else { 1 };
        (0..own).for_each(|_| budget.record_request(fixtures::START, &bounds));
        requests += own;
    }

    let mut taken = Vec::new();
    for round in 0..8 {
        let now = fixtures::START + Duration::from_secs(round);
        let counts: Vec<_> = budgets
            .iter_mut()
            .map(|budget| budget.usage(now, &bounds))
            .collect();
        for (index, budget) in budgets.iter_mut().enumerate() {
            for (peer, count) in counts.iter().enumerate().filter(|(peer, _)| *peer != index) {
                budget.set_peer_usage(&names[peer], *count);
            }
            let kind = dispatch::RepeatKind::Resumption;
            let round = (0..100).filter(|_| budget.try_acquire(now, &bounds, 8, kind));
            taken.push(round.count());
        }
    }
    let max_repeats = bounds.ratio * requests as f64 + bounds.allowance;
    let sum: usize = taken.iter().sum();
    assert!(sum as f64 <= max_repeats, "{taken:?}");
    assert!(sum as f64 >= max_repeats / 2.0, "{taken:?}");
}

/// One relay has all the streams of an engine that leaves and its peers have none: it may use the
/// budget that they leave.
#[test]
fn resumptions_use_the_budget_of_idle_peers() {
    let bounds = dispatch::RetryBounds {
        ratio: 0.2,
        window: Duration::from_secs(10),
        allowance: 102.0,
    };
    let resumption = dispatch::RepeatKind::Resumption;
    let taken = |peers: usize| {
        let mut budget = dispatch::RetryBudget::default();
        for peer in 0..peers {
            let name = format!("relay-{peer}").parse().unwrap();
            budget.set_peer_usage(&name, dispatch::BudgetUsage::default());
        }
        let seconds = (0..5).map(|second| fixtures::START + Duration::from_secs(second));
        seconds
            .filter(|now| {
                (0..2)
                    .filter(|_| budget.try_acquire(*now, &bounds, 31, resumption))
                    .count()
                    == 2
            })
            .count()
    };
    assert!(taken(0) < 5);
    assert_eq!(taken(30), 5);
}

/// In a large fleet only the targets of the own cell are used, as only their load is known; if the
/// cell has too few, all targets are used.
#[parameterized(
    enough = { 400, true },
    too_few = { 8, false },
)]
fn placement_in_a_large_fleet_stays_in_the_cell(engines: usize, is_in_cell: bool) {
    let names: Vec<_> = (0..engines).map(|index| format!("e{index}")).collect();
    let names: Vec<_> = names.iter().map(|name| &**name).collect();
    let mut dispatcher = fixtures::dispatcher(&names);
    let depth = membership::CellDepth::for_relays(300);
    dispatcher.handle(
        fixtures::START,
        dispatch::DispatchEvent::CellDepthChanged(depth),
    );

    let own = membership::CellPosition::of(&"relay");
    let mut outside = 0;
    for call in 0..engines {
        let event = dispatch::DispatchEvent::Arrived {
            call: ids::CallId::new(call as u64),
            demand: Box::new(fixtures::stream_demand(100)),
        };
        for effect in dispatcher.handle(fixtures::START, event) {
            if let dispatch::DispatchEffect::Place { placement, .. } = effect {
                let target = membership::CellPosition::of(&placement.target.key.name);
                outside += usize::from(!depth.is_same_cell(own, target));
            }
        }
    }
    assert_eq!(outside == 0, is_in_cell);
}
