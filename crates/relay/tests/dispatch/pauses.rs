//! Targets that ask for a pause: what is placed, and what callers are told.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::work;
use kingcupfall_relay::directory;
use kingcupfall_relay::dispatch;
use yare::parameterized;

use crate::fixtures;

/// Longer than a stream of the fixtures may wait.
const PAUSE: Duration = Duration::from_secs(8);

fn pause(dispatcher: &mut dispatch::Dispatcher, target: &str, pause: Duration) {
    let paused = dispatch::DispatchEvent::TargetPaused {
        target: fixtures::engine_record(target).key,
        pause,
    };
    dispatcher.handle(fixtures::START, paused);
}

#[test]
fn arrive_is_placed_at_the_target_that_does_not_pause() {
    let mut dispatcher = fixtures::dispatcher(&["one", "two"]);
    pause(&mut dispatcher, "one", PAUSE);
    for call in 1..4 {
        let effects = fixtures::arrive(&mut dispatcher, call, fixtures::stream_demand(400));
        assert_eq!(fixtures::placed_target(&effects).as_deref(), Some("two"));
    }
}

/// All targets pause for longer than a call may wait: each caller is refused at once, and returns
/// after the pause, not all at the same time.
#[test]
fn arrive_during_a_pause_of_all_targets_is_refused_until_it_ends() {
    let mut dispatcher = fixtures::dispatcher(&["one", "two"]);
    pause(&mut dispatcher, "one", Duration::from_secs(3));
    pause(&mut dispatcher, "two", PAUSE);
    pause(&mut dispatcher, "one", PAUSE);
    let mut returns = BTreeSet::new();
    for call in 1..=32 {
        let demand = dispatch::CallDemand {
            fingerprint: work::RequestFingerprint::new(call),
            ..fixtures::stream_demand(400)
        };
        let refusal = fixtures::refusal(&fixtures::arrive(&mut dispatcher, call, demand)).unwrap();
        assert!(refusal.retry_after >= PAUSE, "{:?}", refusal.retry_after);
        assert!(refusal.retry_after <= PAUSE * 2);
        returns.insert(refusal.retry_after);
    }
    assert!(
        returns.len() >= 8,
        "callers return at {} times",
        returns.len()
    );
}

/// A pause shorter than a call may wait: the call waits for its end.
#[test]
fn arrive_during_a_short_pause_waits_for_its_end() {
    let mut dispatcher = fixtures::dispatcher(&["one"]);
    let short = Duration::from_millis(300);
    pause(&mut dispatcher, "one", short);
    let effects = fixtures::arrive(&mut dispatcher, 1, fixtures::stream_demand(400));
    assert!(fixtures::refusal(&effects).is_none());
    assert_eq!(fixtures::placed_target(&effects), None);
    let effects = dispatcher.handle(fixtures::START + short, dispatch::DispatchEvent::Tick);
    assert_eq!(fixtures::placed_target(&effects).as_deref(), Some("one"));
}

#[test]
fn arrive_is_placed_at_a_new_incarnation_of_a_paused_target() {
    let mut dispatcher = fixtures::dispatcher(&["one"]);
    pause(&mut dispatcher, "one", PAUSE);
    let mut record = fixtures::engine_record("one");
    record.key.started_ms += 1;
    let usable = directory::TargetChange::Usable(Rc::new(record));
    dispatcher.handle(
        fixtures::START,
        dispatch::DispatchEvent::TargetsChanged(vec![usable]),
    );
    let effects = fixtures::arrive(&mut dispatcher, 1, fixtures::stream_demand(400));
    assert_eq!(fixtures::placed_target(&effects).as_deref(), Some("one"));
}

/// What happens to a target: it asks for a pause, or its record changes.
#[derive(Debug, Clone, Copy)]
enum PauseStep {
    Pause,
    Gone,
    Usable,
}

/// Guards against pauses that are forgotten with a target's record.
#[parameterized(
    record_removed_and_written_again = { &[PauseStep::Pause, PauseStep::Gone, PauseStep::Usable] },
    response_while_the_record_is_missing = { &[PauseStep::Gone, PauseStep::Pause, PauseStep::Usable] },
    removed_twice = {
        &[PauseStep::Pause, PauseStep::Gone, PauseStep::Usable, PauseStep::Gone, PauseStep::Usable]
    },
)]
fn arrive_during_a_pause_is_not_placed_after_another_registration(steps: &[PauseStep]) {
    let mut dispatcher = fixtures::dispatcher(&["one"]);
    let record = fixtures::engine_record("one");
    for step in steps {
        let change = match step {
            PauseStep::Pause => {
                pause(&mut dispatcher, "one", PAUSE);
                continue;
            }
            PauseStep::Gone => directory::TargetChange::Gone(record.key.clone()),
            PauseStep::Usable => directory::TargetChange::Usable(Rc::new(record.clone())),
        };
        let changed = dispatch::DispatchEvent::TargetsChanged(vec![change]);
        dispatcher.handle(fixtures::START, changed);
    }
    let effects = fixtures::arrive(&mut dispatcher, 1, fixtures::stream_demand(400));
    assert_eq!(fixtures::placed_target(&effects), None);
    let refusal = fixtures::refusal(&effects).unwrap();
    assert!(refusal.retry_after >= PAUSE);

    let pause_end = fixtures::START + PAUSE;
    let demand = dispatch::CallDemand {
        arrived_at: pause_end,
        first_requested_at: pause_end,
        ..fixtures::stream_demand(400)
    };
    let arrival = dispatch::DispatchEvent::Arrived {
        call: ids::CallId::new(2),
        demand: Box::new(demand),
    };
    let effects = dispatcher.handle(pause_end, arrival);
    assert_eq!(fixtures::placed_target(&effects).as_deref(), Some("one"));
}
