//! A service of engines of different speeds in simulated time, with the relays that place streams
//! there. Engines process prompts in order of arrival; memory is not simulated, as placements stay
//! within it, and no engine leaves.

use std::collections::BTreeMap;
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

use crate::fixtures;

/// Longest pause with which a stream is on time.
const TARGET_GAP: Duration = Duration::from_millis(180);

/// Memory of an engine in tokens.
const MEMORY_TOKENS: u64 = 27_000;

const EVENT_TOKENS: u64 = 4;
const CHUNK_TOKENS: u64 = 112;

/// Long and short streams that arrive in a millisecond.
const LONG_STREAMS_PER_MS: f64 = 0.022;
const SHORT_STREAMS_PER_MS: f64 = 0.025;

/// Interval at which it is drawn anew whether a machine is slow, share of slow ones, and how slow.
const SLOWDOWN_INTERVAL_MS: u64 = 600;
const SLOW_MACHINE_SHARE: f64 = 0.15;
const SLOWDOWN_PERCENT: u32 = 250;

/// Intervals of the dispatchers' ticks and of the relays' heartbeats.
const TICK_INTERVAL_MS: u64 = 50;
const HEARTBEAT_INTERVAL_MS: u64 = 500;

/// Interval between reports of progress that is too long for a sample of the speed.
const UNLEARNABLE_INTERVAL_MS: u64 = 2_500;

/// Streams that arrive before this time are not counted, as no relay knows a speed yet.
const WARM_UP_MS: u64 = 4_000;

struct RunningStream {
    call: ids::CallId,
    relay: usize,
    is_long: bool,
    arrived_ms: u64,
    prompt_left: u64,
    tokens: u64,
    total_tokens: u64,
    last_event_ms: u64,
    reported_ms: u64,
    longest_gap_ms: u64,
    first_event_ms: Option<u64>,
}

struct SimulatedEngine {
    factor: f64,
    is_machine_slow: bool,
    streams: Vec<RunningStream>,
    /// End of the present step in milliseconds, and whether it processes a prompt chunk.
    step: Option<(f64, bool)>,
}

impl SimulatedEngine {
    fn start_step(&mut self, start_ms: f64) {
        if self.streams.is_empty() {
            self.step = None;
            return;
        }
        let decoding = self.streams.iter().filter(|stream| stream.prompt_left == 0);
        let decoding_count = decoding.count();
        let has_chunk = decoding_count < self.streams.len();
        let chunk_ms = if has_chunk { 8.0 } else { 0.0 };
        let slowdown = match self.is_machine_slow {
            true => f64::from(SLOWDOWN_PERCENT) / 100.0,
            false => 1.0,
        };
        let step_ms = (7.0 + 0.12 * decoding_count as f64 + chunk_ms) * self.factor * slowdown;
        self.step = Some((start_ms + step_ms, has_chunk));
    }
}

/// What the callers of the counted streams got.
#[derive(Debug, Default)]
pub struct ServiceOutcome {
    pub long_streams: u32,
    pub late_long_streams: u32,
    pub long_streams_on_fast_engines: u32,
    pub short_streams: u32,
    pub late_short_streams: u32,
    pub refusals: u32,
}

impl ServiceOutcome {
    /// Returns the share of long streams with a pause longer than allowed.
    pub fn late_long_share(&self) -> f64 {
        f64::from(self.late_long_streams) / f64::from(self.long_streams.max(1))
    }

    /// Returns the share of short streams whose first event came too late.
    pub fn late_short_share(&self) -> f64 {
        f64::from(self.late_short_streams) / f64::from(self.short_streams.max(1))
    }
}

/// Engines and relays.
pub struct SpeedModel {
    now_ms: u64,
    rng: rngs::SmallRng,
    learns: bool,
    engines: BTreeMap<ids::TargetName, SimulatedEngine>,
    names: Vec<ids::VmName>,
    relays: Vec<dispatch::Dispatcher>,
    arrivals: BTreeMap<ids::CallId, (usize, u64, dispatch::CallDemand)>,
    outcome: ServiceOutcome,
}

