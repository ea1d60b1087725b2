//! Time of an engine's step, and how fast prompts are processed beside running streams.

use kingcupfall_core::measures;
use kingcupfall_core::time;

/// Step time that is expected before any is seen.
const STEP_EXPECTED_S: f64 = 0.025;

/// Weight of one gap in the mean.
const GAP_WEIGHT: f64 = 0.01;

/// Longest gap that counts as one step; longer ones come from pauses and stalls.
const GAP_LIMIT_S: f64 = 0.5;

/// Time in which a prompt is processed while the engine is not crowded.
const PREFILL_TIME_S: f64 = 0.8;

/// Least prompt tokens of one stream in one step.
const CHUNK_LEAST: u64 = 16;

/// Prompt tokens in one step while the engine is crowded.
const CHUNK_CROWDED: u64 = 350;

/// Mean time of the steps of one engine.
#[derive(Debug)]
pub struct StepPace {
    mean_s: f64,
}

impl StepPace {
    /// Makes a pace that has seen no step.
    pub const fn new() -> Self {
        Self {
            mean_s: STEP_EXPECTED_S,
        }
    }

    /// Notes the gap between two tokens of one stream.
    pub fn record_gap(&mut self, last: time::Timestamp, now: time::Timestamp) {
        let gap_s = now.since(last).as_secs_f64();
        if gap_s <= GAP_LIMIT_S {
            self.mean_s += (gap_s - self.mean_s) * GAP_WEIGHT;
        }
    }

    /// Returns the mean time of a step, in seconds.
    pub fn step_s(&self) -> f64 {
        self.mean_s
    }

    /// Returns the prompt tokens of a stream to process in one step.
    ///
    /// While there is room, a prompt is spread over as many steps as its caller has time for, so
    /// that it lengthens each step of its neighbours as little as it can. A crowded engine can't
    /// afford the memory that a slow prompt holds.
    pub fn chunk(&self, prompt: measures::TokenCount, is_crowded: bool) -> measures::TokenCount {
        if is_crowded {
            return measures::TokenCount::new(CHUNK_CROWDED);
        }
        let steps = (PREFILL_TIME_S / self.mean_s).max(1.0);
        let chunk = (prompt.get() as f64 / steps).ceil() as u64;
        measures::TokenCount::new(chunk.clamp(CHUNK_LEAST, CHUNK_CROWDED))
    }
}

impl Default for StepPace {
    fn default() -> Self {
        Self::new()
    }
}
