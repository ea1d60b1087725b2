//! Tests of the conclusions from lost attempts: which requests crashed targets, and what follows.

use std::rc::Rc;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_policy::quarantine;
use kingcupfall_relay::directory;
use kingcupfall_relay::dispatch;
use yare::parameterized;

use crate::fixtures;
use crate::fixtures::START;

/// The request that all calls of these tests send.
const REQUEST: work::RequestFingerprint = work::RequestFingerprint::new(7);

const TARGETS: &[&str] = &["one", "two", "three"];

/// How a call loses its target.
#[derive(Debug, Clone, Copy)]
enum Loss {
    AttemptEnded(dispatch::AttemptResult),
    CallerLeft,
    StreamLost,
}

impl Loss {
    fn event(self, call: ids::CallId) -> dispatch::DispatchEvent {
        match self {
            Self::AttemptEnded(result) => dispatch::DispatchEvent::AttemptEnded { call, result },
            Self::CallerLeft => dispatch::DispatchEvent::CallEnded { call },
            Self::StreamLost => dispatch::DispatchEvent::StreamLost { call },
        }
    }
}

const BROKEN: Loss = Loss::AttemptEnded(dispatch::AttemptResult::Broken);

/// Sends a call of the request, loses its target, and returns that target.
fn lose_target(
    dispatcher: &mut dispatch::Dispatcher,
    call: u64,
    loss: Loss,
) -> directory::TargetKey {
    let effects = fixtures::arrive(dispatcher, call, fixtures::stream_demand(400));
    let target = fixtures::placed_target(&effects).unwrap();
    dispatcher.handle(START, loss.event(ids::CallId::new(call)));
    fixtures::engine_record(&target).key
}

fn end_probe(
    dispatcher: &mut dispatch::Dispatcher,
    now: time::Timestamp,
    target: directory::TargetKey,
    is_reachable: bool,
) {
    let probed = dispatch::DispatchEvent::TargetProbed {
        target,
        is_reachable,
    };
    dispatcher.handle(now, probed);
}

fn register_next_incarnation(dispatcher: &mut dispatch::Dispatcher, target: &directory::TargetKey) {
    let mut record = fixtures::engine_record(target.name.as_str());
    record.key.started_ms = target.started_ms + 1;
    let changes = vec![
        directory::TargetChange::Gone(target.clone()),
        directory::TargetChange::Usable(Rc::new(record)),
    ];
    dispatcher.handle(START, dispatch::DispatchEvent::TargetsChanged(changes));
}

/// Returns the number of crashes that are counted against the request.
fn crash_count(dispatcher: &dispatch::Dispatcher) -> usize {
    let suspects = dispatcher.suspects(START);
    let mut suspects = suspects.iter();
    let suspect = suspects.find(|suspect| suspect.fingerprint == REQUEST);
    suspect.map_or(0, |suspect| suspect.crashes.iter().flatten().count())
}

#[parameterized(
    connection_broke = { BROKEN },
    target_fell_silent = { Loss::AttemptEnded(dispatch::AttemptResult::TimedOut) },
    target_reported_failure = { Loss::AttemptEnded(dispatch::AttemptResult::Failed) },
    relay_ended_the_attempt = { Loss::AttemptEnded(dispatch::AttemptResult::Cancelled) },
    caller_left = { Loss::CallerLeft },
    stream_broke = { Loss::StreamLost },
)]
fn request_at_a_target_that_ends_becomes_suspect(loss: Loss) {
    let mut dispatcher = fixtures::dispatcher(TARGETS);
    let target = lose_target(&mut dispatcher, 1, loss);
    assert_eq!(crash_count(&dispatcher), 0);
    end_probe(&mut dispatcher, START, target, false);
    assert_eq!(crash_count(&dispatcher), 1);
}

#[parameterized(
    connection_broke = { BROKEN, 1 },
    target_reported_failure = { Loss::AttemptEnded(dispatch::AttemptResult::Failed), 0 },
    caller_left = { Loss::CallerLeft, 0 },
)]
fn request_at_a_target_that_is_replaced_becomes_suspect(loss: Loss, expected: usize) {
    let mut dispatcher = fixtures::dispatcher(TARGETS);
    let target = lose_target(&mut dispatcher, 1, loss);
    end_probe(&mut dispatcher, START, target.clone(), true);
    register_next_incarnation(&mut dispatcher, &target);
    assert_eq!(crash_count(&dispatcher), expected);
}

