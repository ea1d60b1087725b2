//! Tests of the conclusions from streams that were lost in crashes: which prompt parts crash
//! targets, and what follows.

use std::rc::Rc;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::work;
use kingcupfall_policy::quarantine;
use kingcupfall_relay::dispatch;
use yare::parameterized;

use crate::fixtures;
use crate::fixtures::START;
use crate::prompt_fixtures::FATAL;
use crate::prompt_fixtures::INTERVAL_MS;
use crate::prompt_fixtures::OTHER;
use crate::prompt_fixtures::QUARANTINE_MS;
use crate::prompt_fixtures::RUN_TIME_MS;
use crate::prompt_fixtures::SHARED;
use crate::prompt_fixtures::TARGETS;
use crate::prompt_fixtures::arrive;
use crate::prompt_fixtures::at;
use crate::prompt_fixtures::crash_target;
use crate::prompt_fixtures::end_attempt;
use crate::prompt_fixtures::end_probe;
use crate::prompt_fixtures::findings;
use crate::prompt_fixtures::lost_prompts;
use crate::prompt_fixtures::place;
use crate::prompt_fixtures::quarantine_fatal_part;
use crate::prompt_fixtures::quarantined_parts;
use crate::prompt_fixtures::receive_events;
use crate::prompt_fixtures::receive_more_events;
use crate::prompt_fixtures::report;

#[parameterized(
    connection_broke = { dispatch::AttemptResult::Broken, 1 },
    target_fell_silent = { dispatch::AttemptResult::TimedOut, 1 },
    target_reported_failure = { dispatch::AttemptResult::Failed, 0 },
    target_did_not_run_it = { dispatch::AttemptResult::NotRun, 0 },
    caller_left = { dispatch::AttemptResult::Cancelled, 0 },
)]
fn attempt_at_a_target_that_ends_counts(result: dispatch::AttemptResult, expected: usize) {
    let mut dispatcher = fixtures::dispatcher(TARGETS);
    let target = place(&mut dispatcher, START, 1, &[SHARED, FATAL]);
    end_attempt(&mut dispatcher, at(RUN_TIME_MS), 1, result);
    end_probe(&mut dispatcher, at(150), &target, false);
    assert_eq!(lost_prompts(&dispatcher, at(150)), expected);
}

#[parameterized(
    target_still_accepts_connections = { true, &[SHARED], 0 },
    prompt_without_shared_parts = { false, &[], 0 },
    prompt_with_shared_parts = { false, &[SHARED], 1 },
)]
fn attempt_counts_only_if_its_target_ended(
    is_reachable: bool,
    parts: &[work::PromptPartId],
    expected: usize,
) {
    let mut dispatcher = fixtures::dispatcher(TARGETS);
    let target = place(&mut dispatcher, START, 1, parts);
    end_attempt(&mut dispatcher, at(100), 1, dispatch::AttemptResult::Broken);
    end_probe(&mut dispatcher, at(150), &target, is_reachable);
    assert_eq!(lost_prompts(&dispatcher, at(150)), expected);
}

#[test]
fn attempt_at_a_leaving_target_does_not_count() {
    let mut dispatcher = fixtures::dispatcher(TARGETS);
    let target = place(&mut dispatcher, START, 1, &[FATAL]);
    fixtures::announce_departure(&mut dispatcher, target.name.as_str());
    end_attempt(&mut dispatcher, at(100), 1, dispatch::AttemptResult::Broken);
    end_probe(&mut dispatcher, at(150), &target, false);
    assert_eq!(lost_prompts(&dispatcher, at(150)), 0);
}

/// A crash follows within 100 ms of the first event. Streams that have run for longer are not its
/// cause.
#[parameterized(
    just_begun = { 75, 1 },
    begun_long_ago = { 1_000, 0 },
)]
fn stream_counts_only_if_it_had_just_begun(heard_after_ms: u64, expected: usize) {
    let mut dispatcher = fixtures::dispatcher(TARGETS);
    let target = place(&mut dispatcher, START, 1, &[FATAL]);
    receive_events(&mut dispatcher, at(200), 1);
    receive_more_events(&mut dispatcher, at(200 + heard_after_ms), 1);
    // A dark target is noticed late.
    let lost_at = at(1_900);
    let call = ids::CallId::new(1);
    dispatcher.handle(lost_at, dispatch::DispatchEvent::StreamLost { call });
    end_probe(&mut dispatcher, lost_at, &target, false);
    assert_eq!(lost_prompts(&dispatcher, lost_at), expected);
}

