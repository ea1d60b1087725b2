//! Load summary that the agent reports to gateways.

use std::time::Duration;

use kingcupfall_core::load;
use kingcupfall_core::measures;

use super::ForecastScheduler;

/// Upper bound of the reported times, in seconds.
const MAX_REPORTED_TIME_S: f64 = 3_600.0;

impl ForecastScheduler {
    pub(super) fn summary(&self) -> load::LoadSummary {
        let memory_forecast = self.forecast().peak() as u64
            + self.queue.expected_memory()
            + self.admitted.paused_memory();
        let queued = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        let memory_used = self.admitted.memory() + self.engine_memory.uncounted();

        load::LoadSummary {
            running: u32::try_from(self.admitted.active_count()).unwrap_or(u32::MAX),
            paused: u32::try_from(self.admitted.paused_count()).unwrap_or(u32::MAX),
            queued,
            memory_total: measures::TokenCount::new(self.engine_memory.total()),
            memory_used: measures::TokenCount::new(memory_used),
            memory_forecast: measures::TokenCount::new(
                memory_forecast + self.engine_memory.uncounted(),
            ),
            prefill_backlog: measures::TokenCount::new(self.admitted.prefill_tokens()),
            queue_delay: self.queue_delay(),
            remaining_time: self.engine_time(self.admitted_work() + self.queue.expected_cost()),
            attempt_time: self.engine_time(self.mean_attempt_work),
            cached: self.cached_prefixes.entries().to_vec(),
        }
    }

    /// Returns the time that the engine needs for all waiting work.
    pub(super) fn queue_delay(&self) -> Duration {
        self.engine_time(self.queue.expected_cost())
    }

    /// Returns the expected remaining work of running and paused streams, in token seconds.
    fn admitted_work(&self) -> f64 {
        self.admitted
            .streams()
            .map(|(work, slot)| {
                let curve = self.lengths.curve(slot);
                let remaining_tokens =
                    f64::from(curve.mean_remaining(work.generated_tokens as f32));
                let mean_memory = work.memory() as f64 + remaining_tokens / 2.0;
                mean_memory * remaining_tokens * self.step_time.step_s()
            })
            .sum()
    }

    /// Returns the time that the engine needs for `work` token seconds, at most one hour.
    ///
    /// Zero until the first report states the size of the engine's memory.
    fn engine_time(&self, work: f64) -> Duration {
        let capacity = self.engine_memory.capacity().max(1) as f64;
        match self.engine_memory.total() {
            0 => Duration::ZERO,
            _ => Duration::from_secs_f64((work / capacity).clamp(0.0, MAX_REPORTED_TIME_S)),
        }
    }
}
