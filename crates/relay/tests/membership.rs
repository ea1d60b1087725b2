//! Cells, the links to open, and requests for updates, without a network.

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

/// Maximum number of links of a relay at any size of the fleet: its cell has 24 to 47 relays on
/// average, and the hash distributes them unevenly.
const MAX_LINKS: usize = 80;

fn address(index: usize) -> net::SocketAddr {
    let [.., high, low] = index.to_be_bytes();
    net::SocketAddr::from(([10, 0, high, low], 8_748))
}

/// Returns the member table of one relay that knows all others.
fn member_table(own: usize, relays: usize) -> membership::MemberTable {
    let mut table = membership::MemberTable::new(address(own));
    for index in 0..relays {
        table.record_received(address(index), START);
    }
    table
}

fn versions(routes: u64, directory: u64) -> membership::KnownVersions {
    membership::KnownVersions {
        routes: directory::RouteTableVersion::new(routes),
        directory: directory::DirectoryRevision::new(directory),
    }
}

fn after(millis: u64) -> time::Timestamp {
    START + Duration::from_millis(millis)
}

/// Relays that agree on the fleet: two of each cell read for the others, and all of a small fleet.
#[parameterized(
    single = { 1, 1 },
    small = { 11, 11 },
    one_cell = { 31, 2 },
    hundred = { 100, 8 },
    three_hundred = { 300, 16 },
    target_size = { 2_600, 128 },
)]
fn is_reader_holds_for_few_relays_of_each_cell(relays: usize, expected: usize) {
    let tables: Vec<_> = (0..relays).map(|own| member_table(own, relays)).collect();
    let readers: Vec<_> = (0..relays).filter(|own| tables[*own].is_reader()).collect();
    assert_eq!(readers.len(), expected);
    assert_eq!(tables[0].reader_count(), expected);
    for (own, table) in tables.iter().enumerate() {
        let has_reader = readers
            .iter()
            .any(|reader| *reader == own || table.is_same_cell(address(*reader)));
        assert!(has_reader, "relay {own} has no reader in its cell");
    }
}

/// The members of a cell stay known for a while after they are gone; then others take their place.
#[test]
fn is_reader_passes_on_when_the_readers_expire() {
    let relays = 31;
    let tables: Vec<_> = (0..relays).map(|own| member_table(own, relays)).collect();
    let is_reader = |own: &usize| tables[*own].is_reader();
    let (readers, others): (Vec<_>, Vec<_>) = (0..relays).partition(is_reader);
    let later = after(20_000);
    let successors = others.iter().filter(|own| {
        let mut table = member_table(**own, relays);
        for member in others.iter().filter(|member| member != own) {
            table.record_received(address(*member), later);
        }
        table.remove_expired(later);
        table.is_reader()
    });
    assert_eq!(successors.count(), readers.len());
}

#[parameterized(
    small = { 31 },
    one_cell = { 47 },
)]
fn desired_links_of_small_fleet_include_all_relays(relays: usize) {
    assert_eq!(member_table(3, relays).desired_links().len(), relays - 1);
}

#[parameterized(
    hundred = { 100 },
    three_hundred = { 300 },
    target_size = { 2_600 },
)]
fn desired_links_of_large_fleet_are_bounded_and_connect_it(relays: usize) {
    let fleet_links: Vec<_> = (0..relays)
        .map(|own| member_table(own, relays).desired_links())
        .collect();
    assert!(fleet_links.iter().all(|links| links.len() <= MAX_LINKS));

    let mut reached = BTreeSet::from([0]);
    let mut next = vec![0];
    while let Some(index) = next.pop() {
        for other in 0..relays {
            let is_linked = fleet_links[index].contains(&address(other))
                || fleet_links[other].contains(&address(index));
            if is_linked && reached.insert(other) {
                next.push(other);
            }
        }
    }
    assert_eq!(reached.len(), relays);
}

