//! Decisions on queueing, refusing, placing and evacuating, played without a network.

use std::rc::Rc;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_policy::quarantine;
use kingcupfall_relay::directory;
use kingcupfall_relay::dispatch;
use kingcupfall_relay::membership;
use yare::parameterized;

const START: time::Timestamp = time::Timestamp::from_micros(60_000_000);

/// Memory of an engine in these tests; six prompts of 3,000 tokens fit, with what they grow.
const MEMORY_TOKENS: u64 = 21_000;

fn dispatcher(engines: &[&str]) -> dispatch::Dispatcher {
    dispatcher_of("relay", engines)
}

fn dispatcher_of(relay: &str, engines: &[&str]) -> dispatch::Dispatcher {
    let mut dispatcher = dispatch::Dispatcher::new(dispatch::DispatchSettings {
        zone: "a".parse().unwrap(),
        position: membership::CellPosition::of(&relay),
        quarantine: Box::new(quarantine::SuspectQuarantine::default()),
    });
    let changes = engines
        .iter()
        .map(|name| directory::TargetChange::Usable(Rc::new(engine(name))));
    dispatcher.handle(START, dispatch::DispatchEvent::Targets(changes.collect()));
    dispatcher
}

fn engine(name: &str) -> directory::TargetRecord {
    directory::TargetRecord {
        key: directory::TargetKey {
            name: name.parse().unwrap(),
            started_ms: 1,
        },
        service: "report".parse().unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "a".parse().unwrap(),
        slots: 24,
        state: directory::TargetState::Ready,
        revision: directory::DirectoryRevision::new(1),
    }
}

fn stream(output_tokens: u64) -> dispatch::CallDemand {
    dispatch::CallDemand {
        service: "report".parse().unwrap(),
        rank: 0,
        prompt_tokens: 3_000,
        output_tokens,
        engine: Some(Rc::new(directory::EngineRule {
            memory: measures::TokenCount::new(MEMORY_TOKENS),
            event_tokens: 4,
            can_move: true,
            can_copy: true,
        })),
        arrived: START,
        target_latency: Duration::from_millis(1_800),
        deadline: START + Duration::from_secs(39),
        fingerprint: work::RequestFingerprint::new(7),
        tried: Vec::new(),
    }
}

fn booking() -> dispatch::CallDemand {
    dispatch::CallDemand {
        prompt_tokens: 0,
        output_tokens: 0,
        engine: None,
        target_latency: Duration::from_millis(300),
        deadline: START + Duration::from_millis(800),
        ..stream(0)
    }
}

fn arrive(
    dispatcher: &mut dispatch::Dispatcher,
    call: u64,
    demand: dispatch::CallDemand,
) -> Vec<dispatch::DispatchEffect> {
    let arrival = dispatch::DispatchEvent::Arrived {
        call: ids::CallId::new(call),
        demand: Box::new(demand),
    };
    dispatcher.handle(START, arrival)
}

fn placed(effects: &[dispatch::DispatchEffect]) -> Option<String> {
    effects.iter().find_map(|effect| match effect {
        dispatch::DispatchEffect::Place { placement, .. } => {
            Some(placement.target.key.name.to_string())
        }
        _ => None,
    })
}

fn is_placed_at(effect: &dispatch::DispatchEffect, name: &str) -> bool {
    placed(std::slice::from_ref(effect)).as_deref() == Some(name)
}

fn refused(effects: &[dispatch::DispatchEffect]) -> Option<dispatch::CallRefusal> {
    effects.iter().find_map(|effect| match effect {
        dispatch::DispatchEffect::Refuse { refusal, .. } => Some(*refusal),
        _ => None,
    })
}

fn leave(dispatcher: &mut dispatch::Dispatcher, name: &str) -> Vec<dispatch::DispatchEffect> {
    let change = directory::TargetChange::Leaving(engine(name).key);
    dispatcher.handle(START, dispatch::DispatchEvent::Targets(vec![change]))
}

#[test]
fn arrive_without_a_target_is_refused_at_once() {
    let mut dispatcher = dispatcher(&[]);
    let refusal = refused(&arrive(&mut dispatcher, 1, stream(400))).unwrap();
    assert_eq!(refusal.reason, dispatch::RefusalReason::NoTarget);
    assert!(refusal.retry_after > Duration::ZERO);
}

#[test]
fn arrive_larger_than_memory_is_refused_at_once() {
    let mut dispatcher = dispatcher(&["one"]);
    let demand = dispatch::CallDemand {
        prompt_tokens: MEMORY_TOKENS + 1,
        ..stream(400)
    };
    let refusal = refused(&arrive(&mut dispatcher, 1, demand)).unwrap();
    assert_eq!(refusal.reason, dispatch::RefusalReason::TooLarge);
}

