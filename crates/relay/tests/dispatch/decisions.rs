//! Queueing, refusing, placing and evacuating in one process.

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
fn arrive_without_a_target_is_refused_at_once() {
    let mut dispatcher = fixtures::dispatcher(&[]);
    let refusal =
        fixtures::refused(&fixtures::arrive(&mut dispatcher, 1, fixtures::stream(400))).unwrap();
    assert_eq!(refusal.reason, dispatch::RefusalReason::NoTarget);
    assert!(refusal.retry_after > Duration::ZERO);
}

#[test]
fn arrive_larger_than_memory_is_refused_at_once() {
    let mut dispatcher = fixtures::dispatcher(&["one"]);
    let demand = dispatch::CallDemand {
        prompt_tokens: fixtures::MEMORY_TOKENS + 1,
        ..fixtures::stream(400)
    };
    let refusal = fixtures::refused(&fixtures::arrive(&mut dispatcher, 1, demand)).unwrap();
    assert_eq!(refusal.reason, dispatch::RefusalReason::TooLarge);
}

#[test]
fn arrive_at_a_leaving_target_never_happens() {
    let mut dispatcher = fixtures::dispatcher(&["one", "two"]);
    fixtures::leave(&mut dispatcher, "one");
    for call in 1..4 {
        let effects = fixtures::arrive(&mut dispatcher, call, fixtures::stream(400));
        assert_ne!(fixtures::placed(&effects).as_deref(), Some("one"));
    }
}

#[test]
fn arrive_spreads_over_engines() {
    let mut dispatcher = fixtures::dispatcher(&["one", "two", "three"]);
    let mut targets: Vec<_> = (1..4)
        .filter_map(|call| {
            fixtures::placed(&fixtures::arrive(
                &mut dispatcher,
                call,
                fixtures::stream(400),
            ))
        })
        .collect();
    targets.sort();
    assert_eq!(targets, ["one", "three", "two"]);
}

/// Plays a burst: an engine takes what its memory holds and what it can begin on time, and the
/// others are told at once when to come back.
#[test]
fn arrive_burst_is_placed_while_memory_lasts_and_then_refused() {
    let mut dispatcher = fixtures::dispatcher(&["one", "two"]);
    let mut placed_count = 0;
    let mut refusals = Vec::new();
    for call in 1..=40 {
        let effects = fixtures::arrive(&mut dispatcher, call, fixtures::stream(400));
        placed_count += usize::from(fixtures::placed(&effects).is_some());
        let started = dispatch::DispatchEvent::Started {
            call: ids::CallId::new(call),
        };
        dispatcher.handle(fixtures::START, started);
        refusals.extend(fixtures::refused(&effects));
    }

    let most = 2 * (fixtures::MEMORY_TOKENS / 3_000) as usize;
    assert!(
        placed_count <= most && placed_count >= most / 2,
        "{placed_count}"
    );
    assert!(!refusals.is_empty());
    for refusal in refusals {
        assert_eq!(refusal.reason, dispatch::RefusalReason::Crowded);
        assert!(refusal.retry_after >= Duration::from_millis(990));
    }
}

/// A stream waits on when it can't be on time any more, and not until its caller gives up, which is
/// after four times the target latency.
#[test]
fn tick_refuses_a_call_that_waited_as_long_as_is_of_use() {
    let mut dispatcher = fixtures::dispatcher(&["one"]);
    for call in 1..=3 {
        fixtures::arrive(&mut dispatcher, call, fixtures::stream(20));
    }
    let effects = fixtures::arrive(&mut dispatcher, 4, fixtures::stream(20));
    assert_eq!(
        (fixtures::placed(&effects), fixtures::refused(&effects)),
        (None, None)
    );

    let late = fixtures::START + Duration::from_secs(4);
    let effects = dispatcher.handle(late, dispatch::DispatchEvent::Tick);
    assert_eq!(fixtures::refused(&effects), None);
    let later = fixtures::START + Duration::from_secs(5);
    let effects = dispatcher.handle(later, dispatch::DispatchEvent::Tick);
    let refusal = fixtures::refused(&effects).unwrap();
    assert_eq!(refusal.reason, dispatch::RefusalReason::WaitedOut);
    // Nothing says that it would get a place sooner than in the time for which it got none.
    assert!(refusal.retry_after >= Duration::from_secs(4));
}

