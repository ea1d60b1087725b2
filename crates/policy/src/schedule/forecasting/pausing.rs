//! Pausing streams before the engine would preempt one blindly, and resuming them.

use std::cmp::Reverse;

use kingcupfall_core::ids;
use kingcupfall_core::time;

use super::super::ScheduleDecision;
use super::ForecastScheduler;
use super::admission::FIRST_TOKEN_TARGET;
use super::admission::STEP_SLACK;

/// Most paused streams beside which another one yields.
const YIELDED_LIMIT: usize = 4;

/// Late pieces of work from which on a large stream yields.
const YIELD_LATE_LEAST: u64 = 3;

/// Memory of a stream that yields, as a multiple of what late work needs.
const YIELD_RATIO: u64 = 3;

impl ForecastScheduler {
    /// Pauses streams until the next steps fit in memory.
    pub(super) fn pause_overflow(
        &mut self,
        now: time::Timestamp,
        decisions: &mut Vec<ScheduleDecision>,
    ) {
        if !self.settings.pauses || self.engine.total() == 0 {
            return;
        }
        while self.running.active_count() > 1 && self.is_overflowing() {
            let Some(attempt) = self.choose_pause() else {
                return;
            };
            self.running.pause(attempt, now);
            decisions.push(ScheduleDecision::Pause { attempt });
        }
    }

    /// Resumes paused streams in the order of their pauses, as long as they fit.
    pub(super) fn resume_paused(
        &mut self,
        now: time::Timestamp,
        decisions: &mut Vec<ScheduleDecision>,
    ) {
        if self.running.first_paused().is_none()
            || (!self.queue.is_empty() && !self.is_resume_due(now))
        {
            return;
        }
        let mut forecast = self.forecast();
        while let Some((attempt, work)) = self.running.first_paused() {
            let Some(slot) = work.slot else {
                return;
            };
            let stream = self.running_forecast(work, slot);
            if !self.fits(&forecast, &stream, work.memory()) {
                return;
            }
            forecast.add(&stream);
            self.running.resume(attempt);
            decisions.push(ScheduleDecision::Resume { attempt });
        }
    }

    /// Says whether a paused stream has waited so long that it goes before all new work.
    pub(super) fn is_resume_due(&self, now: time::Timestamp) -> bool {
        self.running
            .first_paused()
            .and_then(|(_, work)| work.resume_due)
            .is_some_and(|due| now >= due)
    }

    /// Pauses one large stream for a bounded time, once in its life, when several late ones can
    /// run in its place.
    ///
    /// The large one stalls; each of those that wait stalls as well, and they are more.
    pub(super) fn yield_large(
        &mut self,
        now: time::Timestamp,
        decisions: &mut Vec<ScheduleDecision>,
    ) {
        let is_allowed = self.settings.pauses && !self.settings.yield_time.is_zero();
        let is_busy = self.running.paused_count() >= YIELDED_LIMIT || self.is_prefill_full();
        if !is_allowed || is_busy {
            return;
        }
        let Some(memory) = self.late_memory(now) else {
            return;
        };
        if self.choose(now, &self.forecast()).is_some() {
            return;
        }

        let least = memory * YIELD_RATIO;
        let largest = self
            .running
            .active()
            .filter(|(_, work)| work.pauses == 0 && work.memory() >= least)
            .max_by_key(|(attempt, work)| (work.memory(), *attempt))
            .map(|(attempt, _)| attempt);
        if let Some(attempt) = largest {
            self.running.pause(attempt, now + self.settings.yield_time);
            decisions.push(ScheduleDecision::Pause { attempt });
        }
    }

    /// Returns the mean memory that late work needs, when there is enough of it.
    fn late_memory(&self, now: time::Timestamp) -> Option<u64> {
        let (count, memory) = self
            .queue
            .organisations()
            .flat_map(|(_, queue)| queue.iter())
            .filter(|work| now.since(work.since) >= FIRST_TOKEN_TARGET)
            .fold((0, 0), |(count, memory), work| {
                (count + 1, memory + work.memory)
            });
        (count >= YIELD_LATE_LEAST).then(|| memory / count)
    }

    fn is_overflowing(&self) -> bool {
        let slack = STEP_SLACK * self.running.active_count() as u64;
        self.running.memory() + slack > self.engine.capacity()
    }

    /// Chooses the stream whose pause costs least: of the lowest priority, paused least often, and
    /// with the least to compute again.
    fn choose_pause(&self) -> Option<ids::AttemptId> {
        self.running
            .active()
            .min_by_key(|(attempt, work)| {
                (work.priority, work.pauses, work.memory(), Reverse(*attempt))
            })
            .map(|(attempt, _)| attempt)
    }
}
