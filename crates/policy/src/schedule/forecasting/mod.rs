//! Scheduler that forecasts the memory of streams of unknown length.

mod admission;
mod pausing;
mod summary;

use std::time::Duration;

use kingcupfall_core::engine;
use kingcupfall_core::ids;
use kingcupfall_core::load;
use kingcupfall_core::time;

use super::ScheduleDecision;
use super::WorkEnd;
use super::WorkScheduler;
use super::WorkTicket;
use super::cached::CachedPrefixes;
use super::engine_view::EngineView;
use super::length;
use super::pace::StepPace;
use super::queue::WaitingQueue;
use super::queue::WaitingWork;
use super::running::RunningTable;
use super::shares::OrganisationShares;

/// Longest time between two looks at the queue while nothing but tokens comes.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Standard deviations of forecast memory that are kept free.
const OVERFLOW_DEVIATIONS: f32 = 1.25;

/// Time between tokens that a batch is held under, in seconds.
const GAP_TARGET_S: f64 = 0.038;

/// Time for which a large stream makes room for several late ones, once in its life.
const YIELD_TIME: Duration = Duration::from_secs(60);

/// Longest short answer, in tokens.
const SHORT_TOKENS: f32 = 64.0;

/// Greatest chance that work that is called short has a longer answer.
const SHORT_RISK: f32 = 0.1;

/// Weight of one attempt in the mean work of attempts.
const ATTEMPT_WORK_WEIGHT: f64 = 0.05;

/// Which decisions a [`ForecastScheduler`] takes, and how.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ScheduleSettings {
    /// Whether lengths are learnt; otherwise the prior stands for all.
    pub learns_lengths: bool,
    /// Whether admission looks at forecast memory; otherwise only at memory now.
    pub forecasts: bool,
    /// Standard deviations of forecast memory that are kept free.
    pub overflow_deviations: f32,
    /// Whether prompts are processed in chunks.
    pub chunks_prefill: bool,
    /// Whether a stream is paused before the engine would preempt one.
    pub pauses: bool,
    /// Whether organisations have fair shares; otherwise all wait in one order.
    pub shares_fairly: bool,
    /// Whether short work may pass work that does not fit yet.
    pub backfills: bool,
    /// Time for which a large stream makes room for several late ones; zero for never.
    pub yield_time: Duration,
    /// Time between tokens that a batch is held under, in seconds.
    pub gap_target_s: f64,
}

impl Default for ScheduleSettings {
    fn default() -> Self {
        Self {
            learns_lengths: true,
            forecasts: true,
            overflow_deviations: OVERFLOW_DEVIATIONS,
            chunks_prefill: true,
            pauses: true,
            shares_fairly: true,
            backfills: true,
            yield_time: YIELD_TIME,
            gap_target_s: GAP_TARGET_S,
        }
    }
}

/// Scheduler that admits a stream only while memory is forecast to suffice until enough others end.
pub struct ForecastScheduler {
    settings: ScheduleSettings,
    book: length::LengthBook,
    queue: WaitingQueue,
    running: RunningTable,
    shares: OrganisationShares,
    pace: StepPace,
    engine: EngineView,
    cached: CachedPrefixes,
    /// Whether something came that may let work in.
    is_changed: bool,
    next_look: time::Timestamp,
    /// Mean work of attempts, in token seconds.
    attempt_work: f64,
}

impl ForecastScheduler {
    /// Makes a scheduler that has learnt nothing.
    pub fn new(settings: ScheduleSettings) -> Self {
        Self {
            settings,
            book: length::LengthBook::new(),
            queue: WaitingQueue::default(),
            running: RunningTable::default(),
            shares: OrganisationShares::default(),
            pace: StepPace::new(),
            engine: EngineView::default(),
            cached: CachedPrefixes::default(),
            is_changed: false,
            next_look: time::Timestamp::ZERO,
            attempt_work: 0.0,
        }
    }

    fn make_work(&mut self, now: time::Timestamp, ticket: WorkTicket) -> WaitingWork {
        let slot = length_key(&ticket).map(|key| self.book.slot(&key));
        let tokens = slot.map_or(0.0, |slot| f64::from(self.book.mean_tokens(slot)));
        let memory = ticket.prompt_tokens.get() as f64 + tokens / 2.0;
        let cost = memory * tokens * self.pace.step_s();
        WaitingWork {
            ticket,
            slot,
            since: now,
            is_short: slot.is_none_or(|slot| self.is_short(slot)),
            cost,
            memory: memory as u64,
        }
    }
}

impl ForecastScheduler {
    fn is_short(&self, slot: length::LengthSlot) -> bool {
        let log_chance = self.book.curve(slot).log_survival(SHORT_TOKENS);
        log_chance.exp() <= SHORT_RISK
    }
}

impl WorkScheduler for ForecastScheduler {
    fn submit(&mut self, now: time::Timestamp, ticket: WorkTicket) {
        let work = self.make_work(now, ticket);
        self.attempt_work += (work.cost - self.attempt_work) * ATTEMPT_WORK_WEIGHT;
        let organisation = work.ticket.tag.organisation.clone();
        if self.queue.insert(work) {
            self.shares.enter(&organisation);
        }
        self.is_changed = true;
    }

    fn record_tokens(&mut self, now: time::Timestamp, attempt: ids::AttemptId, count: u64) {
        let last = self.running.get(attempt).and_then(|work| work.last_token);
        if let Some(last) = last {
            self.pace.record_gap(last, now);
        }
        let Some(work) = self.running.record_tokens(now, attempt, count) else {
            return;
        };
        if let Some(slot) = work.slot
            && self.settings.learns_lengths
        {
            self.book.record_progress(slot, work.generated);
        }
    }

    fn end(&mut self, _now: time::Timestamp, attempt: ids::AttemptId, end: WorkEnd) {
        self.is_changed = true;
        if self.queue.remove(attempt).is_some() {
            return;
        }
        let Some(work) = self.running.remove(attempt) else {
            return;
        };
        match end {
            WorkEnd::Finished => {
                if let Some(slot) = work.slot
                    && self.settings.learns_lengths
                {
                    self.book.record_end(slot, work.generated);
                }
            }
            // Its own length is not known; the buckets that it passed are counted.
            WorkEnd::Cancelled => {}
            WorkEnd::Lost => self.cached.clear(),
        }
    }

    fn observe_report(&mut self, _now: time::Timestamp, report: &engine::EngineReport) {
        self.is_changed |= self.engine.total() == 0;
        self.engine.observe(report);
    }

    fn observe_cache(&mut self, _now: time::Timestamp, event: &engine::CacheEvent) {
        self.cached.observe(event);
    }

    fn decide(&mut self, now: time::Timestamp, decisions: &mut Vec<ScheduleDecision>) {
        self.engine.sample(now, self.running.memory());
        self.pause_overflow(now, decisions);
        if !self.is_changed && now < self.next_look {
            return;
        }

        self.is_changed = false;
        self.next_look = now + LOOK_INTERVAL;
        self.refuse_hopeless(now, decisions);
        self.resume_paused(now, decisions);
        self.admit_waiting(now, decisions);
    }

    fn summarize(&self, _now: time::Timestamp) -> load::LoadSummary {
        self.summary()
    }
}

fn length_key(ticket: &WorkTicket) -> Option<length::LengthKey> {
    Some(length::LengthKey {
        model: ticket.model.clone()?,
        organisation: ticket.tag.organisation.clone(),
        class: ticket.tag.class.clone(),
    })
}