impl SpeedModel {
    /// Creates a model whose engines have these factors; its relays learn them, or learn nothing
    /// and know no longest pause.
    pub fn new(seed: u64, relay_count: usize, factors: &[f64], learns: bool) -> Self {
        let engine_names: Vec<_> = (0..factors.len()).map(|i| format!("engine-{i}")).collect();
        let engine_refs: Vec<&str> = engine_names.iter().map(String::as_str).collect();
        let relay_names: Vec<_> = (0..relay_count).map(|i| format!("relay-{i}")).collect();
        let engines = engine_names.iter().zip(factors).map(|(name, factor)| {
            let engine = SimulatedEngine {
                factor: *factor,
                is_machine_slow: false,
                streams: Vec::new(),
                step: None,
            };
            (name.parse().unwrap(), engine)
        });
        let mut model = Self {
            now_ms: 0,
            rng: rngs::SmallRng::seed_from_u64(seed),
            learns,
            engines: engines.collect(),
            names: relay_names.iter().map(|n| n.parse().unwrap()).collect(),
            relays: relay_names
                .iter()
                .map(|name| fixtures::dispatcher_for(name, &engine_refs))
                .collect(),
            arrivals: BTreeMap::new(),
            outcome: ServiceOutcome::default(),
        };
        model.exchange_heartbeats();
        model
    }

    /// Runs the load for some time and returns what callers got.
    pub fn run(mut self, duration_ms: u64) -> ServiceOutcome {
        let mut next_call = 0;
        while self.now_ms < duration_ms {
            self.now_ms += 1;
            self.draw_slowdowns();
            if self.now_ms.is_multiple_of(TICK_INTERVAL_MS) {
                for relay in 0..self.relays.len() {
                    self.handle(relay, dispatch::DispatchEvent::Tick);
                }
            }
            if self.now_ms.is_multiple_of(HEARTBEAT_INTERVAL_MS) {
                self.exchange_heartbeats();
            }
            for (is_long, rate) in [(true, LONG_STREAMS_PER_MS), (false, SHORT_STREAMS_PER_MS)] {
                if self.rng.random_bool(rate) {
                    next_call += 1;
                    self.arrive(ids::CallId::new(next_call), is_long);
                }
            }
            self.finish_steps();
        }
        self.outcome
    }

    fn now(&self) -> time::Timestamp {
        fixtures::START + Duration::from_millis(self.now_ms)
    }

    fn draw_slowdowns(&mut self) {
        for (index, engine) in self.engines.values_mut().enumerate() {
            // Machines change at different times.
            if (self.now_ms + index as u64 * 13).is_multiple_of(SLOWDOWN_INTERVAL_MS) {
                engine.is_machine_slow = self.rng.random_bool(SLOW_MACHINE_SHARE);
            }
        }
    }

    fn arrive(&mut self, call: ids::CallId, is_long: bool) {
        let output_tokens = if is_long { 760 } else { 8 };
        let demand = dispatch::CallDemand {
            prompt_tokens: if is_long { 3_000 } else { 2_200 },
            engine: Some(Rc::new(directory::EngineCapabilities {
                memory: measures::TokenCount::new(MEMORY_TOKENS),
                event_tokens: EVENT_TOKENS,
                can_migrate: true,
                can_copy: true,
            })),
            arrived_at: self.now(),
            first_requested_at: self.now(),
            deadline: self.now() + Duration::from_secs(39),
            fingerprint: work::RequestFingerprint::new(call.get()),
            target_gap: self.learns.then_some(TARGET_GAP),
            ..fixtures::stream_demand(output_tokens)
        };
        let relay = self.rng.random_range(0..self.relays.len());
        let arrival = (relay, self.now_ms, demand.clone());
        self.arrivals.insert(call, arrival);
        let demand = Box::new(demand);
        self.handle(relay, dispatch::DispatchEvent::Arrived { call, demand });
    }

