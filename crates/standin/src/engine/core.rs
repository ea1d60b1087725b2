//! State of the stand-in engine, and the task that advances it.

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

/// Cache events that are kept for readers; older ones are lost to them.
const CACHE_EVENT_LIMIT: usize = 1_000;

/// Time between two samples of the load.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// State that the driver task and the HTTP handlers share.
pub(super) struct EngineCore {
    config: EngineConfig,
    clock: ShellClock,
    state: Mutex<EngineState>,
    wake: Notify,
}

struct EngineState {
    model: EngineModel,
    streams: streams::StreamTable,
    lengths: lengths::LengthGenerator,
    loaded: Vec<protocol::LoadedModel>,
    role: engine::EngineRole,
    fencing: measures::FencingNumber,
    orders: Vec<protocol::OrderBody>,
    cache_events: VecDeque<engine::CacheEvent>,
    /// Number of the first event in `cache_events`.
    first_event: u64,
    samples: VecDeque<engine::EngineReport>,
    /// Times of tokens, when they are recorded.
    emissions: Option<Vec<TokenEmission>>,
    dead: bool,
}

/// When a token was given out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenEmission {
    /// Stream of the token.
    pub stream: ids::AttemptId,
    /// Its place.
    pub index: measures::SequenceNumber,
    /// When it was given to its connection.
    pub at: Instant,
}

/// Why a generation is not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SubmitError {
    /// The engine is dead, or has just been killed by the prompt.
    Dead,
    /// The id is in use.
    Duplicate,
    /// The model is not loaded.
    UnknownModel,
}

