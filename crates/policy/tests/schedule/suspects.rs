//! Tests of the admission of work suspected of crashing targets.

use crate::support::DEFAULT_WORK;
use crate::support::ScheduleHarness;
use crate::support::WorkOptions;

#[test]
fn suspect_waits_for_running_streams_to_end() {
    let mut harness = ScheduleHarness::new(60_000);
    for _ in 0..6 {
        harness.submit(&DEFAULT_WORK);
        harness.run(1);
    }
    let suspect = harness.submit(&WorkOptions {
        suspect: true,
        ..DEFAULT_WORK
    });
    harness.run(50);
    assert!(!harness.admitted.contains(&suspect));

    harness.run(300);
    assert!(harness.admitted.contains(&suspect));
}

#[test]
fn suspect_is_admitted_after_maximum_wait() {
    let mut harness = ScheduleHarness::new(60_000);
    for _ in 0..6 {
        harness.submit(&WorkOptions {
            output: 10_000,
            ..DEFAULT_WORK
        });
        harness.run(1);
    }
    let suspect = harness.submit(&WorkOptions {
        suspect: true,
        ..DEFAULT_WORK
    });
    harness.run(900);
    assert!(harness.admitted.contains(&suspect));
}

#[test]
fn other_work_waits_for_first_token_of_suspect() {
    let mut harness = ScheduleHarness::new(60_000);
    harness.submit(&WorkOptions {
        suspect: true,
        ..DEFAULT_WORK
    });
    let other = harness.submit(&DEFAULT_WORK);
    assert!(!harness.admitted.contains(&other));

    harness.run(4);
    assert!(harness.admitted.contains(&other));
}
