//! Tests of the verdicts on prompt parts: which are quarantined, and when.

use kingcupfall_policy::quarantine;
use kingcupfall_policy::quarantine::PromptPartPolicy;
use yare::parameterized;

use crate::fixtures::FATAL;
use crate::fixtures::HEARING_MS;
use crate::fixtures::INTERVAL_MS;
use crate::fixtures::RUN_TIME_MS;
use crate::fixtures::START;
use crate::fixtures::at;
use crate::fixtures::crash;
use crate::fixtures::part;
use crate::fixtures::parts;
use crate::fixtures::prompt;
use crate::fixtures::quarantined;
use crate::fixtures::record_crashes;

#[parameterized(
    two_crashes = { 2, &[] },
    three_crashes = { 3, &[FATAL] },
    seven_crashes = { 7, &[FATAL] },
)]
fn part_that_only_lost_prompts_share_is_quarantined(crashes: usize, expected: &[u64]) {
    let mut policy = quarantine::CrashCorrelation::default();
    let prompts: Vec<_> = (0..crashes as u64).map(|other| [other, FATAL]).collect();
    let prompts: Vec<_> = prompts.iter().map(|prompt| &prompt[..]).collect();
    let last_ms = record_crashes(&mut policy, 1, &prompts);
    let all: Vec<_> = (0..crashes as u64).chain([FATAL]).collect();
    let now_ms = last_ms + HEARING_MS;
    assert_eq!(quarantined(&mut policy, now_ms, &all), expected);
}

/// Streams that run beside the fatal request are lost with it.
#[test]
fn part_is_quarantined_among_the_lost_prompts_of_others() {
    let mut policy = quarantine::CrashCorrelation::default();
    for number in 1..4 {
        let lost_ms = number * INTERVAL_MS;
        let beside = prompt(&[1, 100 + number], lost_ms - 400, lost_ms);
        let fatal = prompt(&[1, FATAL], lost_ms - RUN_TIME_MS, lost_ms);
        policy.record_crash(at(lost_ms), crash(number), &[beside, fatal]);
    }
    policy.record_sound_stream(at(3_200), &parts(&[1, 200]), at(2_200));
    let all = [1, 101, 102, 103, 200, FATAL];
    assert_eq!(quarantined(&mut policy, 3_200, &all), [FATAL]);
}

/// Streams with the first part, which everybody shares, clear it in each crash before them.
#[test]
fn shared_first_part_stays_free() {
    let mut policy = quarantine::CrashCorrelation::default();
    for number in 1..20 {
        let lost_ms = record_crashes(&mut policy, number, &[&[1, FATAL]]);
        let now_ms = lost_ms + 50;
        let began_at = at(now_ms.saturating_sub(1_000));
        policy.record_sound_stream(at(now_ms), &parts(&[1]), began_at);
        assert_eq!(quarantined(&mut policy, now_ms, &[1]), []);
    }
    assert_eq!(quarantined(&mut policy, 10_000, &[1, FATAL]), [FATAL]);
}

/// Times of crashes of the recorded incident in milliseconds, and sound streams with the first part
/// that begin every 300 ms.
#[test]
fn recorded_crashes_quarantine_the_part_before_the_fifth() {
    let crashes_ms = [15_910, 16_460, 16_620, 16_750, 18_320, 18_560, 19_140];
    let mut policy = quarantine::CrashCorrelation::default();
    let mut quarantined_ms = None;
    for now_ms in (15_000..20_000).step_by(10) {
        if let Some(number) = crashes_ms.iter().position(|lost_ms| *lost_ms == now_ms) {
            let number = number as u64;
            let fatal = prompt(&[1, FATAL], now_ms - RUN_TIME_MS + 12, now_ms);
            let beside = prompt(&[1, 50 + number], now_ms - 300, now_ms);
            policy.record_crash(at(now_ms), crash(number), &[fatal, beside]);
        }
        if now_ms % 300 == 0 {
            policy.record_sound_stream(at(now_ms), &[part(1)], at(now_ms - 1_000));
        }
        let found = quarantined(&mut policy, now_ms, &[1, FATAL, 50, 51, 52, 53]);
        if !found.is_empty() {
            assert_eq!(found, [FATAL]);
            quarantined_ms.get_or_insert(now_ms);
        }
    }
    assert_eq!(quarantined_ms, Some(crashes_ms[0] + HEARING_MS));
}

