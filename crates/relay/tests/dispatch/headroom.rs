//! Memory that long streams leave to short streams of more urgent calls.

use std::rc::Rc;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_relay::directory;
use kingcupfall_relay::dispatch;
use yare::parameterized;

use crate::fixtures;

/// Ranks of long and short streams.
const LONG_RANK: u8 = 2;
const URGENT_RANK: u8 = 0;

/// Target latencies of long streams that can wait, and of short streams.
const LONG_LATENCY: Duration = Duration::from_millis(4_000);
const SHORT_LATENCY: Duration = Duration::from_millis(1_500);

/// Returns the requirements of a long stream without a copy, which would also take memory.
fn long_demand() -> dispatch::CallDemand {
    let demand = fixtures::stream_demand(750);
    let engine = demand.engine.as_deref().cloned();
    dispatch::CallDemand {
        rank: LONG_RANK,
        engine: engine.map(|engine| {
            Rc::new(directory::EngineCapabilities {
                can_copy: false,
                ..engine
            })
        }),
        target_latency: LONG_LATENCY,
        ..demand
    }
}

fn short_demand(rank: u8) -> dispatch::CallDemand {
    dispatch::CallDemand {
        rank,
        prompt_tokens: 2_200,
        target_latency: SHORT_LATENCY,
        ..fixtures::stream_demand(10)
    }
}

/// Sends a call, its first event and, for a short one, its end. Returns whether it was placed.
fn serve(
    dispatcher: &mut dispatch::Dispatcher,
    now: time::Timestamp,
    number: u64,
    demand: dispatch::CallDemand,
) -> bool {
    let call = ids::CallId::new(number);
    let is_short = demand.output_tokens < 100;
    let demand = Box::new(dispatch::CallDemand {
        arrived_at: now,
        first_requested_at: now,
        deadline: now + Duration::from_secs(39),
        ..demand
    });
    let effects = dispatcher.handle(now, dispatch::DispatchEvent::Arrived { call, demand });
    let is_placed = fixtures::placed_target(&effects).is_some();
    dispatcher.handle(now, dispatch::DispatchEvent::Started { call });
    if is_short || !is_placed {
        dispatcher.handle(now, dispatch::DispatchEvent::CallEnded { call });
    }
    is_placed
}

/// Guards against long streams that fill all memory while more urgent short streams arrive, and
/// against memory that stays free where nobody needs it.
#[parameterized(
    urgent_short_streams = { Some(URGENT_RANK), LONG_LATENCY, true },
    less_urgent_short_streams = { Some(LONG_RANK + 1), LONG_LATENCY, false },
    equally_urgent_short_streams = { Some(LONG_RANK), LONG_LATENCY, false },
    long_streams_that_cannot_wait = { Some(URGENT_RANK), SHORT_LATENCY, false },
    no_short_streams = { None, LONG_LATENCY, false },
)]
fn arrive_long_streams_leave_room(
    short_rank: Option<u8>,
    long_latency: Duration,
    leaves_room: bool,
) {
    let mut dispatcher = fixtures::dispatcher(&["one", "two"]);
    let mut now = fixtures::START;
    for number in 1..=20 {
        now = now + Duration::from_millis(100);
        if let Some(rank) = short_rank {
            assert!(serve(&mut dispatcher, now, number, short_demand(rank)));
        }
    }
    let mut placed = 0;
    for number in 100..130 {
        let demand = dispatch::CallDemand {
            target_latency: long_latency,
            ..long_demand()
        };
        placed += usize::from(serve(&mut dispatcher, now, number, demand));
    }
    // Each engine has memory for six prompts of 3,000 tokens, or five beside a short stream.
    assert_eq!(placed, if leaves_room { 10 } else { 12 });
    let is_placed = serve(&mut dispatcher, now, 200, short_demand(URGENT_RANK));
    assert_eq!(is_placed, leaves_room);
}

/// Guards against memory that is kept free long after the last urgent short stream.
#[test]
fn arrive_after_a_quiet_time_uses_all_memory() {
    let mut dispatcher = fixtures::dispatcher(&["one"]);
    for number in 1..=5 {
        let demand = short_demand(URGENT_RANK);
        serve(&mut dispatcher, fixtures::START, number, demand);
    }
    let later = fixtures::START + Duration::from_secs(30);
    let placed = (100..120)
        .filter(|number| serve(&mut dispatcher, later, *number, long_demand()))
        .count();
    assert_eq!(placed, 6);
}

