//! Learning how slow targets are, sharing it, and placing streams by it.

use std::rc::Rc;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_relay::directory;
use kingcupfall_relay::dispatch;
use yare::parameterized;

use crate::fixtures;
use crate::speed_model;

/// Duration of a simulated run: three times that of a long stream after the warm-up.
const RUN_MS: u64 = 30_000;

/// Interval at which the dispatcher has combined all observations.
const REFRESH: Duration = Duration::from_millis(200);

fn report(name: &str, factor_thousandths: u32, samples: u32) -> dispatch::SpeedReport {
    dispatch::SpeedReport {
        target: fixtures::engine_record(name).key,
        factor_thousandths,
        samples,
    }
}

/// Lets a peer report speeds, and the dispatcher use them.
fn merge(
    dispatcher: &mut dispatch::Dispatcher,
    now: time::Timestamp,
    reports: Vec<dispatch::SpeedReport>,
) {
    let peer = "peer".parse().unwrap();
    dispatcher.handle(
        now,
        dispatch::DispatchEvent::SpeedsReported { peer, reports },
    );
    dispatcher.handle(now, dispatch::DispatchEvent::Tick);
}

/// Lets a target report the slowdown of its machine, and the dispatcher use it.
fn slow_down(
    dispatcher: &mut dispatch::Dispatcher,
    now: time::Timestamp,
    name: &str,
    percent: u32,
) {
    let target = fixtures::engine_record(name).key;
    let heard = dispatch::DispatchEvent::SlowdownHeard { target, percent };
    dispatcher.handle(now, heard);
    dispatcher.handle(now + REFRESH, dispatch::DispatchEvent::Tick);
}

fn place(
    dispatcher: &mut dispatch::Dispatcher,
    now: time::Timestamp,
    call: u64,
    is_long: bool,
) -> dispatch::CallPlacement {
    let demand = Box::new(dispatch::CallDemand {
        arrived_at: now,
        first_requested_at: now,
        deadline: now + Duration::from_secs(39),
        ..speed_model::demand(is_long)
    });
    let call = ids::CallId::new(call);
    let effects = dispatcher.handle(now, dispatch::DispatchEvent::Arrived { call, demand });
    let placement = effects.into_iter().find_map(|effect| match effect {
        dispatch::DispatchEffect::Place { placement, .. } => Some(placement),
        _ => None,
    });
    placement.unwrap()
}

/// Places a call whose prompt is processed immediately, and returns its target and copy holder.
fn place_started(
    dispatcher: &mut dispatch::Dispatcher,
    now: time::Timestamp,
    call: u64,
    is_long: bool,
) -> (String, Option<String>) {
    let placement = place(dispatcher, now, call, is_long);
    let call = ids::CallId::new(call);
    dispatcher.handle(now, dispatch::DispatchEvent::Started { call });
    let name = |record: &Rc<directory::TargetRecord>| record.key.name.to_string();
    (
        name(&placement.target),
        placement.copy_holder.as_ref().map(name),
    )
}

/// Lets the stream of call 1 progress for some time with an event in each interval, and returns the
/// factor that is reported to peers.
fn progress(
    dispatcher: &mut dispatch::Dispatcher,
    from: time::Timestamp,
    duration: Duration,
    interval: Duration,
    first_event: u64,
) -> Option<u32> {
    let call = ids::CallId::new(1);
    let count = (duration.as_micros() / interval.as_micros()) as u64;
    for index in 0..count {
        let now = from + interval * index as u32;
        let events = first_event + index;
        if events == 1 {
            dispatcher.handle(now, dispatch::DispatchEvent::Started { call });
        }
        dispatcher.handle(now, dispatch::DispatchEvent::Progressed { call, events });
    }
    let reports = dispatcher.speed_reports(from + duration);
    reports.first().map(|report| report.factor_thousandths)
}