#[test]
fn quarantine_waits_for_sound_streams() {
    let mut policy = quarantine::CrashCorrelation::default();
    let last_ms = record_crashes(&mut policy, 1, &[&[1, FATAL], &[2, FATAL], &[3, FATAL]]);
    assert!(last_ms < INTERVAL_MS + HEARING_MS);
    let before_ms = INTERVAL_MS + HEARING_MS - 1;
    assert_eq!(quarantined(&mut policy, before_ms, &[FATAL]), []);
    assert_eq!(quarantined(&mut policy, before_ms + 1, &[FATAL]), [FATAL]);
}

#[parameterized(
    began_before_the_last_crash = { 1_400, true },
    began_after_the_last_crash = { 1_600, false },
)]
fn stream_clears_only_crashes_before_it(began_ms: u64, is_counted: bool) {
    let mut policy = quarantine::CrashCorrelation::default();
    record_crashes(&mut policy, 1, &[&[FATAL], &[FATAL], &[FATAL]]);
    policy.record_sound_stream(at(2_400), &[part(FATAL)], at(began_ms));
    assert_eq!(quarantined(&mut policy, 10_000, &[FATAL]), []);

    // Five crashes quarantine a part that was sound before: the third of them is one of the five.
    record_crashes(&mut policy, 6, &[&[FATAL][..]; 4]);
    let is_quarantined = quarantined(&mut policy, 10_000, &[FATAL]) == [FATAL];
    assert_eq!(is_quarantined, is_counted);
}

#[test]
fn sound_stream_ends_a_quarantine() {
    let mut policy = quarantine::CrashCorrelation::default();
    record_crashes(&mut policy, 1, &[&[FATAL], &[FATAL], &[FATAL]]);
    assert_eq!(quarantined(&mut policy, 4_000, &[FATAL]), [FATAL]);
    policy.record_sound_stream(at(5_000), &[part(FATAL)], at(1_501));
    let changes = policy.review(at(5_000));
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].standing, quarantine::PartStanding::Cleared);
    assert_eq!(policy.quarantined_part(&[part(FATAL)]), None);
}

/// Several targets end at one time, or a relay is cut off from its targets.
#[parameterized(
    sent_before_the_first_crash = { 400, false },
    sent_before_the_crash_before = { 450, false },
    sent_one_after_the_other = { 90, true },
)]
fn crashes_of_requests_that_ran_at_the_same_time_count_once(run_time_ms: u64, expected: bool) {
    let mut policy = quarantine::CrashCorrelation::default();
    for number in 1..5 {
        let lost_ms = 1_000 + number * 100;
        let lost = prompt(&[FATAL], lost_ms - run_time_ms, lost_ms);
        policy.record_crash(at(lost_ms), crash(number), &[lost]);
    }
    let is_quarantined = quarantined(&mut policy, 5_000, &[FATAL]) == [FATAL];
    assert_eq!(is_quarantined, expected);
}

#[test]
fn one_crash_with_many_prompts_counts_once() {
    let mut policy = quarantine::CrashCorrelation::default();
    for other in 0..30 {
        let lost = prompt(&[FATAL, other], 10 * other, 10 * other + 5);
        policy.record_crash(at(400), crash(1), &[lost]);
    }
    assert_eq!(quarantined(&mut policy, 5_000, &[FATAL]), []);
}

