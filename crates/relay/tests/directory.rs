//! Which targets may be used after lists, changes, directory outages and restarts of targets.

use std::time::Duration;

use kingcupfall_core::time;
use kingcupfall_relay::directory;
use yare::parameterized;

const START: time::Timestamp = time::Timestamp::from_micros(60_000_000);

fn record(name: &str, started_ms: u64, revision: u64) -> directory::TargetRecord {
    directory::TargetRecord {
        key: directory::TargetKey {
            name: name.parse().unwrap(),
            started_ms,
        },
        service: "report".parse().unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "a".parse().unwrap(),
        slots: 6,
        state: directory::TargetState::Ready,
        revision: directory::DirectoryRevision::new(revision),
        cold_for: Duration::ZERO,
    }
}

fn draining_record(name: &str, started_ms: u64, revision: u64) -> directory::TargetRecord {
    directory::TargetRecord {
        state: directory::TargetState::Draining,
        ..record(name, started_ms, revision)
    }
}

/// Returns a table with the targets `a` to `d`, listed at revision 10.
fn table() -> directory::TargetTable {
    let mut table = directory::TargetTable::default();
    let records = ["a", "b", "c", "d"].map(|name| record(name, 1, 10));
    table.apply_list(START, directory::DirectoryRevision::new(10), records.into());
    table
}

/// Returns the names of all targets in the table, sorted and joined.
fn joined_names(table: &directory::TargetTable) -> String {
    let mut names: Vec<_> = table
        .records()
        .map(|record| record.key.name.to_string())
        .collect();
    names.sort();
    names.concat()
}

fn count_usable(changes: &[directory::TargetChange]) -> usize {
    let is_usable =
        |change: &&directory::TargetChange| matches!(change, directory::TargetChange::Usable(_));
    changes.iter().filter(is_usable).count()
}

#[test]
fn apply_changes_draining_incarnation_is_never_usable_again() {
    let mut table = table();
    let changes = table.apply_changes(START, vec![draining_record("a", 1, 11)], Vec::new());
    assert!(matches!(
        changes.as_slice(),
        [directory::TargetChange::Leaving(_)]
    ));

    let changes = table.apply_changes(START, vec![record("a", 1, 12)], Vec::new());
    assert_eq!(count_usable(&changes), 0);
}

#[test]
fn apply_changes_new_incarnation_of_drained_target_is_usable() {
    let mut table = table();
    table.apply_changes(START, vec![draining_record("a", 1, 11)], Vec::new());
    let changes = table.apply_changes(START, vec![record("a", 2, 12)], Vec::new());
    assert_eq!(count_usable(&changes), 1);
}

#[test]
fn apply_changes_removed_record_written_again_is_usable() {
    let mut table = table();
    let revision = directory::DirectoryRevision::new(11);
    let changes = table.apply_changes(START, Vec::new(), vec![("a".parse().unwrap(), revision)]);
    assert!(matches!(
        changes.as_slice(),
        [directory::TargetChange::Gone(_)]
    ));

    let changes = table.apply_changes(START, vec![record("a", 1, 12)], Vec::new());
    assert_eq!(count_usable(&changes), 1);
}

#[test]
fn apply_list_with_older_revision_changes_nothing() {
    let mut table = table();
    let old = directory::DirectoryRevision::new(9);
    assert!(table.apply_list(START, old, Vec::new()).is_empty());
    assert_eq!(joined_names(&table), "abcd");
}

#[test]
fn apply_list_without_a_target_removes_it() {
    let mut table = table();
    let records = ["b", "c", "d"].map(|name| record(name, 1, 10)).into();
    table.apply_list(START, directory::DirectoryRevision::new(12), records);
    assert_eq!(joined_names(&table), "bcd");
}

#[parameterized(
    within_grace_period = { 1_000, "abcd" },
    after_grace_period = { 2_600, "d" },
)]
fn remove_expired_after_directory_outage(after_ms: u64, expected: &str) {
    let mut table = table();
    table.record_directory_lost();
    let regained_at = START + Duration::from_secs(4);
    table.record_directory_regained(regained_at);
    let listed = vec![record("d", 1, 10)];
    table.apply_list(regained_at, directory::DirectoryRevision::new(20), listed);
    assert_eq!(joined_names(&table), "abcd");

    table.remove_expired(regained_at + Duration::from_millis(after_ms));
    assert_eq!(joined_names(&table), expected);
}

/// Guards against work for a target whose departure is published late in the grace period.
#[parameterized(
    at_its_begin = { 0 },
    near_its_end = { 2_400 },
)]
fn remove_expired_removal_is_not_kept_beyond_the_grace_period(removed_after_ms: u64) {
    let mut table = table();
    table.record_directory_lost();
    let regained_at = START + Duration::from_secs(4);
    table.record_directory_regained(regained_at);
    let removed = ("a".parse().unwrap(), directory::DirectoryRevision::new(11));
    let removed_at = regained_at + Duration::from_millis(removed_after_ms);
    table.apply_changes(removed_at, Vec::new(), vec![removed]);
    assert_eq!(joined_names(&table), "abcd");

    table.remove_expired(regained_at + Duration::from_millis(2_600));
    assert_eq!(joined_names(&table), "bcd");
}

#[test]
fn apply_changes_removal_of_most_targets_keeps_them_for_grace_period() {
    let mut table = table();
    let revision = directory::DirectoryRevision::new(11);
    let removed = ["a", "b", "c"].map(|name| (name.parse().unwrap(), revision));
    table.apply_changes(START, Vec::new(), removed.into());
    assert_eq!(joined_names(&table), "abcd");
}