impl EngineCore {
    /// Makes an idle engine.
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
            first_event: 0,
            samples: VecDeque::new(),
            emissions: config.record_emissions.then(Vec::new),
            dead: false,
        };

        Self {
            config,
            clock: ShellClock::start(),
            state: Mutex::new(state),
            wake: Notify::new(),
        }
    }

    /// Takes a generation and returns its body.
    pub(super) fn submit(
        &self,
        body: &protocol::GenerateBody,
    ) -> Result<mpsc::UnboundedReceiver<streams::BodyPart>, SubmitError> {
        let mut state = self.lock();
        if self.is_fatal(&body.prompt) {
            state.die();
        }
        if state.dead {
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
        self.wake.notify_one();
        Ok(parts)
    }

    /// Pauses a stream; returns whether it is known.
    pub(super) fn pause(&self, stream: ids::AttemptId) -> bool {
        let mut state = self.lock();
        state.model.pause(stream);
        state.streams.contains(stream)
    }

    /// Resumes a stream; returns whether it is known.
    pub(super) fn resume(&self, stream: ids::AttemptId) -> bool {
        let mut state = self.lock();
        state.model.resume(self.clock.now(), stream);
        let is_known = state.streams.contains(stream);
        drop(state);
        self.wake.notify_one();
        is_known
    }

    /// Cancels a stream; returns whether it was known.
    pub(super) fn cancel(&self, stream: ids::AttemptId) -> bool {
        let mut state = self.lock();
        state.model.cancel(stream);
        state.streams.cancel(stream)
    }

    /// Returns the load as it was some time ago.
    pub(super) fn load(&self) -> protocol::LoadBody {
        let now = self.clock.now();
        let state = self.lock();
        let is_due =
            |sample: &&engine::EngineReport| now.since(sample.taken_at) >= self.config.report_lag;
        let report = state
            .samples
            .iter()
            .rev()
            .find(is_due)
            .or_else(|| state.samples.front())
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

    /// Returns the cache events from number `after` on, as far as they are kept.
    pub(super) fn cache_events(&self, after: u64) -> protocol::CacheBody {
        let state = self.lock();
        let skipped = usize::try_from(after.saturating_sub(state.first_event));
        let events = state
            .cache_events
            .iter()
            .skip(skipped.unwrap_or(usize::MAX))
            .copied()
            .collect();

        protocol::CacheBody {
            next: state.first_event + state.cache_events.len() as u64,
            events,
        }
    }

    /// Takes an order; returns whether it was taken.
    pub(super) fn order(&self, body: protocol::OrderBody) -> bool {
        let mut state = self.lock();
        let is_refused = match self.config.fencing {
            engine::FencingMode::Checked => body.fencing <= state.fencing,
            engine::FencingMode::Ignored => false,
        };
        if is_refused {
            return false;
        }

        state.fencing = state.fencing.max(body.fencing);
        state.obey(&body.order);
        state.orders.push(body);
        true
    }

    /// Returns what the engine has loaded; `None` when it is dead.
    pub(super) fn health(&self) -> Option<protocol::HealthBody> {
        let state = self.lock();
        let body = protocol::HealthBody {
            fencing: state.fencing,
            role: state.role,
            models: state.loaded.clone(),
        };
        (!state.dead).then_some(body)
    }

    /// Takes the times of the tokens that were recorded.
    pub(super) fn take_emissions(&self) -> Vec<TokenEmission> {
        match &mut self.lock().emissions {
            Some(emissions) => std::mem::take(emissions),
            None => Vec::new(),
        }
    }

    /// Breaks all streams, and takes nothing more.
    pub(super) fn kill(&self) {
        self.lock().die();
        self.wake.notify_one();
    }

    /// Returns the counts.
    pub(super) fn counters(&self) -> EngineCounters {
        self.lock().streams.counters()
    }

    /// Returns the orders that were taken.
    pub(super) fn orders(&self) -> Vec<protocol::OrderBody> {
        self.lock().orders.clone()
    }

    /// Returns the number of streams.
    pub(super) fn streams(&self) -> usize {
        self.lock().streams.len()
    }

    /// Returns how many tokens of a stream were generated.
    pub(super) fn generated(&self, stream: ids::AttemptId) -> measures::TokenCount {
        self.lock().streams.generated(stream)
    }

    fn is_fatal(&self, prompt: &str) -> bool {
        match &self.config.crash_marker {
            Some(marker) => prompt.contains(marker.as_ref()),
            None => false,
        }
    }

    fn lock(&self) -> MutexGuard<'_, EngineState> {
        // The state stays usable when a handler has panicked.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Advances the engine until it is dead.
pub(super) async fn run(core: Arc<EngineCore>) {
    let mut outputs = Vec::new();
    let mut sample_at = core.clock.now();

    loop {
        let now = core.clock.now();
        let next = {
            let mut state = core.lock();
            if state.dead {
                return;
            }
            state.model.advance(now, &mut outputs);
            state.hand_out(&mut outputs);
            if now >= sample_at {
                state.sample(now, core.config.report_lag);
                sample_at = now + SAMPLE_INTERVAL;
            }
            state.model.step_ends_at()
        };

        let wake_at = next.map_or(sample_at, |step| step.min(sample_at));
        let pause = wake_at.since(core.clock.now());
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = core.wake.notified() => {}
        }
    }
}

impl EngineState {
    fn hand_out(&mut self, outputs: &mut Vec<EngineOutput>) {
        for output in outputs.drain(..) {
            match output {
                EngineOutput::Token { attempt, index, .. } => {
                    let text = text::token_text(attempt, index);
                    self.note_emission(attempt, index);
                    if !self.streams.give_token(attempt, index, text) {
                        self.model.cancel(attempt);
                        self.streams.cancel(attempt);
                    }
                }
                EngineOutput::Ended { attempt, .. } => self.streams.finish(attempt),
                EngineOutput::CacheChanged(event) => self.keep_event(event),
            }
        }
    }

    fn note_emission(&mut self, stream: ids::AttemptId, index: measures::SequenceNumber) {
        if let Some(emissions) = &mut self.emissions {
            let at = Instant::now();
            emissions.push(TokenEmission { stream, index, at });
        }
    }

    fn keep_event(&mut self, event: engine::CacheEvent) {
        self.cache_events.push_back(event);
        if self.cache_events.len() > CACHE_EVENT_LIMIT {
            self.cache_events.pop_front();
            self.first_event += 1;
        }
    }

    fn sample(&mut self, now: time::Timestamp, lag: Duration) {
        self.samples.push_back(self.model.report(now));
        // The newest sample that is old enough stays at the front.
        while self
            .samples
            .get(1)
            .is_some_and(|second| now.since(second.taken_at) >= lag)
        {
            self.samples.pop_front();
        }
    }

    fn obey(&mut self, order: &engine::EngineOrder) {
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

    fn die(&mut self) {
        self.dead = true;
        self.streams.cut_all();
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
