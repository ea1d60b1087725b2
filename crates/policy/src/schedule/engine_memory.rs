//! Estimate of the engine's memory from delayed reports and the agent's own count.

use std::collections::VecDeque;
use std::time::Duration;

use kingcupfall_core::engine;
use kingcupfall_core::time;

/// Time between two samples of the agent's own count.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of samples, which reach further back than the delay of any report.
const MAX_SAMPLES: usize = 128;

/// Weight of one report in the moving average of the difference.
const DIFFERENCE_WEIGHT: f64 = 0.2;

/// Estimate of the engine's memory at present, in tokens.
///
/// Reports arrive late, but the agent counts the tokens of the streams that it admitted at once.
/// Each report is compared with that count at the time when the report was taken. Memory that the
/// engine held beyond the count then is assumed to be still in use.
#[derive(Debug, Default)]
pub struct EngineMemory {
    total: u64,
    samples: VecDeque<(time::Timestamp, u64)>,
    mean_difference: f64,
}

impl EngineMemory {
    /// Records the agent's own count, at most once per sample interval.
    pub fn sample(&mut self, now: time::Timestamp, memory: u64) {
        let is_due = self
            .samples
            .back()
            .is_none_or(|(sampled_at, _)| now.since(*sampled_at) >= SAMPLE_INTERVAL);
        if !is_due {
            return;
        }
        self.samples.push_back((now, memory));
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// Applies a report; one older than all samples changes only the total.
    pub fn observe(&mut self, report: &engine::EngineReport) {
        self.total = report.memory_total.get();
        let Some(counted) = self.count_at(report.taken_at) else {
            return;
        };
        let difference = report.memory_used.get() as f64 - counted as f64;
        self.mean_difference += (difference - self.mean_difference) * DIFFERENCE_WEIGHT;
    }

    /// Returns the size of the engine's memory; zero until the first report.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Returns the memory available to the streams of this agent, in use or free.
    pub fn capacity(&self) -> u64 {
        self.total.saturating_sub(self.uncounted())
    }

    /// Returns the memory that the engine uses beyond the agent's count.
    pub fn uncounted(&self) -> u64 {
        self.mean_difference.max(0.0) as u64
    }

    fn count_at(&self, taken_at: time::Timestamp) -> Option<u64> {
        let index = self
            .samples
            .partition_point(|(sampled_at, _)| *sampled_at <= taken_at);
        let (_, memory) = self.samples.get(index.checked_sub(1)?)?;
        Some(*memory)
    }
}
