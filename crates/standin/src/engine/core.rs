//! State of the stand-in engine, and the task that drives its model.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use kingcupfall_agent::protocol;
use kingcupfall_agent::shell::ShellClock;
use kingcupfall_core::engine;
use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_model::EngineModel;
use kingcupfall_model::EngineOutput;
use kingcupfall_model::SharedPrefix;
use kingcupfall_model::StreamRequest;
use tokio::sync::Notify;
use tokio::sync::mpsc;

use super::EngineConfig;
use super::EngineCounters;
use super::lengths;
use super::streams;
use crate::text;

/// Maximum number of cache events that are kept; readers miss older ones.
const MAX_CACHE_EVENTS: usize = 1_000;

/// Time between two samples of the load.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// State shared by the driver task and the HTTP handlers.
pub(super) struct EngineCore {
    config: EngineConfig,
    clock: ShellClock,
    state: Mutex<EngineState>,
    /// Wakes the driver task after a change.
    wake_up: Notify,
}

struct EngineState {
    model: EngineModel,
    streams: streams::StreamTable,
    lengths: lengths::LengthGenerator,
    loaded: Vec<protocol::LoadedModel>,
    role: engine::EngineRole,
    fencing: measures::FencingNumber,
    /// Accepted orders, oldest first.
    orders: Vec<protocol::OrderBody>,
    cache_events: VecDeque<engine::CacheEvent>,
    /// Number of the first event in `cache_events`.
    first_event_number: u64,
    /// Samples of the load, oldest first.
    load_samples: VecDeque<engine::EngineReport>,
    /// Times of tokens; `None` if they are not recorded.
    emissions: Option<Vec<TokenEmission>>,
    is_dead: bool,
}

/// Time at which a token was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenEmission {
    /// Stream of the token.
    pub stream: ids::AttemptId,
    /// Index of the token in the stream.
    pub index: measures::SequenceNumber,
    /// Time at which the token was passed to its connection.
    pub at: Instant,
}

/// Reason why a generation is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SubmitError {
    /// The engine is dead, possibly because of this prompt.
    Dead,
    /// The stream id is in use.
    Duplicate,
    /// The model is not loaded.
    UnknownModel,
}

impl EngineCore {
    /// Creates an engine without streams.
    pub(super) fn new(config: EngineConfig) -> Self {
        let state = EngineState {
            model: EngineModel::new(config.profile.clone(), config.seed),
            streams: streams::StreamTable::default(),
            lengths: lengths::LengthGenerator::new(config.lengths, config.seed),
            loaded: config.models.clone(),
            role: engine::EngineRole::Full,
            fencing: measures::FencingNumber::ZERO,
            orders: Vec::new(),
            cache_events: VecDeque::new(),
            first_event_number: 0,
            load_samples: VecDeque::new(),
            emissions: config.record_emissions.then(Vec::new),
            is_dead: false,
        };

        Self {
            config,
            clock: ShellClock::start(),
            state: Mutex::new(state),
            wake_up: Notify::new(),
        }
    }

    /// Starts a generation and returns the receiver of its body.
    pub(super) fn submit(
        &self,
        body: &protocol::GenerateBody,
    ) -> Result<mpsc::UnboundedReceiver<streams::BodyPart>, SubmitError> {
        let mut state = self.lock();
        if self.crashes_engine(&body.prompt) {
            state.mark_dead();
        }
        if state.is_dead {
            return Err(SubmitError::Dead);
        }
        if state.streams.contains(body.stream) {
            return Err(SubmitError::Duplicate);
        }
        if !state.loaded.iter().any(|loaded| loaded.model == body.model) {
            return Err(SubmitError::UnknownModel);
        }

        let plan = state.lengths.plan(body.max_tokens);
        let parts = state.streams.insert(body.stream, plan.reason);
        let request = stream_request(body, plan.tokens);
        state.model.submit(self.clock.now(), request);
        drop(state);
        self.wake_up.notify_one();
        Ok(parts)
    }

    /// Pauses a stream; returns false if there is none with this id.
    pub(super) fn pause(&self, stream: ids::AttemptId) -> bool {
        let mut state = self.lock();
        state.model.pause(stream);
        state.streams.contains(stream)
    }

