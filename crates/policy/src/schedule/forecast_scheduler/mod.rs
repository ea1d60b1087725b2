//! Scheduler that admits streams of unknown length by a forecast of the engine's memory.

mod admission;
mod pausing;
mod summary;

use std::time::Duration;

use kingcupfall_core::engine;
use kingcupfall_core::ids;
use kingcupfall_core::load;
use kingcupfall_core::time;

use super::ScheduleDecision;
use super::SubmittedWork;
use super::WorkOutcome;
use super::WorkScheduler;
use super::admitted::AdmittedTable;
use super::cached_prefixes::CachedPrefixes;
use super::engine_memory::EngineMemory;
use super::length;
use super::queue::WaitingQueue;
use super::queue::WaitingWork;
use super::shares::OrganisationShares;
use super::step_time::StepTimeEstimate;

/// Longest time between two checks of the queue while only tokens arrive.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Safety margin of the memory forecast, in standard deviations.
const OVERFLOW_DEVIATIONS: f32 = 1.25;

/// Target for the time between tokens, in seconds.
const GAP_TARGET_S: f64 = 0.038;

/// Time for which a large stream may be paused, once, to admit work behind its first-token target.
const LARGE_STREAM_PAUSE: Duration = Duration::from_secs(60);

/// Longest output of work that counts as short, in tokens.
const MAX_SHORT_TOKENS: f32 = 64.0;

/// Highest probability of a longer output at which work still counts as short.
const MAX_LONGER_PROBABILITY: f32 = 0.1;

/// Weight of one attempt in the moving average of expected work.
const ATTEMPT_WORK_WEIGHT: f64 = 0.05;

/// Features and targets of a [`ForecastScheduler`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ScheduleSettings {
    /// Whether output lengths are learnt; otherwise the prior is used for all work.
    pub learns_lengths: bool,
    /// Whether admission uses the memory forecast; otherwise only the memory in use now.
    pub forecasts_memory: bool,
    /// Safety margin of the memory forecast, in standard deviations.
    pub overflow_deviations: f32,
    /// Whether prompts are processed in chunks, and only a few at once.
    pub chunks_prefill: bool,
    /// Whether streams are paused, either before the engine would preempt one or to admit work
    /// behind its first-token target.
    pub pauses_streams: bool,
    /// Whether organisations get weighted fair shares; otherwise all work waits in one order.
    pub uses_fair_shares: bool,
    /// Whether short work may overtake work that does not fit yet.
    pub backfills_short_work: bool,
    /// Time for which a large stream may be paused, once, to admit several pieces of work behind
    /// their first-token target; zero disables such pauses.
    pub large_stream_pause: Duration,
    /// Target for the time between tokens, in seconds.
    pub gap_target_s: f64,
}

impl Default for ScheduleSettings {
    fn default() -> Self {
        Self {
            learns_lengths: true,
            forecasts_memory: true,
            overflow_deviations: OVERFLOW_DEVIATIONS,
            chunks_prefill: true,
            pauses_streams: true,
            uses_fair_shares: true,
            backfills_short_work: true,
            large_stream_pause: LARGE_STREAM_PAUSE,
            gap_target_s: GAP_TARGET_S,
        }
    }
}

/// Scheduler that admits streams as long as the forecast memory of all streams fits in the engine.
pub struct ForecastScheduler {
    settings: ScheduleSettings,
    lengths: length::LengthStatistics,
    queue: WaitingQueue,
    admitted: AdmittedTable,
    shares: OrganisationShares,
    step_time: StepTimeEstimate,
    engine_memory: EngineMemory,
    cached_prefixes: CachedPrefixes,
    /// Whether an event since the last check of the queue may allow an admission.
    may_admit: bool,
    next_queue_check: time::Timestamp,
    /// Moving average of the expected work of an attempt, in token seconds.
    mean_attempt_work: f64,
}

impl ForecastScheduler {
    /// Creates a scheduler without work that expects the prior length of all outputs.
    pub fn new(settings: ScheduleSettings) -> Self {
        Self {
            settings,
            lengths: length::LengthStatistics::new(),
            queue: WaitingQueue::default(),
            admitted: AdmittedTable::default(),
            shares: OrganisationShares::default(),
            step_time: StepTimeEstimate::new(),
            engine_memory: EngineMemory::default(),
            cached_prefixes: CachedPrefixes::default(),
            may_admit: false,
            next_queue_check: time::Timestamp::ZERO,
            mean_attempt_work: 0.0,
        }
    }