/// Relays with different estimates of the fleet's size use different depths. Their cells must be
/// nested, or relays would disagree on which targets they share.
#[test]
fn is_same_cell_deeper_cell_is_inside_the_shallower_one() {
    let positions: Vec<_> = (0..200)
        .map(|index| membership::CellPosition::of(&address(index)))
        .collect();
    let deep = membership::CellDepth::for_relays(2_600);
    let shallow = membership::CellDepth::for_relays(300);
    assert!(shallow < deep);
    for first in &positions {
        for second in &positions {
            assert!(!deep.is_same_cell(*first, *second) || shallow.is_same_cell(*first, *second));
        }
    }
}

#[test]
fn remove_expired_removes_relay_without_recent_messages() {
    let mut table = member_table(0, 3);
    table.record_received(address(1), after(10_000));
    table.record_hint(
        after(12_000),
        membership::MemberHint {
            address: address(2),
            age: Duration::from_secs(14),
        },
    );
    table.remove_expired(after(16_000));
    assert_eq!(table.relay_count(), 2);
    // A hint older than the timeout must not add the relay again.
    table.record_hint(
        after(16_000),
        membership::MemberHint {
            address: address(2),
            age: Duration::from_secs(16),
        },
    );
    assert_eq!(table.relay_count(), 2);
}

#[test]
fn sample_hints_of_large_fleet_returns_requested_count() {
    let table = member_table(0, 2_600);
    let mut random = SmallRng::seed_from_u64(7);
    assert_eq!(table.sample_hints(START, &mut random, 24).len(), 24);
}

#[test]
fn should_request_after_timeout_queries_one_peer_per_interval() {
    let mut scheduler = membership::CatchUpScheduler::default();
    let (own, peer) = (versions(4, 10), versions(4, 12));
    assert!(!scheduler.should_request(after(0), own, peer));
    assert!(!scheduler.should_request(after(200), own, peer));
    assert!(scheduler.should_request(after(450), own, peer));
    assert!(!scheduler.should_request(after(460), own, peer));
    assert!(scheduler.should_request(after(1_000), own, peer));
}

/// If the directory changes often, peers are always a little ahead. A relay whose own reader keeps
/// up must not send requests to them.
#[test]
fn should_request_while_own_reader_keeps_up_queries_no_peer() {
    let mut scheduler = membership::CatchUpScheduler::default();
    for step in 0..20 {
        let own = versions(4, 10 + step);
        let peer = versions(4, 12 + step);
        assert!(!scheduler.should_request(after(step * 100), own, peer));
    }
}

/// Guards against relays that send cold targets a share of what they know just after their start, when
/// they know few others and few know them.
#[test]
fn cold_rank_is_unknown_before_contact_with_the_fleet() {
    let at = |millis| time::Timestamp::ZERO + Duration::from_millis(millis);
    let seeds = [address(1), address(2)];
    let mut table = membership::MemberTable::new(address(3));
    table.add_seeds(&seeds);
    assert_eq!(table.cold_rank(at(4_000), &"target", false), None);
    table.record_received(address(1), at(1_000));
    assert_eq!(table.cold_rank(at(2_900), &"target", false), None);
    let place = table.cold_rank(at(3_000), &"target", false).unwrap();
    assert_eq!(place.relays, 3);
    let mut seed = membership::MemberTable::new(address(1));
    seed.add_seeds(&seeds);
    assert!(seed.cold_rank(at(3_000), &"target", false).is_some());
}

/// Guards against shares of a large fleet's cold target that go to relays which do not use it.
#[test]
fn cold_rank_of_a_cell_orders_its_relays() {
    let relays = 100;
    let tables = (0..relays).map(|own| member_table(own, relays));
    let places = tables.filter_map(|table| table.cold_rank(START, &"target", true));
    let mut ranks: Vec<_> = places
        .map(|place| {
            assert!(place.relays < relays);
            place.rank
        })
        .collect();
    ranks.sort_unstable();
    assert!(!ranks.is_empty());
    assert_eq!(ranks, (0..ranks.len()).collect::<Vec<_>>());
}
