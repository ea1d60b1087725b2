//! What gateways are told of the load.

use std::time::Duration;

use kingcupfall_core::load;
use kingcupfall_core::measures;

use super::ForecastScheduler;

/// Longest time that is told.
const TIME_LIMIT_S: f64 = 3_600.0;

impl ForecastScheduler {
    pub(super) fn summary(&self) -> load::LoadSummary {
        let forecast =
            self.forecast().peak() as u64 + self.queue.memory() + self.running.paused_memory();
        let queued = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        let used = self.running.memory() + self.engine.foreign();

        load::LoadSummary {
            running: u32::try_from(self.running.active_count()).unwrap_or(u32::MAX),
            paused: u32::try_from(self.running.paused_count()).unwrap_or(u32::MAX),
            queued,
            memory_total: measures::TokenCount::new(self.engine.total()),
            memory_used: measures::TokenCount::new(used),
            memory_forecast: measures::TokenCount::new(forecast + self.engine.foreign()),
            prefill_backlog: measures::TokenCount::new(self.running.prefilling()),
            queue_delay: self.queue_delay(),
            remaining_time: self.work_time(self.running_work() + self.queue.cost()),
            attempt_time: self.work_time(self.attempt_work),
            cached: self.cached.entries().to_vec(),
        }
    }

    /// Returns the time that all waiting work takes the engine.
    pub(super) fn queue_delay(&self) -> Duration {
        self.work_time(self.queue.cost())
    }

    /// Returns the memory that running and paused streams will yet use, in token seconds.
    fn running_work(&self) -> f64 {
        self.running
            .streams()
            .map(|(work, slot)| {
                let curve = self.book.curve(slot);
                let tokens = f64::from(curve.mean_remaining(work.generated as f32));
                let memory = work.memory() as f64 + tokens / 2.0;
                memory * tokens * self.pace.step_s()
            })
            .sum()
    }

    /// Returns the time in which the engine does work of so many token seconds.
    fn work_time(&self, work: f64) -> Duration {
        let capacity = self.engine.capacity().max(1) as f64;
        match self.engine.total() {
            0 => Duration::ZERO,
            _ => Duration::from_secs_f64((work / capacity).clamp(0.0, TIME_LIMIT_S)),
        }
    }
}
