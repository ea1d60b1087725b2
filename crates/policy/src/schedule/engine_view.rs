//! What lagging reports say of the engine's memory, beside what the agent counts itself.

use std::collections::VecDeque;
use std::time::Duration;

use kingcupfall_core::engine;
use kingcupfall_core::time;

/// Time between two samples of the agent's own count.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Samples that are kept; they reach further back than reports lag.
const SAMPLE_LIMIT: usize = 128;

/// Weight of one report in the difference.
const DIFFERENCE_WEIGHT: f64 = 0.2;

/// Memory of the engine as it is now.
///
/// The agent counts the tokens of the streams that it admitted, and knows of each without delay. A
/// report is compared with that count at the time at which the report was true; what the engine
/// held beyond it then is taken to be held now.
#[derive(Debug, Default)]
pub struct EngineView {
    total: u64,
    samples: VecDeque<(time::Timestamp, u64)>,
    difference: f64,
}

impl EngineView {
    /// Notes the agent's own count.
    pub fn sample(&mut self, now: time::Timestamp, memory: u64) {
        let is_due = self
            .samples
            .back()
            .is_none_or(|(at, _)| now.since(*at) >= SAMPLE_INTERVAL);
        if !is_due {
            return;
        }
        self.samples.push_back((now, memory));
        if self.samples.len() > SAMPLE_LIMIT {
            self.samples.pop_front();
        }
    }

    /// Takes a report.
    pub fn observe(&mut self, report: &engine::EngineReport) {
        self.total = report.memory_total.get();
        let Some(own) = self.count_at(report.taken_at) else {
            return;
        };
        let beyond = report.memory_used.get() as f64 - own as f64;
        self.difference += (beyond - self.difference) * DIFFERENCE_WEIGHT;
    }

    /// Returns the memory of the engine; zero until the first report.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Returns the memory that streams of this agent may use.
    pub fn capacity(&self) -> u64 {
        self.total.saturating_sub(self.foreign())
    }

    /// Returns the memory that the engine holds beyond the agent's count.
    pub fn foreign(&self) -> u64 {
        self.difference.max(0.0) as u64
    }

    fn count_at(&self, at: time::Timestamp) -> Option<u64> {
        let index = self.samples.partition_point(|(time, _)| *time <= at);
        let (_, memory) = self.samples.get(index.checked_sub(1)?)?;
        Some(*memory)
    }
}
