//! Fleets of relays that share the requests to a cold target, while relays start, end and lose each
//! other.

use std::net;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_policy::limit;
use kingcupfall_relay::dispatch;
use kingcupfall_relay::membership;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs;
use yare::parameterized;

use crate::cold;
use crate::fixtures;

const BOUNDS: dispatch::ColdBounds = dispatch::ColdBounds {
    overrun: 1.5,
    allowance: 5.0,
};

/// Steps of a simulation, and how many of them are between heartbeats and between updates of shares.
const STEP: Duration = Duration::from_millis(50);
const STEPS_PER_S: u32 = 20;
const HEARTBEAT_STEPS: u32 = 8;
const SHARE_STEPS: u32 = 10;

/// Longest time that a request takes to reach the target.
const MAX_ARRIVAL: Duration = Duration::from_millis(100);

/// A relay of a fleet. Its clock starts when the relay does.
struct FleetRelay {
    dispatcher: dispatch::Dispatcher,
    members: membership::MemberTable,
    started_at: time::Timestamp,
    /// Part of the fleet within which relays reach each other.
    part: usize,
    is_up: bool,
}

/// Relays with one cold target.
struct ColdFleet {
    relays: Vec<FleetRelay>,
    seeds: usize,
    rate: measures::RequestRate,
    now: time::Timestamp,
    reached_at: Vec<time::Timestamp>,
    random: rngs::SmallRng,
    last_call: u64,
}

fn address(index: usize) -> net::SocketAddr {
    format!("10.0.{index}.7:8848").parse().unwrap()
}

impl ColdFleet {
    fn new(relays: usize, seeds: usize, per_second: f64) -> Self {
        let mut fleet = Self {
            relays: Vec::new(),
            seeds,
            rate: measures::RequestRate::new(per_second).unwrap(),
            now: fixtures::START,
            reached_at: Vec::new(),
            random: rngs::SmallRng::seed_from_u64(17),
            last_call: 0,
        };
        for index in 0..relays {
            fleet.start(index);
        }
        fleet
    }

    /// Starts a relay, again or for the first time.
    fn start(&mut self, index: usize) {
        let seeds: Vec<_> = (0..self.seeds).map(address).collect();
        let mut members = membership::MemberTable::new(address(index));
        members.add_seeds(&seeds);
        let mut dispatcher = fixtures::dispatcher(&["one"]);
        cold::set_rule(
            &mut dispatcher,
            time::Timestamp::ZERO,
            self.rate.per_second(),
        );
        let cold_for = Duration::from_secs(3_600);
        cold::write(&mut dispatcher, time::Timestamp::ZERO, "one", 2, cold_for);
        let part = self.relays.get(index).map_or(0, |relay| relay.part);
        let relay = FleetRelay {
            dispatcher,
            members,
            started_at: self.now,
            part,
            is_up: true,
        };
        match self.relays.get_mut(index) {
            Some(present) => *present = relay,
            None => self.relays.push(relay),
        }
    }

    fn split(&mut self, part: impl Fn(usize) -> usize) {
        for (index, relay) in self.relays.iter_mut().enumerate() {
            relay.part = part(index);
        }
    }

    fn local_now(&self, index: usize) -> time::Timestamp {
        time::Timestamp::ZERO + self.now.since(self.relays[index].started_at)
    }

    fn handle(&mut self, index: usize, event: dispatch::DispatchEvent) {
        let now = self.local_now(index);
        let effects = self.relays[index].dispatcher.handle(now, event);
        for effect in effects {
            if let dispatch::DispatchEffect::Place { call, .. } = effect {
                let delay = MAX_ARRIVAL.mul_f64(self.random.random());
                self.reached_at.push(self.now + delay);
                let result = dispatch::AttemptResult::Succeeded { took: STEP };
                let ended = dispatch::DispatchEvent::AttemptEnded { call, result };
                self.handle(index, ended);
            }
        }
    }