#[test]
fn arrive_at_a_leaving_target_never_happens() {
    let mut dispatcher = dispatcher(&["one", "two"]);
    leave(&mut dispatcher, "one");
    for call in 1..4 {
        let effects = arrive(&mut dispatcher, call, stream(400));
        assert_ne!(placed(&effects).as_deref(), Some("one"));
    }
}

#[test]
fn arrive_spreads_over_engines() {
    let mut dispatcher = dispatcher(&["one", "two", "three"]);
    let mut targets: Vec<_> = (1..4)
        .filter_map(|call| placed(&arrive(&mut dispatcher, call, stream(400))))
        .collect();
    targets.sort();
    assert_eq!(targets, ["one", "three", "two"]);
}

/// Plays a burst: an engine takes what its memory holds and what it can begin on time, and the
/// others are told at once when to come back.
#[test]
fn arrive_burst_is_placed_while_memory_lasts_and_then_refused() {
    let mut dispatcher = dispatcher(&["one", "two"]);
    let mut placed_count = 0;
    let mut refusals = Vec::new();
    for call in 1..=40 {
        let effects = arrive(&mut dispatcher, call, stream(400));
        placed_count += usize::from(placed(&effects).is_some());
        let started = dispatch::DispatchEvent::Started {
            call: ids::CallId::new(call),
        };
        dispatcher.handle(START, started);
        refusals.extend(refused(&effects));
    }

    let most = 2 * (MEMORY_TOKENS / 3_000) as usize;
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

#[test]
fn tick_refuses_a_call_that_waited_as_long_as_is_of_use() {
    let mut dispatcher = dispatcher(&["one"]);
    for call in 1..=3 {
        arrive(&mut dispatcher, call, stream(20));
    }
    let effects = arrive(&mut dispatcher, 4, stream(20));
    assert_eq!((placed(&effects), refused(&effects)), (None, None));

    let later = START + Duration::from_secs(1);
    let effects = dispatcher.handle(later, dispatch::DispatchEvent::Tick);
    let refusal = refused(&effects).unwrap();
    assert_eq!(refusal.reason, dispatch::RefusalReason::WaitedOut);
}

#[test]
fn end_gives_the_place_to_the_call_that_waits() {
    let mut dispatcher = dispatcher(&["one"]);
    for call in 1..=4 {
        arrive(&mut dispatcher, call, stream(20));
    }
    let ended = dispatch::DispatchEvent::Ended {
        call: ids::CallId::new(1),
    };
    let effects = dispatcher.handle(START, ended);
    assert_eq!(placed(&effects).as_deref(), Some("one"));
}

/// Two processes place a stream each within one pulse. With the news of the first placement the
/// second takes another engine; without it both take the one that looks best to both.
#[parameterized(
    with_news = { true },
    without_news = { false },
)]
fn arrive_at_two_processes(has_news: bool) {
    let mut first = dispatcher(&["one", "two"]);
    let mut second = dispatcher(&["one", "two"]);
    let peer: ids::VmName = "vm-1".parse().unwrap();
    let known = dispatch::DispatchEvent::PeerLoads {
        peer: peer.clone(),
        loads: Vec::new(),
    };
    second.handle(START, known);
    let first_target = placed(&arrive(&mut first, 1, stream(400)));
    let news = dispatch::DispatchEvent::PeerChanged {
        peer,
        loads: first.take_changed(START),
    };
    if has_news {
        second.handle(START, news);
    }
    let second_target = placed(&arrive(&mut second, 1, stream(400)));
    assert_eq!(first_target != second_target, has_news);
}

#[test]
fn leave_evacuates_streams_and_drops_copies() {
    let mut dispatcher = dispatcher(&["one", "two"]);
    let effects = arrive(&mut dispatcher, 1, stream(400));
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

    let effects = leave(&mut dispatcher, &copy);
    let call = ids::CallId::new(1);
    assert_eq!(effects, [dispatch::DispatchEffect::DropCopy { call }]);
    let effects = leave(&mut dispatcher, &target);
    assert_eq!(effects, [dispatch::DispatchEffect::Evacuate { call }]);
}

#[parameterized(
    with_room = { &["one", "two"], true },
    without_another = { &["one"], false },
)]
fn shelter_of_a_stream(engines: &[&str], is_found: bool) {
    let mut dispatcher = dispatcher(engines);
    let target = placed(&arrive(&mut dispatcher, 1, stream(20))).unwrap();
    leave(&mut dispatcher, &target);
    let wish = dispatch::DispatchEvent::ShelterWanted {
        call: ids::CallId::new(1),
        tried: Vec::new(),
    };
    let effects = dispatcher.handle(START, wish);
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
    let mut dispatcher = dispatcher(&["one", "two"]);
    let target = placed(&arrive(&mut dispatcher, 1, booking())).unwrap();
    let released = dispatch::DispatchEvent::Released {
        call: ids::CallId::new(1),
        result: dispatch::AttemptResult::Unreachable,
    };
    dispatcher.handle(START, released);
    for call in 2..6 {
        assert_ne!(
            placed(&arrive(&mut dispatcher, call, booking())).as_ref(),
            Some(&target)
        );
    }
}

