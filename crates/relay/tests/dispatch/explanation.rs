//! Explanations of where a call would go.

use std::rc::Rc;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::work;
use kingcupfall_policy::quarantine;
use kingcupfall_relay::directory;
use kingcupfall_relay::dispatch;
use kingcupfall_relay::membership;
use yare::parameterized;

use crate::cold;
use crate::fixtures;

type Demand = dispatch::CallDemand;
type Dispatcher = dispatch::Dispatcher;
type Effect = dispatch::DispatchEffect;
type Event = dispatch::DispatchEvent;
type Obstacle = dispatch::TargetObstacle;
type Outcome = dispatch::PlacementOutcome;

/// Prepares a dispatcher, and the call that arrives there.
type Setup = fn(&mut Dispatcher, &mut Demand);

fn key(name: &str) -> directory::TargetKey {
    fixtures::engine_record(name).key
}

fn submit(dispatcher: &mut Dispatcher, event: Event) {
    dispatcher.handle(fixtures::START, event);
}

fn idle(_: &mut Dispatcher, _: &mut Demand) {}

fn leaving(dispatcher: &mut Dispatcher, _: &mut Demand) {
    fixtures::announce_departure(dispatcher, "one");
}

fn evacuated(dispatcher: &mut Dispatcher, _: &mut Demand) {
    let zones = ["a".parse().unwrap()].into();
    submit(dispatcher, Event::EvacuationsChanged(zones));
}

fn outside(_: &mut Dispatcher, demand: &mut Demand) {
    demand.allowed_zones = Some(["b".parse().unwrap()].into());
}

fn paused(dispatcher: &mut Dispatcher, _: &mut Demand) {
    let (target, pause) = (key("one"), Duration::from_secs(30));
    submit(dispatcher, Event::TargetPaused { target, pause });
}

fn backed_off(dispatcher: &mut Dispatcher, _: &mut Demand) {
    fixtures::arrive(dispatcher, 1, fixtures::stream_demand(400));
    let ended = Event::AttemptEnded {
        call: ids::CallId::new(1),
        result: dispatch::AttemptResult::Unreachable,
    };
    submit(dispatcher, ended);
}

fn limited(dispatcher: &mut Dispatcher, _: &mut Demand) {
    let heard = Event::LimitHeard {
        target: key("one"),
        limit: Some(measures::RequestRate::new(4.0).unwrap()),
        sent_at: fixtures::START,
    };
    submit(dispatcher, heard);
}

fn cold(dispatcher: &mut Dispatcher, _: &mut Demand) {
    cold::set_rule(dispatcher, fixtures::START, 4.0);
    cold::write(
        dispatcher,
        fixtures::START,
        "one",
        2,
        Duration::from_secs(20),
    );
}

/// Adds peers, of which one is the arbiter of the target.
fn with_peers(dispatcher: &mut Dispatcher, _: &mut Demand) {
    for index in 0..32 {
        let replaced = Event::PeerLoadsReplaced {
            peer: format!("peer-{index}").parse().unwrap(),
            loads: Vec::new(),
        };
        submit(dispatcher, replaced);
    }
}

/// The arbiter denies a call the target, and the call waits.
fn denied(dispatcher: &mut Dispatcher, demand: &mut Demand) {
    with_peers(dispatcher, demand);
    for effect in fixtures::arrive(dispatcher, 1, fixtures::stream_demand(400)) {
        if let Effect::Send { peer, message } = effect
            && let dispatch::ReservationMessage::Requested { call, claim } = message
        {
            let message = dispatch::ReservationMessage::Replied {
                call,
                target: claim.target,
                is_granted: false,
            };
            submit(dispatcher, Event::ReservationReceived { peer, message });
        }
    }
    assert!(dispatcher.is_waiting(ids::CallId::new(1)));
}

fn tried(_: &mut Dispatcher, demand: &mut Demand) {
    demand.tried.push("one".parse().unwrap());
}

