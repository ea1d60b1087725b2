//! Which calls a process accepts after it was requested to stop.

use std::time::Duration;

use kingcupfall_core::time;
use kingcupfall_relay::directory::CallKind;
use kingcupfall_relay::shell;
use yare::parameterized;

const START: time::Timestamp = time::Timestamp::from_micros(60_000_000);

/// Time until the platform kills the process; it ends half a second earlier.
const GRACE: Duration = Duration::from_secs(8);

#[parameterized(
    short_call = { CallKind::Idempotent, 800, true },
    short_call_at_most_once = { CallKind::AtMostOnce, 800, true },
    call_that_ends_just_before_the_process = { CallKind::AtMostOnce, 7_400, true },
    call_that_may_end_with_the_process = { CallKind::AtMostOnce, 7_500, false },
    call_that_may_outlive_the_process = { CallKind::Idempotent, 8_200, false },
    stream = { CallKind::Stream, 800, false },
)]
fn accepts_calls_that_end_before_the_process(kind: CallKind, deadline_ms: u64, expected: bool) {
    let plan = shell::StopPlan::new(START, GRACE);
    let deadline = START + Duration::from_millis(deadline_ms);
    assert_eq!(plan.accepts(kind, deadline), expected);
}

#[test]
fn accepts_nothing_if_the_grace_is_shorter_than_the_margin() {
    let plan = shell::StopPlan::new(START, Duration::from_millis(300));
    assert!(!plan.accepts(CallKind::Idempotent, START));
}

#[test]
fn refuses_connections_when_no_further_call_is_accepted() {
    let plan = shell::StopPlan::new(START, GRACE);
    let next_moment = plan.refusing_at + Duration::from_micros(1);
    assert!(plan.accepts(CallKind::AtMostOnce, plan.refusing_at));
    assert!(!plan.accepts(CallKind::AtMostOnce, next_moment));
}