/// Guards against long streams beside prompts on engines where four steps with a prompt chunk take
/// longer than the longest permitted pause while the machine is slow.
#[parameterized(
    one_relay = { 1, 1 },
    six_relays = { 2, 6 },
)]
fn long_streams_are_on_time_on_engines_that_differ(seed: u64, relay_count: usize) {
    let factors: Vec<_> = (0..45)
        .map(|i| if i % 4 == 0 { 0.55 } else { 1.2 })
        .collect();
    let run =
        |learns| speed_model::SpeedModel::new(seed, relay_count, &factors, learns).run(RUN_MS);
    let late_share = |outcome: &speed_model::ServiceOutcome| {
        f64::from(outcome.late_long_streams) / f64::from(outcome.long_streams)
    };
    let (unlearned, learned) = (run(false), run(true));
    println!("without learnt speeds {unlearned:?}, with them {learned:?}");
    assert!(late_share(&learned) < 0.08, "{learned:?}");
    assert!(
        late_share(&unlearned) > 2.0 * late_share(&learned),
        "{unlearned:?}"
    );
    assert!(
        learned.late_short_streams * 50 < learned.short_streams,
        "{learned:?}"
    );
    assert!(learned.refusals <= unlearned.refusals, "{learned:?}");
}

/// Guards against an estimate that is not useful within half a second, and against one that follows
/// a change by a factor of four only after many seconds.
#[test]
fn estimate_follows_a_change_by_a_factor_of_four() {
    let mut dispatcher = fixtures::dispatcher(&["one"]);
    place(&mut dispatcher, fixtures::START, 1, true);
    let (fast, slow) = (Duration::from_millis(16), Duration::from_millis(64));
    let start = fixtures::START + Duration::from_millis(250);
    let half_second = Duration::from_millis(500);
    let first = progress(&mut dispatcher, start, half_second, fast, 1).unwrap();
    assert!((400..700).contains(&first), "{first}");

    let slowed_at = start + half_second;
    let slowed = progress(&mut dispatcher, slowed_at, Duration::from_secs(4), slow, 32).unwrap();
    assert!(slowed > first * 5 / 2, "{slowed}");
    let restored_at = slowed_at + Duration::from_secs(4);
    let restored = progress(
        &mut dispatcher,
        restored_at,
        Duration::from_secs(1),
        fast,
        95,
    )
    .unwrap();
    assert!(restored < first * 3 / 2, "{restored}");
}

/// Guards against a target that looks fast because it fails at once.
#[parameterized(
    failed = { dispatch::AttemptResult::Failed, false },
    not_run = { dispatch::AttemptResult::NotRun, false },
    broken = { dispatch::AttemptResult::Broken, false },
    cancelled = { dispatch::AttemptResult::Cancelled, false },
    succeeded = { dispatch::AttemptResult::Succeeded { took: Duration::from_millis(5) }, true },
)]
fn only_successful_attempts_give_a_sample(result: dispatch::AttemptResult, gives_sample: bool) {
    let mut dispatcher = fixtures::dispatcher(&["one"]);
    place(&mut dispatcher, fixtures::START, 1, false);
    let call = ids::CallId::new(1);
    let now = fixtures::START + Duration::from_millis(5);
    dispatcher.handle(now, dispatch::DispatchEvent::Started { call });
    dispatcher.handle(now, dispatch::DispatchEvent::AttemptEnded { call, result });
    assert_eq!(!dispatcher.speed_reports(now).is_empty(), gives_sample);
}

/// Guards against targets that look slow because the network was interrupted.
#[test]
fn interruption_of_a_stream_gives_no_sample() {
    let mut dispatcher = fixtures::dispatcher(&["one"]);
    place(&mut dispatcher, fixtures::START, 1, true);
    let interval = Duration::from_millis(2_100);
    let factor = progress(&mut dispatcher, fixtures::START, interval * 2, interval, 1);
    assert_eq!(factor, None);
}

/// Guards against reports that no working relay sends, against one peer that outlives its link, and
/// against an estimate that is kept when no relay has observed the target for long.
#[parameterized(
    plausible = { 2_000, 20, 0, false, 1_950..2_001 },
    no_factor = { 0, 20, 0, false, 1_000..1_001 },
    small_factor = { 49, 20, 0, false, 1_000..1_001 },
    large_factor = { 4_000_000_000, 20, 0, false, 1_000..1_001 },
    no_samples = { 2_000, 0, 0, false, 1_000..1_001 },
    lost_peer = { 2_000, 20, 0, true, 1_000..1_001 },
    long_ago = { 2_000, 20, 60, false, 1_000..1_001 },
)]
fn report_of_a_peer_counts_while_it_is_credible(
    factor: u32,
    samples: u32,
    age_s: u64,
    is_lost: bool,
    expected: std::ops::Range<u32>,
) {
    let mut dispatcher = fixtures::dispatcher(&["one"]);
    merge(
        &mut dispatcher,
        fixtures::START,
        vec![report("one", factor, samples)],
    );
    if is_lost {
        let peer = "peer".parse().unwrap();
        dispatcher.handle(fixtures::START, dispatch::DispatchEvent::PeerLost { peer });
    }
    let now = fixtures::START + REFRESH + Duration::from_secs(age_s);
    dispatcher.handle(now, dispatch::DispatchEvent::Tick);
    let placement = place(&mut dispatcher, now, 1, true);
    let factor = placement.forecast.factor_thousandths;
    assert!(expected.contains(&factor), "{factor}");
}

