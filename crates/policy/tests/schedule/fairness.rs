//! Tests of fair shares and of priority within an organisation.

use crate::support::DEFAULT_WORK;
use crate::support::ScheduleHarness;
use crate::support::WorkOptions;

/// Guards against an organisation with a long queue taking more than about half of the admissions
/// while another organisation of equal weight has work waiting.
#[test]
fn flooding_organisation_leaves_half_to_another() {
    let mut harness = ScheduleHarness::new(20_000);
    let mut modest = Vec::new();
    for _ in 0..300 {
        harness.submit(&WorkOptions {
            organisation: "flood",
            ..DEFAULT_WORK
        });
    }
    for _ in 0..40 {
        modest.push(harness.submit(&DEFAULT_WORK));
    }

    let admitted_before = harness.admitted.len();
    harness.run(800);
    let admitted = &harness.admitted[admitted_before..];
    let modest_admitted = admitted
        .iter()
        .filter(|number| modest.contains(number))
        .count();
    let compared = admitted.len().min(modest.len() * 2);
    assert!(
        compared >= 40,
        "only {compared} pieces of work were admitted"
    );
    assert!(
        modest_admitted * 10 >= compared * 4,
        "the modest organisation got {modest_admitted} of {compared} admissions"
    );
}

#[test]
fn higher_priority_goes_first_within_organisation() {
    let mut harness = ScheduleHarness::new(10_000);
    for _ in 0..30 {
        harness.submit(&WorkOptions {
            priority: 1,
            ..DEFAULT_WORK
        });
    }
    let urgent = harness.submit(&WorkOptions {
        priority: 3,
        ..DEFAULT_WORK
    });
    let admitted_before = harness.admitted.len();
    harness.run(300);
    assert_eq!(harness.admitted.get(admitted_before), Some(&urgent));
}