/// A stream that waits when the process stops could not end before it does.
#[test]
fn stop_refuses_streams_that_wait() {
    let mut dispatcher = fixtures::dispatcher(&["one"]);
    for call in 1..=4 {
        fixtures::arrive(&mut dispatcher, call, fixtures::stream(20));
    }
    let effects = dispatcher.handle(fixtures::START, dispatch::DispatchEvent::Stopping);
    let refusal = fixtures::refused(&effects).unwrap();
    assert_eq!(refusal.reason, dispatch::RefusalReason::Stopping);
    assert_eq!(effects.len(), 1);
    assert_eq!(dispatcher.counts(), (0, 3));
}

/// A request that is refused twice is known as long after the second time as after the first.
#[test]
fn refused_twice_is_remembered_from_the_second_time() {
    let mut dispatcher = fixtures::dispatcher(&["one"]);
    let record = dispatch::RefusedRecord {
        fingerprint: work::RequestFingerprint::new(8),
        age: Duration::ZERO,
    };
    for call in 1..=3 {
        fixtures::arrive(&mut dispatcher, call, fixtures::stream(20));
    }
    for second in [0, 5, 10] {
        let now = fixtures::START + Duration::from_secs(second);
        dispatcher.handle(now, dispatch::DispatchEvent::Tick);
        if second < 10 {
            dispatcher.merge_refused(now, &record);
        }
    }
    let now = fixtures::START + Duration::from_secs(10);
    for (call, fingerprint) in [(4, 8), (5, 7)] {
        let demand = dispatch::CallDemand {
            arrived: now,
            asked_at: now,
            fingerprint: work::RequestFingerprint::new(fingerprint),
            ..fixtures::stream(20)
        };
        let call = ids::CallId::new(call);
        let demand = Box::new(demand);
        dispatcher.handle(now, dispatch::DispatchEvent::Arrived { call, demand });
    }
    let ended = dispatch::DispatchEvent::Ended {
        call: ids::CallId::new(1),
    };
    let effects = dispatcher.handle(now, ended);
    assert!(matches!(
        effects[..],
        [dispatch::DispatchEffect::Place { call, .. }] if call == ids::CallId::new(5)
    ));
}

#[test]
fn end_gives_the_place_to_the_call_that_waits() {
    let mut dispatcher = fixtures::dispatcher(&["one"]);
    for call in 1..=4 {
        fixtures::arrive(&mut dispatcher, call, fixtures::stream(20));
    }
    let ended = dispatch::DispatchEvent::Ended {
        call: ids::CallId::new(1),
    };
    let effects = dispatcher.handle(fixtures::START, ended);
    assert_eq!(fixtures::placed(&effects).as_deref(), Some("one"));
}

/// Load: an engine is full, and two callers wait. The one that was refused before asked first, and
/// is late whatever is done; the other one can still be on time and gets the place.
#[test]
fn end_gives_the_place_to_the_call_that_can_be_on_time() {
    let mut dispatcher = fixtures::dispatcher(&["one"]);
    for call in 1..=3 {
        fixtures::arrive(&mut dispatcher, call, fixtures::stream(20));
    }
    let back = work::RequestFingerprint::new(8);
    let refused = dispatch::RefusedRecord {
        fingerprint: back,
        age: Duration::from_secs(3),
    };
    dispatcher.merge_refused(fixtures::START, &refused);
    let returned = dispatch::CallDemand {
        fingerprint: back,
        ..fixtures::stream(20)
    };
    fixtures::arrive(&mut dispatcher, 4, returned);
    fixtures::arrive(&mut dispatcher, 5, fixtures::stream(20));

    let ended = dispatch::DispatchEvent::Ended {
        call: ids::CallId::new(1),
    };
    let effects = dispatcher.handle(fixtures::START, ended);
    assert!(matches!(
        effects[..],
        [dispatch::DispatchEffect::Place { call, .. }] if call == ids::CallId::new(5)
    ));
}

/// A caller that comes back gets a place at once where there is room for others beside it.
#[test]
fn arrive_after_a_refusal_is_placed_while_there_is_room() {
    let mut dispatcher = fixtures::dispatcher(&["one"]);
    let refused = dispatch::RefusedRecord {
        fingerprint: work::RequestFingerprint::new(7),
        age: Duration::from_secs(3),
    };
    dispatcher.merge_refused(fixtures::START, &refused);
    let effects = fixtures::arrive(&mut dispatcher, 1, fixtures::stream(20));
    assert_eq!(fixtures::placed(&effects).as_deref(), Some("one"));
}

