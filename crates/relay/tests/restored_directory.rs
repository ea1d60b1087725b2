//! Which targets may be used after the directory has returned from an older copy of itself.

use std::time::Duration;

use kingcupfall_core::time;
use kingcupfall_relay::directory;
use yare::parameterized;

const START: time::Timestamp = time::Timestamp::from_micros(60_000_000);

/// Time within which targets that live are registered again.
const REREGISTRATION_TIME: Duration = Duration::from_secs(2);

const fn revision(era: u64, number: u64) -> directory::DirectoryRevision {
    directory::DirectoryRevision::in_era(era, number)
}

fn record(name: &str, era: u64, number: u64) -> directory::TargetRecord {
    directory::TargetRecord {
        key: directory::TargetKey {
            name: name.parse().unwrap(),
            started_ms: 1,
        },
        service: "report".parse().unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "a".parse().unwrap(),
        slots: 6,
        state: directory::TargetState::Ready,
        revision: revision(era, number),
        cold_for: Duration::ZERO,
    }
}

/// Returns a table of era 1 with the targets `a` to `d`.
fn table() -> directory::TargetTable {
    let mut table = directory::TargetTable::default();
    let records = ["a", "b", "c", "d"].map(|name| record(name, 1, 50));
    table.apply_list(START, revision(1, 90), records.into());
    table
}

fn restore(table: &mut directory::TargetTable, names: &[&str]) -> Vec<directory::TargetChange> {
    let records = names.iter().map(|name| record(name, 2, 40)).collect();
    table.apply_list(START, revision(2, 60), records)
}

fn is_known(table: &directory::TargetTable, name: &str) -> bool {
    table
        .records()
        .any(|record| record.key.name.as_str() == name)
}

#[test]
fn revision_of_a_later_era_is_newer() {
    assert!(revision(2, 1) > revision(1, u64::from(u32::MAX)));
    assert!(revision(2, 7) > revision(2, 6));
    assert_eq!((revision(3, 9).era(), revision(3, 9).get()), (3, 9));
}

#[test]
fn target_missing_in_the_copy_is_kept_until_it_had_time_to_register() {
    let mut table = table();
    restore(&mut table, &["a", "b", "c"]);
    assert!(is_known(&table, "d"));
    assert_eq!(table.remove_expired(START + REREGISTRATION_TIME), []);
    let later = START + 2 * REREGISTRATION_TIME;
    assert_eq!(table.remove_expired(later).len(), 1);
    assert!(!is_known(&table, "d"));
}

#[test]
fn target_written_again_stays() {
    let mut table = table();
    restore(&mut table, &["a", "b", "c"]);
    table.apply_changes(START, vec![record("d", 2, 61)], Vec::new());
    table.remove_expired(START + 3 * REREGISTRATION_TIME);
    assert!(is_known(&table, "d"));
}

/// The copy is from before the removal of a target. Its record there brings nothing back; a record
/// that the target writes afterwards does.
#[parameterized(
    read_from_the_store = { false },
    received_from_a_peer = { true },
)]
fn target_removed_before_is_not_usable_by_its_record_in_the_copy(is_from_peer: bool) {
    let mut table = table();
    table.apply_changes(
        START,
        Vec::new(),
        vec![("a".parse().unwrap(), revision(1, 91))],
    );
    let changes = match is_from_peer {
        false => restore(&mut table, &["a", "b", "c", "d"]),
        true => {
            let delta = directory::TargetDelta {
                since: Some(revision(1, 90)),
                revision: revision(2, 60),
                written: ["a", "b", "c", "d"].map(|name| record(name, 2, 40)).into(),
                removed: Vec::new(),
                is_confirmed: true,
            };
            table.apply_delta(START, delta)
        }
    };
    let usable = changes.iter().filter(|change| {
        matches!(change, directory::TargetChange::Usable(record) if record.key.name.as_str() == "a")
    });
    assert_eq!(usable.count(), 0);
    let changes = table.apply_changes(START, vec![record("a", 2, 62)], Vec::new());
    assert!(matches!(&changes[..], [directory::TargetChange::Usable(_)]));
}

/// A peer that has not seen the new era must not bring the old state back.
#[test]
fn delta_of_an_earlier_era_is_ignored() {
    let mut table = table();
    restore(&mut table, &["a", "b", "c", "d"]);
    let old = directory::TargetDelta {
        since: Some(revision(1, 80)),
        revision: revision(1, 99),
        written: vec![record("e", 1, 99)],
        removed: vec![("b".parse().unwrap(), revision(1, 98))],
        is_confirmed: true,
    };
    assert_eq!(table.apply_delta(START, old), []);
    assert_eq!(table.revision(), revision(2, 60));
    assert!(is_known(&table, "b") && !is_known(&table, "e"));
}
