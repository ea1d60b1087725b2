//! Tests of the estimates of output lengths.

use kingcupfall_policy::schedule::length;

#[test]
fn curve_learns_constant_length() {
    let mut statistics = length::LengthStatistics::new();
    let slot = statistics.slot(&key(1));
    for _ in 0..200 {
        run_to_end(&mut statistics, slot, 12);
    }
    let probability = statistics.curve(slot).log_survival(24.0).exp();
    assert!(probability <= 0.02, "{probability}");
}

#[test]
fn remaining_length_grows_with_progress_under_prior() {
    let curve = length::SurvivalCurve::prior();
    assert!(curve.mean_remaining(4_000.0) > curve.mean_remaining(200.0));
}

/// Guards against an estimate that is too short while short outputs have ended and long ones still
/// run.
#[test]
fn running_streams_count_before_they_finish() {
    let mut statistics = length::LengthStatistics::new();
    let slot = statistics.slot(&key(1));
    for _ in 0..50 {
        run_to_end(&mut statistics, slot, 20);
        for tokens in 1..=1_000 {
            statistics.record_progress(slot, tokens);
        }
    }
    let probability = statistics.curve(slot).log_survival(500.0).exp();
    assert!((probability - 0.5).abs() <= 0.15, "{probability}");
}

#[test]
fn statistics_stay_bounded() {
    let mut statistics = length::LengthStatistics::new();
    for number in 0..10_000 {
        let slot = statistics.slot(&key(number));
        statistics.record_end(slot, 100);
    }
    assert!(statistics.len() <= 4_096);
}

fn run_to_end(statistics: &mut length::LengthStatistics, slot: length::LengthSlot, tokens: u64) {
    for progress in 1..=tokens {
        statistics.record_progress(slot, progress);
    }
    statistics.record_end(slot, tokens);
}

fn key(number: u32) -> length::LengthKey {
    length::LengthKey {
        model: "narrative".parse().unwrap(),
        organisation: format!("org-{number}").parse().unwrap(),
        class: "report".parse().unwrap(),
    }
}