    /// Updates a relay's share, as the shell does.
    fn share(&mut self, index: usize) {
        let now = self.local_now(index);
        let key = fixtures::engine_record("one").key;
        let place = self.relays[index].members.cold_rank(now, &key.name, false);
        let share = place.map_or(limit::TokenRate::default(), |place| {
            let sharers = dispatch::LimitSharers {
                relays: place.relays,
                rank: place.rank,
                demand_share: None,
            };
            BOUNDS.share(self.rate, &sharers)
        });
        self.handle(
            index,
            dispatch::DispatchEvent::ColdSharesChanged(vec![(key, share)]),
        );
    }

    /// Exchanges heartbeats among relays that reach each other and of which one knows the other.
    fn exchange_heartbeats(&mut self) {
        let links: Vec<_> = self
            .relays
            .iter()
            .map(|relay| relay.members.desired_links())
            .collect();
        let seeds = self.seeds;
        let dials = |from: usize, to: usize| to < seeds || links[from].contains(&address(to));
        for to in 0..self.relays.len() {
            let now = self.local_now(to);
            for from in 0..self.relays.len() {
                let is_linked = from != to
                    && self.relays[from].is_up
                    && self.relays[to].is_up
                    && self.relays[from].part == self.relays[to].part
                    && (dials(from, to) || dials(to, from));
                if is_linked {
                    let sent_at = self.local_now(from);
                    let sender = &self.relays[from].members;
                    let hints = sender.sample_hints(sent_at, &mut self.random, 24);
                    let members = &mut self.relays[to].members;
                    members.record_received(address(from), now);
                    for hint in hints {
                        members.record_hint(now, hint);
                    }
                }
            }
            self.relays[to].members.remove_expired(now);
        }
    }

    fn step(&mut self, step: u32, calls_per_s: f64) {
        self.now = self.now + STEP;
        if step.is_multiple_of(HEARTBEAT_STEPS) {
            self.exchange_heartbeats();
        }
        for index in 0..self.relays.len() {
            if !self.relays[index].is_up {
                continue;
            }
            if step.is_multiple_of(SHARE_STEPS) {
                self.share(index);
            }
            if self.random.random_bool(calls_per_s * STEP.as_secs_f64()) {
                self.last_call += 1;
                let now = self.local_now(index);
                let demand = dispatch::CallDemand {
                    arrived_at: now,
                    first_requested_at: now,
                    deadline: now + Duration::from_millis(800),
                    fingerprint: work::RequestFingerprint::new(self.last_call),
                    ..fixtures::plain_demand()
                };
                let call = ids::CallId::new(self.last_call);
                let demand = Box::new(demand);
                self.handle(index, dispatch::DispatchEvent::Arrived { call, demand });
            }
            self.handle(index, dispatch::DispatchEvent::Tick);
        }
    }

    fn most_in_a_second(&mut self) -> usize {
        self.reached_at.sort_unstable();
        let reached_at = &self.reached_at;
        let in_window = |start: usize| {
            let end = reached_at[start] + Duration::from_secs(1);
            reached_at[start..].partition_point(|at| *at < end)
        };
        (0..reached_at.len()).map(in_window).max().unwrap_or(0)
    }
}

/// What happens to a fleet at the start of a second.
type Scenario = fn(&mut ColdFleet, u32);

fn nothing(_: &mut ColdFleet, _: u32) {}

fn halves(fleet: &mut ColdFleet, second: u32) {
    match second {
        10 => fleet.split(|index| index % 2),
        100 => fleet.split(|_| 0),
        _ => {}
    }
}

fn scattered(fleet: &mut ColdFleet, second: u32) {
    match second {
        10 => fleet.split(|index| index),
        100 => fleet.split(|_| 0),
        _ => {}
    }
}

fn joining(fleet: &mut ColdFleet, second: u32) {
    if second >= 5 && second % 2 == 1 && fleet.relays.len() < 24 {
        fleet.start(fleet.relays.len());
    }
}