#[test]
fn crash_twice_quarantines_the_request() {
    let mut dispatcher = dispatcher(&["one"]);
    let fingerprint = work::RequestFingerprint::new(7);
    for attempt in 1..3 {
        dispatcher.record_crash(START, fingerprint, ids::AttemptId::from_u128(attempt));
    }
    let refusal = refused(&arrive(&mut dispatcher, 1, stream(400))).unwrap();
    assert_eq!(refusal.reason, dispatch::RefusalReason::Quarantined);
}

/// All processes together stay inside the bounds, however the requests are spread among them.
#[parameterized(
    one = { 1 },
    four = { 4 },
    thirty = { 30 },
)]
fn budget_of_all_processes(processes: usize) {
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
        budgets[index % processes].record_request(START, &bounds);
    }
    let taken: usize = budgets
        .iter_mut()
        .map(|budget| {
            (0..requests)
                .filter(|_| budget.take(START, &bounds, processes))
                .count()
        })
        .sum();
    assert!(taken > 0);
    assert!(taken as f64 <= bounds.ratio * requests as f64 + bounds.allowance);
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
    let mut dispatcher = dispatcher(&names);
    let depth = membership::CellDepth::for_processes(300);
    dispatcher.handle(
        START,
        dispatch::DispatchEvent::Resized {
            depth,
            processes: 37,
        },
    );

    let own = membership::CellPosition::of(&"relay");
    let mut outside = 0;
    for call in 0..engines {
        let event = dispatch::DispatchEvent::Arrived {
            call: ids::CallId::new(call as u64),
            demand: Box::new(stream(100)),
        };
        for effect in dispatcher.handle(START, event) {
            if let dispatch::DispatchEffect::Place { placement, .. } = effect {
                let target = membership::CellPosition::of(&placement.target.key.name);
                outside += usize::from(!depth.is_same(own, target));
            }
        }
    }
    assert_eq!(outside == 0, is_near);
}

/// Load: eight processes, each with two prompts that wait for memory, when an engine starts. They
/// all see it at once. Each tells the others of what it sends there, 5 ms later.
#[test]
fn choose_new_engine_is_not_overrun_by_all_processes() {
    let relays: Vec<_> = (0..8).map(|index| format!("relay-{index}")).collect();
    let mut dispatchers: Vec<_> = relays
        .iter()
        .map(|relay| {
            let mut dispatcher = dispatcher_of(relay, &["full"]);
            let resized = dispatch::DispatchEvent::Resized {
                depth: membership::CellDepth::default(),
                processes: relays.len(),
            };
            dispatcher.handle(START, resized);
            for call in 0..20 {
                let demand = dispatch::CallDemand {
                    target_latency: Duration::from_secs(30),
                    ..stream(400)
                };
                arrive(&mut dispatcher, call, demand);
            }
            assert!(dispatcher.counts().0 >= 2);
            dispatcher
        })
        .collect();

    let mut placed = 0;
    let mut news: Vec<(u64, ids::VmName, Vec<dispatch::PeerLoad>)> = Vec::new();
    for millis in 0..120_u64 {
        let now = START + Duration::from_millis(millis);
        for (index, dispatcher) in dispatchers.iter_mut().enumerate() {
            for (told_at, peer, loads) in &news {
                if told_at + 5 == millis && peer.as_str() != relays[index] {
                    let peer = peer.clone();
                    let loads = loads.clone();
                    dispatcher.handle(now, dispatch::DispatchEvent::PeerLoads { peer, loads });
                }
            }
            let event = match millis {
                0 => dispatch::DispatchEvent::Targets(vec![directory::TargetChange::Usable(
                    Rc::new(engine("new")),
                )]),
                _ => dispatch::DispatchEvent::Tick,
            };
            let effects = dispatcher.handle(now, event);
            let count = effects
                .iter()
                .filter(|effect| is_placed_at(effect, "new"))
                .count();
            placed += count;
            if count > 0 {
                let loads = dispatcher.loads(now);
                let loads = loads
                    .into_iter()
                    .filter(|load| load.target.as_str() == "new");
                news.push((millis, relays[index].parse().unwrap(), loads.collect()));
            }
        }
    }
    let most = MEMORY_TOKENS / stream(400).prompt_tokens;
    assert!(placed as u64 <= most, "{placed}");
    assert!(placed > 3, "{placed}");
}
