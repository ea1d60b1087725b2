//! Which waiting work is admitted, and which is refused.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;

use super::super::ScheduleDecision;
use super::super::forecast;
use super::super::length;
use super::super::queue;
use super::super::running;
use super::ForecastScheduler;

/// Streams that are admitted before the first report tells the engine's memory.
const BLIND_STREAMS: usize = 8;

/// Tokens that each stream may add before the agent hears of the first.
pub(super) const STEP_SLACK: u64 = 2;

/// Wait for the first token that callers are meant to stay under.
pub(super) const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(1_500);

/// Time between tokens that is held even when first tokens are late, in seconds.
const GAP_LIMIT_S: f64 = 0.1;

/// Share of memory in use beyond which an engine is crowded.
const CROWDED_SHARE: f64 = 0.75;

/// Prompts that a crowded engine processes at once.
const PREFILLS_CROWDED: usize = 1;

/// Prompts that an engine processes at once otherwise.
const PREFILLS_LIMIT: usize = 4;

/// Streams beside which a suspect is admitted at once.
const SUSPECT_NEIGHBOURS: usize = 2;

/// Longest wait of a suspect for its neighbours to end.
const SUSPECT_WAIT: Duration = Duration::from_secs(20);

/// Wait that a caller of refused work is told at least.
const RETRY_AFTER_LEAST: Duration = Duration::from_secs(1);

impl ForecastScheduler {
    /// Admits waiting work in order, as long as it fits.
    pub(super) fn admit_waiting(
        &mut self,
        now: time::Timestamp,
        decisions: &mut Vec<ScheduleDecision>,
    ) {
        if self.queue.is_empty() || self.running.has_untested_suspect() {
            return;
        }
        if let Some((attempt, since)) = self.queue.suspect() {
            self.admit_suspect(now, attempt, since, decisions);
            return;
        }
        self.yield_large(now, decisions);
        let mut forecast = self.forecast();
        while let Some(attempt) = self.choose(now, &forecast) {
            let Some(work) = self.queue.remove(attempt) else {
                return;
            };
            if let Some(stream) = self.stream_forecast(&work) {
                forecast.add(&stream);
            }
            self.admit(&work, decisions);
        }
    }

    /// Refuses work whose start deadline will pass before it can start.
    pub(super) fn refuse_hopeless(
        &mut self,
        now: time::Timestamp,
        decisions: &mut Vec<ScheduleDecision>,
    ) {
        for attempt in self.queue.overdue(now) {
            let retry_after = self.queue_delay().max(RETRY_AFTER_LEAST);
            self.queue.remove(attempt);
            decisions.push(ScheduleDecision::Refuse {
                attempt,
                retry_after,
            });
        }
    }

    /// Forecasts the memory of all streams that are not paused.
    pub(super) fn forecast(&self) -> forecast::MemoryForecast {
        let mut forecast = forecast::MemoryForecast::default();
        for (_, work) in self.running.active() {
            if let Some(slot) = work.slot {
                forecast.add(&self.running_forecast(work, slot));
            }
        }
        forecast
    }

    /// Says whether a stream fits beside `forecast`.
    pub(super) fn fits(
        &self,
        forecast: &forecast::MemoryForecast,
        stream: &forecast::StreamForecast,
        memory: u64,
    ) -> bool {
        if self.engine.total() == 0 {
            return self.running.active_count() < BLIND_STREAMS;
        }
        if self.running.active_count() == 0 {
            return true;
        }
        if !self.has_room(memory) {
            return false;
        }
        let streams = self.running.active_count() as u64 + 1;
        let capacity = self.engine.capacity().saturating_sub(STEP_SLACK * streams);
        let deviations = self.settings.overflow_deviations;
        !self.settings.forecasts || forecast.fits(stream, capacity as f32, deviations)
    }

    /// Says whether so much memory is free now.
    fn has_room(&self, memory: u64) -> bool {
        let streams = self.running.active_count() as u64 + 1;
        let slack = STEP_SLACK * streams;
        self.running.memory() + memory + slack <= self.engine.capacity()
    }

    pub(super) fn running_forecast(
        &self,
        work: &running::RunningWork,
        slot: length::LengthSlot,
    ) -> forecast::StreamForecast {
        let memory = work.memory() as f32;
        forecast::StreamForecast::new(self.book.curve(slot), memory, work.generated as f32)
    }

    pub(super) fn choose(
        &self,
        now: time::Timestamp,
        forecast: &forecast::MemoryForecast,
    ) -> Option<ids::AttemptId> {
        let mut queues: Vec<(f64, &queue::OrganisationQueue)> = self
            .queue
            .organisations()
            .map(|(name, queue)| (self.shares.virtual_time(name), queue))
            .collect();
        queues.sort_by(|(first, _), (second, _)| first.total_cmp(second));

        if let Some(work) = self.choose_short(&queues) {
            return Some(work.ticket.attempt);
        }
        let head = self.choose_head(&queues)?;
        self.can_admit(now, head, forecast)
            .then_some(head.ticket.attempt)
    }