/// What a process refuses is told to its peers once, with the time since the caller asked first.
#[test]
fn refused_after_tells_each_refusal_once() {
    let mut dispatcher = fixtures::dispatcher(&["one"]);
    for call in 1..=40 {
        let demand = dispatch::CallDemand {
            fingerprint: work::RequestFingerprint::new(call),
            ..fixtures::stream(400)
        };
        fixtures::arrive(&mut dispatcher, call, demand);
    }
    let now = fixtures::START + Duration::from_secs(2);
    let (records, told) = dispatcher.refused_after(now, 0);
    assert!(!records.is_empty());
    assert_eq!(records[0].age, Duration::from_secs(2));
    assert_eq!(dispatcher.refused_after(now, told), (Vec::new(), told));
}

/// Load: a burst of twice what two engines hold, and then calls as fast as places come free. Those
/// that come after the burst are on time, though callers of the burst still wait or come back.
#[test]
fn arrive_after_a_burst_is_on_time() {
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
                arrived: now,
                asked_at: now,
                deadline: now + Duration::from_secs(39),
                fingerprint: work::RequestFingerprint::new(next),
                ..fixtures::stream(400)
            };
            let call = ids::CallId::new(next);
            let demand = Box::new(demand);
            effects
                .extend(dispatcher.handle(now, dispatch::DispatchEvent::Arrived { call, demand }));
        }
        // A stream takes from one to three seconds.
        let length = |call: &ids::CallId| 10 + 2 * (call.get() * 7 % 11) as u32;
        let ended: Vec<_> = running
            .extract_if(.., |(call, at): &mut (ids::CallId, _)| {
                now.since(*at) >= step * length(call)
            })
            .collect();
        for (call, _) in ended {
            effects.extend(dispatcher.handle(now, dispatch::DispatchEvent::Ended { call }));
        }
        for effect in effects {
            if let dispatch::DispatchEffect::Place { call, .. } = effect {
                dispatcher.handle(now, dispatch::DispatchEvent::Started { call });
                running.push((call, now));
                let arrived = fixtures::START + step * (2 * (call.get().saturating_sub(24)) as u32);
                on_time += u32::from(call.get() > 24 && now.since(arrived) < step * 10);
            }
        }
    }
    let after_burst = next - 24;
    assert!(
        u64::from(on_time) >= after_burst * 9 / 10,
        "{on_time} of {after_burst}"
    );
}

/// Two processes place a stream each within one pulse. With the news of the first placement the
/// second takes another engine; without it both take the one that looks best to both.
#[parameterized(
    with_news = { true },
    without_news = { false },
)]
fn arrive_at_two_processes(has_news: bool) {
    let mut first = fixtures::dispatcher(&["one", "two"]);
    let mut second = fixtures::dispatcher(&["one", "two"]);
    let peer: ids::VmName = "vm-1".parse().unwrap();
    let known = dispatch::DispatchEvent::PeerLoads {
        peer: peer.clone(),
        loads: Vec::new(),
    };
    second.handle(fixtures::START, known);
    let first_target = fixtures::placed(&fixtures::arrive(&mut first, 1, fixtures::stream(400)));
    let news = dispatch::DispatchEvent::PeerChanged {
        peer,
        loads: first.take_changed(fixtures::START),
    };
    if has_news {
        second.handle(fixtures::START, news);
    }
    let second_target = fixtures::placed(&fixtures::arrive(&mut second, 1, fixtures::stream(400)));
    assert_eq!(first_target != second_target, has_news);
}

/// Whatever peers tell and change, the load that a placement rests on is the sum of what each told
/// last.
#[test]
fn place_rests_on_the_sum_of_what_peers_told_last() {
    let mut random = rngs::SmallRng::seed_from_u64(11);
    let names: Vec<ids::VmName> = (0..5)
        .map(|index| format!("relay-{index}").parse().unwrap())
        .collect();
    let mut dispatcher = fixtures::dispatcher(&["one"]);
    let mut told: BTreeMap<ids::VmName, u32> = BTreeMap::new();
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
                told.remove(&peer);
                dispatch::DispatchEvent::PeerLost { peer }
            }
            1 => {
                told.insert(peer.clone(), 0);
                let loads = Vec::new();
                dispatch::DispatchEvent::PeerLoads { peer, loads }
            }
            2 => {
                told.insert(peer.clone(), calls);
                dispatch::DispatchEvent::PeerLoads { peer, loads }
            }
            // What a peer changes counts once it has told its whole load.
            _ => {
                told.entry(peer.clone()).and_modify(|told| *told = calls);
                dispatch::DispatchEvent::PeerChanged { peer, loads }
            }
        };
        dispatcher.handle(fixtures::START, event);

        let effects = fixtures::arrive(&mut dispatcher, call, fixtures::booking());
        let load = effects.iter().find_map(|effect| match effect {
            dispatch::DispatchEffect::Place { placement, .. } => Some(placement.load.calls),
            _ => None,
        });
        assert_eq!(load, Some(told.values().sum()));
        let call = ids::CallId::new(call);
        dispatcher.handle(fixtures::START, dispatch::DispatchEvent::Ended { call });
    }
}

