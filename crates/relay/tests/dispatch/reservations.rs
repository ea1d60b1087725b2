//! Claims of room among several processes.

use std::rc::Rc;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_relay::directory;
use kingcupfall_relay::dispatch;
use yare::parameterized;

use crate::fixtures;

/// Time that a message takes from one process to another.
const DELAY: Duration = Duration::from_millis(5);

/// Steps in which time passes.
const STEP: Duration = Duration::from_millis(1);

/// A message on its way.
struct SentMessage {
    due: time::Timestamp,
    to: usize,
    event: dispatch::DispatchEvent,
}

/// Processes that tell each other loads and claims.
struct Fleet {
    now: time::Timestamp,
    names: Vec<ids::VmName>,
    dispatchers: Vec<dispatch::Dispatcher>,
    messages: Vec<SentMessage>,
    /// Processes that say nothing.
    silent: Vec<usize>,
    /// Placements and shelters, by process, call and target.
    placed: Vec<(usize, ids::CallId, String)>,
    refused: usize,
}

impl Fleet {
    fn new(size: usize, engines: &[&str]) -> Self {
        let names: Vec<String> = (0..size).map(|index| format!("relay-{index}")).collect();
        let mut fleet = Self {
            now: fixtures::START,
            dispatchers: names
                .iter()
                .map(|name| fixtures::dispatcher_of(name, engines))
                .collect(),
            names: names.iter().map(|name| name.parse().unwrap()).collect(),
            messages: Vec::new(),
            silent: Vec::new(),
            placed: Vec::new(),
            refused: 0,
        };
        for index in 0..size {
            for peer in fleet.names.clone() {
                if peer != fleet.names[index] {
                    let loads = Vec::new();
                    fleet.handle(
                        index,
                        dispatch::DispatchEvent::PeerLoadsReplaced { peer, loads },
                    );
                }
            }
        }
        fleet
    }

    fn handle(&mut self, index: usize, event: dispatch::DispatchEvent) {
        let effects = self.dispatchers[index].handle(self.now, event);
        let due = self.now + DELAY;
        let peer = self.names[index].clone();
        for effect in effects {
            match effect {
                dispatch::DispatchEffect::Place { call, placement } => {
                    let target = placement.target.key.name.to_string();
                    self.placed.push((index, call, target));
                }
                dispatch::DispatchEffect::MigrationTarget {
                    call,
                    target: Some(target),
                } => self.placed.push((index, call, target.key.name.to_string())),
                dispatch::DispatchEffect::Refuse { .. } => self.refused += 1,
                dispatch::DispatchEffect::Send { peer: to, message } => {
                    let to = self.names.iter().position(|name| *name == to).unwrap();
                    let peer = peer.clone();
                    let event = dispatch::DispatchEvent::ReservationReceived { peer, message };
                    self.messages.push(SentMessage { due, to, event });
                }
                dispatch::DispatchEffect::MigrationTarget { target: None, .. }
                | dispatch::DispatchEffect::Migrate { .. }
                | dispatch::DispatchEffect::DropCopy { .. }
                | dispatch::DispatchEffect::HealthChanged { .. } => {}
            }
        }
        let loads = self.dispatchers[index].take_changed_loads(self.now);
        for to in (0..self.names.len()).filter(|to| *to != index && !loads.is_empty()) {
            let peer = peer.clone();
            let loads = loads.clone();
            let event = dispatch::DispatchEvent::PeerLoadsUpdated { peer, loads };
            self.messages.push(SentMessage { due, to, event });
        }
    }

    fn arrive(&mut self, index: usize, call: u64, demand: dispatch::CallDemand) {
        let call = ids::CallId::new(call);
        let demand = Box::new(demand);
        self.handle(index, dispatch::DispatchEvent::Arrived { call, demand });
    }

    /// Lets time pass, and messages arrive.
    fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            let (due, later) = std::mem::take(&mut self.messages)
                .into_iter()
                .partition(|message| message.due <= self.now);
            self.messages = later;
            for message in due {
                if !self.silent.contains(&message.to) {
                    self.handle(message.to, message.event);
                }
            }
            for index in 0..self.names.len() {
                self.handle(index, dispatch::DispatchEvent::Tick);
            }
        }
    }

    fn count_at(&self, target: &str) -> u64 {
        let placed = self.placed.iter().filter(|(_, _, name)| name == target);
        placed.count() as u64
    }
}

fn patient_stream() -> dispatch::CallDemand {
    dispatch::CallDemand {
        target_latency: Duration::from_secs(30),
        ..fixtures::stream(400)
    }
}

/// Streams of the tests that an engine's memory holds.
fn most_streams() -> u64 {
    fixtures::MEMORY_TOKENS / fixtures::stream(400).prompt_tokens
}

/// Load: eight processes get a stream each at the same moment, and one engine has room for six.
#[test]
fn arrive_at_all_processes_at_once_does_not_overrun_an_engine() {
    let mut fleet = Fleet::new(8, &["one"]);
    for index in 0..8 {
        fleet.arrive(index, 1, patient_stream());
    }
    fleet.pass(Duration::from_millis(200));
    assert!(fleet.count_at("one") <= most_streams());
    assert!(fleet.count_at("one") >= most_streams() - 1);
}