/// A target that was only silent accepts connections again.
#[test]
fn request_at_targets_that_respond_again_is_not_quarantined() {
    let mut dispatcher = fixtures::dispatcher(&["one", "two"]);
    for call in [1, 2] {
        let target = lose_target(&mut dispatcher, call, BROKEN);
        end_probe(&mut dispatcher, START, target, false);
    }
    assert_eq!(
        dispatcher.crash_verdict(START, REQUEST),
        dispatch::CrashVerdict::Quarantined
    );

    let later = START + Duration::from_secs(1);
    let demand = dispatch::CallDemand {
        fingerprint: work::RequestFingerprint::new(8),
        arrived_at: later,
        ..fixtures::stream_demand(400)
    };
    let call = ids::CallId::new(3);
    let arrived = dispatch::DispatchEvent::Arrived {
        call,
        demand: Box::new(demand),
    };
    dispatcher.handle(later, arrived);
    let result = dispatch::AttemptResult::Succeeded {
        took: Duration::from_millis(40),
    };
    dispatcher.handle(
        later,
        dispatch::DispatchEvent::AttemptEnded { call, result },
    );
    assert_eq!(
        dispatcher.crash_verdict(later, REQUEST),
        dispatch::CrashVerdict::MayRun
    );
}

/// A target that has gone dark may be back before its callers give up.
#[parameterized(
    without_notice = { false, 1 },
    that_left = { true, 0 },
)]
fn request_lost_after_its_target_was_replaced_becomes_suspect(has_left: bool, expected: usize) {
    let mut dispatcher = fixtures::dispatcher(TARGETS);
    let effects = fixtures::arrive(&mut dispatcher, 1, fixtures::stream_demand(400));
    let target = fixtures::placed_target(&effects).unwrap();
    if has_left {
        fixtures::announce_departure(&mut dispatcher, &target);
    }
    register_next_incarnation(&mut dispatcher, &fixtures::engine_record(&target).key);
    dispatcher.handle(START, BROKEN.event(ids::CallId::new(1)));
    assert_eq!(crash_count(&dispatcher), expected);
}

#[test]
fn request_at_a_target_that_still_accepts_connections_is_not_suspect() {
    let mut dispatcher = fixtures::dispatcher(TARGETS);
    for call in 1..10 {
        let target = lose_target(&mut dispatcher, call, BROKEN);
        end_probe(&mut dispatcher, START, target, true);
    }
    assert_eq!(crash_count(&dispatcher), 0);
}

#[test]
fn request_at_a_leaving_target_is_not_suspect() {
    let mut dispatcher = fixtures::dispatcher(TARGETS);
    let effects = fixtures::arrive(&mut dispatcher, 1, fixtures::stream_demand(400));
    let target = fixtures::placed_target(&effects).unwrap();
    fixtures::announce_departure(&mut dispatcher, &target);
    dispatcher.handle(START, BROKEN.event(ids::CallId::new(1)));
    let target = fixtures::engine_record(&target).key;
    end_probe(&mut dispatcher, START, target, false);
    assert_eq!(crash_count(&dispatcher), 0);
}

/// The end of a target long after an attempt was lost there has another cause.
#[test]
fn request_lost_long_before_the_end_of_its_target_is_not_suspect() {
    let mut dispatcher = fixtures::dispatcher(TARGETS);
    let target = lose_target(&mut dispatcher, 1, BROKEN);
    end_probe(
        &mut dispatcher,
        START + Duration::from_secs(6),
        target,
        false,
    );
    assert_eq!(crash_count(&dispatcher), 0);
}