fn dying(fleet: &mut ColdFleet, second: u32) {
    let relays = fleet.relays.len();
    let victim = (second as usize * 5) % relays;
    match second {
        20..80 if second.is_multiple_of(2) => fleet.relays[victim].is_up = false,
        20..80 => {
            let down = (0..relays).find(|index| !fleet.relays[*index].is_up);
            down.into_iter().for_each(|index| fleet.start(index));
        }
        90 => fleet.relays[relays / 2..]
            .iter_mut()
            .for_each(|relay| relay.is_up = false),
        110 => (relays / 2..relays).for_each(|index| fleet.start(index)),
        _ => {}
    }
}

/// All relays of a half are killed and back while that half is cut off.
fn restarted_apart(fleet: &mut ColdFleet, second: u32) {
    halves(fleet, second);
    if second == 20 {
        (1..fleet.relays.len())
            .step_by(2)
            .for_each(|index| fleet.start(index));
    }
}

/// All relays are killed and back while none reaches another.
fn restarted_alone(fleet: &mut ColdFleet, second: u32) {
    scattered(fleet, second);
    if second == 20 {
        (0..fleet.relays.len()).for_each(|index| fleet.start(index));
    }
}

/// Plays more demand than a cold target tolerates. Guards against shares whose sum exceeds the bound
/// in any one second, however the relays of a fleet start, end and lose each other, and against
/// fleets that use little of what the target tolerates: an undisturbed one uses half of it or more,
/// since half of the bound is dealt out.
#[parameterized(
    starting_at_once = { 20, 3, 4.0, nothing, 0.7 },
    low_rate = { 20, 3, 0.5, nothing, 0.7 },
    high_rate = { 20, 3, 12.0, nothing, 0.5 },
    single = { 1, 0, 4.0, nothing, 0.7 },
    share_of_three_requests = { 1, 0, 4.5, nothing, 0.5 },
    two_relays = { 2, 2, 5.0, nothing, 0.5 },
    four_relays = { 4, 3, 10.0, nothing, 0.5 },
    two_relays_without_seeds = { 2, 0, 5.0, nothing, 0.5 },
    four_relays_without_seeds = { 4, 0, 10.0, nothing, 0.5 },
    large_fleet = { 44, 5, 4.0, nothing, 0.5 },
    partition_in_halves = { 12, 3, 4.0, halves, 0.6 },
    partition_in_single_relays = { 12, 3, 4.0, scattered, 0.6 },
    relays_joining = { 4, 2, 4.0, joining, 0.5 },
    relays_dying = { 12, 3, 4.0, dying, 0.4 },
    restart_of_a_partitioned_half = { 12, 12, 4.0, restarted_apart, 0.5 },
    restart_of_single_relays = { 12, 12, 4.0, restarted_alone, 0.5 },
    restart_of_relays_without_seeds = { 12, 3, 4.0, restarted_alone, 0.4 },
)]
fn arrive_at_all_relays_keeps_to_the_bound_of_a_cold_target(
    relays: usize,
    seeds: usize,
    rate_per_s: f64,
    scenario: Scenario,
    least_share: f64,
) {
    let mut fleet = ColdFleet::new(relays, seeds, rate_per_s);
    let seconds = 130;
    for second in 0..seconds {
        scenario(&mut fleet, second);
        for step in 0..STEPS_PER_S {
            fleet.step(second * STEPS_PER_S + step, 5.0);
        }
    }
    let most = fleet.most_in_a_second();
    let bound = rate_per_s * BOUNDS.overrun + BOUNDS.allowance;
    assert!(most as f64 <= bound, "{most} of {bound}");
    let served = fleet.reached_at.len() as f64 / f64::from(seconds);
    assert!(
        served >= rate_per_s * least_share,
        "{served} of {rate_per_s} per second"
    );
}
