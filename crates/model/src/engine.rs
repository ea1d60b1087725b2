//! The engine: steps over a batch of running streams.

use std::collections::BTreeMap;
use std::time::Duration;

use kingcupfall_core::engine;
use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::EngineProfile;
use crate::PrefixCache;
use crate::StreamRequest;
use crate::stream::StreamState;

const TOKENS_PER_KILOTOKEN: f64 = 1_000.0;

/// What an engine brings out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineOutput {
    /// A token was generated.
    Token {
        /// When its step ended.
        at: time::Timestamp,
        /// Stream it belongs to.
        attempt: ids::AttemptId,
        /// Its place in the stream.
        index: measures::SequenceNumber,
    },
    /// A stream ended after its last token.
    Ended {
        /// When its step ended.
        at: time::Timestamp,
        /// Stream that ended.
        attempt: ids::AttemptId,
    },
    /// The prefix cache changed, and the event was not lost.
    Cache(engine::CacheEvent),
}

/// A step in progress.
#[derive(Debug, Clone)]
struct StepState {
    ends_at: time::Timestamp,
    /// Streams that generate a token at its end.
    decoding: Vec<ids::AttemptId>,
}

/// An engine with continuous batching.
///
/// Streams are admitted between steps as long as their tokens fit. A running stream takes one more
/// token of memory a step; when memory is full, the newest stream is preempted and computed again
/// later.
#[derive(Debug)]
pub struct EngineModel {
    profile: EngineProfile,
    generator: ChaCha8Rng,
    cache: PrefixCache,
    running: BTreeMap<ids::AttemptId, StreamState>,
    waiting: BTreeMap<ids::AttemptId, StreamState>,
    paused: BTreeMap<ids::AttemptId, StreamState>,
    step: Option<StepState>,
    next_arrival: u64,
    preemptions: u64,
    cache_changes: Vec<engine::CacheEvent>,
}

impl EngineModel {
    /// Makes an idle engine.
    pub fn new(profile: EngineProfile, seed: u64) -> Self {
        Self {
            cache: PrefixCache::new(profile.prefix_cache_tokens),
            profile,
            generator: ChaCha8Rng::seed_from_u64(seed),
            running: BTreeMap::new(),
            waiting: BTreeMap::new(),
            paused: BTreeMap::new(),
            step: None,
            next_arrival: 0,
            preemptions: 0,
            cache_changes: Vec::new(),
        }
    }

    /// Takes a stream.
    pub fn submit(&mut self, now: time::Timestamp, request: StreamRequest) {
        let attempt = request.attempt;
        let state = StreamState::new(request, self.next_arrival);
        self.next_arrival += 1;
        self.waiting.insert(attempt, state);
        self.start_step(now);
    }

    /// Pauses a stream and frees its memory.
    pub fn pause(&mut self, attempt: ids::AttemptId) {
        let state = self
            .running
            .remove(&attempt)
            .or_else(|| self.waiting.remove(&attempt));
        if let Some(mut state) = state {
            state.evict();
            self.paused.insert(attempt, state);
        }
    }

    /// Lets a paused stream go on; its tokens are computed again first.
    pub fn resume(&mut self, now: time::Timestamp, attempt: ids::AttemptId) {
        if let Some(state) = self.paused.remove(&attempt) {
            self.waiting.insert(attempt, state);
            self.start_step(now);
        }
    }

    /// Drops a stream.
    pub fn cancel(&mut self, attempt: ids::AttemptId) {
        self.running.remove(&attempt);
        self.waiting.remove(&attempt);
        self.paused.remove(&attempt);
    }

    /// Returns when the step in progress ends.
    pub fn next_step(&self) -> Option<time::Timestamp> {
        self.step.as_ref().map(|step| step.ends_at)
    }

    /// Ends the steps that are due at `now` and appends what they bring out.
    pub fn advance(&mut self, now: time::Timestamp, outputs: &mut Vec<EngineOutput>) {
        while let Some(step) = self.step.take_if(|step| step.ends_at <= now) {
            self.finish_step(&step, outputs);
            self.start_step(step.ends_at);
        }
        self.release_cache_events(outputs);
    }

    /// Returns the load at `now`; a caller that wants the lag adds it.
    pub fn report(&self, now: time::Timestamp) -> engine::EngineReport {
        engine::EngineReport {
            taken_at: now,
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            memory_used: measures::TokenCount::new(self.memory_used()),
            memory_total: self.profile.memory_tokens,
            preemptions: self.preemptions,
        }
    }