/// Guards against a replaced engine that is taken for its predecessor of the same name.
#[test]
fn another_incarnation_has_the_average_of_the_service() {
    let mut dispatcher = fixtures::dispatcher(&["one"]);
    merge(
        &mut dispatcher,
        fixtures::START,
        vec![report("one", 4_000, 20)],
    );
    let mut record = fixtures::engine_record("one");
    record.key.started_ms += 1;
    let change = directory::TargetChange::Usable(Rc::new(record));
    let changed = dispatch::DispatchEvent::TargetsChanged(vec![change]);
    dispatcher.handle(fixtures::START, changed);
    let placement = place(&mut dispatcher, fixtures::START, 1, true);
    assert_eq!(placement.forecast.factor_thousandths, 1_000);
}

/// Guards against false slowdowns, and against a slowdown that counts forever.
#[parameterized(
    none = { 100, 0, 0..1 },
    zero = { 0, 0, 0..1 },
    one = { 1, 0, 0..1 },
    implausible = { 4_000_000_000, 0, 0..1 },
    slow = { 300, 0, 900..1_001 },
    slow_long_ago = { 300, 10, 0..1 },
)]
fn reported_slowdown_is_a_risk_for_ten_seconds(
    percent: u32,
    age_s: u64,
    expected: std::ops::Range<u32>,
) {
    let mut dispatcher = fixtures::dispatcher(&["one"]);
    slow_down(&mut dispatcher, fixtures::START, "one", percent);
    let now = fixtures::START + REFRESH * 2 + Duration::from_secs(age_s);
    dispatcher.handle(now, dispatch::DispatchEvent::Tick);
    let risk = place(&mut dispatcher, now, 1, true)
        .forecast
        .risk_thousandths;
    assert!(expected.contains(&risk), "{risk}");
}

/// Guards against prompts beside long streams on engines whose pauses become too long, and against
/// copies there, to which streams migrate.
#[test]
fn long_streams_and_prompts_are_kept_apart_on_slow_engines() {
    let mut dispatcher = fixtures::dispatcher(&["fast", "fast-too", "slow", "slow-too"]);
    let reports = [
        ("fast", 550),
        ("fast-too", 550),
        ("slow", 1_250),
        ("slow-too", 1_250),
    ];
    let reports = reports.map(|(name, factor)| report(name, factor, 100));
    merge(&mut dispatcher, fixtures::START, reports.to_vec());
    slow_down(&mut dispatcher, fixtures::START, "slow", 250);
    let now = fixtures::START + REFRESH;
    for call in 1..3 {
        let (target, holder) = place_started(&mut dispatcher, now, call, true);
        assert!(target.starts_with("fast"), "{target}");
        assert!(
            holder
                .as_ref()
                .is_none_or(|holder| holder.starts_with("fast")),
            "{call} {target} {holder:?}"
        );
    }
    for call in 3..7 {
        let (target, _) = place_started(&mut dispatcher, now, call, false);
        assert!(target.starts_with("slow"), "{target}");
    }
}

/// Guards against a change for services with equal engines, whose estimates differ by their noise.
#[test]
fn engines_within_the_noise_are_placed_as_before() {
    let names = ["one", "two", "three", "four"];
    let place_all = |reports: Vec<dispatch::SpeedReport>| -> Vec<_> {
        let mut dispatcher = fixtures::dispatcher(&names);
        merge(&mut dispatcher, fixtures::START, reports);
        let calls = 1..16;
        calls
            .map(|call| place_started(&mut dispatcher, fixtures::START, call, call % 3 == 0))
            .collect()
    };
    let reports = names.iter().zip([850, 1_000, 1_100, 1_180]);
    let reports = reports.map(|(name, factor)| report(name, factor, 50));
    assert_eq!(place_all(reports.collect()), place_all(Vec::new()));
}
