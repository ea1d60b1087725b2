//! Which targets may be used, after lists, changes, outages and restarts.

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
    }
}

fn draining(name: &str, started_ms: u64, revision: u64) -> directory::TargetRecord {
    directory::TargetRecord {
        state: directory::TargetState::Draining,
        ..record(name, started_ms, revision)
    }
}

fn table() -> directory::TargetTable {
    let mut table = directory::TargetTable::default();
    let records = ["a", "b", "c", "d"].map(|name| record(name, 1, 10));
    table.list(START, directory::DirectoryRevision::new(10), records.into());
    table
}

fn names(table: &directory::TargetTable) -> String {
    let mut names: Vec<_> = table
        .records()
        .map(|record| record.key.name.to_string())
        .collect();
    names.sort();
    names.concat()
}

fn usable(changes: &[directory::TargetChange]) -> usize {
    let is_usable =
        |change: &&directory::TargetChange| matches!(change, directory::TargetChange::Usable(_));
    changes.iter().filter(is_usable).count()
}

#[test]
fn write_draining_life_never_returns() {
    let mut table = table();
    let changes = table.change(START, vec![draining("a", 1, 11)], Vec::new());
    assert!(matches!(
        changes.as_slice(),
        [directory::TargetChange::Leaving(_)]
    ));

    let changes = table.change(START, vec![record("a", 1, 12)], Vec::new());
    assert_eq!(usable(&changes), 0);
}

#[test]
fn write_new_life_of_a_drained_name_is_usable() {
    let mut table = table();
    table.change(START, vec![draining("a", 1, 11)], Vec::new());
    let changes = table.change(START, vec![record("a", 2, 12)], Vec::new());
    assert_eq!(usable(&changes), 1);
}

#[test]
fn write_removed_record_written_again_is_usable() {
    let mut table = table();
    let revision = directory::DirectoryRevision::new(11);
    let changes = table.change(START, Vec::new(), vec![("a".parse().unwrap(), revision)]);
    assert!(matches!(
        changes.as_slice(),
        [directory::TargetChange::Gone(_)]
    ));

    let changes = table.change(START, vec![record("a", 1, 12)], Vec::new());
    assert_eq!(usable(&changes), 1);
}

#[test]
fn list_older_revision_changes_nothing() {
    let mut table = table();
    let old = directory::DirectoryRevision::new(9);
    assert!(table.list(START, old, Vec::new()).is_empty());
    assert_eq!(names(&table), "abcd");
}

#[test]
fn list_without_a_target_removes_it() {
    let mut table = table();
    let records = ["b", "c", "d"].map(|name| record(name, 1, 10)).into();
    table.list(START, directory::DirectoryRevision::new(12), records);
    assert_eq!(names(&table), "bcd");
}

#[parameterized(
    back_in_time = { 1_000, "abcd" },
    still_missing = { 2_600, "d" },
)]
fn expire_after_an_outage(after_ms: u64, expected: &str) {
    let mut table = table();
    table.lose();
    let returned = START + Duration::from_secs(4);
    table.regain(returned);
    let left = vec![record("d", 1, 10)];
    table.list(returned, directory::DirectoryRevision::new(20), left);
    assert_eq!(names(&table), "abcd");

    table.expire(returned + Duration::from_millis(after_ms));
    assert_eq!(names(&table), expected);
}

#[test]
fn change_removal_of_most_targets_at_once_waits_for_their_return() {
    let mut table = table();
    let revision = directory::DirectoryRevision::new(11);
    let removed = ["a", "b", "c"].map(|name| (name.parse().unwrap(), revision));
    table.change(START, Vec::new(), removed.into());
    assert_eq!(names(&table), "abcd");
}

#[test]
fn depart_news_of_a_peer_is_final_when_the_target_said_so() {
    let mut table = table();
    let departure = directory::TargetDeparture {
        revision: directory::DirectoryRevision::new(11),
        is_final: true,
    };
    let changes = table.depart(&[(record("a", 1, 10).key, departure)]);
    assert_eq!(changes.len(), 1);
    let changes = table.change(START, vec![record("a", 1, 12)], Vec::new());
    assert_eq!(usable(&changes), 0);
}

/// One of two tables lags behind; what it is handed makes them equal, and holds no more than what
/// changed.
#[test]
fn difference_brings_an_older_table_up_to_date() {
    let mut old = table();
    let mut new = table();
    new.change(START, vec![record("e", 1, 12)], Vec::new());
    new.change(START, vec![record("b", 2, 13)], Vec::new());
    let removed = vec![("a".parse().unwrap(), directory::DirectoryRevision::new(14))];
    new.change(START, Vec::new(), removed);
    new.change(START, vec![draining("c", 1, 15)], Vec::new());

    let difference = new.difference(old.revision());
    assert_eq!(difference.written.len(), 3);
    assert_eq!(difference.removed.len(), 1);
    let changes = old.catch_up(START, difference);
    assert_eq!(names(&old), names(&new));
    assert_eq!(old.revision(), new.revision());
    assert_eq!(usable(&changes), 2);
}

#[test]
fn difference_for_an_empty_table_is_whole() {
    let new = table();
    let difference = new.difference(directory::DirectoryRevision::default());
    assert_eq!(difference.since, None);
    let mut old = directory::TargetTable::default();
    assert_eq!(usable(&old.catch_up(START, difference)), 4);
}

/// What came late must not take back what the table has learnt since.
#[test]
fn catch_up_older_difference_changes_nothing() {
    let mut table = table();
    let difference = table.difference(directory::DirectoryRevision::new(9));
    table.change(START, vec![draining("a", 1, 11)], Vec::new());
    assert!(table.catch_up(START, difference).is_empty());
    assert_eq!(table.revision(), directory::DirectoryRevision::new(11));
}
