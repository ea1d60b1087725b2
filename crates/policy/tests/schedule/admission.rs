//! Admission under the forecast, pauses and resumption.

use std::time::Duration;

use proptest::prelude::*;

use crate::support::OFFER;
use crate::support::Offer;
use crate::support::START_WINDOW;
use crate::support::ScheduleHarness;

const MEMORY: u64 = 60_000;

#[test]
fn first_work_is_admitted_at_once() {
    let mut harness = ScheduleHarness::new(MEMORY);
    let number = harness.submit(&OFFER);
    assert_eq!(harness.admitted, [number]);
}

#[test]
fn work_larger_than_memory_is_admitted_alone() {
    let mut harness = ScheduleHarness::new(MEMORY);
    let large = Offer {
        prompt: MEMORY * 2,
        ..OFFER
    };
    harness.submit(&large);
    harness.submit(&OFFER);
    harness.run(10);
    assert_eq!(harness.admitted, [0]);
}

#[test]
fn overdue_work_is_refused_at_once() {
    let mut harness = ScheduleHarness::new(MEMORY);
    let endless = Offer {
        prompt: MEMORY,
        output: 1_000_000,
        ..OFFER
    };
    harness.submit(&endless);
    let waiting = harness.submit(&OFFER);

    harness.now = harness.now + START_WINDOW + Duration::from_secs(1);
    harness.run(1);
    assert_eq!(harness.refused, [waiting]);
}

#[test]
fn paused_streams_all_finish() {
    let mut harness = ScheduleHarness::new(4_000);
    for _ in 0..12 {
        let offer = Offer {
            prompt: 300,
            output: 1_500,
            ..OFFER
        };
        harness.submit(&offer);
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
    fn memory_never_exceeds_engine(
        sizes in prop::collection::vec((1_u64..4_000, 1_u64..3_000), 1..60),
    ) {
        let mut harness = ScheduleHarness::new(20_000);
        for (prompt, output) in sizes {
            harness.submit(&Offer { prompt, output, ..OFFER });
            harness.run(5);
        }
        harness.run(500);
        prop_assert!(harness.memory_peak <= 20_000);
    }

    #[test]
    fn lowest_priority_starts_below_capacity(seed in 0_u64..1_000) {
        let mut harness = ScheduleHarness::new(MEMORY);
        let mut lowest = None;
        for round in 0..400_u64 {
            // About two thirds of what the memory carries, with lengths that vary.
            let output = 100 + (seed * 37 + round * 91) % 400;
            harness.submit(&Offer { priority: 9, prompt: 1_500, output, ..OFFER });
            harness.run(12);
            if round == 200 {
                lowest = Some(harness.submit(&Offer { priority: 0, organisation: "restaurantes", ..OFFER }));
            }
        }
        prop_assert!(lowest.is_some_and(|number| harness.admitted.contains(&number)));
    }
}