#[test]
fn calls_that_lost_one_target_count_as_one_crash() {
    let mut dispatcher = fixtures::dispatcher(&["one"]);
    for call in 1..3 {
        fixtures::arrive(&mut dispatcher, call, fixtures::stream_demand(400));
    }
    for call in 1..3 {
        dispatcher.handle(START, BROKEN.event(ids::CallId::new(call)));
    }
    let target = fixtures::engine_record("one").key;
    end_probe(&mut dispatcher, START, target, false);
    assert_eq!(crash_count(&dispatcher), 1);
}

/// A request that many callers send is sooner or later running somewhere when a target ends.
#[test]
fn request_that_completes_between_two_crashes_is_not_quarantined() {
    let mut dispatcher = fixtures::dispatcher(TARGETS);
    let took = Duration::from_secs(1);
    let completed = Loss::AttemptEnded(dispatch::AttemptResult::Succeeded { took });
    for call in [1, 3] {
        let target = lose_target(&mut dispatcher, call, BROKEN);
        end_probe(&mut dispatcher, START, target, false);
        lose_target(&mut dispatcher, call + 1, completed);
    }
    assert_eq!(crash_count(&dispatcher), 0);
}

/// A relay that is cut off from all targets loses what runs there, and finds each of them
/// unreachable.
#[test]
fn calls_sent_before_the_first_of_several_ends_count_as_one_crash() {
    let mut dispatcher = fixtures::dispatcher(TARGETS);
    let mut targets = Vec::new();
    for call in 1..4 {
        let effects = fixtures::arrive(&mut dispatcher, call, fixtures::stream_demand(400));
        targets.push(fixtures::placed_target(&effects).unwrap());
    }
    targets.dedup();
    assert_eq!(targets.len(), TARGETS.len());
    let mut now = START;
    for call in 1..4 {
        now = now + Duration::from_millis(100);
        dispatcher.handle(now, BROKEN.event(ids::CallId::new(call)));
    }
    for target in targets {
        let target = fixtures::engine_record(&target).key;
        end_probe(&mut dispatcher, now, target, false);
    }
    assert_eq!(crash_count(&dispatcher), 1);
}

#[test]
fn second_crash_quarantines_the_request() {
    let mut dispatcher = fixtures::dispatcher(TARGETS);
    for call in 1..3 {
        let target = lose_target(&mut dispatcher, call, BROKEN);
        end_probe(&mut dispatcher, START, target, false);
    }
    let effects = fixtures::arrive(&mut dispatcher, 3, fixtures::stream_demand(400));
    let refusal = fixtures::refusal(&effects).unwrap();
    assert_eq!(refusal.reason, dispatch::RefusalReason::Quarantined);
}

/// Until the probes end, a third target is not risked.
#[parameterized(
    targets_accept_connections = { true },
    targets_have_ended = { false },
)]
fn call_after_two_losses_waits_for_the_probes(is_reachable: bool) {
    let mut dispatcher = fixtures::dispatcher(TARGETS);
    let targets = [1, 2].map(|call| lose_target(&mut dispatcher, call, BROKEN));
    let effects = fixtures::arrive(&mut dispatcher, 3, fixtures::stream_demand(400));
    assert!(effects.is_empty());

    let effects = targets.map(|target| {
        let probed = dispatch::DispatchEvent::TargetProbed {
            target,
            is_reachable,
        };
        dispatcher.handle(START, probed)
    });
    let effects = effects.concat();
    let is_placed = fixtures::placed_target(&effects).is_some();
    let is_refused = fixtures::refusal(&effects).is_some();
    assert_eq!((is_placed, is_refused), (is_reachable, !is_reachable));
}

#[test]
fn caller_that_leaves_a_silent_target_starts_a_probe() {
    let mut dispatcher = fixtures::dispatcher(TARGETS);
    fixtures::arrive(&mut dispatcher, 1, fixtures::stream_demand(400));
    let call = ids::CallId::new(1);
    let later = START + Duration::from_secs(1);
    let effects = dispatcher.handle(later, dispatch::DispatchEvent::CallEnded { call });
    let is_probe = |effect: &dispatch::DispatchEffect| {
        matches!(effect, dispatch::DispatchEffect::Probe { .. })
    };
    assert!(effects.iter().any(is_probe));
}

