//! Pauses and resumption of streams.
//!
//! The scheduler pauses streams before memory overflows, because the engine would otherwise
//! preempt one without regard to priority or cost.

use std::cmp::Reverse;

use kingcupfall_core::ids;
use kingcupfall_core::time;

use super::super::ScheduleDecision;
use super::ForecastScheduler;
use super::admission::FIRST_TOKEN_TARGET;
use super::admission::STEP_SLACK_TOKENS;

/// Number of paused streams at which no further large stream is paused for other work.
const MAX_PAUSED_STREAMS: usize = 4;

/// Minimum number of pieces of work behind their first-token target to pause a large stream.
const MIN_WORK_BEHIND_TARGET: u64 = 3;

/// Minimum memory of a large stream, as a multiple of the mean expected memory of the work behind
/// its first-token target.
const LARGE_STREAM_RATIO: u64 = 3;

impl ForecastScheduler {
    /// Pauses streams until the next steps of the others fit in memory.
    pub(super) fn pause_overflow(
        &mut self,
        now: time::Timestamp,
        decisions: &mut Vec<ScheduleDecision>,
    ) {
        if !self.settings.pauses_streams || self.engine_memory.total() == 0 {
            return;
        }
        while self.admitted.active_count() > 1 && self.is_overflowing() {
            let Some(attempt) = self.choose_pause_victim() else {
                return;
            };
            self.admitted.pause(attempt, now);
            decisions.push(ScheduleDecision::Pause { attempt });
        }
    }

    /// Resumes paused streams in the order in which they are due, as long as they fit.
    ///
    /// While other work waits, streams are resumed only once the first of them is due.
    pub(super) fn resume_paused(
        &mut self,
        now: time::Timestamp,
        decisions: &mut Vec<ScheduleDecision>,
    ) {
        if self.admitted.first_paused().is_none()
            || (!self.queue.is_empty() && !self.is_resume_due(now))
        {
            return;
        }
        let mut forecast = self.forecast();
        while let Some((attempt, work)) = self.admitted.first_paused() {
            let Some(slot) = work.slot else {
                return;
            };
            let stream = self.admitted_forecast(work, slot);
            if !self.fits(&forecast, &stream, work.memory()) {
                return;
            }
            forecast.add(&stream);
            self.admitted.resume(attempt);
            decisions.push(ScheduleDecision::Resume { attempt });
        }
    }

    /// Returns true if a paused stream is due, so that it is resumed before new work is admitted.
    pub(super) fn is_resume_due(&self, now: time::Timestamp) -> bool {
        self.admitted
            .first_paused()
            .and_then(|(_, work)| work.resume_due)
            .is_some_and(|due| now >= due)
    }

    /// Pauses one large stream, once and for a bounded time, when several pieces of work behind
    /// their first-token target can run in its place.
    ///
    /// The pause stalls one stream, but without it all of the waiting work is stalled.
    pub(super) fn pause_large_stream(
        &mut self,
        now: time::Timestamp,
        decisions: &mut Vec<ScheduleDecision>,
    ) {
        let is_enabled =
            self.settings.pauses_streams && !self.settings.large_stream_pause.is_zero();
        let is_busy = self.admitted.paused_count() >= MAX_PAUSED_STREAMS || self.is_prefill_full();
        if !is_enabled || is_busy {
            return;
        }
        let Some(mean_memory) = self.mean_memory_behind_target(now) else {
            return;
        };
        if self.choose_next(now, &self.forecast()).is_some() {
            return;
        }

        let min_memory = mean_memory * LARGE_STREAM_RATIO;
        let largest = self
            .admitted
            .active_streams()
            .filter(|(_, work)| work.pause_count == 0 && work.memory() >= min_memory)
            .max_by_key(|(attempt, work)| (work.memory(), *attempt))
            .map(|(attempt, _)| attempt);
        if let Some(attempt) = largest {
            self.admitted
                .pause(attempt, now + self.settings.large_stream_pause);
            decisions.push(ScheduleDecision::Pause { attempt });
        }
    }

    /// Returns the mean expected memory of work behind its first-token target, in tokens, or
    /// `None` if there is too little such work to pause a stream for it.
    fn mean_memory_behind_target(&self, now: time::Timestamp) -> Option<u64> {
        let (count, memory) = self
            .queue
            .organisations()
            .flat_map(|(_, queue)| queue.iter())
            .filter(|work| now.since(work.submitted_at) >= FIRST_TOKEN_TARGET)
            .fold((0, 0), |(count, memory), work| {
                (count + 1, memory + work.expected_memory)
            });
        (count >= MIN_WORK_BEHIND_TARGET).then(|| memory / count)
    }

    fn is_overflowing(&self) -> bool {
        let slack = STEP_SLACK_TOKENS * self.admitted.active_count() as u64;
        self.admitted.memory() + slack > self.engine_memory.capacity()
    }

    /// Chooses the stream whose pause costs least: the one with the lowest priority, then the
    /// fewest pauses, then the least memory to compute again.
    fn choose_pause_victim(&self) -> Option<ids::AttemptId> {
        self.admitted
            .active_streams()
            .min_by_key(|(attempt, work)| {
                (
                    work.priority,
                    work.pause_count,
                    work.memory(),
                    Reverse(*attempt),
                )
            })
            .map(|(attempt, _)| attempt)
    }
}