/// Small streams take all slots.
fn without_slot(dispatcher: &mut Dispatcher, _: &mut Demand) {
    for call in 0..24 {
        let demand = Demand {
            prompt_tokens: 10,
            ..fixtures::stream_demand(10)
        };
        fixtures::arrive(dispatcher, call, demand);
    }
}

/// Streams that have started take the memory, and one more waits.
fn without_memory(dispatcher: &mut Dispatcher, _: &mut Demand) {
    for call in 0..7 {
        fixtures::arrive(dispatcher, call, fixtures::stream_demand(400));
        let call = ids::CallId::new(call);
        submit(dispatcher, Event::Started { call });
    }
}

fn with_prompts(dispatcher: &mut Dispatcher, _: &mut Demand) {
    for call in 0..3 {
        fixtures::arrive(dispatcher, call, fixtures::stream_demand(400));
    }
}

/// The call has crashed two targets.
fn quarantined(dispatcher: &mut Dispatcher, demand: &mut Demand) {
    demand.fingerprint = work::RequestFingerprint::new(9);
    let record = quarantine::SuspectRecord {
        fingerprint: demand.fingerprint,
        crashes: [1, 2].map(|crash| Some(ids::CrashId::from_u128(crash))),
        seconds_left: 60,
    };
    submit(dispatcher, Event::SuspectsReported(vec![record]));
}

fn too_large(_: &mut Dispatcher, demand: &mut Demand) {
    demand.prompt_tokens = fixtures::MEMORY_TOKENS + 1;
}

/// The first of two targets is twice as slow.
fn with_speeds(dispatcher: &mut Dispatcher, demand: &mut Demand) {
    demand.target_gap = Some(Duration::from_millis(60));
    let record = Rc::new(fixtures::engine_record("two"));
    let changes = vec![directory::TargetChange::Usable(record)];
    submit(dispatcher, Event::TargetsChanged(changes));
    let report = |name, factor_thousandths| dispatch::SpeedReport {
        target: key(name),
        factor_thousandths,
        samples: 100,
    };
    let reported = Event::SpeedsReported {
        peer: "peer".parse().unwrap(),
        reports: vec![report("one", 2_000), report("two", 800)],
    };
    submit(dispatcher, reported);
    submit(dispatcher, Event::Tick);
}

fn prepare(setup: Setup) -> (Dispatcher, Demand) {
    let mut dispatcher = fixtures::dispatcher(&["one"]);
    let mut demand = fixtures::stream_demand(400);
    setup(&mut dispatcher, &mut demand);
    (dispatcher, demand)
}

/// Returns what the effects of an arrival say of the call; `None` if it waits.
fn decision(effects: &[Effect], arrived: ids::CallId) -> Option<Outcome> {
    effects.iter().find_map(|effect| match effect {
        Effect::Place { call, placement } if *call == arrived => {
            let target = placement.target.key.name.clone();
            Some(Outcome::Placed { target })
        }
        Effect::Send {
            message: dispatch::ReservationMessage::Requested { call, claim },
            ..
        } if *call == arrived => {
            let target = claim.target.name.clone();
            Some(Outcome::Placed { target })
        }
        Effect::Refuse { call, refusal } if *call == arrived => Some((*refusal).into()),
        _ => None,
    })
}

