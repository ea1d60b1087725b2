//! Tests of admission under the memory forecast, and of pauses and resumption.

use std::time::Duration;

use proptest::prelude::*;

use crate::support::DEFAULT_WORK;
use crate::support::START_WINDOW;
use crate::support::ScheduleHarness;
use crate::support::WorkOptions;

const MEMORY: u64 = 60_000;

#[test]
fn first_work_is_admitted_at_once() {
    let mut harness = ScheduleHarness::new(MEMORY);
    let number = harness.submit(&DEFAULT_WORK);
    assert_eq!(harness.admitted, [number]);
}

#[test]
fn work_larger_than_memory_is_admitted_alone() {
    let mut harness = ScheduleHarness::new(MEMORY);
    let large = WorkOptions {
        prompt: MEMORY * 2,
        ..DEFAULT_WORK
    };
    harness.submit(&large);
    harness.submit(&DEFAULT_WORK);
    harness.run(10);
    assert_eq!(harness.admitted, [0]);
}

#[test]
fn overdue_work_is_refused() {
    let mut harness = ScheduleHarness::new(MEMORY);
    let long_running = WorkOptions {
        prompt: MEMORY,
        output: 1_000_000,
        ..DEFAULT_WORK
    };
    harness.submit(&long_running);
    let waiting = harness.submit(&DEFAULT_WORK);

    harness.now = harness.now + START_WINDOW + Duration::from_secs(1);
    harness.run(1);
    assert_eq!(harness.refused, [waiting]);
}

#[test]
fn all_admitted_streams_finish_after_pauses() {
    let mut harness = ScheduleHarness::new(4_000);
    for _ in 0..12 {
        let options = WorkOptions {
            prompt: 300,
            output: 1_500,
            ..DEFAULT_WORK
        };
        harness.submit(&options);
    }
    harness.run(12 * 1_600);
    assert!(harness.pauses > 0);
    assert_eq!(harness.running(), 0);
    assert_eq!(harness.finished.len(), harness.admitted.len());
    assert_eq!(harness.admitted.len() + harness.refused.len(), 12);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn memory_stays_within_engine_memory(
        sizes in prop::collection::vec((1_u64..4_000, 1_u64..3_000), 1..60),
    ) {
        let mut harness = ScheduleHarness::new(20_000);
        for (prompt, output) in sizes {
            harness.submit(&WorkOptions { prompt, output, ..DEFAULT_WORK });
            harness.run(5);
        }
        harness.run(500);
        prop_assert!(harness.memory_peak <= 20_000);
    }

    #[test]
    fn lowest_priority_is_admitted_while_load_is_below_capacity(seed in 0_u64..1_000) {
        let mut harness = ScheduleHarness::new(MEMORY);
        let mut lowest = None;
        for round in 0..400_u64 {
            // About two thirds of the load that the memory can hold, with outputs of varied length.
            let output = 100 + (seed * 37 + round * 91) % 400;
            harness.submit(&WorkOptions { priority: 9, prompt: 1_500, output, ..DEFAULT_WORK });
            harness.run(12);
            if round == 200 {
                lowest = Some(harness.submit(&WorkOptions {
                    priority: 0,
                    organisation: "restaurantes",
                    ..DEFAULT_WORK
                }));
            }
        }
        prop_assert!(lowest.is_some_and(|number| harness.admitted.contains(&number)));
    }
}