    fn estimate_work(&mut self, now: time::Timestamp, submitted: SubmittedWork) -> WaitingWork {
        let slot = length_key(&submitted).map(|key| self.lengths.slot(&key));
        let output_tokens = slot.map_or(0.0, |slot| f64::from(self.lengths.mean_tokens(slot)));
        let mean_memory = submitted.prompt_tokens.get() as f64 + output_tokens / 2.0;
        let expected_cost = mean_memory * output_tokens * self.step_time.step_s();
        WaitingWork {
            submitted,
            slot,
            submitted_at: now,
            is_short: slot.is_none_or(|slot| self.is_short(slot)),
            expected_cost,
            expected_memory: mean_memory as u64,
        }
    }
}

impl ForecastScheduler {
    fn is_short(&self, slot: length::LengthSlot) -> bool {
        let log_probability = self.lengths.curve(slot).log_survival(MAX_SHORT_TOKENS);
        log_probability.exp() <= MAX_LONGER_PROBABILITY
    }
}

impl WorkScheduler for ForecastScheduler {
    fn submit(&mut self, now: time::Timestamp, submitted: SubmittedWork) {
        let work = self.estimate_work(now, submitted);
        self.mean_attempt_work +=
            (work.expected_cost - self.mean_attempt_work) * ATTEMPT_WORK_WEIGHT;
        let organisation = work.submitted.tag.organisation.clone();
        if self.queue.insert(work) {
            self.shares.activate(&organisation);
        }
        self.may_admit = true;
    }

    fn record_tokens(&mut self, now: time::Timestamp, attempt: ids::AttemptId, count: u64) {
        let last_token_at = self
            .admitted
            .get(attempt)
            .and_then(|work| work.last_token_at);
        if let Some(last_token_at) = last_token_at {
            self.step_time.record_gap(last_token_at, now);
        }
        let Some(work) = self.admitted.record_tokens(now, attempt, count) else {
            return;
        };
        if let Some(slot) = work.slot
            && self.settings.learns_lengths
        {
            self.lengths.record_progress(slot, work.generated_tokens);
        }
    }

    fn end(&mut self, _now: time::Timestamp, attempt: ids::AttemptId, outcome: WorkOutcome) {
        self.may_admit = true;
        if self.queue.remove(attempt).is_some() {
            return;
        }
        let Some(work) = self.admitted.remove(attempt) else {
            return;
        };
        match outcome {
            WorkOutcome::Finished => {
                if let Some(slot) = work.slot
                    && self.settings.learns_lengths
                {
                    self.lengths.record_end(slot, work.generated_tokens);
                }
            }
            // The full length is unknown; the buckets that the stream passed are already counted.
            WorkOutcome::Cancelled => {}
            WorkOutcome::Lost => self.cached_prefixes.clear(),
        }
    }

    fn observe_report(&mut self, _now: time::Timestamp, report: &engine::EngineReport) {
        self.may_admit |= self.engine_memory.total() == 0;
        self.engine_memory.observe(report);
    }

    fn observe_cache(&mut self, _now: time::Timestamp, event: &engine::CacheEvent) {
        self.cached_prefixes.observe(event);
    }

    fn decide(&mut self, now: time::Timestamp, decisions: &mut Vec<ScheduleDecision>) {
        self.engine_memory.sample(now, self.admitted.memory());
        self.pause_overflow(now, decisions);
        if !self.may_admit && now < self.next_queue_check {
            return;
        }

        self.may_admit = false;
        self.next_queue_check = now + QUEUE_CHECK_INTERVAL;
        self.refuse_overdue(now, decisions);
        self.resume_paused(now, decisions);
        self.admit_waiting(now, decisions);
    }

    fn summarize(&self, _now: time::Timestamp) -> load::LoadSummary {
        self.summary()
    }
}

fn length_key(submitted: &SubmittedWork) -> Option<length::LengthKey> {
    Some(length::LengthKey {
        model: submitted.model.clone()?,
        organisation: submitted.tag.organisation.clone(),
        class: submitted.tag.class.clone(),
    })
}
