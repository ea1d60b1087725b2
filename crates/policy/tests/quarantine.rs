//! Tests of suspicion and quarantine of requests that crash targets.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_policy::quarantine;
use kingcupfall_policy::quarantine::QuarantinePolicy;

const NOW: time::Timestamp = time::Timestamp::from_micros(1_000_000);

#[test]
fn first_crash_makes_request_suspect() {
    let mut policy = quarantine::SuspectQuarantine::default();

    policy.record_crash(NOW, request(1), crash(1));

    assert_eq!(
        policy.status(NOW, request(1)),
        quarantine::QuarantineStatus::Suspect
    );
    assert_eq!(
        policy.status(NOW, request(2)),
        quarantine::QuarantineStatus::Clear
    );
}

#[test]
fn second_crash_quarantines_request() {
    let mut policy = quarantine::SuspectQuarantine::default();

    policy.record_crash(NOW, request(1), crash(1));
    policy.record_crash(NOW, request(1), crash(2));

    assert!(is_quarantined(&mut policy, NOW, request(1)));
}

#[test]
fn crash_reported_twice_counts_once() {
    let mut policy = quarantine::SuspectQuarantine::default();

    policy.record_crash(NOW, request(1), crash(1));
    policy.record_crash(NOW, request(1), crash(1));

    assert!(!is_quarantined(&mut policy, NOW, request(1)));
}

#[test]
fn completion_clears_suspicion_but_not_quarantine() {
    let mut policy = quarantine::SuspectQuarantine::default();
    policy.record_crash(NOW, request(1), crash(1));
    policy.record_crash(NOW, request(2), crash(2));
    policy.record_crash(NOW, request(2), crash(3));

    policy.record_completion(NOW, request(1));
    policy.record_completion(NOW, request(2));

    assert_eq!(
        policy.status(NOW, request(1)),
        quarantine::QuarantineStatus::Clear
    );
    assert!(is_quarantined(&mut policy, NOW, request(2)));
}

/// A peer that has not seen the completion reports the crash again with each heartbeat.
#[test]
fn completed_request_is_not_suspect_for_the_same_crash_again() {
    let mut policy = quarantine::SuspectQuarantine::default();
    let mut peer = quarantine::SuspectQuarantine::default();
    peer.record_crash(NOW, request(1), crash(1));
    for record in peer.records(NOW) {
        policy.merge(NOW, &record);
    }
    policy.record_completion(NOW, request(1));
    for record in peer.records(NOW) {
        policy.merge(NOW, &record);
    }
    assert_eq!(
        policy.status(NOW, request(1)),
        quarantine::QuarantineStatus::Clear
    );
    assert!(policy.records(NOW).is_empty());

    policy.record_crash(NOW, request(1), crash(2));
    assert_eq!(
        policy.status(NOW, request(1)),
        quarantine::QuarantineStatus::Suspect
    );
}

#[test]
fn records_after_a_change_contain_only_later_ones() {
    let mut policy = quarantine::SuspectQuarantine::default();
    policy.record_crash(NOW, request(1), crash(1));
    let (records, change_count) = policy.records_after(NOW, 0);
    assert_eq!(records.len(), 1);

    policy.merge(NOW, &records[0]);
    assert!(policy.records_after(NOW, change_count).0.is_empty());

    policy.record_crash(NOW, request(2), crash(2));
    let (records, change_count) = policy.records_after(NOW, change_count);
    assert_eq!(records.len(), 1);
    assert_eq!(records[0].fingerprint, request(2));

    policy.record_crash(NOW, request(1), crash(3));
    let (records, _) = policy.records_after(NOW, change_count);
    assert_eq!(records[0].crashes, [1, 3].map(|number| Some(crash(number))));
}

#[test]
fn entries_expire_after_their_duration() {
    let mut policy = quarantine::SuspectQuarantine::default();
    policy.record_crash(NOW, request(1), crash(1));
    policy.record_crash(NOW, request(2), crash(2));
    policy.record_crash(NOW, request(2), crash(3));

    let after_suspicion = NOW + Duration::from_secs(601);
    let after_quarantine = NOW + Duration::from_secs(1_801);

    assert_eq!(
        policy.status(after_suspicion, request(1)),
        quarantine::QuarantineStatus::Clear
    );
    assert!(is_quarantined(&mut policy, after_suspicion, request(2)));
    assert!(!is_quarantined(&mut policy, after_quarantine, request(2)));
}

#[test]
fn merged_records_quarantine_in_any_order() {
    let mut first = quarantine::SuspectQuarantine::default();
    let mut second = quarantine::SuspectQuarantine::default();
    first.record_crash(NOW, request(1), crash(1));
    second.record_crash(NOW, request(1), crash(2));

    let from_first = first.records(NOW);
    let from_second = second.records(NOW);
    from_second
        .iter()
        .for_each(|record| first.merge(NOW, record));
    from_first
        .iter()
        .for_each(|record| second.merge(NOW, record));
    from_first
        .iter()
        .for_each(|record| second.merge(NOW, record));

    assert!(is_quarantined(&mut first, NOW, request(1)));
    assert!(is_quarantined(&mut second, NOW, request(1)));
}

#[test]
fn exchanged_records_expire_without_extension() {
    let mut first = quarantine::SuspectQuarantine::default();
    let mut second = quarantine::SuspectQuarantine::default();
    first.record_crash(NOW, request(1), crash(1));

    let mut now = NOW;
    for _ in 0..100 {
        now = now + Duration::from_secs(10);
        first
            .records(now)
            .iter()
            .for_each(|record| second.merge(now, record));
        second
            .records(now)
            .iter()
            .for_each(|record| first.merge(now, record));
    }

    assert!(first.records(now).is_empty());
    assert!(second.records(now).is_empty());
}

#[test]
fn full_table_stays_bounded_and_keeps_quarantines() {
    let mut policy = quarantine::SuspectQuarantine::default();
    policy.record_crash(NOW, request(0), crash(1));
    policy.record_crash(NOW, request(0), crash(2));

    for number in 1..10_000 {
        policy.record_crash(NOW, request(number), crash(number + 2));
    }

    assert!(policy.len() <= 4_096);
    assert!(is_quarantined(&mut policy, NOW, request(0)));
}

fn is_quarantined(
    policy: &mut quarantine::SuspectQuarantine,
    now: time::Timestamp,
    request: work::RequestFingerprint,
) -> bool {
    matches!(
        policy.status(now, request),
        quarantine::QuarantineStatus::Quarantined { .. }
    )
}

fn request(number: u64) -> work::RequestFingerprint {
    work::RequestFingerprint::new(number)
}

fn crash(number: u64) -> ids::CrashId {
    ids::CrashId::from_u128(u128::from(number))
}