/// Parts of the same prompts can't be told apart until one is found sound. Until then only prompts
/// with all of them are refused.
#[test]
fn parts_that_explain_the_same_crashes_are_refused_only_together() {
    let mut policy = quarantine::CrashCorrelation::default();
    let prompts: [&[u64]; 3] = [&[1, 2, FATAL], &[1, FATAL, 3], &[1, FATAL]];
    let last_ms = record_crashes(&mut policy, 1, &prompts);
    policy.review(at(last_ms + HEARING_MS));
    let is_refused = |policy: &quarantine::CrashCorrelation, values: &[u64]| {
        policy.quarantined_part(&parts(values)).is_some()
    };
    assert!(is_refused(&policy, &[1, FATAL]));
    assert!(is_refused(&policy, &[1, 9, FATAL, 8]));
    for sound in [&[1][..], &[FATAL], &[1, 2], &[1, 3], &[2, FATAL]] {
        assert!(!is_refused(&policy, sound), "{sound:?}");
    }

    policy.record_sound_stream(at(5_000), &parts(&[1, 2]), at(4_000));
    policy.review(at(5_000));
    assert!(is_refused(&policy, &[FATAL]));
    assert!(!is_refused(&policy, &[1]));
}

/// Requests with the fatal part alone, and others that happened to be lost beside them.
#[parameterized(
    four_crashes = { 4, &[] },
    five_crashes = { 5, &[FATAL] },
)]
fn parts_of_different_prompts_wait_for_further_crashes(crashes: u64, expected: &[u64]) {
    let mut policy = quarantine::CrashCorrelation::default();
    let last_ms = crashes * INTERVAL_MS;
    for number in 1..=crashes {
        let lost_ms = number * INTERVAL_MS;
        let fatal = prompt(&[FATAL], lost_ms - RUN_TIME_MS, lost_ms);
        let beside = prompt(&[1], lost_ms - RUN_TIME_MS, lost_ms);
        policy.record_crash(at(lost_ms), crash(number), &[fatal, beside]);
    }
    let now_ms = last_ms + HEARING_MS;
    assert_eq!(quarantined(&mut policy, now_ms, &[1, FATAL]), expected);
}

/// The first requests with the fatal part all had another part in common.
#[test]
fn crash_without_a_companion_widens_the_quarantine() {
    let mut policy = quarantine::CrashCorrelation::default();
    let prompts: [&[u64]; 3] = [&[FATAL, 2], &[FATAL, 2], &[FATAL, 2]];
    let last_ms = record_crashes(&mut policy, 1, &prompts);
    let now_ms = last_ms + HEARING_MS;
    assert_eq!(quarantined(&mut policy, now_ms, &[2, FATAL]), []);
    let last_ms = record_crashes(&mut policy, 8, &[&[FATAL, 3]]);
    assert_eq!(quarantined(&mut policy, last_ms, &[2, 3, FATAL]), [FATAL]);
}

/// The fatal part comes first here; the parts after it are shared with sound requests.
#[test]
fn part_before_a_sound_one_is_quarantined() {
    let mut policy = quarantine::CrashCorrelation::default();
    let last_ms = record_crashes(&mut policy, 1, &[&[FATAL, 2], &[FATAL, 2], &[FATAL, 2]]);
    policy.record_sound_stream(at(last_ms + 1_200), &parts(&[1, 2]), at(last_ms + 100));
    let now_ms = last_ms + HEARING_MS;
    assert_eq!(quarantined(&mut policy, now_ms, &[2, FATAL]), [FATAL]);
}

/// Streams with the part were sound before the crashes, but none is found after them.
#[parameterized(
    four_crashes = { 4, &[] },
    five_crashes = { 5, &[FATAL] },
)]
fn part_that_was_sound_before_needs_more_crashes(crashes: usize, expected: &[u64]) {
    let mut policy = quarantine::CrashCorrelation::default();
    policy.record_sound_stream(at(0), &[part(FATAL)], START);
    let prompts = vec![&[FATAL][..]; crashes];
    let last_ms = record_crashes(&mut policy, 1, &prompts);
    let now_ms = last_ms + HEARING_MS;
    assert_eq!(quarantined(&mut policy, now_ms, &[FATAL]), expected);
}

/// A part that was sound before is not needed to tell which prompts to refuse.
#[test]
fn part_beside_one_that_was_sound_before_is_refused_in_all_prompts() {
    let mut policy = quarantine::CrashCorrelation::default();
    policy.record_sound_stream(at(0), &[part(1)], START);
    let last_ms = record_crashes(&mut policy, 1, &[&[1, FATAL], &[1, FATAL], &[1, FATAL]]);
    let now_ms = last_ms + HEARING_MS;
    assert_eq!(quarantined(&mut policy, now_ms, &[1, FATAL]), [FATAL]);
}

