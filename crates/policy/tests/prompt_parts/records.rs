//! Tests of what is known of crashes: merging, expiry and bounds.

use std::time::Duration;

use kingcupfall_core::time;
use kingcupfall_policy::quarantine;
use kingcupfall_policy::quarantine::PromptPartPolicy;
use yare::parameterized;

use crate::fixtures::FATAL;
use crate::fixtures::HEARING_MS;
use crate::fixtures::INTERVAL_MS;
use crate::fixtures::RUN_TIME_MS;
use crate::fixtures::at;
use crate::fixtures::crash;
use crate::fixtures::part;
use crate::fixtures::prompt;
use crate::fixtures::quarantined;
use crate::fixtures::record_crashes;

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
fn crash_that_another_relay_has_disproved_does_not_count() {
    let mut policy = quarantine::CrashCorrelation::default();
    record_crashes(&mut policy, 1, &[&[FATAL], &[FATAL], &[FATAL]]);
    let (records, _) = policy.records_after(at(1_600), 0);
    let mut other = quarantine::CrashCorrelation::default();
    for record in &records {
        other.merge(at(1_600), record);
    }
    let disproved = other.record_response(at(1_700), crash(2), at(1_650));
    policy.merge(at(1_700), &disproved.unwrap());
    assert_eq!(quarantined(&mut policy, 4_000, &[FATAL]), []);
    let (records, _) = policy.records_after(at(4_000), 0);
    assert!(records[1].is_disproved);
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