/// The first loss makes the request suspect, as its target may have ended.
#[parameterized(
    first_loss = { &[], false },
    after_a_loss_that_is_not_explained_yet = { &[BROKEN], true },
)]
fn caller_that_leaves_early_starts_a_probe(losses_before: &[Loss], expected: bool) {
    let mut dispatcher = fixtures::dispatcher(TARGETS);
    let calls = 1..=losses_before.len() as u64;
    for (call, loss) in calls.zip(losses_before) {
        lose_target(&mut dispatcher, call, *loss);
    }
    let call = ids::CallId::new(9);
    fixtures::arrive(&mut dispatcher, 9, fixtures::stream_demand(400));
    let effects = dispatcher.handle(START, dispatch::DispatchEvent::CallEnded { call });
    let is_probe = |effect: &dispatch::DispatchEffect| {
        matches!(effect, dispatch::DispatchEffect::Probe { .. })
    };
    assert_eq!(effects.iter().any(is_probe), expected);
}

#[parameterized(
    no_loss_before = { &[], true },
    after_a_loss_that_is_not_explained_yet = { &[BROKEN], false },
)]
fn another_target_is_free_for_a_request_that_is_not_suspect(losses: &[Loss], expected: bool) {
    let mut dispatcher = fixtures::dispatcher(TARGETS);
    for (call, loss) in (1..).zip(losses) {
        lose_target(&mut dispatcher, call, *loss);
    }
    let demand = fixtures::stream_demand(400);
    let effects = fixtures::arrive(&mut dispatcher, 9, demand.clone());
    let current = fixtures::placed_target(&effects).unwrap();
    let has_other = dispatcher.has_other_target(START, &demand, &current.parse().unwrap());
    assert_eq!(has_other, expected);
}

/// The attempt to resume the stream crashes the copy holder.
#[test]
fn stream_that_lost_its_target_and_its_copy_holder_may_not_run_again() {
    let mut dispatcher = fixtures::dispatcher(TARGETS);
    let call = ids::CallId::new(1);
    let first = lose_target(&mut dispatcher, 1, Loss::StreamLost);
    assert_eq!(
        dispatcher.crash_verdict(START, REQUEST),
        dispatch::CrashVerdict::MayRun
    );

    let first = Rc::new(fixtures::engine_record(first.name.as_str()));
    let other = TARGETS
        .iter()
        .find(|name| **name != first.key.name.as_str());
    let holder = Rc::new(fixtures::engine_record(other.unwrap()));
    let target = Rc::clone(&holder);
    dispatcher.handle(START, dispatch::DispatchEvent::Migrated { call, target });
    let migration_failed = dispatch::DispatchEvent::MigrationFailed {
        call,
        target: first,
        result: dispatch::AttemptResult::Broken,
    };
    dispatcher.handle(START, migration_failed);
    for name in TARGETS {
        let target = fixtures::engine_record(name).key;
        end_probe(&mut dispatcher, START, target, false);
    }
    assert_eq!(
        dispatcher.crash_verdict(START, REQUEST),
        dispatch::CrashVerdict::Quarantined
    );
}

#[test]
fn waiting_call_is_refused_when_a_peer_reports_its_request() {
    let mut dispatcher = fixtures::dispatcher(TARGETS);
    let mut waiting = None;
    for call in 1..100 {
        let demand = dispatch::CallDemand {
            fingerprint: work::RequestFingerprint::new(call),
            ..fixtures::stream_demand(400)
        };
        let effects = fixtures::arrive(&mut dispatcher, call, demand);
        if effects.is_empty() {
            waiting = Some(call);
            break;
        }
    }
    let waiting = waiting.unwrap();
    let reported = quarantine::SuspectRecord {
        fingerprint: work::RequestFingerprint::new(waiting),
        crashes: [1, 2].map(|crash| Some(ids::CrashId::from_u128(crash))),
        seconds_left: 60,
    };
    let event = dispatch::DispatchEvent::SuspectsReported(vec![reported]);
    let refusal = fixtures::refusal(&dispatcher.handle(START, event)).unwrap();
    assert_eq!(refusal.reason, dispatch::RefusalReason::Quarantined);
    assert!(!dispatcher.is_waiting(ids::CallId::new(waiting)));
}
