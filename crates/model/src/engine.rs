//! Engine model that processes a batch of running streams in steps.

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

/// Output of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineOutput {
    /// A stream generated a token.
    Token {
        /// When its step ended.
        at: time::Timestamp,
        /// Stream it belongs to.
        attempt: ids::AttemptId,
        /// Index of the token in the stream, from zero.
        index: measures::SequenceNumber,
    },
    /// A stream ended with its last token.
    Ended {
        /// When its step ended.
        at: time::Timestamp,
        /// Stream that ended.
        attempt: ids::AttemptId,
    },
    /// The prefix cache changed; events that are lost are not output.
    CacheChanged(engine::CacheEvent),
}

/// State of the step in progress.
#[derive(Debug, Clone)]
struct StepState {
    ends_at: time::Timestamp,
    /// Streams that generate a token when the step ends.
    decoding: Vec<ids::AttemptId>,
}

/// Model of an engine with continuous batching.
///
/// Between steps, the engine admits waiting streams as long as their tokens fit into memory. A
/// running stream needs memory for one more token in each step. When memory is full, the engine
/// preempts the newest stream and recomputes its tokens when it is admitted again. An empty batch
/// admits one stream of any size.
#[derive(Debug)]
pub struct EngineModel {
    profile: EngineProfile,
    rng: ChaCha8Rng,
    cache: PrefixCache,
    running: BTreeMap<ids::AttemptId, StreamState>,
    waiting: BTreeMap<ids::AttemptId, StreamState>,
    paused: BTreeMap<ids::AttemptId, StreamState>,
    step: Option<StepState>,
    next_arrival_number: u64,
    preemptions: u64,
    pending_cache_events: Vec<engine::CacheEvent>,
}

impl EngineModel {
    /// Creates an idle engine; `seed` determines which cache events are lost.
    pub fn new(profile: EngineProfile, seed: u64) -> Self {
        Self {
            cache: PrefixCache::new(profile.prefix_cache_tokens),
            profile,
            rng: ChaCha8Rng::seed_from_u64(seed),
            running: BTreeMap::new(),
            waiting: BTreeMap::new(),
            paused: BTreeMap::new(),
            step: None,
            next_arrival_number: 0,
            preemptions: 0,
            pending_cache_events: Vec::new(),
        }
    }

    /// Adds a stream to those that wait for admission.
    pub fn submit(&mut self, now: time::Timestamp, request: StreamRequest) {
        let attempt = request.attempt;
        let state = StreamState::new(request, self.next_arrival_number);
        self.next_arrival_number += 1;
        self.waiting.insert(attempt, state);
        self.start_step(now);
    }

    /// Pauses a stream and frees its memory, until [`Self::resume`] is called.
    pub fn pause(&mut self, attempt: ids::AttemptId) {
        let state = self
            .running
            .remove(&attempt)
            .or_else(|| self.waiting.remove(&attempt));
        if let Some(mut state) = state {
            state.discard_computed();
            self.paused.insert(attempt, state);
        }
    }

    /// Puts a paused stream back in the queue; its tokens are recomputed once it is admitted.
    pub fn resume(&mut self, now: time::Timestamp, attempt: ids::AttemptId) {
        if let Some(state) = self.paused.remove(&attempt) {
            self.waiting.insert(attempt, state);
            self.start_step(now);
        }
    }

    /// Removes a stream without any output.
    pub fn cancel(&mut self, attempt: ids::AttemptId) {
        self.running.remove(&attempt);
        self.waiting.remove(&attempt);
        self.paused.remove(&attempt);
    }

    /// Returns when the step in progress ends; `None` if the engine is idle.
    pub fn step_ends_at(&self) -> Option<time::Timestamp> {
        self.step.as_ref().map(|step| step.ends_at)
    }

    /// Completes the steps that end by `now` and appends their outputs.
    pub fn advance(&mut self, now: time::Timestamp, outputs: &mut Vec<EngineOutput>) {
        while let Some(step) = self.step.take_if(|step| step.ends_at <= now) {
            self.finish_step(&step, outputs);
            self.start_step(step.ends_at);
        }
        self.emit_cache_events(outputs);
    }

    /// Returns the load at `now`. Callers model the delay of the report themselves.
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
        self.running.values().map(StreamState::memory_tokens).sum()
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
            let processed = state.remaining_prefill.min(chunk);
            state.remaining_prefill -= processed;
            prefill += processed;
            if state.remaining_prefill == 0 {
                decoding.push(*attempt);
            }
        }

        self.step = Some(StepState {
            ends_at: now + self.step_duration(prefill),
            decoding,
        });
    }

    fn finish_step(&mut self, step: &StepState, outputs: &mut Vec<EngineOutput>) {
        for attempt in &step.decoding {
            // A stream that was paused or cancelled during the step generates no token.
            let Some(state) = self.running.get_mut(attempt) else {
                continue;
            };
            if state.generated == 0
                && let Some(prefix) = state.request.prefix
            {
                self.cache.store(prefix, &mut self.pending_cache_events);
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
        let mut free_tokens = self
            .profile
            .memory_tokens
            .get()
            .saturating_sub(self.memory_used());

        while let Some(attempt) = self.next_waiting() {
            let needed_tokens = self.waiting[&attempt].memory_tokens() + 1;
            let is_batch_empty = self.running.is_empty();
            if needed_tokens > free_tokens && !is_batch_empty {
                return;
            }
            let Some(mut state) = self.waiting.remove(&attempt) else {
                return;
            };
            self.apply_prefix_cache(&mut state);
            free_tokens = free_tokens.saturating_sub(needed_tokens);
            self.running.insert(attempt, state);
        }
    }

    fn next_waiting(&self) -> Option<ids::AttemptId> {
        self.waiting
            .values()
            .min_by_key(|state| {
                (
                    std::cmp::Reverse(state.request.priority),
                    state.arrival_number,
                )
            })
            .map(|state| state.request.attempt)
    }

    fn apply_prefix_cache(&mut self, state: &mut StreamState) {
        let Some(prefix) = state.request.prefix else {
            return;
        };
        if self.cache.touch(prefix.hash) {
            let cached_tokens = prefix.tokens.get().min(state.remaining_prefill);
            state.remaining_prefill -= cached_tokens;
        }
    }

    fn preempt_overflow(&mut self) {
        let memory_tokens = self.profile.memory_tokens.get();
        while self.running.len() > 1
            && self.memory_used() + self.running.len() as u64 > memory_tokens
        {
            let newest = self
                .running
                .values()
                .max_by_key(|state| state.arrival_number)
                .map(|state| state.request.attempt);
            let Some(mut state) = newest.and_then(|attempt| self.running.remove(&attempt)) else {
                return;
            };
            state.discard_computed();
            self.preemptions += 1;
            self.waiting.insert(state.request.attempt, state);
        }
    }

    fn step_duration(&self, prefill: u64) -> Duration {
        let streams = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        let kilotokens = self.memory_used() as f64 / TOKENS_PER_KILOTOKEN;
        let prefill_time = prefill as f64 / self.profile.prefill_tokens_per_s;

        self.profile.step_base
            + self.profile.step_per_stream * streams
            + self.profile.step_per_kilotoken.mul_f64(kilotokens)
            + Duration::from_secs_f64(prefill_time)
    }

    fn emit_cache_events(&mut self, outputs: &mut Vec<EngineOutput>) {
        for event in self.pending_cache_events.drain(..) {
            let is_lost = self.rng.random::<f64>() < self.profile.cache_event_loss;
            if !is_lost {
                outputs.push(EngineOutput::CacheChanged(event));
            }
        }
    }
}