/// The next target generates for the prompt anew.
#[parameterized(
    resumed = { true, 1 },
    stayed = { false, 0 },
)]
fn stream_counts_again_once_it_has_been_resumed(is_resumed: bool, expected: usize) {
    let mut dispatcher = fixtures::dispatcher(TARGETS);
    let first = place(&mut dispatcher, START, 1, &[FATAL]);
    receive_events(&mut dispatcher, at(100), 1);
    receive_more_events(&mut dispatcher, at(2_000), 1);
    let next = TARGETS.iter().find(|name| **name != first.name.as_str());
    let next = Rc::new(fixtures::engine_record(next.unwrap()));
    let call = ids::CallId::new(1);
    let target = Rc::clone(&next);
    dispatcher.handle(
        at(2_100),
        dispatch::DispatchEvent::Migrated { call, target },
    );
    let mut present = next.key.clone();
    if !is_resumed {
        let migration_failed = dispatch::DispatchEvent::MigrationFailed {
            call,
            target: Rc::new(fixtures::engine_record(first.name.as_str())),
            result: dispatch::AttemptResult::NotRun,
        };
        dispatcher.handle(at(2_150), migration_failed);
        present = first;
    }
    receive_more_events(&mut dispatcher, at(2_200), 1);
    dispatcher.handle(at(2_300), dispatch::DispatchEvent::StreamLost { call });
    end_probe(&mut dispatcher, at(2_300), &present, false);
    assert_eq!(lost_prompts(&dispatcher, at(2_300)), expected);
}

#[test]
fn resumed_stream_is_sound_once_it_has_run_at_the_next_target() {
    let mut dispatcher = fixtures::dispatcher(TARGETS);
    let mut unused: Vec<_> = TARGETS.to_vec();
    let first = place(&mut dispatcher, START, 1, &[FATAL]);
    receive_events(&mut dispatcher, at(100), 1);
    receive_more_events(&mut dispatcher, at(1_100), 1);
    let effects = crash_target(&mut dispatcher, 1_200, 2, &[FATAL]);
    let has_crashed = |name: &str| {
        effects.iter().any(|effect| {
            matches!(effect, dispatch::DispatchEffect::PromptsLost { target, .. }
                if target.as_str() == name)
        })
    };
    unused.retain(|name| *name != first.name.as_str() && !has_crashed(name));
    let target = Rc::new(fixtures::engine_record(unused[0]));
    let call = ids::CallId::new(1);
    dispatcher.handle(
        at(1_400),
        dispatch::DispatchEvent::Migrated { call, target },
    );
    let effects = receive_more_events(&mut dispatcher, at(1_500), 1);
    assert_eq!(findings(&effects), []);
    let effects = receive_more_events(&mut dispatcher, at(2_500), 1);
    assert_eq!(findings(&effects).len(), 1);
}

#[test]
fn call_with_a_quarantined_part_is_refused_and_others_are_placed() {
    let mut dispatcher = fixtures::dispatcher(TARGETS);
    for call in 0..3 {
        let sent_ms = call * INTERVAL_MS;
        place(&mut dispatcher, at(sent_ms), 10 + call, &[SHARED]);
        receive_events(&mut dispatcher, at(sent_ms + 50), 10 + call);
        crash_target(&mut dispatcher, sent_ms, 100 + call, &[SHARED, FATAL]);
    }
    place(&mut dispatcher, at(1_400), 20, &[SHARED]);
    receive_events(&mut dispatcher, at(1_450), 20);
    receive_more_events(&mut dispatcher, at(2_450), 20);
    dispatcher.handle(at(QUARANTINE_MS), dispatch::DispatchEvent::Tick);

    let now = at(QUARANTINE_MS);
    let refused = arrive(&mut dispatcher, now, 30, &[SHARED, FATAL, OTHER]);
    let refusal = fixtures::refusal(&refused).unwrap();
    let reason = dispatch::RefusalReason::PartQuarantined(FATAL);
    assert_eq!(refusal.reason, reason);
    assert!(refusal.retry_after > Duration::ZERO);
    for (call, parts) in [(31, &[SHARED][..]), (32, &[SHARED, OTHER])] {
        let effects = arrive(&mut dispatcher, now, call, parts);
        assert!(fixtures::placed_target(&effects).is_some());
    }
}