    /// Returns short work that fits now. It ends before streams beside it have grown by much, so
    /// it need not wait for room that lasts.
    fn choose_short<'a>(
        &self,
        queues: &[(f64, &'a queue::OrganisationQueue)],
    ) -> Option<&'a queue::WaitingWork> {
        if !self.settings.backfills {
            return None;
        }
        queues
            .iter()
            .flat_map(|(_, queue)| queue.short())
            .find(|work| self.has_room(work.ticket.prompt_tokens.get()))
    }

    /// Returns the work that is next by right.
    fn choose_head<'a>(
        &self,
        queues: &[(f64, &'a queue::OrganisationQueue)],
    ) -> Option<&'a queue::WaitingWork> {
        if self.settings.shares_fairly {
            return queues.first().and_then(|(_, queue)| queue.iter().next());
        }
        queues
            .iter()
            .filter_map(|(_, queue)| queue.iter().next())
            .min_by_key(|work| queue::order_key(work))
    }

    fn can_admit(
        &self,
        now: time::Timestamp,
        work: &queue::WaitingWork,
        forecast: &forecast::MemoryForecast,
    ) -> bool {
        let Some(stream) = self.stream_forecast(work) else {
            return true;
        };
        let is_held =
            self.is_resume_due(now) || self.is_prefill_full() || self.is_batch_full(now, work);
        if is_held {
            return false;
        }
        self.fits(forecast, &stream, work.ticket.prompt_tokens.get())
    }

    /// Says whether as many prompts are being processed as may be at once.
    pub(super) fn is_prefill_full(&self) -> bool {
        let limit = match self.is_crowded() {
            true => PREFILLS_CROWDED,
            false => PREFILLS_LIMIT,
        };
        self.settings.chunks_prefill && self.running.prefilling_count() >= limit
    }

    /// Says whether memory is short.
    fn is_crowded(&self) -> bool {
        let capacity = self.engine.capacity() as f64;
        self.running.memory() as f64 > capacity * CROWDED_SHARE
    }

    /// Says whether one more stream would lengthen the gaps between tokens beyond the target.
    fn is_batch_full(&self, now: time::Timestamp, work: &queue::WaitingWork) -> bool {
        let step_s = self.pace.step_s();
        let is_late = now.since(work.since) >= FIRST_TOKEN_TARGET;
        let limit_s = match is_late {
            true => GAP_LIMIT_S.max(self.settings.gap_target_s),
            false => self.settings.gap_target_s,
        };
        step_s > limit_s && self.running.active_count() > 0
    }

    fn stream_forecast(&self, work: &queue::WaitingWork) -> Option<forecast::StreamForecast> {
        let prompt = work.ticket.prompt_tokens.get() as f32;
        let curve = self.book.curve(work.slot?);
        Some(forecast::StreamForecast::new(curve, prompt, 0.0))
    }

    /// Admits a suspect once few streams are left that would be lost with it.
    ///
    /// Nothing else is admitted meanwhile, and until the suspect has brought out a token.
    fn admit_suspect(
        &mut self,
        now: time::Timestamp,
        attempt: ids::AttemptId,
        since: time::Timestamp,
        decisions: &mut Vec<ScheduleDecision>,
    ) {
        let is_alone = self.running.active_count() <= SUSPECT_NEIGHBOURS;
        if !is_alone && now.since(since) < SUSPECT_WAIT {
            return;
        }
        if let Some(work) = self.queue.remove(attempt) {
            self.admit(&work, decisions);
        }
    }

    fn admit(&mut self, work: &queue::WaitingWork, decisions: &mut Vec<ScheduleDecision>) {
        let tag = &work.ticket.tag;
        let service = work.cost / f64::from(tag.priority.get()).exp2();
        self.shares.charge(&tag.organisation, service, tag.weight);
        if let Some(prefix) = work.ticket.prefix {
            self.cached.touch(prefix);
        }

        let attempt = work.ticket.attempt;
        let prompt = work.ticket.prompt_tokens;
        let chunk = self.pace.chunk(prompt, self.is_crowded());
        let can_chunk = self.settings.chunks_prefill && work.slot.is_some();
        decisions.push(ScheduleDecision::Admit {
            attempt,
            prefill_chunk: can_chunk.then_some(chunk),
        });

        let running = running::RunningWork {
            slot: work.slot,
            priority: tag.priority,
            suspect: work.ticket.suspect,
            prompt: prompt.get(),
            generated: 0,
            last_token: None,
            resume_due: None,
            pauses: 0,
        };
        self.running.insert(attempt, running);
    }
}