/// Load: eight processes, each with prompts that wait for memory, when an engine starts. They all
/// see it at once.
#[test]
fn start_of_an_engine_is_not_overrun_by_all_processes() {
    let mut fleet = Fleet::new(8, &["full"]);
    for call in 0..3 {
        for index in 0..8 {
            fleet.arrive(index, call, patient_stream());
        }
    }
    fleet.pass(Duration::from_millis(200));
    let waiting: usize = fleet
        .dispatchers
        .iter()
        .map(|one| one.call_counts().0)
        .sum();
    assert!(waiting as u64 > 2 * most_streams(), "{waiting}");

    for index in 0..8 {
        let record = Rc::new(fixtures::engine("new"));
        let changes = vec![directory::TargetChange::Usable(record)];
        fleet.handle(index, dispatch::DispatchEvent::TargetsChanged(changes));
    }
    fleet.pass(Duration::from_millis(200));
    assert!(fleet.count_at("new") <= most_streams());
    assert!(fleet.count_at("new") > 3);
}

/// Load: an engine leaves whose streams belong to four processes, and the other one has room for
/// some of them only.
#[test]
fn shelter_wanted_by_all_processes_at_once_does_not_overrun_an_engine() {
    let mut fleet = Fleet::new(4, &["one"]);
    for index in 0..4 {
        fleet.arrive(index, 1, patient_stream());
        fleet.pass(Duration::from_millis(20));
    }
    let added = Rc::new(fixtures::engine("two"));
    for index in 0..4 {
        let changes = vec![directory::TargetChange::Usable(Rc::clone(&added))];
        fleet.handle(index, dispatch::DispatchEvent::TargetsChanged(changes));
    }
    for call in 2..6 {
        fleet.arrive(0, call, patient_stream());
        fleet.pass(Duration::from_millis(20));
    }
    let before = fleet.count_at("two");
    for index in 0..4 {
        let leaving = directory::TargetChange::Leaving(fixtures::engine("one").key);
        fleet.handle(
            index,
            dispatch::DispatchEvent::TargetsChanged(vec![leaving]),
        );
        let call = ids::CallId::new(1);
        let tried = Vec::new();
        fleet.handle(
            index,
            dispatch::DispatchEvent::MigrationRequested { call, tried },
        );
    }
    fleet.pass(Duration::from_millis(200));
    assert!(before >= 3, "{before}");
    assert!(fleet.count_at("two") > before);
    assert!(fleet.count_at("two") <= most_streams());
}

/// Room that a stream gives back is taken by a call that waits in another process, at once.
#[test]
fn end_of_a_stream_lets_a_call_of_another_process_start() {
    let mut fleet = Fleet::new(3, &["one"]);
    for call in 0..3 {
        for index in 0..3 {
            fleet.arrive(index, call, patient_stream());
            fleet.pass(Duration::from_millis(10));
        }
    }
    let before = fleet.count_at("one");
    let (index, call, _) = fleet.placed[0];
    let ended = dispatch::DispatchEvent::CallEnded { call };
    fleet.handle(index, ended);
    fleet.pass(Duration::from_millis(40));
    assert_eq!(fleet.count_at("one"), before + 1);
}

/// An arbiter that stands still delays its engines' calls, and no more.
#[parameterized(
    first = { 0 },
    second = { 1 },
)]
fn claim_at_a_silent_arbiter(silent: usize) {
    let names: Vec<_> = (0..12).map(|index| format!("e{index}")).collect();
    let engines: Vec<_> = names.iter().map(|name| &**name).collect();
    let mut fleet = Fleet::new(2, &engines);
    fleet.silent.push(silent);
    for call in 0..12 {
        fleet.arrive(1 - silent, call, patient_stream());
    }
    let at_once = fleet.placed.len();
    assert!(at_once < 12);
    fleet.pass(Duration::from_millis(80));
    assert_eq!(fleet.placed.len(), 12);
}

/// The caller has left before the arbiter answers: the room is not taken.
#[test]
fn end_before_the_answer_places_nothing() {
    let names: Vec<_> = (0..12).map(|index| format!("e{index}")).collect();
    let engines: Vec<_> = names.iter().map(|name| &**name).collect();
    let mut fleet = Fleet::new(2, &engines);
    for call in 0..12 {
        fleet.arrive(0, call, patient_stream());
    }
    let at_once = fleet.placed.len();
    for call in 0..12 {
        let call = ids::CallId::new(call);
        fleet.handle(0, dispatch::DispatchEvent::CallEnded { call });
    }
    fleet.pass(Duration::from_millis(100));
    assert_eq!(fleet.placed.len(), at_once);
    let counts: Vec<_> = fleet
        .dispatchers
        .iter()
        .map(|one| one.call_counts())
        .collect();
    assert_eq!(counts, [(0, 0), (0, 0)]);
}