/// The first crashes turn out to be none, and the others have just become known.
#[test]
fn quarantined_part_stays_so_while_enough_crashes_remain() {
    let mut policy = quarantine::CrashCorrelation::default();
    record_crashes(&mut policy, 1, &[&[FATAL], &[FATAL], &[FATAL]]);
    assert_eq!(quarantined(&mut policy, 4_000, &[FATAL]), [FATAL]);
    let last_ms = record_crashes(&mut policy, 9, &[&[FATAL], &[FATAL], &[FATAL]]);
    for number in 1..4 {
        policy.record_response(at(last_ms), crash(number), at(last_ms - 1));
    }
    assert_eq!(quarantined(&mut policy, last_ms, &[FATAL]), [FATAL]);
}

#[test]
fn crash_that_a_quarantined_part_explains_does_not_count_for_others() {
    let mut policy = quarantine::CrashCorrelation::default();
    let prompts: [&[u64]; 4] = [&[2, FATAL], &[2, FATAL], &[2, FATAL], &[3, FATAL]];
    let last_ms = record_crashes(&mut policy, 1, &prompts);
    let now_ms = last_ms + HEARING_MS;
    assert_eq!(quarantined(&mut policy, now_ms, &[2, 3, FATAL]), [FATAL]);
    let last_ms = record_crashes(&mut policy, 9, &[&[2], &[2]]);
    let now_ms = last_ms + HEARING_MS;
    assert_eq!(quarantined(&mut policy, now_ms, &[2, 3, FATAL]), [FATAL]);
}

#[test]
fn two_fatal_parts_are_both_quarantined() {
    let mut policy = quarantine::CrashCorrelation::default();
    let prompts: [&[u64]; 7] = [
        &[1, 7],
        &[2, 8],
        &[3, 7],
        &[4, 8],
        &[5, 7],
        &[6, 8],
        &[9, 7],
    ];
    let last_ms = record_crashes(&mut policy, 1, &prompts);
    let now_ms = last_ms + HEARING_MS;
    let all = [1, 2, 3, 4, 5, 6, 7, 8, 9];
    assert_eq!(quarantined(&mut policy, now_ms, &all), [7, 8]);
}

/// A relay that was cut off from its targets reports crashes of targets that still respond.
#[parameterized(
    sent_before = { 1_499, true },
    sent_after = { 1_501, false },
)]
fn target_that_responds_to_a_later_request_has_not_crashed(sent_ms: u64, expected: bool) {
    let mut policy = quarantine::CrashCorrelation::default();
    record_crashes(&mut policy, 1, &[&[FATAL], &[FATAL], &[FATAL]]);
    let change = policy.record_response(at(1_600), crash(3), at(sent_ms));
    assert_eq!(change.is_none(), expected);
    let is_quarantined = quarantined(&mut policy, 5_000, &[FATAL]) == [FATAL];
    assert_eq!(is_quarantined, expected);
}

#[test]
fn review_reports_each_change_once() {
    let mut policy = quarantine::CrashCorrelation::default();
    let prompts: [&[u64]; 3] = [&[1, FATAL], &[2, FATAL], &[3, FATAL]];
    let mut changes = Vec::new();
    for (number, values) in (1..).zip(prompts) {
        let lost_ms = number * INTERVAL_MS;
        let lost = prompt(values, lost_ms - RUN_TIME_MS, lost_ms);
        policy.record_crash(at(lost_ms), crash(number), &[lost]);
        changes.extend(policy.review(at(lost_ms)));
    }
    for now_ms in [2_000, 3_000, 4_000] {
        changes.extend(policy.review(at(now_ms)));
    }
    let standings: Vec<_> = changes
        .iter()
        .map(|change| (change.part, change.standing, change.crash_count))
        .collect();
    let expected = [
        (part(FATAL), quarantine::PartStanding::Suspected, 2),
        (part(FATAL), quarantine::PartStanding::Quarantined, 3),
    ];
    assert_eq!(standings, expected);
}
