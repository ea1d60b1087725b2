//! Admission of waiting work under the memory forecast, and refusal of overdue work.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;

use super::super::ScheduleDecision;
use super::super::admitted;
use super::super::forecast;
use super::super::length;
use super::super::queue;
use super::ForecastScheduler;

/// Maximum number of streams before the first report states the size of the engine's memory.
const MAX_STREAMS_BEFORE_REPORT: usize = 8;

/// Memory left free for each stream, because a stream may add tokens before the agent receives the
/// first of them.
pub(super) const STEP_SLACK_TOKENS: u64 = 2;

/// Target for the time to first token.
pub(super) const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(1_500);

/// Limit of the time between tokens, in seconds, while admitting work that is behind its
/// first-token target.
const MAX_GAP_S: f64 = 0.1;

/// Share of memory in use above which an engine counts as crowded.
const CROWDED_MEMORY_SHARE: f64 = 0.75;

/// Maximum number of prompts that a crowded engine processes at once.
const MAX_PREFILLS_CROWDED: usize = 1;

/// Maximum number of prompts that an engine processes at once while it is not crowded.
const MAX_PREFILLS: usize = 4;

/// Maximum number of active streams beside which a suspect is admitted without waiting.
const MAX_SUSPECT_NEIGHBOURS: usize = 2;

/// Time after which a suspect is admitted even though more streams are still active.
const MAX_SUSPECT_WAIT: Duration = Duration::from_secs(20);

/// Lower bound of the retry delay returned to callers of refused work.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

impl ForecastScheduler {
    /// Admits waiting work in order until the next piece does not fit.
    pub(super) fn admit_waiting(
        &mut self,
        now: time::Timestamp,
        decisions: &mut Vec<ScheduleDecision>,
    ) {
        if self.queue.is_empty() || self.admitted.has_suspect_in_prefill() {
            return;
        }
        if let Some((attempt, submitted_at)) = self.queue.suspect() {
            self.admit_suspect(now, attempt, submitted_at, decisions);
            return;
        }
        self.pause_large_stream(now, decisions);
        let mut forecast = self.forecast();
        while let Some(attempt) = self.choose_next(now, &forecast) {
            let Some(work) = self.queue.remove(attempt) else {
                return;
            };
            if let Some(stream) = self.stream_forecast(&work) {
                forecast.add(&stream);
            }
            self.admit(&work, decisions);
        }
    }

    /// Refuses work whose start deadline has passed.
    pub(super) fn refuse_overdue(
        &mut self,
        now: time::Timestamp,
        decisions: &mut Vec<ScheduleDecision>,
    ) {
        for attempt in self.queue.overdue(now) {
            let retry_after = self.queue_delay().max(MIN_RETRY_AFTER);
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
        for (_, work) in self.admitted.active_streams() {
            if let Some(slot) = work.slot {
                forecast.add(&self.admitted_forecast(work, slot));
            }
        }
        forecast
    }

    /// Returns true if a stream that holds `memory` tokens now fits in addition to `forecast`.
    ///
    /// A stream always fits on an idle engine, so work larger than its memory runs alone.
    pub(super) fn fits(
        &self,
        forecast: &forecast::MemoryForecast,
        stream: &forecast::StreamForecast,
        memory: u64,
    ) -> bool {
        if self.engine_memory.total() == 0 {
            return self.admitted.active_count() < MAX_STREAMS_BEFORE_REPORT;
        }
        if self.admitted.active_count() == 0 {
            return true;
        }
        if !self.has_capacity(memory) {
            return false;
        }
        let streams = self.admitted.active_count() as u64 + 1;
        let capacity = self
            .engine_memory
            .capacity()
            .saturating_sub(STEP_SLACK_TOKENS * streams);
        let deviations = self.settings.overflow_deviations;
        !self.settings.forecasts_memory || forecast.fits(stream, capacity as f32, deviations)
    }

    /// Returns true if `memory` tokens are free now, whatever the forecast.
    fn has_capacity(&self, memory: u64) -> bool {
        let streams = self.admitted.active_count() as u64 + 1;
        let slack = STEP_SLACK_TOKENS * streams;
        self.admitted.memory() + memory + slack <= self.engine_memory.capacity()
    }

    pub(super) fn admitted_forecast(
        &self,
        work: &admitted::AdmittedWork,
        slot: length::LengthSlot,
    ) -> forecast::StreamForecast {
        let memory = work.memory() as f32;
        forecast::StreamForecast::new(
            self.lengths.curve(slot),
            memory,
            work.generated_tokens as f32,
        )
    }

    pub(super) fn choose_next(
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
            return Some(work.submitted.attempt);
        }
        let head = self.choose_head(&queues)?;
        self.can_admit(now, head, forecast)
            .then_some(head.submitted.attempt)
    }