    /// Returns the number of preemptions so far.
    pub fn preemptions(&self) -> u64 {
        self.preemptions
    }

    fn memory_used(&self) -> u64 {
        self.running.values().map(StreamState::memory).sum()
    }

    fn start_step(&mut self, now: time::Timestamp) {
        if self.step.is_some() {
            return;
        }
        self.admit_waiting();
        self.preempt_overflow();
        if self.running.is_empty() {
            return;
        }

        let mut prefill = 0;
        let mut decoding = Vec::new();
        for (attempt, state) in &mut self.running {
            let chunk = state
                .request
                .prefill_chunk
                .map_or(u64::MAX, |chunk| chunk.get().max(1));
            let done = state.prefill_left.min(chunk);
            state.prefill_left -= done;
            prefill += done;
            if state.prefill_left == 0 {
                decoding.push(*attempt);
            }
        }

        self.step = Some(StepState {
            ends_at: now + self.step_time(prefill),
            decoding,
        });
    }

    fn finish_step(&mut self, step: &StepState, outputs: &mut Vec<EngineOutput>) {
        for attempt in &step.decoding {
            // A stream that was paused or cancelled in the step brings nothing out.
            let Some(state) = self.running.get_mut(attempt) else {
                continue;
            };
            if state.generated == 0
                && let Some(prefix) = state.request.prefix
            {
                self.cache.store(prefix, &mut self.cache_changes);
            }

            outputs.push(EngineOutput::Token {
                at: step.ends_at,
                attempt: *attempt,
                index: measures::SequenceNumber::new(state.generated),
            });
            state.generated += 1;
            if state.is_complete() {
                outputs.push(EngineOutput::Ended {
                    at: step.ends_at,
                    attempt: *attempt,
                });
                self.running.remove(attempt);
            }
        }
    }

    fn admit_waiting(&mut self) {
        let mut free = self
            .profile
            .memory_tokens
            .get()
            .saturating_sub(self.memory_used());

        while let Some(attempt) = self.first_waiting() {
            let need = self.waiting[&attempt].memory() + 1;
            let is_alone = self.running.is_empty();
            if need > free && !is_alone {
                return;
            }
            let Some(mut state) = self.waiting.remove(&attempt) else {
                return;
            };
            self.use_cache(&mut state);
            free = free.saturating_sub(need);
            self.running.insert(attempt, state);
        }
    }

    fn first_waiting(&self) -> Option<ids::AttemptId> {
        self.waiting
            .values()
            .min_by_key(|state| (std::cmp::Reverse(state.request.priority), state.arrival))
            .map(|state| state.request.attempt)
    }

    fn use_cache(&mut self, state: &mut StreamState) {
        let Some(prefix) = state.request.prefix else {
            return;
        };
        if self.cache.touch(prefix.hash) {
            let saved = prefix.tokens.get().min(state.prefill_left);
            state.prefill_left -= saved;
        }
    }

    fn preempt_overflow(&mut self) {
        let total = self.profile.memory_tokens.get();
        while self.running.len() > 1 && self.memory_used() + self.running.len() as u64 > total {
            let newest = self
                .running
                .values()
                .max_by_key(|state| state.arrival)
                .map(|state| state.request.attempt);
            let Some(mut state) = newest.and_then(|attempt| self.running.remove(&attempt)) else {
                return;
            };
            state.evict();
            self.preemptions += 1;
            self.waiting.insert(state.request.attempt, state);
        }
    }

    fn step_time(&self, prefill: u64) -> Duration {
        let streams = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        let kilotokens = self.memory_used() as f64 / TOKENS_PER_KILOTOKEN;
        let prefill_time = prefill as f64 / self.profile.prefill_tokens_per_s;

        self.profile.step_base
            + self.profile.step_per_stream * streams
            + self.profile.step_per_kilotoken.mul_f64(kilotokens)
            + Duration::from_secs_f64(prefill_time)
    }

    fn release_cache_events(&mut self, outputs: &mut Vec<EngineOutput>) {
        for event in self.cache_changes.drain(..) {
            let is_lost = self.generator.random::<f64>() < self.profile.cache_event_loss;
            if !is_lost {
                outputs.push(EngineOutput::Cache(event));
            }
        }
    }
}