/// Guards against explanations that differ from the decision or give a wrong reason, and against
/// explanations that change it: the arrival has the same effects at a dispatcher that was never
/// asked.
#[parameterized(
    when_idle = { idle, 0, "placed", None },
    when_leaving = { leaving, 0, "refused", Some(Obstacle::Leaving) },
    when_evacuated = { evacuated, 0, "refused", Some(Obstacle::EvacuatedZone) },
    when_outside = { outside, 0, "refused", Some(Obstacle::OutsideRegions) },
    when_paused = { paused, 0, "refused", Some(Obstacle::Paused) },
    when_backed_off = { backed_off, 0, "waits", Some(Obstacle::BackedOff) },
    when_limited = { limited, 0, "refused", Some(Obstacle::Limited) },
    when_cold = { cold, 0, "refused", Some(Obstacle::Cold) },
    when_denied = { denied, 0, "waits", Some(Obstacle::RecentlyDenied) },
    after_denial = { denied, 150, "placed", None },
    when_tried = { tried, 0, "waits", Some(Obstacle::AlreadyTried) },
    without_slots = { without_slot, 0, "waits", Some(Obstacle::NoSlot) },
    when_full = { without_memory, 0, "waits", Some(Obstacle::NoMemory) },
    behind_prompts = { with_prompts, 0, "waits", Some(Obstacle::PromptsWaiting) },
    when_quarantined = { quarantined, 0, "refused", None },
    when_too_large = { too_large, 0, "refused", Some(Obstacle::NoMemory) },
    beside_peers = { with_peers, 0, "placed", None },
    when_slow = { with_speeds, 0, "placed", None },
)]
fn explanation_agrees_with_the_arrival_and_changes_nothing(
    setup: Setup,
    after_ms: u64,
    expected: &str,
    obstacle: Option<Obstacle>,
) {
    let now = fixtures::START + Duration::from_millis(after_ms);
    let (mut asked, demand) = prepare(setup);
    let explanation = asked.explain(now, &demand);
    assert_eq!(explanation, asked.explain(now, &demand));
    assert_eq!(explanation.targets[0].obstacle, obstacle);

    let call = ids::CallId::new(99);
    let arrive = |dispatcher: &mut Dispatcher| {
        let demand = Box::new(demand.clone());
        dispatcher.handle(now, Event::Arrived { call, demand })
    };
    let effects = arrive(&mut asked);
    assert_eq!(effects, arrive(&mut prepare(setup).0));
    let decision = decision(&effects, call);
    let kind = match &explanation.outcome {
        Outcome::Placed { .. } => "placed",
        Outcome::Waits { .. } => "waits",
        Outcome::Refused { .. } => "refused",
    };
    assert_eq!(kind, expected, "{explanation:?}");
    assert_eq!(asked.is_waiting(call), kind == "waits");
    assert_eq!(decision.is_none(), kind == "waits");
    if let Some(decision) = decision {
        assert_eq!(explanation.outcome, decision);
    }
}

/// Guards against costs, speeds and risks that are not those of the decision.
#[test]
fn explanation_states_the_forecast_of_the_placement() {
    let (mut dispatcher, demand) = prepare(with_speeds);
    let explained = dispatcher.explain(fixtures::START, &demand);
    let [one, two] = &explained.targets[..] else {
        panic!("{explained:?}");
    };
    assert!(one.cost > two.cost, "{explained:?}");
    assert!(one.pause_risk_thousandths > two.pause_risk_thousandths);

    let effects = fixtures::arrive(&mut dispatcher, 1, demand);
    let Effect::Place { placement, .. } = &effects[0] else {
        panic!("{effects:?}");
    };
    let stated = (two.speed_thousandths, two.pause_risk_thousandths);
    let forecast = placement.forecast;
    assert_eq!(
        stated,
        (forecast.factor_thousandths, forecast.risk_thousandths)
    );
}

/// Guards against targets of other cells that look usable.
#[test]
fn explanation_names_the_other_cell() {
    let names: Vec<_> = (0..400).map(|index| format!("e{index}")).collect();
    let names: Vec<_> = names.iter().map(|name| &**name).collect();
    let mut dispatcher = fixtures::dispatcher(&names);
    let depth = membership::CellDepth::for_relays(300);
    submit(&mut dispatcher, Event::CellDepthChanged(depth));
    let explanation = dispatcher.explain(fixtures::START, &fixtures::stream_demand(400));
    let own = membership::CellPosition::of(&"relay");
    for target in explanation.targets {
        let position = membership::CellPosition::of(&target.target);
        let is_other = target.obstacle == Some(Obstacle::OtherCell);
        assert_eq!(is_other, !depth.is_same_cell(own, position), "{target:?}");
    }
}
