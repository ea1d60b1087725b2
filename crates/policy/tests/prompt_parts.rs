//! Tests of the quarantine of prompt parts that crash targets.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_policy::quarantine;
use kingcupfall_policy::quarantine::PromptPartPolicy;
use yare::parameterized;

/// Time of the first crash.
const START: time::Timestamp = time::Timestamp::from_micros(60_000_000);

/// Time from sending a request until its target crashes.
const RUN_TIME_MS: u64 = 100;

/// Time between two crashes: the next request is sent after the crash before.
const INTERVAL_MS: u64 = 500;

/// Time after the first crash at which all sound streams must have been found.
const HEARING_MS: u64 = 2_000;

/// The part that crashes targets in most tests.
const FATAL: u64 = 0xfa;

fn at(millis: u64) -> time::Timestamp {
    START + Duration::from_millis(millis)
}

fn part(value: u64) -> work::PromptPartId {
    work::PromptPartId::new(value)
}

fn parts(values: &[u64]) -> Vec<work::PromptPartId> {
    values.iter().copied().map(part).collect()
}

fn crash(number: u64) -> ids::CrashId {
    ids::CrashId::from_u128(number.into())
}

fn prompt(values: &[u64], sent_ms: u64, lost_ms: u64) -> quarantine::LostPrompt {
    quarantine::LostPrompt {
        parts: parts(values).into(),
        sent_at: at(sent_ms),
        lost_at: at(lost_ms),
    }
}

/// Records crashes at regular intervals, each with one lost prompt. Returns the time of the last
/// one.
fn record_crashes(
    policy: &mut quarantine::CrashCorrelation,
    first: u64,
    prompts: &[&[u64]],
) -> u64 {
    let mut lost_ms = 0;
    for (number, values) in (first..).zip(prompts) {
        lost_ms = number * INTERVAL_MS;
        let lost = prompt(values, lost_ms - RUN_TIME_MS, lost_ms);
        policy.record_crash(at(lost_ms), crash(number), &[lost]);
        policy.review(at(lost_ms));
    }
    lost_ms
}

/// Returns the parts that are quarantined after a review at this time.
fn quarantined(policy: &mut quarantine::CrashCorrelation, now_ms: u64, values: &[u64]) -> Vec<u64> {
    policy.review(at(now_ms));
    let is_quarantined = |value: &u64| policy.quarantined_part(&[part(*value)]).is_some();
    values.iter().copied().filter(is_quarantined).collect()
}

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

/// Sends all records of the sender, and what each receiver answers.
fn exchange(
    now_ms: u64,
    sender: &quarantine::CrashCorrelation,
    receiver: &mut quarantine::CrashCorrelation,
) {
    for record in sender.records_after(at(now_ms), 0).0 {
        receiver.merge(at(now_ms), &record);
    }
}

#[parameterized(
    in_order = { [0, 1, 2, 3, 4, 5] },
    reversed = { [5, 4, 3, 2, 1, 0] },
    mixed = { [3, 0, 5, 2, 4, 1] },
)]
fn records_merged_in_any_order_give_the_same_verdict(order: [usize; 6]) {
    let mut source = quarantine::CrashCorrelation::default();
    let mut records = Vec::new();
    for number in 1..5 {
        let lost_ms = number * INTERVAL_MS;
        let lost = prompt(&[1, FATAL, number], lost_ms - RUN_TIME_MS, lost_ms);
        records.extend(source.record_crash(at(lost_ms), crash(number), &[lost]));
    }
    // All records are sent at one time, so that their ages are those at that time.
    let now_ms = 3_000;
    records.clear();
    records.extend(source.records_after(at(now_ms), 0).0);
    let sound = source.record_sound_stream(at(now_ms), &[part(1)], at(2_100));
    assert_eq!(sound.len(), 4);
    records.extend(sound.into_iter().take(2));

    let mut policy = quarantine::CrashCorrelation::default();
    for index in order {
        policy.merge(at(now_ms), &records[index]);
        policy.merge(at(now_ms), &records[index]);
    }
    assert_eq!(quarantined(&mut policy, 3_500, &[1, FATAL]), []);
    let now_ms = 3_000 + HEARING_MS;
    assert_eq!(quarantined(&mut policy, now_ms, &[1, FATAL]), [FATAL]);
}

/// Each relay has seen some of the crashes.
#[test]
fn crashes_of_several_relays_add_up() {
    let mut relays = [(); 3].map(|()| quarantine::CrashCorrelation::default());
    for (number, relay) in (1..).zip(&mut relays) {
        record_crashes(relay, number, &[&[1, FATAL]]);
    }
    let [first, second, third] = &mut relays;
    for relay in [&*first, &*second] {
        exchange(1_600, relay, third);
    }
    exchange(1_600, third, first);
    exchange(1_600, first, second);
    let sound = third.record_sound_stream(at(3_000), &[part(1)], at(1_900));
    for record in &sound {
        first.merge(at(3_000), record);
        second.merge(at(3_000), record);
    }
    for relay in &mut relays {
        assert_eq!(quarantined(relay, 4_000, &[1, FATAL]), [FATAL]);
    }
}