#[test]
fn leave_evacuates_streams_and_drops_copies() {
    let mut dispatcher = fixtures::dispatcher(&["one", "two"]);
    let effects = fixtures::arrive(&mut dispatcher, 1, fixtures::stream(400));
    let (target, copy) = effects
        .iter()
        .find_map(|effect| match effect {
            dispatch::DispatchEffect::Place { placement, .. } => Some((
                placement.target.key.name.to_string(),
                placement.copy_to.as_ref()?.key.name.to_string(),
            )),
            _ => None,
        })
        .unwrap();
    assert_ne!(target, copy);

    let effects = fixtures::leave(&mut dispatcher, &copy);
    let call = ids::CallId::new(1);
    assert_eq!(effects, [dispatch::DispatchEffect::DropCopy { call }]);
    let effects = fixtures::leave(&mut dispatcher, &target);
    assert_eq!(effects, [dispatch::DispatchEffect::Evacuate { call }]);
}

#[parameterized(
    with_room = { &["one", "two"], true },
    without_another = { &["one"], false },
)]
fn shelter_of_a_stream(engines: &[&str], is_found: bool) {
    let mut dispatcher = fixtures::dispatcher(engines);
    let target =
        fixtures::placed(&fixtures::arrive(&mut dispatcher, 1, fixtures::stream(20))).unwrap();
    fixtures::leave(&mut dispatcher, &target);
    let wish = dispatch::DispatchEvent::ShelterWanted {
        call: ids::CallId::new(1),
        tried: Vec::new(),
    };
    let effects = dispatcher.handle(fixtures::START, wish);
    let found = effects.iter().any(|effect| {
        matches!(
            effect,
            dispatch::DispatchEffect::Shelter {
                target: Some(_),
                ..
            }
        )
    });
    assert_eq!(found, is_found);
}

#[test]
fn release_unreachable_target_is_left_alone_for_a_while() {
    let mut dispatcher = fixtures::dispatcher(&["one", "two"]);
    let target =
        fixtures::placed(&fixtures::arrive(&mut dispatcher, 1, fixtures::booking())).unwrap();
    let released = dispatch::DispatchEvent::Released {
        call: ids::CallId::new(1),
        result: dispatch::AttemptResult::Unreachable,
    };
    dispatcher.handle(fixtures::START, released);
    for call in 2..6 {
        assert_ne!(
            fixtures::placed(&fixtures::arrive(
                &mut dispatcher,
                call,
                fixtures::booking()
            ))
            .as_ref(),
            Some(&target)
        );
    }
}

/// A target that fails is doubted, and trusted again when its failures have faded; each is told once.
#[test]
fn tick_tells_when_a_target_is_doubted_and_trusted() {
    let mut dispatcher = fixtures::dispatcher(&["one"]);
    for call in 1..4 {
        fixtures::arrive(&mut dispatcher, call, fixtures::booking());
        let released = dispatch::DispatchEvent::Released {
            call: ids::CallId::new(call),
            result: dispatch::AttemptResult::Failed,
        };
        dispatcher.handle(fixtures::START, released);
    }
    let mut told = Vec::new();
    for second in 0..20 {
        let now = fixtures::START + Duration::from_secs(second);
        for effect in dispatcher.handle(now, dispatch::DispatchEvent::Tick) {
            if let dispatch::DispatchEffect::Trust { is_trusted, .. } = effect {
                told.push(is_trusted);
            }
        }
    }
    assert_eq!(told, [false, true]);
}

#[test]
fn crash_twice_quarantines_the_request() {
    let mut dispatcher = fixtures::dispatcher(&["one"]);
    let fingerprint = work::RequestFingerprint::new(7);
    for attempt in 1..3 {
        dispatcher.record_crash(
            fixtures::START,
            fingerprint,
            ids::AttemptId::from_u128(attempt),
        );
    }
    let refusal =
        fixtures::refused(&fixtures::arrive(&mut dispatcher, 1, fixtures::stream(400))).unwrap();
    assert_eq!(refusal.reason, dispatch::RefusalReason::Quarantined);
}