    fn handle(&mut self, relay: usize, event: dispatch::DispatchEvent) {
        let now = self.now();
        for effect in self.relays[relay].handle(now, event) {
            match effect {
                dispatch::DispatchEffect::Place { call, placement } => {
                    self.start_stream(call, &placement.target.key);
                }
                dispatch::DispatchEffect::Refuse { call, .. } => {
                    let (_, arrived_ms, _) = self.arrivals.remove(&call).unwrap();
                    self.outcome.refusals += u32::from(arrived_ms >= WARM_UP_MS);
                }
                dispatch::DispatchEffect::Send { peer, message } => {
                    let to = self.names.iter().position(|name| *name == peer).unwrap();
                    let peer = self.names[relay].clone();
                    self.handle(
                        to,
                        dispatch::DispatchEvent::ReservationReceived { peer, message },
                    );
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
                let loads = self.relays[from].loads(now);
                let reports = self.relays[from].speed_reports(now);
                let replaced = dispatch::DispatchEvent::PeerLoadsReplaced {
                    peer: peer.clone(),
                    loads,
                };
                self.handle(to, replaced);
                self.handle(
                    to,
                    dispatch::DispatchEvent::SpeedsReported { peer, reports },
                );
            }
        }
    }

    fn start_stream(&mut self, call: ids::CallId, key: &directory::TargetKey) {
        let (relay, arrived_ms, demand) = self.arrivals.remove(&call).unwrap();
        let is_long = demand.output_tokens > 100;
        let events = if is_long {
            self.rng.random_range(150..230)
        } else {
            2
        };
        let engine = self.engines.get_mut(&key.name).unwrap();
        let (is_idle, is_slow) = (engine.step.is_none(), engine.is_machine_slow);
        engine.streams.push(RunningStream {
            call,
            relay,
            is_long,
            arrived_ms,
            prompt_left: demand.prompt_tokens,
            tokens: 0,
            total_tokens: events * EVENT_TOKENS,
            last_event_ms: 0,
            reported_ms: 0,
            longest_gap_ms: 0,
            first_event_ms: None,
        });
        if is_idle {
            engine.start_step(self.now_ms as f64);
        }
        if self.learns {
            let target = key.clone();
            let percent = if is_slow { SLOWDOWN_PERCENT } else { 100 };
            self.handle(
                relay,
                dispatch::DispatchEvent::SlowdownHeard { target, percent },
            );
        }
    }

    fn finish_steps(&mut self) {
        let names: Vec<_> = self.engines.keys().cloned().collect();
        for name in names {
            let engine = self.engines.get_mut(&name).unwrap();
            let Some((end_ms, has_chunk)) = engine.step else {
                continue;
            };
            if end_ms > self.now_ms as f64 {
                continue;
            }
            let mut reports = Vec::new();
            let mut is_chunk_left = has_chunk;
            for stream in &mut engine.streams {
                if stream.prompt_left > 0 {
                    if std::mem::take(&mut is_chunk_left) {
                        stream.prompt_left = stream.prompt_left.saturating_sub(CHUNK_TOKENS);
                    }
                    continue;
                }
                stream.tokens += 1;
                if stream.tokens.is_multiple_of(EVENT_TOKENS) {
                    reports.extend(stream.record_event(self.now_ms, self.learns));
                }
            }
            let is_ended = |stream: &mut RunningStream| stream.tokens >= stream.total_tokens;
            let ended: Vec<_> = engine.streams.extract_if(.., is_ended).collect();
            engine.start_step(end_ms);
            let is_fast = engine.factor < 0.8;
            for (relay, event) in reports {
                self.handle(relay, event);
            }
            for stream in ended {
                self.end_stream(&stream, is_fast);
            }
        }
    }

    fn end_stream(&mut self, stream: &RunningStream, is_fast: bool) {
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
        match stream.is_long {
            true => {
                let is_late = u128::from(stream.longest_gap_ms) > TARGET_GAP.as_millis();
                outcome.long_streams += 1;
                outcome.late_long_streams += u32::from(is_late);
                outcome.long_streams_on_fast_engines += u32::from(is_fast);
            }
            false => {
                let waited_ms = stream.first_event_ms.unwrap() - stream.arrived_ms;
                let target_latency = fixtures::stream_demand(8).target_latency;
                outcome.short_streams += 1;
                outcome.late_short_streams +=
                    u32::from(u128::from(waited_ms) > target_latency.as_millis());
            }
        }
    }
}

impl RunningStream {
    /// Records an event and returns what the stream's relay is told.
    fn record_event(&mut self, now_ms: u64, learns: bool) -> Vec<(usize, dispatch::DispatchEvent)> {
        let call = self.call;
        let mut reports = Vec::new();
        match self.first_event_ms {
            Some(_) => {
                let gap_ms = now_ms - self.last_event_ms;
                self.longest_gap_ms = self.longest_gap_ms.max(gap_ms);
            }
            None => {
                self.first_event_ms = Some(now_ms);
                reports.push((self.relay, dispatch::DispatchEvent::Started { call }));
            }
        }
        self.last_event_ms = now_ms;
        if learns || now_ms - self.reported_ms >= UNLEARNABLE_INTERVAL_MS {
            self.reported_ms = now_ms;
            let events = self.tokens / EVENT_TOKENS;
            let progress = dispatch::DispatchEvent::Progressed { call, events };
            reports.push((self.relay, progress));
        }
        reports
    }
}
