//! Capacity reservations among several relays.

use std::rc::Rc;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_relay::directory;
use kingcupfall_relay::dispatch;
use yare::parameterized;

use crate::fixtures;

/// Delay of a message between two relays.
const MESSAGE_DELAY: Duration = Duration::from_millis(5);

/// Interval at which simulated time advances.
const TICK_INTERVAL: Duration = Duration::from_millis(1);

/// A message in transit.
struct MessageInTransit {
    due_at: time::Timestamp,
    to: usize,
    event: dispatch::DispatchEvent,
}

/// Relays that exchange loads and reservation messages.
struct Fleet {
    now: time::Timestamp,
    names: Vec<ids::VmName>,
    dispatchers: Vec<dispatch::Dispatcher>,
    messages: Vec<MessageInTransit>,
    /// Relays that receive no messages and therefore do not reply.
    silent: Vec<usize>,
    /// Placements and reserved migrations, by relay, call and target.
    placements: Vec<(usize, ids::CallId, String)>,
    refused_count: usize,
}

impl Fleet {
    fn new(size: usize, engines: &[&str]) -> Self {
        let names: Vec<String> = (0..size).map(|index| format!("relay-{index}")).collect();
        let mut fleet = Self {
            now: fixtures::START,
            dispatchers: names
                .iter()
                .map(|name| fixtures::dispatcher_for(name, engines))
                .collect(),
            names: names.iter().map(|name| name.parse().unwrap()).collect(),
            messages: Vec::new(),
            silent: Vec::new(),
            placements: Vec::new(),
            refused_count: 0,
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
        let due_at = self.now + MESSAGE_DELAY;
        let peer = self.names[index].clone();
        for effect in effects {
            match effect {
                dispatch::DispatchEffect::Place { call, placement } => {
                    let target = placement.target.key.name.to_string();
                    self.placements.push((index, call, target));
                }
                dispatch::DispatchEffect::MigrationTarget {
                    call,
                    target: Some(target),
                } => self
                    .placements
                    .push((index, call, target.key.name.to_string())),
                dispatch::DispatchEffect::Refuse { .. } => self.refused_count += 1,
                dispatch::DispatchEffect::Send { peer: to, message } => {
                    let to = self.names.iter().position(|name| *name == to).unwrap();
                    let peer = peer.clone();
                    let event = dispatch::DispatchEvent::ReservationReceived { peer, message };
                    self.messages.push(MessageInTransit { due_at, to, event });
                }
                dispatch::DispatchEffect::MigrationTarget { target: None, .. }
                | dispatch::DispatchEffect::Migrate { .. }
                | dispatch::DispatchEffect::DropCopy { .. }
                | dispatch::DispatchEffect::HealthChanged { .. }
                | dispatch::DispatchEffect::LimitChanged { .. }
                | dispatch::DispatchEffect::ColdChanged(_)
                | dispatch::DispatchEffect::Probe { .. }
                | dispatch::DispatchEffect::SuspectsChanged { .. }
                | dispatch::DispatchEffect::PromptsLost { .. }
                | dispatch::DispatchEffect::PromptCrashesChanged(_)
                | dispatch::DispatchEffect::PartsChanged { .. } => {}
            }
        }
        let loads = self.dispatchers[index].take_changed_loads(self.now);
        for to in (0..self.names.len()).filter(|to| *to != index && !loads.is_empty()) {
            let peer = peer.clone();
            let loads = loads.clone();
            let event = dispatch::DispatchEvent::PeerLoadsUpdated { peer, loads };
            self.messages.push(MessageInTransit { due_at, to, event });
        }
    }

    fn arrive(&mut self, index: usize, call: u64, demand: dispatch::CallDemand) {
        let call = ids::CallId::new(call);
        let demand = Box::new(demand);
        self.handle(index, dispatch::DispatchEvent::Arrived { call, demand });
    }

    /// Advances the time, delivers due messages and ticks the dispatchers.
    fn advance(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + TICK_INTERVAL;
            let (due, later) = std::mem::take(&mut self.messages)
                .into_iter()
                .partition(|message| message.due_at <= self.now);
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
        let placements = self.placements.iter().filter(|(_, _, name)| name == target);
        placements.count() as u64
    }
}

fn stream_with_long_target_latency() -> dispatch::CallDemand {
    dispatch::CallDemand {
        target_latency: Duration::from_secs(30),
        ..fixtures::stream_demand(400)
    }
}

/// Returns how many prompts fit into an engine's memory if no stream grows.
fn max_prompts_in_memory() -> u64 {
    fixtures::MEMORY_TOKENS / fixtures::stream_demand(400).prompt_tokens
}

/// Eight relays get a stream each at the same moment, and one engine has capacity for six.
#[test]
fn simultaneous_arrivals_do_not_overload_an_engine() {
    let mut fleet = Fleet::new(8, &["one"]);
    for index in 0..8 {
        fleet.arrive(index, 1, stream_with_long_target_latency());
    }
    fleet.advance(Duration::from_millis(200));
    assert!(fleet.count_at("one") <= max_prompts_in_memory());
    assert!(fleet.count_at("one") >= max_prompts_in_memory() - 1);
}

/// An engine starts while eight relays have prompts waiting for memory. All of them see it at
/// the same moment.
#[test]
fn engine_start_with_waiting_calls_does_not_overload_the_engine() {
    let mut fleet = Fleet::new(8, &["full"]);
    for call in 0..3 {
        for index in 0..8 {
            fleet.arrive(index, call, stream_with_long_target_latency());
        }
    }
    fleet.advance(Duration::from_millis(200));
    let waiting: usize = fleet
        .dispatchers
        .iter()
        .map(|dispatcher| dispatcher.call_counts().0)
        .sum();
    assert!(waiting as u64 > 2 * max_prompts_in_memory(), "{waiting}");

    for index in 0..8 {
        let record = Rc::new(fixtures::engine_record("new"));
        let changes = vec![directory::TargetChange::Usable(record)];
        fleet.handle(index, dispatch::DispatchEvent::TargetsChanged(changes));
    }
    fleet.advance(Duration::from_millis(200));
    assert!(fleet.count_at("new") <= max_prompts_in_memory());
    assert!(fleet.count_at("new") > 3);
}

/// An engine leaves whose streams belong to four relays, and the other engine has capacity
/// for only some of them.
#[test]
fn simultaneous_migration_requests_do_not_overload_an_engine() {
    let mut fleet = Fleet::new(4, &["one"]);
    for index in 0..4 {
        fleet.arrive(index, 1, stream_with_long_target_latency());
        fleet.advance(Duration::from_millis(20));
    }
    let added = Rc::new(fixtures::engine_record("two"));
    for index in 0..4 {
        let changes = vec![directory::TargetChange::Usable(Rc::clone(&added))];
        fleet.handle(index, dispatch::DispatchEvent::TargetsChanged(changes));
    }
    for call in 2..6 {
        fleet.arrive(0, call, stream_with_long_target_latency());
        fleet.advance(Duration::from_millis(20));
    }
    let before = fleet.count_at("two");
    for index in 0..4 {
        let leaving = directory::TargetChange::Leaving(fixtures::engine_record("one").key);
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
    fleet.advance(Duration::from_millis(200));
    assert!(before >= 3, "{before}");
    assert!(fleet.count_at("two") > before);
    assert!(fleet.count_at("two") <= max_prompts_in_memory());
}

/// Capacity that a stream frees is taken immediately by a call that waits in another relay.
#[test]
fn call_end_places_a_call_of_another_relay() {
    let mut fleet = Fleet::new(3, &["one"]);
    for call in 0..3 {
        for index in 0..3 {
            fleet.arrive(index, call, stream_with_long_target_latency());
            fleet.advance(Duration::from_millis(10));
        }
    }
    let before = fleet.count_at("one");
    let (index, call, _) = fleet.placements[0];
    let ended = dispatch::DispatchEvent::CallEnded { call };
    fleet.handle(index, ended);
    fleet.advance(Duration::from_millis(40));
    assert_eq!(fleet.count_at("one"), before + 1);
}

/// A stalled arbiter only delays the calls of its engines.
#[parameterized(
    first_relay = { 0 },
    second_relay = { 1 },
)]
fn reservation_at_a_silent_arbiter_is_placed_after_the_timeout(silent: usize) {
    let names: Vec<_> = (0..12).map(|index| format!("e{index}")).collect();
    let engines: Vec<_> = names.iter().map(|name| &**name).collect();
    let mut fleet = Fleet::new(2, &engines);
    fleet.silent.push(silent);
    for call in 0..12 {
        fleet.arrive(1 - silent, call, stream_with_long_target_latency());
    }
    let placed_immediately = fleet.placements.len();
    assert!(placed_immediately < 12);
    fleet.advance(Duration::from_millis(80));
    assert_eq!(fleet.placements.len(), 12);
}

/// The caller leaves before the arbiter replies: the capacity is not used.
#[test]
fn call_end_before_the_reply_places_nothing() {
    let names: Vec<_> = (0..12).map(|index| format!("e{index}")).collect();
    let engines: Vec<_> = names.iter().map(|name| &**name).collect();
    let mut fleet = Fleet::new(2, &engines);
    for call in 0..12 {
        fleet.arrive(0, call, stream_with_long_target_latency());
    }
    let placed_immediately = fleet.placements.len();
    for call in 0..12 {
        let call = ids::CallId::new(call);
        fleet.handle(0, dispatch::DispatchEvent::CallEnded { call });
    }
    fleet.advance(Duration::from_millis(100));
    assert_eq!(fleet.placements.len(), placed_immediately);
    let counts: Vec<_> = fleet
        .dispatchers
        .iter()
        .map(|dispatcher| dispatcher.call_counts())
        .collect();
    assert_eq!(counts, [(0, 0), (0, 0)]);
}
