//! Memory of engines that long streams leave to short streams of more urgent calls.
//!
//! The load that this answers: more long streams than the engines hold. A long stream keeps its
//! memory for many seconds and takes what becomes free at any relay, so that a short stream finds
//! room nowhere within its target latency, although it would need it for less than a second.

use std::collections::BTreeMap;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;

use super::CallDemand;
use super::calls;
use super::load;

/// Window over which the arrivals of short streams are averaged: longer than the gaps between them
/// at a relay with few calls.
const ARRIVAL_WINDOW: Duration = Duration::from_secs(10);

/// Rate of urgent short streams at this relay, per second, from which long streams leave room.
const MIN_ARRIVALS_PER_S: f64 = 0.1;

/// Ratio of the target latencies from which a long stream leaves room. One that has to start as soon
/// as the short ones would be late in their place.
const MIN_LATENCY_RATIO: u32 = 2;

/// Weight of one stream in the average size.
const SIZE_WEIGHT: f64 = 0.1;

/// Memory left at each engine, in average short streams. One is replaced within a second, so that
/// the engines of a service together take several times as many as arrive in that time.
const STREAMS_PER_ENGINE: f64 = 1.0;

/// Maximum share of an engine's memory that is left free, however large the short streams are.
const MAX_MEMORY_SHARE: f64 = 0.125;

/// Short streams of the most urgent calls of a service.
#[derive(Debug, Clone, Copy)]
struct ShortStreams {
    rank: u8,
    target_latency: Duration,
    tokens: f64,
    arrivals: load::DecayingRate,
}

impl ShortStreams {
    /// Creates the record of the first stream of a rank.
    fn new(demand: &CallDemand, tokens: f64) -> Self {
        Self {
            rank: demand.rank,
            target_latency: demand.target_latency,
            tokens,
            arrivals: load::DecayingRate::default(),
        }
    }
}

/// Recent short streams of each service.
#[derive(Debug, Clone, Default)]
pub(super) struct UrgentStreams {
    services: BTreeMap<ids::ServiceName, ShortStreams>,
}

impl UrgentStreams {
    /// Records a call that arrives.
    pub(super) fn record_arrival(&mut self, now: time::Timestamp, demand: &CallDemand) {
        if demand.engine.is_none() || calls::is_long_stream(demand) {
            return;
        }
        let tokens = calls::initial_forecast_tokens(demand) as f64;
        let streams = self
            .services
            .entry(demand.service.clone())
            .or_insert_with(|| ShortStreams::new(demand, tokens));
        let is_idle = streams.arrivals.per_second(now, ARRIVAL_WINDOW) < MIN_ARRIVALS_PER_S;
        if demand.rank < streams.rank || is_idle && demand.rank != streams.rank {
            // What is known of streams of another rank says nothing about these.
            *streams = ShortStreams::new(demand, tokens);
        }
        if demand.rank == streams.rank {
            streams.tokens += SIZE_WEIGHT * (tokens - streams.tokens);
            streams.arrivals.add(now, ARRIVAL_WINDOW, 1.0);
        }
    }

    /// Returns the tokens that a new stream leaves free at an engine with this memory, in tokens.
    pub(super) fn headroom_tokens(
        &self,
        now: time::Timestamp,
        demand: &CallDemand,
        memory: u64,
    ) -> u64 {
        if !calls::is_long_stream(demand) {
            return 0;
        }
        let streams = self.services.get(&demand.service).filter(|streams| {
            let rate = streams.arrivals.per_second(now, ARRIVAL_WINDOW);
            streams.rank < demand.rank
                && demand.target_latency >= streams.target_latency * MIN_LATENCY_RATIO
                && rate >= MIN_ARRIVALS_PER_S
        });
        let room = streams.map_or(0.0, |streams| streams.tokens * STREAMS_PER_ENGINE);
        room.min(memory as f64 * MAX_MEMORY_SHARE) as u64
    }
}
