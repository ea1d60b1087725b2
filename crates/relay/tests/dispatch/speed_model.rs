//! Engines of different speeds in simulated time, and relays that place streams there. Prompts are
//! processed in order of arrival; no engine leaves, and placements are trusted to fit into memory.

use std::collections::BTreeMap;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_relay::directory;
use kingcupfall_relay::dispatch;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs;

use crate::fixtures;

const TARGET_GAP_MS: u64 = 180;
const EVENT_TOKENS: u64 = 4;
const CHUNK_TOKENS: u64 = 112;

/// Long and short streams that arrive in a millisecond.
const ARRIVAL_RATES: [(bool, f64); 2] = [(true, 0.022), (false, 0.025)];

/// Interval at which it is drawn anew whether a machine is slow, share of slow ones, and how slow.
const SLOWDOWN_INTERVAL_MS: u64 = 600;
const SLOW_MACHINE_SHARE: f64 = 0.15;
const SLOWDOWN_PERCENT: u32 = 250;

const TICK_INTERVAL_MS: u64 = 50;
const HEARTBEAT_INTERVAL_MS: u64 = 500;

/// Interval between reports of progress from which no speed can be learnt.
const UNLEARNABLE_INTERVAL_MS: u64 = 2_500;

/// Streams that arrive earlier are not counted, as the service has not reached its usual load.
const WARM_UP_MS: u64 = 4_000;

/// Returns the requirements of a long or a short stream of the load.
pub fn demand(is_long: bool) -> dispatch::CallDemand {
    dispatch::CallDemand {
        prompt_tokens: if is_long { 3_000 } else { 2_200 },
        target_gap: Some(Duration::from_millis(TARGET_GAP_MS)),
        ..fixtures::stream_demand_with_memory(if is_long { 760 } else { 8 }, 27_000)
    }
}

struct RunningStream {
    call: ids::CallId,
    relay: usize,
    arrived_ms: u64,
    prompt_left: u64,
    tokens: u64,
    total_tokens: u64,
    first_event_ms: u64,
    last_event_ms: u64,
    reported_ms: u64,
    longest_gap_ms: u64,
}

struct SimulatedEngine {
    factor: f64,
    is_machine_slow: bool,
    streams: Vec<RunningStream>,
    /// End of the present step in milliseconds.
    step_end_ms: Option<f64>,
}

impl SimulatedEngine {
    fn start_step(&mut self, start_ms: f64) {
        let is_decoding = |stream: &&RunningStream| stream.prompt_left == 0;
        let decoding = self.streams.iter().filter(is_decoding).count();
        let chunk_ms = if decoding < self.streams.len() {
            8.0
        } else {
            0.0
        };
        let slow = if self.is_machine_slow {
            SLOWDOWN_PERCENT
        } else {
            100
        };
        let step_ms = (7.0 + 0.12 * decoding as f64 + chunk_ms) * self.factor;
        self.step_end_ms = match self.streams.is_empty() {
            true => None,
            false => Some(start_ms + step_ms * f64::from(slow) / 100.0),
        };
    }
}

/// Numbers of streams, by what their callers got.
#[derive(Debug, Default)]
pub struct ServiceOutcome {
    pub long_streams: u32,
    /// Long streams with a pause longer than allowed.
    pub late_long_streams: u32,
    pub short_streams: u32,
    /// Short streams whose first event came too late.
    pub late_short_streams: u32,
    pub refusals: u32,
}

/// Engines and relays.
pub struct SpeedModel {
    now_ms: u64,
    rng: rngs::SmallRng,
    learns: bool,
    engines: BTreeMap<ids::TargetName, SimulatedEngine>,
    names: Vec<ids::VmName>,
    relays: Vec<dispatch::Dispatcher>,
    outcome: ServiceOutcome,
}

