//! Estimate of an engine's step time, and the size of prompt chunks that follows from it.

use kingcupfall_core::measures;
use kingcupfall_core::time;

/// Step time assumed before the first gap is recorded, in seconds.
const INITIAL_STEP_S: f64 = 0.025;

/// Weight of one gap in the moving average.
const GAP_WEIGHT: f64 = 0.01;

/// Longest gap that counts as one step, in seconds; longer ones come from pauses and stalls.
const MAX_GAP_S: f64 = 0.5;

/// Target for the processing time of a prompt while the engine is not crowded, in seconds.
const PREFILL_TARGET_S: f64 = 0.8;

/// Lower bound of the prompt tokens of one stream in one step.
const MIN_CHUNK_TOKENS: u64 = 16;

/// Upper bound of the prompt tokens of one stream in one step, used whenever the engine is crowded.
const MAX_CHUNK_TOKENS: u64 = 350;

/// Moving average of the step time of one engine.
#[derive(Debug)]
pub struct StepTimeEstimate {
    mean_s: f64,
}

impl StepTimeEstimate {
    /// Creates an estimate with the assumed step time.
    pub const fn new() -> Self {
        Self {
            mean_s: INITIAL_STEP_S,
        }
    }

    /// Records the gap between two consecutive tokens of one stream.
    pub fn record_gap(&mut self, last_token_at: time::Timestamp, now: time::Timestamp) {
        let gap_s = now.since(last_token_at).as_secs_f64();
        if gap_s <= MAX_GAP_S {
            self.mean_s += (gap_s - self.mean_s) * GAP_WEIGHT;
        }
    }

    /// Returns the mean step time, in seconds.
    pub fn step_s(&self) -> f64 {
        self.mean_s
    }

    /// Returns the number of prompt tokens of a stream to process in one step.
    ///
    /// While the engine has free memory, a prompt is spread over as many steps as the target for
    /// its processing time allows, so that it delays the tokens of other streams as little as
    /// possible. A crowded engine gets large chunks, because a slow prompt holds memory for longer.
    pub fn prefill_chunk(
        &self,
        prompt: measures::TokenCount,
        is_crowded: bool,
    ) -> measures::TokenCount {
        if is_crowded {
            return measures::TokenCount::new(MAX_CHUNK_TOKENS);
        }
        let steps = (PREFILL_TARGET_S / self.mean_s).max(1.0);
        let chunk_tokens = (prompt.get() as f64 / steps).ceil() as u64;
        measures::TokenCount::new(chunk_tokens.clamp(MIN_CHUNK_TOKENS, MAX_CHUNK_TOKENS))
    }
}

impl Default for StepTimeEstimate {
    fn default() -> Self {
        Self::new()
    }
}
