//! Which zones are evacuated, whatever the order in which the directory and peers report it.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_relay::directory;
use yare::parameterized;

const START: time::Timestamp = time::Timestamp::from_micros(60_000_000);

/// Time within which the operator writes an evacuation again that the directory's copy lacks.
const REWRITE_TIME: Duration = Duration::from_secs(2);

/// Time after which such an evacuation is withdrawn.
const LATER: Duration = Duration::from_secs(3);

const fn revision(era: u64, number: u64) -> directory::DirectoryRevision {
    directory::DirectoryRevision::in_era(era, number)
}

fn update(era: u64, number: u64, is_evacuated: bool) -> directory::ZoneEvacuation {
    directory::ZoneEvacuation {
        zone: zone(),
        revision: revision(era, number),
        is_evacuated,
    }
}

fn zone() -> ids::ZoneName {
    "a".parse().unwrap()
}

fn apply(
    table: &mut directory::EvacuationTable,
    now: time::Timestamp,
    update: directory::ZoneEvacuation,
) -> usize {
    table.apply_changes(now, &[update]).len()
}

fn list(table: &mut directory::EvacuationTable, era: u64, number: u64, written: Option<u64>) {
    let zones: Vec<_> = written
        .map(|number| (zone(), revision(era, number)))
        .into_iter()
        .collect();
    table.apply_list(START, revision(era, number), &zones);
}

fn is_evacuated(table: &directory::EvacuationTable) -> bool {
    table.evacuated_zones().contains(&zone())
}

/// Guards against a state that depends on the order in which changes arrive.
#[parameterized(
    withdrawal_last = { update(1, 50, true), update(1, 51, false), false },
    evacuation_last = { update(1, 50, false), update(1, 51, true), true },
    later_era = { update(1, 90, false), update(2, 40, true), true },
)]
fn apply_changes_keeps_the_later_revision(
    earlier: directory::ZoneEvacuation,
    later: directory::ZoneEvacuation,
    expected: bool,
) {
    for updates in [
        [earlier.clone(), later.clone(), earlier.clone()],
        [later.clone(), earlier.clone(), later.clone()],
    ] {
        let mut table = directory::EvacuationTable::default();
        table.apply_changes(START, &updates);
        assert_eq!(is_evacuated(&table), expected);
        assert_eq!(table.entries(), std::slice::from_ref(&later));
    }
}

/// Guards against a withdrawal that is missed while the watch is interrupted, and against a list
/// that is older than what peers have reported.
#[test]
fn apply_list_withdraws_what_it_lacks_unless_that_is_newer() {
    let mut table = directory::EvacuationTable::default();
    apply(&mut table, START, update(1, 50, true));
    list(&mut table, 1, 40, None);
    assert!(is_evacuated(&table));
    list(&mut table, 1, 60, None);
    assert!(!is_evacuated(&table));
    list(&mut table, 1, 70, Some(65));
    assert!(is_evacuated(&table));
    list(&mut table, 1, 69, None);
    assert!(is_evacuated(&table));
}

/// The list is read twice. Guards against requests to a zone whose evacuation the directory has lost until the operator
/// writes it again, against peers that are not told of that in time, and against an evacuation that
/// stays for ever because the operator did not write it.
#[parameterized(
    written_again = { true },
    not_written_again = { false },
)]
fn evacuation_that_the_copy_lacks_stays_during_the_grace(is_written_again: bool) {
    let mut table = directory::EvacuationTable::default();
    apply(&mut table, START, update(1, 50, true));
    list(&mut table, 2, 40, None);
    assert!(is_evacuated(&table));
    assert_eq!(table.remove_expired(START + REWRITE_TIME), []);
    table.apply_list(START + REWRITE_TIME, revision(2, 40), &[]);
    if is_written_again {
        assert_eq!(apply(&mut table, START, update(2, 41, true)), 1);
        assert_eq!(apply(&mut table, START, update(2, 42, true)), 0);
    }
    let changes = table.remove_expired(START + LATER);
    assert_eq!(changes.is_empty(), is_written_again);
    assert_eq!(is_evacuated(&table), is_written_again);
}

/// The copy is from before the withdrawal. Guards against ignoring what the store says now.
#[test]
fn evacuation_that_is_in_the_copy_again_is_in_force() {
    let mut table = directory::EvacuationTable::default();
    apply(&mut table, START, update(1, 50, true));
    apply(&mut table, START, update(1, 90, false));
    list(&mut table, 2, 60, Some(50));
    assert!(is_evacuated(&table));
    apply(&mut table, START, update(2, 61, false));
    assert!(!is_evacuated(&table));
}

/// Guards against peers of the previous era, which undo a withdrawal or prolong the grace period,
/// and against a relay that ends the grace period early as it started after the return.
#[test]
fn evacuation_of_a_peer_of_an_earlier_era_ends_with_the_grace() {
    let mut table = directory::EvacuationTable::default();
    list(&mut table, 2, 40, None);
    assert_eq!(apply(&mut table, START, update(1, 50, true)), 1);
    assert_eq!(apply(&mut table, START, update(1, 51, true)), 0);
    assert_eq!(table.remove_expired(START + LATER).len(), 1);
    let later = START + LATER;
    assert_eq!(apply(&mut table, later, update(1, 52, true)), 0);
    assert!(!is_evacuated(&table));
}

/// Guards against a peer that never learns of a withdrawal, as the relay that could tell it started
/// after it and lists only what is evacuated.
#[test]
fn entries_name_a_withdrawal_that_a_peer_lacks() {
    let mut table = directory::EvacuationTable::default();
    list(&mut table, 1, 60, None);
    assert_eq!(apply(&mut table, START, update(1, 50, true)), 0);
    assert_eq!(table.entries(), [update(1, 60, false)]);
}