impl SpeedModel {
    /// Creates engines with these factors. Their relays learn the factors and the slowdowns, or
    /// neither.
    pub fn new(seed: u64, relay_count: usize, factors: &[f64], learns: bool) -> Self {
        let engine_names: Vec<_> = (0..factors.len()).map(|i| format!("engine-{i}")).collect();
        let engine_refs: Vec<&str> = engine_names.iter().map(String::as_str).collect();
        let relay_names: Vec<_> = (0..relay_count).map(|i| format!("relay-{i}")).collect();
        let engines = engine_names.iter().zip(factors).map(|(name, factor)| {
            let engine = SimulatedEngine {
                factor: *factor,
                is_machine_slow: false,
                streams: Vec::new(),
                step_end_ms: None,
            };
            (name.parse().unwrap(), engine)
        });
        let relays = relay_names.iter();
        Self {
            now_ms: 0,
            rng: rngs::SmallRng::seed_from_u64(seed),
            learns,
            engines: engines.collect(),
            names: relay_names
                .iter()
                .map(|name| name.parse().unwrap())
                .collect(),
            relays: relays
                .map(|name| fixtures::dispatcher_for(name, &engine_refs))
                .collect(),
            outcome: ServiceOutcome::default(),
        }
    }

    /// Runs the load for some time and returns what callers got.
    pub fn run(mut self, duration_ms: u64) -> ServiceOutcome {
        self.exchange_heartbeats();
        let mut next_call = 0;
        while self.now_ms < duration_ms {
            self.now_ms += 1;
            for (index, engine) in self.engines.values_mut().enumerate() {
                // Machines change at different times.
                if (self.now_ms + index as u64 * 13).is_multiple_of(SLOWDOWN_INTERVAL_MS) {
                    engine.is_machine_slow = self.rng.random_bool(SLOW_MACHINE_SHARE);
                }
            }
            if self.now_ms.is_multiple_of(TICK_INTERVAL_MS) {
                for relay in 0..self.relays.len() {
                    self.handle(relay, dispatch::DispatchEvent::Tick);
                }
            }
            if self.now_ms.is_multiple_of(HEARTBEAT_INTERVAL_MS) {
                self.exchange_heartbeats();
            }
            for (is_long, rate) in ARRIVAL_RATES {
                if self.rng.random_bool(rate) {
                    // The parity of its number tells whether a call is long.
                    next_call += 2;
                    self.arrive(ids::CallId::new(next_call + u64::from(is_long)), is_long);
                }
            }
            self.finish_steps();
        }
        self.outcome
    }

    fn arrive(&mut self, call: ids::CallId, is_long: bool) {
        let now = self.now();
        let mut demand = Box::new(demand(is_long));
        demand.arrived_at = now;
        demand.first_requested_at = now;
        demand.deadline = now + Duration::from_secs(39);
        demand.fingerprint = work::RequestFingerprint::new(call.get());
        demand.target_gap = demand.target_gap.filter(|_| self.learns);
        let relay = self.rng.random_range(0..self.relays.len());
        self.handle(relay, dispatch::DispatchEvent::Arrived { call, demand });
    }

    fn now(&self) -> time::Timestamp {
        fixtures::START + Duration::from_millis(self.now_ms)
    }

    fn handle(&mut self, relay: usize, event: dispatch::DispatchEvent) {
        let now = self.now();
        for effect in self.relays[relay].handle(now, event) {
            match effect {
                dispatch::DispatchEffect::Place { call, placement } => {
                    self.start_stream(relay, call, &placement.target.key);
                }
                dispatch::DispatchEffect::Refuse { .. } => self.outcome.refusals += 1,
                dispatch::DispatchEffect::Send { peer, message } => {
                    let to = self.names.iter().position(|name| *name == peer).unwrap();
                    let peer = self.names[relay].clone();
                    let received = dispatch::DispatchEvent::ReservationReceived { peer, message };
                    self.handle(to, received);
                }
                _ => {}
            }
        }
        let loads = self.relays[relay].take_changed_loads(now);
        for to in (0..self.relays.len()).filter(|to| *to != relay && !loads.is_empty()) {
            let (peer, loads) = (self.names[relay].clone(), loads.clone());
            self.handle(
                to,
                dispatch::DispatchEvent::PeerLoadsUpdated { peer, loads },
            );
        }
    }

    fn exchange_heartbeats(&mut self) {
        let now = self.now();
        for from in 0..self.relays.len() {
            for to in (0..self.relays.len()).filter(|to| *to != from) {
                let peer = self.names[from].clone();
                let reports = self.relays[from].speed_reports(now);
                self.handle(
                    to,
                    dispatch::DispatchEvent::SpeedsReported { peer, reports },
                );
                let (peer, loads) = (self.names[from].clone(), self.relays[from].loads(now));
                self.handle(
                    to,
                    dispatch::DispatchEvent::PeerLoadsReplaced { peer, loads },
                );
            }
        }
    }