/// All processes together stay inside the bounds, however the requests are spread among them.
#[parameterized(
    one = { 1, dispatch::RepeatKind::Retry },
    four = { 4, dispatch::RepeatKind::Retry },
    thirty = { 30, dispatch::RepeatKind::Retry },
    resumptions_of_one = { 1, dispatch::RepeatKind::Resumption },
    resumptions_of_four = { 4, dispatch::RepeatKind::Resumption },
    resumptions_of_thirty = { 30, dispatch::RepeatKind::Resumption },
)]
fn budget_of_all_processes(processes: usize, kind: dispatch::RepeatKind) {
    let bounds = dispatch::RetryBounds {
        ratio: 0.2,
        window: Duration::from_secs(10),
        allowance: 52.0,
    };
    let requests = 600;
    let mut budgets: Vec<_> = (0..processes)
        .map(|_| dispatch::RetryBudget::default())
        .collect();
    for index in 0..requests {
        budgets[index % processes].record_request(fixtures::START, &bounds);
    }
    let taken: usize = budgets
        .iter_mut()
        .map(|budget| {
            (0..requests)
                .filter(|_| budget.take(fixtures::START, &bounds, processes, kind))
                .count()
        })
        .sum();
    assert!(taken > 0);
    assert!(taken as f64 <= bounds.ratio * requests as f64 + bounds.allowance);
}

/// Calls that are sent again leave a part of the budget to streams that go on elsewhere.
#[test]
fn budget_of_retries_leaves_some_for_resumptions() {
    let bounds = dispatch::RetryBounds {
        ratio: 0.2,
        window: Duration::from_secs(10),
        allowance: 52.0,
    };
    let mut budget = dispatch::RetryBudget::default();
    while budget.take(fixtures::START, &bounds, 1, dispatch::RepeatKind::Retry) {}
    assert!(budget.take(
        fixtures::START,
        &bounds,
        1,
        dispatch::RepeatKind::Resumption
    ));
}

/// All engines of a fleet break at once, and again when peers have told what they used: all
/// processes together stay inside the bounds, also where one of them has most of the streams.
#[parameterized(
    even = { 1 },
    uneven = { 20 },
)]
fn budget_of_resumptions_with_news_of_peers(weight_of_first: usize) {
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
            .map(|budget| budget.count(now, &bounds))
            .collect();
        for (index, budget) in budgets.iter_mut().enumerate() {
            for (peer, count) in counts.iter().enumerate().filter(|(peer, _)| *peer != index) {
                budget.put_peer(&names[peer], *count);
            }
            let kind = dispatch::RepeatKind::Resumption;
            let round = (0..100).filter(|_| budget.take(now, &bounds, 8, kind));
            taken.push(round.count());
        }
    }
    let most = bounds.ratio * requests as f64 + bounds.allowance;
    let sum: usize = taken.iter().sum();
    assert!(sum as f64 <= most, "{taken:?}");
    assert!(sum as f64 >= most / 2.0, "{taken:?}");
}

/// One process has all the streams of an engine that leaves, and its peers have none: it may use
/// what they leave.
#[test]
fn budget_of_a_process_with_most_streams_is_that_of_its_idle_peers() {
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
            budget.put_peer(&name, dispatch::RepeatCount::default());
        }
        let seconds = (0..5).map(|second| fixtures::START + Duration::from_secs(second));
        seconds
            .filter(|now| {
                (0..2)
                    .filter(|_| budget.take(*now, &bounds, 31, resumption))
                    .count()
                    == 2
            })
            .count()
    };
    assert!(taken(0) < 5);
    assert_eq!(taken(30), 5);
}

/// In a large fleet only the targets of the own cell are used, as only their load is known; where
/// the cell has too few, all are.
#[parameterized(
    enough = { 400, true },
    too_few = { 8, false },
)]
fn choose_in_a_large_fleet_stays_in_the_cell(engines: usize, is_near: bool) {
    let names: Vec<_> = (0..engines).map(|index| format!("e{index}")).collect();
    let names: Vec<_> = names.iter().map(|name| &**name).collect();
    let mut dispatcher = fixtures::dispatcher(&names);
    let depth = membership::CellDepth::for_processes(300);
    dispatcher.handle(fixtures::START, dispatch::DispatchEvent::Resized(depth));

    let own = membership::CellPosition::of(&"relay");
    let mut outside = 0;
    for call in 0..engines {
        let event = dispatch::DispatchEvent::Arrived {
            call: ids::CallId::new(call as u64),
            demand: Box::new(fixtures::stream(100)),
        };
        for effect in dispatcher.handle(fixtures::START, event) {
            if let dispatch::DispatchEffect::Place { placement, .. } = effect {
                let target = membership::CellPosition::of(&placement.target.key.name);
                outside += usize::from(!depth.is_same_cell(own, target));
            }
        }
    }
    assert_eq!(outside == 0, is_near);
}