    /// Resumes a stream; returns false if there is none with this id.
    pub(super) fn resume(&self, stream: ids::AttemptId) -> bool {
        let mut state = self.lock();
        state.model.resume(self.clock.now(), stream);
        let is_known = state.streams.contains(stream);
        drop(state);
        self.wake_up.notify_one();
        is_known
    }

    /// Cancels a stream; returns false if there is none with this id.
    pub(super) fn cancel(&self, stream: ids::AttemptId) -> bool {
        let mut state = self.lock();
        state.model.cancel(stream);
        state.streams.cancel(stream)
    }

    /// Returns the newest sample of the load that is at least `report_lag` old, or the oldest one.
    pub(super) fn load(&self) -> protocol::LoadBody {
        let now = self.clock.now();
        let state = self.lock();
        let is_due =
            |sample: &&engine::EngineReport| now.since(sample.taken_at) >= self.config.report_lag;
        let report = state
            .load_samples
            .iter()
            .rev()
            .find(is_due)
            .or_else(|| state.load_samples.front())
            .copied()
            .unwrap_or_else(|| state.model.report(now));

        let age = now.since(report.taken_at).as_millis();
        protocol::LoadBody {
            age_ms: u64::try_from(age).unwrap_or(u64::MAX),
            running: report.running,
            waiting: report.waiting,
            memory_used: report.memory_used,
            memory_total: report.memory_total,
            preemptions: report.preemptions,
        }
    }

    /// Returns the cache events from number `after` on that are still kept.
    pub(super) fn cache_events(&self, after: u64) -> protocol::CacheBody {
        let state = self.lock();
        let skipped = usize::try_from(after.saturating_sub(state.first_event_number));
        let events = state
            .cache_events
            .iter()
            .skip(skipped.unwrap_or(usize::MAX))
            .copied()
            .collect();

        protocol::CacheBody {
            next: state.first_event_number + state.cache_events.len() as u64,
            events,
        }
    }

    /// Executes an order. Returns false, without effect, if the engine checks fencing numbers and
    /// this one is not newer than the last.
    pub(super) fn handle_order(&self, body: protocol::OrderBody) -> bool {
        let mut state = self.lock();
        let is_stale = match self.config.fencing {
            engine::FencingMode::Checked => body.fencing <= state.fencing,
            engine::FencingMode::Ignored => false,
        };
        if is_stale {
            return false;
        }

        state.fencing = state.fencing.max(body.fencing);
        state.apply_order(&body.order);
        state.orders.push(body);
        true
    }

    /// Returns the role and the loaded models; `None` if the engine is dead.
    pub(super) fn health(&self) -> Option<protocol::HealthBody> {
        let state = self.lock();
        let body = protocol::HealthBody {
            fencing: state.fencing,
            role: state.role,
            models: state.loaded.clone(),
        };
        (!state.is_dead).then_some(body)
    }

    /// Returns the recorded times of tokens and removes them.
    pub(super) fn take_emissions(&self) -> Vec<TokenEmission> {
        match &mut self.lock().emissions {
            Some(emissions) => std::mem::take(emissions),
            None => Vec::new(),
        }
    }

    /// Breaks all streams and refuses all further generations.
    pub(super) fn kill(&self) {
        self.lock().mark_dead();
        self.wake_up.notify_one();
    }

    /// Returns the counters of streams.
    pub(super) fn counters(&self) -> EngineCounters {
        self.lock().streams.counters()
    }

    /// Returns the accepted orders, oldest first.
    pub(super) fn orders(&self) -> Vec<protocol::OrderBody> {
        self.lock().orders.clone()
    }

    /// Returns the number of streams, including paused ones.
    pub(super) fn stream_count(&self) -> usize {
        self.lock().streams.len()
    }

    /// Returns the number of tokens that a running stream has generated; zero if it is unknown.
    pub(super) fn generated_tokens(&self, stream: ids::AttemptId) -> measures::TokenCount {
        self.lock().streams.generated_tokens(stream)
    }