/// Guards against a record without a start, by another writer, that ends a live target for good.
#[test]
fn apply_changes_record_without_a_start_does_not_end_the_target() {
    let mut table = table();
    for revision in [11, 13] {
        table.apply_changes(START, vec![record("a", 0, revision)], Vec::new());
        assert_eq!(joined_names(&table), "bcd");
        let changes = table.apply_changes(START, vec![record("a", 1, revision + 1)], Vec::new());
        assert_eq!(count_usable(&changes), 1);
    }
    table.apply_changes(START, vec![record("a", 0, 15)], Vec::new());
    table.apply_changes(START, vec![record("a", 0, 16)], Vec::new());
    assert_eq!(joined_names(&table), "bcd");
}

/// Time for which a target serves on after its record was removed.
const DEPARTURE_TIME: Duration = Duration::from_secs(2);

/// Removes `a` to `c`, which are most targets, at one revision.
fn remove_most(table: &mut directory::TargetTable, now: time::Timestamp) {
    let revision = directory::DirectoryRevision::new(11);
    let removed = ["a", "b", "c"].map(|name| (name.parse().unwrap(), revision));
    table.apply_changes(now, Vec::new(), removed.into());
    assert_eq!(joined_names(table), "abcd");
}

/// Guards against work for targets that leave together, beyond the time in which they serve (DRAIN).
#[parameterized(
    calm_directory = { None },
    directory_lost_afterwards = { Some(100) },
)]
fn remove_expired_most_targets_without_an_outage(lost_after_ms: Option<u64>) {
    let mut table = table();
    table.set_departure_time(DEPARTURE_TIME);
    remove_most(&mut table, START);
    if let Some(lost_after_ms) = lost_after_ms {
        table.remove_expired(START + Duration::from_millis(lost_after_ms));
        table.record_directory_lost();
    }
    table.remove_expired(START + DEPARTURE_TIME / 2);
    assert_eq!(joined_names(&table), "d");
}

/// Guards against the loss of targets in an outage that only one call has shown.
#[parameterized(
    within_grace_period = { 2_400, "abcd" },
    after_grace_period = { 2_600, "d" },
)]
fn remove_expired_most_targets_after_a_disturbance(after_ms: u64, expected: &str) {
    let mut table = table();
    table.set_departure_time(DEPARTURE_TIME);
    table.record_directory_disturbed(START);
    remove_most(&mut table, START);
    table.remove_expired(START + Duration::from_millis(after_ms));
    assert_eq!(joined_names(&table), expected);
}

/// Guards against a second grace period for targets that a peer has found to be gone (DRAIN).
#[test]
fn apply_delta_that_removes_most_targets_keeps_none() {
    let mut older = table();
    let mut newer = table();
    remove_most(&mut newer, START);
    newer.remove_expired(START + DEPARTURE_TIME);
    let delta = newer.delta_since(older.revision());
    older.apply_delta(START + DEPARTURE_TIME, delta);
    assert_eq!(joined_names(&older), "d");
}

#[test]
fn apply_departures_final_departure_from_peer_is_not_reversed() {
    let mut table = table();
    let departure = directory::TargetDeparture {
        revision: directory::DirectoryRevision::new(11),
        is_final: true,
    };
    let changes = table.apply_departures(&[(record("a", 1, 10).key, departure)]);
    assert_eq!(changes.len(), 1);
    let changes = table.apply_changes(START, vec![record("a", 1, 12)], Vec::new());
    assert_eq!(count_usable(&changes), 0);
}

/// A delta for an older table must bring it to the state of the newer one, and contain only what
/// changed.
#[test]
fn delta_since_brings_older_table_up_to_date() {
    let mut older = table();
    let mut newer = table();
    newer.apply_changes(START, vec![record("e", 1, 12)], Vec::new());
    newer.apply_changes(START, vec![record("b", 2, 13)], Vec::new());
    let removed = vec![("a".parse().unwrap(), directory::DirectoryRevision::new(14))];
    newer.apply_changes(START, Vec::new(), removed);
    newer.apply_changes(START, vec![draining_record("c", 1, 15)], Vec::new());

    let delta = newer.delta_since(older.revision());
    assert_eq!(delta.written.len(), 3);
    assert_eq!(delta.removed.len(), 1);
    let changes = older.apply_delta(START, delta);
    assert_eq!(joined_names(&older), joined_names(&newer));
    assert_eq!(older.revision(), newer.revision());
    assert_eq!(count_usable(&changes), 2);
}

#[test]
fn delta_since_for_empty_table_is_complete_list() {
    let newer = table();
    let delta = newer.delta_since(directory::DirectoryRevision::default());
    assert_eq!(delta.since, None);
    let mut older = directory::TargetTable::default();
    assert_eq!(count_usable(&older.apply_delta(START, delta)), 4);
}

/// A delta that arrives late must not revert changes that the table has applied since.
#[test]
fn apply_delta_with_older_revision_changes_nothing() {
    let mut table = table();
    let delta = table.delta_since(directory::DirectoryRevision::new(9));
    table.apply_changes(START, vec![draining_record("a", 1, 11)], Vec::new());
    assert!(table.apply_delta(START, delta).is_empty());
    assert_eq!(table.revision(), directory::DirectoryRevision::new(11));
}