#[test]
fn waiting_call_is_refused_when_its_part_is_quarantined() {
    let mut dispatcher = fixtures::dispatcher(&["one", "two", "three", "four"]);
    for call in 0..3 {
        crash_target(&mut dispatcher, call * INTERVAL_MS, 100 + call, &[FATAL]);
    }
    let now = at(QUARANTINE_MS - 500);
    let waiting = (1..100).find(|call| {
        let effects = arrive(&mut dispatcher, now, *call, &[FATAL]);
        fixtures::placed_target(&effects).is_none()
    });
    let waiting = ids::CallId::new(waiting.unwrap());
    assert!(dispatcher.is_waiting(waiting));

    let effects = dispatcher.handle(at(QUARANTINE_MS), dispatch::DispatchEvent::Tick);
    let refusal = fixtures::refusal(&effects).unwrap();
    let reason = dispatch::RefusalReason::PartQuarantined(FATAL);
    assert_eq!(refusal.reason, reason);
    assert!(!dispatcher.is_waiting(waiting));
}

/// A relay that is cut off loses what runs at all its targets, and finds each of them unreachable.
#[test]
fn streams_lost_at_several_targets_at_one_time_quarantine_nothing() {
    let mut dispatcher = fixtures::dispatcher(TARGETS);
    let targets: Vec<_> = (0..8)
        .map(|call| place(&mut dispatcher, at(10 * call), call, &[FATAL]))
        .collect();
    for call in 0..8 {
        let lost_at = at(200 + 10 * call);
        end_attempt(
            &mut dispatcher,
            lost_at,
            call,
            dispatch::AttemptResult::Broken,
        );
    }
    for target in &targets {
        end_probe(&mut dispatcher, at(300), target, false);
    }
    assert!(lost_prompts(&dispatcher, at(300)) > 3);
    dispatcher.handle(at(5_000), dispatch::DispatchEvent::Tick);
    assert_eq!(quarantined_parts(&dispatcher), []);
}

/// Events don't come all at once: when targets end together, a stream may have begun after the last
/// event of another one.
#[test]
fn streams_between_whose_events_targets_ended_quarantine_nothing() {
    let mut dispatcher = fixtures::dispatcher(TARGETS);
    let targets: Vec<_> = (0..4)
        .map(|call| {
            let sent_ms = 60 * call;
            let target = place(&mut dispatcher, at(sent_ms), call, &[FATAL]);
            receive_events(&mut dispatcher, at(sent_ms + 50), call);
            target
        })
        .collect();
    for (call, target) in (0..).zip(&targets) {
        let result = dispatch::AttemptResult::TimedOut;
        end_attempt(&mut dispatcher, at(1_100), call, result);
        end_probe(&mut dispatcher, at(1_100), target, false);
    }
    assert_eq!(lost_prompts(&dispatcher, at(1_100)), targets.len());
    dispatcher.handle(at(5_000), dispatch::DispatchEvent::Tick);
    assert_eq!(quarantined_parts(&dispatcher), []);
}

/// A failed resumption must not make a stream look as if it had been sent after the crash.
#[test]
fn streams_lost_at_one_time_quarantine_nothing_after_failed_resumptions() {
    let mut dispatcher = fixtures::dispatcher(TARGETS);
    let targets: Vec<_> = (0..6)
        .map(|call| place(&mut dispatcher, at(call), call, &[FATAL]))
        .collect();
    for call in 0..6 {
        receive_events(&mut dispatcher, at(100), call);
    }
    let unused = TARGETS
        .iter()
        .find(|name| targets.iter().all(|target| target.name.as_str() != **name));
    let holder = Rc::new(fixtures::engine_record(unused.unwrap()));
    for (number, key) in (0..).zip(&targets) {
        let call = ids::CallId::new(number);
        let lost_at = at(200 + 10 * number);
        dispatcher.handle(lost_at, dispatch::DispatchEvent::StreamLost { call });
        let target = Rc::clone(&holder);
        dispatcher.handle(lost_at, dispatch::DispatchEvent::Migrated { call, target });
        let migration_failed = dispatch::DispatchEvent::MigrationFailed {
            call,
            target: Rc::new(fixtures::engine_record(key.name.as_str())),
            result: dispatch::AttemptResult::Unreachable,
        };
        dispatcher.handle(lost_at, migration_failed);
        let result = dispatch::AttemptResult::Broken;
        end_attempt(&mut dispatcher, lost_at, number, result);
    }
    for target in &targets {
        end_probe(&mut dispatcher, at(300), target, false);
    }
    assert_eq!(lost_prompts(&dispatcher, at(300)), targets.len());
    dispatcher.handle(at(5_000), dispatch::DispatchEvent::Tick);
    assert_eq!(quarantined_parts(&dispatcher), []);
}