/// Time of a step of the played load.
const STEP: Duration = Duration::from_millis(100);

/// Plays a burst: twice as many long streams as ten engines can run, each of 8 s, beside two short
/// streams each 100 ms, of 0.5 s. Returns the shares of short and long streams that start within
/// their target latency.
fn play_burst(short_rank: u8) -> (f64, f64) {
    let names: Vec<_> = (0..10).map(|index| format!("engine-{index}")).collect();
    let names: Vec<_> = names.iter().map(String::as_str).collect();
    let mut dispatcher = fixtures::dispatcher(&names);
    let mut ends: Vec<(time::Timestamp, ids::CallId)> = Vec::new();
    let mut arrivals = std::collections::BTreeMap::new();
    let (mut asked, mut on_time) = ([0_u32; 2], [0_u32; 2]);
    for step in 0..200_u64 {
        let now = fixtures::START + STEP * u32::try_from(step).unwrap();
        let mut effects = dispatcher.handle(now, dispatch::DispatchEvent::Tick);
        for (_, call) in ends.extract_if(.., |(end, _)| *end <= now) {
            effects.extend(dispatcher.handle(now, dispatch::DispatchEvent::CallEnded { call }));
        }
        for index in 0..4 {
            let call = ids::CallId::new(step * 4 + index + 1);
            let kind = usize::from(index >= 2);
            let demand = match kind {
                0 => short_demand(short_rank),
                _ => long_demand(),
            };
            let demand = Box::new(dispatch::CallDemand {
                arrived_at: now,
                first_requested_at: now,
                deadline: now + Duration::from_secs(if kind == 0 { 6 } else { 39 }),
                fingerprint: work::RequestFingerprint::new(step * 4 + index),
                ..demand
            });
            asked[kind] += 1;
            arrivals.insert(call, (now, kind, demand.target_latency));
            effects
                .extend(dispatcher.handle(now, dispatch::DispatchEvent::Arrived { call, demand }));
        }
        for effect in effects {
            let dispatch::DispatchEffect::Place { call, .. } = effect else {
                continue;
            };
            dispatcher.handle(now, dispatch::DispatchEvent::Started { call });
            let (arrived_at, kind, target_latency) = arrivals[&call];
            on_time[kind] += u32::from(now.since(arrived_at) + STEP * 5 <= target_latency);
            let run_time = [STEP * 5, STEP * 80][kind];
            ends.push((now + run_time, call));
        }
    }
    let share = |kind: usize| f64::from(on_time[kind]) / f64::from(asked[kind]);
    (share(0), share(1))
}

/// Guards against urgent short streams that wait behind long ones in a burst of these. They have to
/// be on time, at the cost of the long streams that could not all be served anyway.
#[test]
fn burst_of_long_streams_leaves_urgent_short_ones_on_time() {
    let (short_share, long_share) = play_burst(URGENT_RANK);
    let (unprotected_share, _) = play_burst(LONG_RANK);
    assert!(short_share >= 0.95, "{short_share}");
    assert!(long_share > 0.2, "{long_share}");
    assert!(unprotected_share < short_share - 0.2, "{unprotected_share}");
}

/// Guards against long streams that idle engines refuse because the short ones have large prompts.
#[test]
fn arrive_long_stream_beside_large_short_ones_is_placed() {
    let mut dispatcher = fixtures::dispatcher(&["one", "two"]);
    for number in 1..=20 {
        let demand = dispatch::CallDemand {
            prompt_tokens: 12_000,
            ..short_demand(URGENT_RANK)
        };
        serve(&mut dispatcher, fixtures::START, number, demand);
    }
    let demand = dispatch::CallDemand {
        prompt_tokens: 15_000,
        ..long_demand()
    };
    assert!(serve(&mut dispatcher, fixtures::START, 100, demand));
}

/// Guards against room that is given up between the short streams of a relay with few calls.
#[test]
fn arrive_between_rare_short_streams_leaves_room() {
    let mut dispatcher = fixtures::dispatcher(&["one"]);
    let mut now = fixtures::START;
    for number in 1..=8 {
        now = now + Duration::from_secs(2);
        serve(&mut dispatcher, now, number, short_demand(URGENT_RANK));
    }
    let between = now + Duration::from_millis(1_900);
    let placed = (100..120)
        .filter(|number| serve(&mut dispatcher, between, *number, long_demand()))
        .count();
    assert_eq!(placed, 5);
}
