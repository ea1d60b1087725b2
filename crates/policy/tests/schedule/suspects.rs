//! Work that is suspected of crashing targets.

use crate::support::OFFER;
use crate::support::Offer;
use crate::support::ScheduleHarness;

#[test]
fn suspect_waits_for_its_neighbours() {
    let mut harness = ScheduleHarness::new(60_000);
    for _ in 0..6 {
        harness.submit(&OFFER);
        harness.run(1);
    }
    let suspect = harness.submit(&Offer {
        suspect: true,
        ..OFFER
    });
    harness.run(50);
    assert!(!harness.admitted.contains(&suspect));

    harness.run(300);
    assert!(harness.admitted.contains(&suspect));
}

#[test]
fn suspect_is_admitted_after_bounded_wait() {
    let mut harness = ScheduleHarness::new(60_000);
    for _ in 0..6 {
        harness.submit(&Offer {
            output: 10_000,
            ..OFFER
        });
        harness.run(1);
    }
    let suspect = harness.submit(&Offer {
        suspect: true,
        ..OFFER
    });
    harness.run(900);
    assert!(harness.admitted.contains(&suspect));
}

#[test]
fn others_wait_for_first_token_of_suspect() {
    let mut harness = ScheduleHarness::new(60_000);
    harness.submit(&Offer {
        suspect: true,
        ..OFFER
    });
    let other = harness.submit(&OFFER);
    assert!(!harness.admitted.contains(&other));

    harness.run(4);
    assert!(harness.admitted.contains(&other));
}