/// A stream lost with its target may be the cause, and would crash its copy holder too.
#[parameterized(
    probe_under_way = { None, dispatch::CrashVerdict::Unresolved },
    target_ended = { Some(false), dispatch::CrashVerdict::MayBeCause },
    target_accepts_connections = { Some(true), dispatch::CrashVerdict::MayRun },
)]
fn stream_that_had_just_begun_is_resumed_only_if_its_target_lives(
    is_reachable: Option<bool>,
    expected: dispatch::CrashVerdict,
) {
    let mut dispatcher = fixtures::dispatcher(TARGETS);
    let target = place(&mut dispatcher, START, 1, &[SHARED, FATAL]);
    receive_events(&mut dispatcher, at(50), 1);
    let call = ids::CallId::new(1);
    dispatcher.handle(at(100), dispatch::DispatchEvent::StreamLost { call });
    if let Some(is_reachable) = is_reachable {
        end_probe(&mut dispatcher, at(150), &target, is_reachable);
    }
    assert_eq!(dispatcher.resumption_verdict(at(150), call), expected);
}

#[parameterized(
    begun_long_ago = { &[FATAL], 1_100 },
    parts_known_to_be_sound = { &[SHARED], 50 },
    without_shared_parts = { &[], 50 },
)]
fn stream_that_is_not_the_cause_is_resumed_though_its_target_ended(
    parts: &[work::PromptPartId],
    run_time_ms: u64,
) {
    let mut dispatcher = fixtures::dispatcher(TARGETS);
    place(&mut dispatcher, START, 2, &[SHARED]);
    receive_events(&mut dispatcher, at(50), 2);
    receive_more_events(&mut dispatcher, at(1_050), 2);

    let target = place(&mut dispatcher, at(1_100), 1, parts);
    receive_events(&mut dispatcher, at(1_150), 1);
    let lost_at = at(1_150 + run_time_ms);
    receive_more_events(&mut dispatcher, lost_at, 1);
    let call = ids::CallId::new(1);
    dispatcher.handle(lost_at, dispatch::DispatchEvent::StreamLost { call });
    end_probe(&mut dispatcher, lost_at, &target, false);
    let verdict = dispatcher.resumption_verdict(lost_at, call);
    assert_eq!(verdict, dispatch::CrashVerdict::MayRun);
}

#[test]
fn stream_with_a_quarantined_part_is_not_resumed() {
    let mut dispatcher = fixtures::dispatcher(TARGETS);
    place(&mut dispatcher, at(1_900), 1, &[FATAL]);
    quarantine_fatal_part(&mut dispatcher);
    let verdict = dispatcher.resumption_verdict(at(QUARANTINE_MS), ids::CallId::new(1));
    assert_eq!(verdict, dispatch::CrashVerdict::Quarantined);
}

#[test]
fn stream_that_gets_further_than_a_fatal_one_ends_the_quarantine() {
    let mut dispatcher = fixtures::dispatcher(TARGETS);
    quarantine_fatal_part(&mut dispatcher);
    let mut peer = fixtures::dispatcher_for("peer", TARGETS);
    place(&mut peer, at(2_000), 1, &[FATAL]);
    receive_events(&mut peer, at(2_100), 1);
    receive_more_events(&mut peer, at(3_100), 1);
    let (crashes, _) = dispatcher.prompt_crashes_after(at(3_200), 0);
    let answers = findings(&report(&mut peer, at(3_200), &crashes));
    assert_eq!(answers.len(), 3);

    let effects = report(&mut dispatcher, at(3_200), &answers);
    assert_eq!(quarantined_parts(&dispatcher), []);
    let change = quarantine::PartChange {
        part: FATAL,
        standing: quarantine::PartStanding::Cleared,
        crash_count: 3,
    };
    let cleared = dispatch::DispatchEffect::PartsChanged {
        changes: vec![change],
        source: dispatch::PartSource::Peer,
    };
    assert_eq!(effects, [cleared]);
}

/// A response may end with its connection, so that it looks complete if its target crashes.
#[parameterized(
    target_lives = { None, 1 },
    target_ended = { Some(false), 0 },
)]
fn short_stream_that_completed_is_sound_only_if_its_target_lives(
    is_reachable: Option<bool>,
    expected: usize,
) {
    let mut dispatcher = fixtures::dispatcher(TARGETS);
    crash_target(&mut dispatcher, 0, 1, &[FATAL]);
    let target = place(&mut dispatcher, at(200), 2, &[FATAL]);
    receive_events(&mut dispatcher, at(250), 2);
    let took = Duration::from_millis(100);
    let succeeded = dispatch::AttemptResult::Succeeded { took };
    end_attempt(&mut dispatcher, at(300), 2, succeeded);
    if let Some(is_reachable) = is_reachable {
        end_probe(&mut dispatcher, at(400), &target, is_reachable);
    }
    let early = dispatcher.handle(at(1_200), dispatch::DispatchEvent::Tick);
    assert_eq!(findings(&early).len(), 0);
    let late = dispatcher.handle(at(1_400), dispatch::DispatchEvent::Tick);
    assert_eq!(findings(&late).len(), expected);
}