/// A relay that has just started hears of crashes that are older than it is.
#[test]
fn records_older_than_the_receiver_count() {
    let mut policy = quarantine::CrashCorrelation::default();
    let last_ms = record_crashes(&mut policy, 1, &[&[FATAL], &[FATAL], &[FATAL]]);
    let (records, _) = policy.records_after(at(last_ms + 60_000), 0);
    let mut started = quarantine::CrashCorrelation::default();
    for record in &records {
        started.merge(time::Timestamp::ZERO, record);
    }
    let heard_at = time::Timestamp::ZERO + Duration::from_millis(HEARING_MS);
    started.review(heard_at);
    let quarantine = started.quarantined_part(&[part(FATAL)]).unwrap();
    assert!(quarantine.until > heard_at);
}

/// A relay reports late what others have found sound in the meantime.
#[test]
fn record_that_arrives_after_sound_streams_is_answered_with_them() {
    let mut cut_off = quarantine::CrashCorrelation::default();
    record_crashes(&mut cut_off, 1, &[&[1], &[1], &[1]]);
    let mut policy = quarantine::CrashCorrelation::default();
    policy.record_sound_stream(at(4_000), &[part(1)], at(3_000));
    let answers: Vec<_> = cut_off
        .records_after(at(4_000), 0)
        .0
        .iter()
        .filter_map(|record| policy.merge(at(4_000), record))
        .collect();
    assert_eq!(answers.len(), 3);
    for answer in &answers {
        cut_off.merge(at(4_000), answer);
    }
    assert_eq!(quarantined(&mut policy, 60_000, &[1]), []);
    assert_eq!(quarantined(&mut cut_off, 60_000, &[1]), []);
}

#[test]
fn records_after_a_change_contain_only_later_ones() {
    let mut policy = quarantine::CrashCorrelation::default();
    record_crashes(&mut policy, 1, &[&[FATAL]]);
    let (records, change_count) = policy.records_after(at(600), 0);
    assert_eq!(records.len(), 1);
    policy.merge(at(600), &records[0]);
    assert!(policy.records_after(at(600), change_count).0.is_empty());

    record_crashes(&mut policy, 2, &[&[FATAL]]);
    let (records, _) = policy.records_after(at(1_100), change_count);
    assert_eq!(records.len(), 1);
    assert_eq!(records[0].crash, crash(2));
}

#[test]
fn quarantine_and_records_expire() {
    let mut policy = quarantine::CrashCorrelation::default();
    let last_ms = record_crashes(&mut policy, 1, &[&[FATAL], &[FATAL], &[FATAL]]);
    assert_eq!(quarantined(&mut policy, 5_000, &[FATAL]), [FATAL]);
    let until = policy.quarantined_part(&[part(FATAL)]).unwrap().until;
    let lifetime_ms = 1_800_000;
    assert_eq!(until, at(INTERVAL_MS + lifetime_ms));
    let before_ms = INTERVAL_MS + lifetime_ms - 1;
    assert_eq!(quarantined(&mut policy, before_ms, &[FATAL]), [FATAL]);
    assert_eq!(quarantined(&mut policy, before_ms + 1, &[FATAL]), []);
    let end_ms = last_ms + lifetime_ms;
    policy.review(at(end_ms));
    assert!(policy.records_after(at(end_ms), 0).0.is_empty());
    assert_eq!(policy.len(), 0);
}

/// Neither crashes that don't end nor prompts of any size may use unbounded memory, and ordinary
/// crashes must not end a quarantine.
#[test]
fn table_is_bounded_and_keeps_the_reasons_of_quarantines() {
    let mut policy = quarantine::CrashCorrelation::default();
    record_crashes(&mut policy, 1, &[&[FATAL], &[FATAL], &[FATAL]]);
    assert_eq!(quarantined(&mut policy, 5_000, &[FATAL]), [FATAL]);
    for number in 10..1_000 {
        let lost: Vec<_> = (0..100)
            .map(|other| prompt(&vec![number * 1_000 + other; 100], 6_000, 6_000 + number))
            .collect();
        policy.record_crash(at(7_000), crash(number), &lost);
    }
    assert_eq!(policy.len(), 128);
    let (records, _) = policy.records_after(at(7_000), 0);
    assert!(records.iter().all(|record| record.prompts.len() <= 32));
    let prompts = records.iter().flat_map(|record| &record.prompts);
    assert!(prompts.into_iter().all(|prompt| prompt.parts.len() <= 16));
    assert_eq!(quarantined(&mut policy, 9_000, &[FATAL]), [FATAL]);
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
