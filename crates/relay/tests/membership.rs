//! Cells, links, and what is asked of peers, without a network.

use std::collections::BTreeSet;
use std::net;
use std::time::Duration;

use kingcupfall_core::time;
use kingcupfall_relay::directory;
use kingcupfall_relay::membership;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use yare::parameterized;

const START: time::Timestamp = time::Timestamp::from_micros(60_000_000);

/// Links that a process may have at any size of the fleet: its cell has 24 to 47 processes on
/// average, and a hash spreads them unevenly.
const MOST_LINKS: usize = 80;

fn address(index: usize) -> net::SocketAddr {
    let [.., high, low] = index.to_be_bytes();
    net::SocketAddr::from(([10, 0, high, low], 8_748))
}

/// Returns the book of one process that knows all others.
fn book(own: usize, processes: usize) -> membership::MemberBook {
    let mut book = membership::MemberBook::new(address(own));
    for index in 0..processes {
        book.hear(address(index), START);
    }
    book
}

fn known(routes: u64, directory: u64) -> membership::KnownState {
    membership::KnownState {
        routes: directory::TableVersion::new(routes),
        directory: directory::DirectoryRevision::new(directory),
    }
}

fn after(millis: u64) -> time::Timestamp {
    START + Duration::from_millis(millis)
}

#[parameterized(
    small = { 31 },
    one_cell = { 47 },
)]
fn wanted_small_fleet_links_all(processes: usize) {
    assert_eq!(book(3, processes).wanted().len(), processes - 1);
}

#[parameterized(
    hundred = { 100 },
    three_hundred = { 300 },
    target_size = { 2_600 },
)]
fn wanted_large_fleet_is_bounded_and_connected(processes: usize) {
    let wanted: Vec<_> = (0..processes)
        .map(|own| book(own, processes).wanted())
        .collect();
    assert!(wanted.iter().all(|wanted| wanted.len() <= MOST_LINKS));

    let mut reached = BTreeSet::from([0]);
    let mut next = vec![0];
    while let Some(index) = next.pop() {
        for other in 0..processes {
            let is_linked =
                wanted[index].contains(&address(other)) || wanted[other].contains(&address(index));
            if is_linked && reached.insert(other) {
                next.push(other);
            }
        }
    }
    assert_eq!(reached.len(), processes);
}

/// Processes that judge the size differently have cells of which one contains the other.
#[test]
fn is_same_deeper_cell_lies_in_the_shallower_one() {
    let positions: Vec<_> = (0..200)
        .map(|index| membership::CellPosition::of(&address(index)))
        .collect();
    let deep = membership::CellDepth::for_processes(2_600);
    let shallow = membership::CellDepth::for_processes(300);
    assert!(shallow < deep);
    for first in &positions {
        for second in &positions {
            assert!(!deep.is_same(*first, *second) || shallow.is_same(*first, *second));
        }
    }
}

#[test]
fn forget_process_that_nobody_hears() {
    let mut book = book(0, 3);
    book.hear(address(1), after(10_000));
    book.take_hint(
        after(12_000),
        membership::MemberHint {
            address: address(2),
            age: Duration::from_secs(14),
        },
    );
    book.forget(after(16_000));
    assert_eq!(book.processes(), 2);
    // An old hint does not bring it back.
    book.take_hint(
        after(16_000),
        membership::MemberHint {
            address: address(2),
            age: Duration::from_secs(16),
        },
    );
    assert_eq!(book.processes(), 2);
}

#[test]
fn hints_do_not_grow_with_the_fleet() {
    let book = book(0, 2_600);
    let mut random = SmallRng::seed_from_u64(7);
    assert_eq!(book.hints(START, &mut random, 24).len(), 24);
}

#[test]
fn note_asks_one_peer_after_the_patience() {
    let mut catch_up = membership::CatchUp::default();
    let (own, peer) = (known(4, 10), known(4, 12));
    assert!(!catch_up.note(after(0), own, peer));
    assert!(!catch_up.note(after(200), own, peer));
    assert!(catch_up.note(after(450), own, peer));
    assert!(!catch_up.note(after(460), own, peer));
    assert!(catch_up.note(after(1_000), own, peer));
}

/// A busy directory: peers are always a little ahead, but this process follows by itself.
#[test]
fn note_asks_nobody_while_the_own_reader_follows() {
    let mut catch_up = membership::CatchUp::default();
    for step in 0..20 {
        let own = known(4, 10 + step);
        let peer = known(4, 12 + step);
        assert!(!catch_up.note(after(step * 100), own, peer));
    }
}