/// The fatal stream looks complete, and another one at the target is broken off.
#[parameterized(
    seen_here = { false },
    reported_by_a_peer = { true },
)]
fn short_stream_that_completed_as_its_target_crashed_counts(is_reported: bool) {
    let mut dispatcher = fixtures::dispatcher(&["one"]);
    let target = place(&mut dispatcher, START, 1, &[FATAL]);
    receive_events(&mut dispatcher, at(50), 1);
    place(&mut dispatcher, START, 2, &[SHARED]);
    let took = Duration::from_millis(100);
    let succeeded = dispatch::AttemptResult::Succeeded { took };
    end_attempt(&mut dispatcher, at(100), 1, succeeded);
    let effects = match is_reported {
        true => {
            let mut peer = fixtures::dispatcher_for("peer", &["one"]);
            let effects = crash_target(&mut peer, 0, 3, &[OTHER]);
            report(&mut dispatcher, at(150), &findings(&effects))
        }
        false => {
            end_attempt(&mut dispatcher, at(100), 2, dispatch::AttemptResult::Broken);
            end_probe(&mut dispatcher, at(150), &target, false)
        }
    };
    let told = findings(&effects);
    assert_eq!(told.len(), 1);
    let mut prompts = told[0].prompts.iter();
    assert!(prompts.any(|prompt| *prompt.parts == [FATAL]));
    let effects = dispatcher.handle(at(1_400), dispatch::DispatchEvent::Tick);
    assert_eq!(findings(&effects), []);
}

/// The relay that reported the crash was cut off from the target.
#[test]
fn target_that_responds_to_another_relay_has_not_crashed() {
    let mut cut_off = fixtures::dispatcher_for("cut-off", &["one"]);
    let effects = crash_target(&mut cut_off, 0, 1, &[SHARED]);
    let mut dispatcher = fixtures::dispatcher(&["one"]);
    report(&mut dispatcher, at(RUN_TIME_MS), &findings(&effects));
    place(&mut dispatcher, at(300), 2, &[OTHER]);
    let call = ids::CallId::new(2);
    let effects = dispatcher.handle(at(350), dispatch::DispatchEvent::Started { call });
    let findings = findings(&effects);
    assert_eq!(findings.len(), 1);
    assert!(findings[0].is_disproved);
}

/// Each relay sees one of the crashes, and tells the others at once.
#[test]
fn crashes_at_several_relays_add_up() {
    let names = ["first", "second", "third"];
    let mut relays = names.map(|name| fixtures::dispatcher_for(name, TARGETS));
    let targets = [["one"], ["two"], ["three"]];
    for (number, target) in (0..).zip(targets) {
        let mut seeing = fixtures::dispatcher_for("seeing", &target);
        let effects = crash_target(&mut seeing, number * INTERVAL_MS, number, &[FATAL]);
        let lost_at = at(number * INTERVAL_MS + RUN_TIME_MS);
        for relay in &mut relays {
            let effects = report(relay, lost_at, &findings(&effects));
            assert_eq!(
                findings(&effects),
                [],
                "reports of peers are not sent on at once"
            );
        }
    }
    for relay in &mut relays {
        relay.handle(at(QUARANTINE_MS), dispatch::DispatchEvent::Tick);
        assert_eq!(quarantined_parts(relay), [FATAL]);
        let effects = arrive(relay, at(QUARANTINE_MS), 9, &[FATAL]);
        assert!(fixtures::refusal(&effects).is_some());
    }
}

#[test]
fn lost_prompts_are_written_to_the_log_with_their_target() {
    let mut dispatcher = fixtures::dispatcher(&["one"]);
    let effects = crash_target(&mut dispatcher, 0, 1, &[SHARED, FATAL]);
    let lost = dispatch::DispatchEffect::PromptsLost {
        target: "one".parse().unwrap(),
        prompts: vec![quarantine::LostPrompt {
            parts: Rc::new([SHARED, FATAL]),
            sent_at: START,
            lost_at: at(RUN_TIME_MS),
        }],
    };
    assert!(effects.contains(&lost));
}