    fn crashes_engine(&self, prompt: &str) -> bool {
        match &self.config.crash_marker {
            Some(marker) => prompt.contains(marker.as_ref()),
            None => false,
        }
    }

    fn lock(&self) -> MutexGuard<'_, EngineState> {
        // The state stays usable after a panic of a handler.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Drives the model of the engine until the engine is dead.
pub(super) async fn run(core: Arc<EngineCore>) {
    let mut outputs = Vec::new();
    let mut sample_at = core.clock.now();

    loop {
        let now = core.clock.now();
        let next = {
            let mut state = core.lock();
            if state.is_dead {
                return;
            }
            state.model.advance(now, &mut outputs);
            state.forward_outputs(&mut outputs);
            if now >= sample_at {
                state.sample_load(now, core.config.report_lag);
                sample_at = now + SAMPLE_INTERVAL;
            }
            state.model.step_ends_at()
        };

        let wake_at = next.map_or(sample_at, |step| step.min(sample_at));
        let sleep_time = wake_at.since(core.clock.now());
        tokio::select! {
            () = tokio::time::sleep(sleep_time) => {}
            () = core.wake_up.notified() => {}
        }
    }
}

impl EngineState {
    /// Passes tokens and ends to their streams, and keeps cache events.
    fn forward_outputs(&mut self, outputs: &mut Vec<EngineOutput>) {
        for output in outputs.drain(..) {
            match output {
                EngineOutput::Token { attempt, index, .. } => {
                    let text = text::token_text(attempt, index);
                    self.record_emission(attempt, index);
                    if !self.streams.send_token(attempt, index, text) {
                        self.model.cancel(attempt);
                        self.streams.cancel(attempt);
                    }
                }
                EngineOutput::Ended { attempt, .. } => self.streams.finish(attempt),
                EngineOutput::CacheChanged(event) => self.push_cache_event(event),
            }
        }
    }

    fn record_emission(&mut self, stream: ids::AttemptId, index: measures::SequenceNumber) {
        if let Some(emissions) = &mut self.emissions {
            let at = Instant::now();
            emissions.push(TokenEmission { stream, index, at });
        }
    }

    fn push_cache_event(&mut self, event: engine::CacheEvent) {
        self.cache_events.push_back(event);
        if self.cache_events.len() > MAX_CACHE_EVENTS {
            self.cache_events.pop_front();
            self.first_event_number += 1;
        }
    }

    fn sample_load(&mut self, now: time::Timestamp, lag: Duration) {
        self.load_samples.push_back(self.model.report(now));
        // Keeps the newest sample that is at least `lag` old at the front.
        while self
            .load_samples
            .get(1)
            .is_some_and(|second| now.since(second.taken_at) >= lag)
        {
            self.load_samples.pop_front();
        }
    }

    fn apply_order(&mut self, order: &engine::EngineOrder) {
        match order {
            engine::EngineOrder::LoadModel { model, version } => {
                self.loaded.retain(|loaded| loaded.model != *model);
                self.loaded.push(protocol::LoadedModel {
                    model: model.clone(),
                    version: version.clone(),
                    adapters: Vec::new(),
                });
            }
            engine::EngineOrder::LoadAdapter { model, adapter } => {
                for loaded in &mut self.loaded {
                    if loaded.model == *model && !loaded.adapters.contains(adapter) {
                        loaded.adapters.push(adapter.clone());
                    }
                }
            }
            engine::EngineOrder::ChangeRole { role } => self.role = *role,
        }
    }

    fn mark_dead(&mut self) {
        self.is_dead = true;
        self.streams.break_all();
    }
}

fn stream_request(
    body: &protocol::GenerateBody,
    output_tokens: measures::TokenCount,
) -> StreamRequest {
    let prefix = SharedPrefix {
        hash: body.prefix,
        tokens: body.prompt_tokens,
    };

    StreamRequest {
        attempt: body.stream,
        prompt_tokens: body.prompt_tokens,
        prefix: Some(prefix),
        output_tokens,
        priority: body.priority,
        prefill_chunk: body.prefill_chunk,
    }
}