    /// Returns the first short work that fits in memory now.
    ///
    /// Short work ends before the running streams grow much, so the forecast is not consulted.
    fn choose_short<'a>(
        &self,
        queues: &[(f64, &'a queue::OrganisationQueue)],
    ) -> Option<&'a queue::WaitingWork> {
        if !self.settings.backfills_short_work {
            return None;
        }
        queues
            .iter()
            .flat_map(|(_, queue)| queue.short())
            .find(|work| self.has_capacity(work.submitted.prompt_tokens.get()))
    }

    /// Returns the first work of the organisation with the least virtual time, or without fair
    /// shares the first work of all organisations.
    fn choose_head<'a>(
        &self,
        queues: &[(f64, &'a queue::OrganisationQueue)],
    ) -> Option<&'a queue::WaitingWork> {
        if self.settings.uses_fair_shares {
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
        let is_blocked =
            self.is_resume_due(now) || self.is_prefill_full() || self.is_batch_full(now, work);
        if is_blocked {
            return false;
        }
        self.fits(forecast, &stream, work.submitted.prompt_tokens.get())
    }

    /// Returns true if the engine is processing as many prompts as it may at once.
    pub(super) fn is_prefill_full(&self) -> bool {
        let limit = match self.is_crowded() {
            true => MAX_PREFILLS_CROWDED,
            false => MAX_PREFILLS,
        };
        self.settings.chunks_prefill && self.admitted.prefill_count() >= limit
    }

    fn is_crowded(&self) -> bool {
        let capacity = self.engine_memory.capacity() as f64;
        self.admitted.memory() as f64 > capacity * CROWDED_MEMORY_SHARE
    }

    /// Returns true if steps already take longer than the limit of the time between tokens.
    ///
    /// The limit is higher for work that is behind its first-token target.
    fn is_batch_full(&self, now: time::Timestamp, work: &queue::WaitingWork) -> bool {
        let step_s = self.step_time.step_s();
        let is_behind_target = now.since(work.submitted_at) >= FIRST_TOKEN_TARGET;
        let limit_s = match is_behind_target {
            true => MAX_GAP_S.max(self.settings.gap_target_s),
            false => self.settings.gap_target_s,
        };
        step_s > limit_s && self.admitted.active_count() > 0
    }

    fn stream_forecast(&self, work: &queue::WaitingWork) -> Option<forecast::StreamForecast> {
        let prompt = work.submitted.prompt_tokens.get() as f32;
        let curve = self.lengths.curve(work.slot?);
        Some(forecast::StreamForecast::new(curve, prompt, 0.0))
    }

    /// Admits a suspect once few streams would be lost if it crashed the engine.
    ///
    /// Nothing else is admitted while the suspect waits or until it has generated its first token.
    fn admit_suspect(
        &mut self,
        now: time::Timestamp,
        attempt: ids::AttemptId,
        submitted_at: time::Timestamp,
        decisions: &mut Vec<ScheduleDecision>,
    ) {
        let has_few_neighbours = self.admitted.active_count() <= MAX_SUSPECT_NEIGHBOURS;
        if !has_few_neighbours && now.since(submitted_at) < MAX_SUSPECT_WAIT {
            return;
        }
        if let Some(work) = self.queue.remove(attempt) {
            self.admit(&work, decisions);
        }
    }

    fn admit(&mut self, work: &queue::WaitingWork, decisions: &mut Vec<ScheduleDecision>) {
        let tag = &work.submitted.tag;
        // Each level of priority halves the cost charged to the organisation.
        let charged_cost = work.expected_cost / f64::from(tag.priority.get()).exp2();
        self.shares
            .charge(&tag.organisation, charged_cost, tag.weight);
        if let Some(prefix) = work.submitted.prefix {
            self.cached_prefixes.record_use(prefix);
        }

        let attempt = work.submitted.attempt;
        let prompt = work.submitted.prompt_tokens;
        let chunk = self.step_time.prefill_chunk(prompt, self.is_crowded());
        let can_chunk = self.settings.chunks_prefill && work.slot.is_some();
        decisions.push(ScheduleDecision::Admit {
            attempt,
            prefill_chunk: can_chunk.then_some(chunk),
        });

        let admitted_work = admitted::AdmittedWork {
            slot: work.slot,
            priority: tag.priority,
            suspect: work.submitted.suspect,
            prompt_tokens: prompt.get(),
            generated_tokens: 0,
            last_token_at: None,
            resume_due: None,
            pause_count: 0,
        };
        self.admitted.insert(attempt, admitted_work);
    }
}
