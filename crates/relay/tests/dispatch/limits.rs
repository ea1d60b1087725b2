//! Targets that limit the requests they take from all relays together.

use std::rc::Rc;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_relay::directory;
use kingcupfall_relay::dispatch;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs;
use yare::parameterized;

use crate::fixtures;

fn rate(per_second: f64) -> measures::RequestRate {
    measures::RequestRate::new(per_second).unwrap()
}

fn hear_limit(
    dispatcher: &mut dispatch::Dispatcher,
    now: time::Timestamp,
    target: &str,
    limit: Option<f64>,
    sent_at: time::Timestamp,
) -> Vec<dispatch::DispatchEffect> {
    let heard = dispatch::DispatchEvent::LimitHeard {
        target: fixtures::engine_record(target).key,
        limit: limit.map(rate),
        sent_at,
    };
    dispatcher.handle(now, heard)
}

/// A response that was begun before the limit was heard says nothing of it.
#[test]
fn hear_no_limit_in_an_older_response_does_not_lift_it() {
    let mut dispatcher = fixtures::dispatcher(&["one"]);
    let heard_at = fixtures::START + Duration::from_millis(50);
    let later = fixtures::START + Duration::from_millis(90);
    let effects = hear_limit(&mut dispatcher, heard_at, "one", Some(2.0), fixtures::START);
    assert_eq!(effects.len(), 1);
    let effects = hear_limit(&mut dispatcher, later, "one", Some(2.0), heard_at);
    assert_eq!(effects, []);
    let effects = hear_limit(&mut dispatcher, later, "one", None, fixtures::START);
    assert_eq!(effects, []);
    assert_eq!(dispatcher.limited_target_count(), 1);
    let sent_at = later + Duration::from_millis(1);
    let heard_at = later + Duration::from_millis(2);
    let effects = hear_limit(&mut dispatcher, heard_at, "one", None, sent_at);
    assert_eq!(effects.len(), 1);
    assert_eq!(dispatcher.limited_target_count(), 0);
}

/// Guards against limits that are forgotten with a target's record.
#[test]
fn hear_limit_holds_after_another_registration_of_the_target() {
    let mut dispatcher = fixtures::dispatcher(&["one"]);
    let heard_at = fixtures::START + Duration::from_millis(50);
    hear_limit(&mut dispatcher, heard_at, "one", Some(2.0), fixtures::START);
    let record = fixtures::engine_record("one");
    let changes = vec![
        directory::TargetChange::Gone(record.key.clone()),
        directory::TargetChange::Usable(Rc::new(record)),
    ];
    dispatcher.handle(heard_at, dispatch::DispatchEvent::TargetsChanged(changes));
    assert_eq!(dispatcher.limited_target_count(), 1);
    assert_eq!(dispatcher.reported_limits(heard_at).len(), 1);
}

/// Time for which a fleet is simulated, in steps.
const SIMULATED_TIME: Duration = Duration::from_secs(40);
const STEP: Duration = Duration::from_millis(10);

/// Time after which a limit binds, and the window in which requests are counted.
const CONTACT_TIME: Duration = Duration::from_secs(3);
const COUNTING_TIME: Duration = Duration::from_secs(4);

/// Steps between heartbeats, and steps that the target takes for a call.
const HEARTBEAT_STEPS: u32 = 40;
const CALL_STEPS: u32 = 3;

/// Relays whose only target names a limit in each response.
struct LimitedFleet {
    dispatchers: Vec<dispatch::Dispatcher>,
    limit: measures::RequestRate,
    now: time::Timestamp,
    /// Calls at the target: relay, call, when it was sent, and the steps left.
    running: Vec<(usize, ids::CallId, time::Timestamp, u32)>,
    /// When each request reached the target.
    reached_at: Vec<time::Timestamp>,
    refused: usize,
    random: rngs::SmallRng,
    last_call: u64,
}

impl LimitedFleet {
    fn new(relays: usize, limit: f64) -> Self {
        let names = (0..relays).map(|index| format!("relay-{index}"));
        Self {
            dispatchers: names
                .map(|name| fixtures::dispatcher_for(&name, &["one"]))
                .collect(),
            limit: rate(limit),
            now: fixtures::START,
            running: Vec::new(),
            reached_at: Vec::new(),
            refused: 0,
            random: rngs::SmallRng::seed_from_u64(31),
            last_call: 0,
        }
    }

    /// Handles an event at a relay, and counts what becomes of its calls.
    fn handle(&mut self, relay: usize, event: dispatch::DispatchEvent) {
        let effects = self.dispatchers[relay].handle(self.now, event);
        for effect in effects {
            match effect {
                dispatch::DispatchEffect::Place { call, .. } => {
                    self.reached_at.push(self.now);
                    self.running.push((relay, call, self.now, CALL_STEPS));
                }
                dispatch::DispatchEffect::Refuse { refusal, .. } => {
                    assert!(refusal.retry_after >= STEP);
                    self.refused += 1;
                }
                dispatch::DispatchEffect::LimitChanged { .. } => self.share(relay),
                other => panic!("unexpected {other:?}"),
            }
        }
    }