    fn start_stream(&mut self, relay: usize, call: ids::CallId, target: &directory::TargetKey) {
        let is_long = !call.get().is_multiple_of(2);
        let events = if is_long {
            self.rng.random_range(150..230)
        } else {
            2
        };
        let engine = self.engines.get_mut(&target.name).unwrap();
        let percent = if engine.is_machine_slow {
            SLOWDOWN_PERCENT
        } else {
            100
        };
        engine.streams.push(RunningStream {
            call,
            relay,
            arrived_ms: self.now_ms,
            prompt_left: demand(is_long).prompt_tokens,
            tokens: 0,
            total_tokens: events * EVENT_TOKENS,
            first_event_ms: 0,
            last_event_ms: 0,
            reported_ms: 0,
            longest_gap_ms: 0,
        });
        if engine.step_end_ms.is_none() {
            engine.start_step(self.now_ms as f64);
        }
        if self.learns {
            let target = target.clone();
            self.handle(
                relay,
                dispatch::DispatchEvent::SlowdownHeard { target, percent },
            );
        }
    }

    fn finish_steps(&mut self) {
        let mut reports = Vec::new();
        let mut ended = Vec::new();
        for engine in self.engines.values_mut() {
            let is_due = |end_ms: &f64| *end_ms <= self.now_ms as f64;
            let Some(end_ms) = engine.step_end_ms.filter(is_due) else {
                continue;
            };
            let mut is_chunk_left = true;
            for stream in &mut engine.streams {
                if stream.prompt_left == 0 {
                    stream.add_token(self.now_ms, self.learns, &mut reports);
                } else if std::mem::take(&mut is_chunk_left) {
                    stream.prompt_left = stream.prompt_left.saturating_sub(CHUNK_TOKENS);
                }
            }
            let is_ended = |stream: &mut RunningStream| stream.tokens >= stream.total_tokens;
            ended.extend(engine.streams.extract_if(.., is_ended));
            engine.start_step(end_ms);
        }
        for (relay, event) in reports {
            self.handle(relay, event);
        }
        for stream in ended {
            self.end_stream(&stream);
        }
    }

    fn end_stream(&mut self, stream: &RunningStream) {
        let call = stream.call;
        if self.learns {
            let took = Duration::from_millis(self.now_ms - stream.arrived_ms);
            let result = dispatch::AttemptResult::Succeeded { took };
            let ended = dispatch::DispatchEvent::AttemptEnded { call, result };
            self.handle(stream.relay, ended);
        }
        self.handle(stream.relay, dispatch::DispatchEvent::CallEnded { call });
        if stream.arrived_ms < WARM_UP_MS {
            return;
        }
        let outcome = &mut self.outcome;
        if call.get().is_multiple_of(2) {
            let first_event = Duration::from_millis(stream.first_event_ms - stream.arrived_ms);
            outcome.short_streams += 1;
            outcome.late_short_streams += u32::from(first_event > demand(false).target_latency);
        } else {
            outcome.long_streams += 1;
            outcome.late_long_streams += u32::from(stream.longest_gap_ms > TARGET_GAP_MS);
        }
    }
}

impl RunningStream {
    /// Adds a token and the events of which its relay is told.
    fn add_token(
        &mut self,
        now_ms: u64,
        learns: bool,
        reports: &mut Vec<(usize, dispatch::DispatchEvent)>,
    ) {
        self.tokens += 1;
        if !self.tokens.is_multiple_of(EVENT_TOKENS) {
            return;
        }
        let (call, events) = (self.call, self.tokens / EVENT_TOKENS);
        if events == 1 {
            self.first_event_ms = now_ms;
            reports.push((self.relay, dispatch::DispatchEvent::Started { call }));
        } else {
            self.longest_gap_ms = self.longest_gap_ms.max(now_ms - self.last_event_ms);
        }
        self.last_event_ms = now_ms;
        if learns || now_ms - self.reported_ms >= UNLEARNABLE_INTERVAL_MS {
            self.reported_ms = now_ms;
            reports.push((
                self.relay,
                dispatch::DispatchEvent::Progressed { call, events },
            ));
        }
    }
}
