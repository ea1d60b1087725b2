//! Shares of organisations.

use crate::support::OFFER;
use crate::support::Offer;
use crate::support::ScheduleHarness;

/// Of two organisations of equal weight that both wait, the one that floods gets half.
#[test]
fn flooding_organisation_leaves_half() {
    let mut harness = ScheduleHarness::new(20_000);
    let mut modest = Vec::new();
    for _ in 0..300 {
        harness.submit(&Offer {
            organisation: "flood",
            ..OFFER
        });
    }
    for _ in 0..40 {
        modest.push(harness.submit(&OFFER));
    }

    let before = harness.admitted.len();
    harness.run(800);
    let served = &harness.admitted[before..];
    let own = served
        .iter()
        .filter(|number| modest.contains(number))
        .count();
    let until_last = served.len().min(modest.len() * 2);
    assert!(until_last >= 40, "only {until_last} were served");
    assert!(own * 10 >= until_last * 4, "{own} of {until_last}");
}

#[test]
fn higher_priority_of_one_organisation_goes_first() {
    let mut harness = ScheduleHarness::new(10_000);
    for _ in 0..30 {
        harness.submit(&Offer {
            priority: 1,
            ..OFFER
        });
    }
    let urgent = harness.submit(&Offer {
        priority: 3,
        ..OFFER
    });
    let before = harness.admitted.len();
    harness.run(300);
    assert_eq!(harness.admitted.get(before), Some(&urgent));
}