    fn share(&mut self, relay: usize) {
        let sharers = dispatch::LimitSharers {
            relays: self.dispatchers.len(),
            rank: relay,
            demand_share: None,
        };
        let key = fixtures::engine_record("one").key;
        let shares = vec![(key, sharers.share(self.limit))];
        self.handle(relay, dispatch::DispatchEvent::LimitSharesChanged(shares));
    }

    fn step(&mut self, step: u32, calls_per_s: f64) {
        self.now = self.now + STEP;
        for index in (0..self.running.len()).rev() {
            self.running[index].3 -= 1;
            if self.running[index].3 == 0 {
                let (relay, call, sent_at, _) = self.running.remove(index);
                self.answer(relay, call, sent_at);
            }
        }
        for relay in 0..self.dispatchers.len() {
            if self.random.random_bool(calls_per_s * STEP.as_secs_f64()) {
                self.arrive(relay);
            }
            self.handle(relay, dispatch::DispatchEvent::Tick);
            if step.is_multiple_of(HEARTBEAT_STEPS) {
                let reports = self.dispatchers[relay].reported_limits(self.now);
                for peer in (0..self.dispatchers.len()).filter(|peer| *peer != relay) {
                    let reported = dispatch::DispatchEvent::LimitsReported(reports.clone());
                    self.handle(peer, reported);
                }
            }
        }
    }

    fn arrive(&mut self, relay: usize) {
        self.last_call += 1;
        let demand = dispatch::CallDemand {
            arrived_at: self.now,
            first_requested_at: self.now,
            deadline: self.now + Duration::from_millis(800),
            fingerprint: work::RequestFingerprint::new(self.last_call),
            ..fixtures::plain_demand()
        };
        let arrived = dispatch::DispatchEvent::Arrived {
            call: ids::CallId::new(self.last_call),
            demand: Box::new(demand),
        };
        self.handle(relay, arrived);
    }

    fn answer(&mut self, relay: usize, call: ids::CallId, sent_at: time::Timestamp) {
        let heard = dispatch::DispatchEvent::LimitHeard {
            target: fixtures::engine_record("one").key,
            limit: Some(self.limit),
            sent_at,
        };
        self.handle(relay, heard);
        let took = self.now.since(sent_at);
        let result = dispatch::AttemptResult::Succeeded { took };
        self.handle(
            relay,
            dispatch::DispatchEvent::AttemptEnded { call, result },
        );
    }

    /// Returns the most requests that reached the target in a window after the limit binds.
    fn most_in_window(&self) -> usize {
        let binds_at = fixtures::START + CONTACT_TIME;
        let counted: Vec<_> = self
            .reached_at
            .iter()
            .filter(|at| **at >= binds_at)
            .collect();
        let in_window = |start: usize| {
            let end = *counted[start] + COUNTING_TIME;
            counted[start..].partition_point(|at| **at < end)
        };
        (0..counted.len()).map(in_window).max().unwrap_or(0)
    }
}

/// Plays more demand than the limit, with bursts after quiet times. The target must not get more than
/// it tolerates, and callers most of what it takes.
#[parameterized(
    few_relays = { 4, 2.9, 6.0 },
    limit_below_one = { 4, 0.5, 6.0 },
    nothing_taken = { 4, 0.0, 6.0 },
    high_limit = { 21, 40.0, 8.0 },
    many_relays = { 100, 3.0, 1.0 },
)]
fn arrive_at_all_relays_keeps_to_the_limit_of_the_target(
    relays: usize,
    limit: f64,
    calls_per_s: f64,
) {
    let mut fleet = LimitedFleet::new(relays, limit);
    let steps = u32::try_from(SIMULATED_TIME.as_millis() / STEP.as_millis()).unwrap();
    for step in 0..steps {
        let is_quiet = (step / 500) % 3 == 1;
        fleet.step(step, if is_quiet { 0.0 } else { calls_per_s });
    }
    let most = fleet.most_in_window();
    let tolerated = 1.5 * limit * COUNTING_TIME.as_secs_f64() + 5.0;
    assert!(most as f64 <= tolerated, "{most} of {tolerated}");
    let served = fleet.reached_at.len() as f64;
    let taken = limit * SIMULATED_TIME.as_secs_f64() * 2.0 / 3.0;
    assert!(
        served >= taken * 0.8,
        "{served} of {taken} calls were served"
    );
    assert!(fleet.refused > 0);
}
