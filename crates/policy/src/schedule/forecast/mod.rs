//! Forecast of the engine's memory over the next tokens of its streams.

use super::length::SurvivalCurve;

/// Horizons of the forecast, in further tokens of each stream.
pub const HORIZONS: [f32; 6] = [16.0, 64.0, 256.0, 512.0, 1_024.0, 2_048.0];

/// Mean and variance of the memory of one stream at each horizon.
#[derive(Debug, Clone, Copy)]
pub struct StreamForecast {
    means: [f32; HORIZONS.len()],
    variances: [f32; HORIZONS.len()],
}

impl StreamForecast {
    /// Forecasts a stream that holds `memory` tokens, `generated_tokens` of them generated.
    ///
    /// Each further token adds one to its memory until the stream ends and frees all of it.
    pub fn new(curve: &SurvivalCurve, memory: f32, generated_tokens: f32) -> Self {
        let start_log_survival = curve.log_survival(generated_tokens);
        let mut means = [0.0; HORIZONS.len()];
        let mut variances = [0.0; HORIZONS.len()];
        for (index, horizon) in HORIZONS.iter().enumerate() {
            let probability =
                (curve.log_survival(generated_tokens + horizon) - start_log_survival).exp();
            let held_tokens = memory + horizon;
            means[index] = held_tokens * probability;
            variances[index] = held_tokens * held_tokens * probability * (1.0 - probability);
        }
        Self { means, variances }
    }
}

/// Mean and variance of the memory of all streams together at each horizon.
#[derive(Debug, Clone, Default)]
pub struct MemoryForecast {
    means: [f32; HORIZONS.len()],
    variances: [f32; HORIZONS.len()],
}

impl MemoryForecast {
    /// Adds a stream.
    pub fn add(&mut self, stream: &StreamForecast) {
        for index in 0..HORIZONS.len() {
            self.means[index] += stream.means[index];
            self.variances[index] += stream.variances[index];
        }
    }

    /// Returns true if, with one more stream, the mean plus `deviations` standard deviations stays
    /// within `capacity` tokens at each horizon.
    ///
    /// For normally distributed memory, the probability of an overflow at a horizon is then at most
    /// that of a value beyond `deviations` standard deviations.
    pub fn fits(&self, stream: &StreamForecast, capacity: f32, deviations: f32) -> bool {
        (0..HORIZONS.len()).all(|index| {
            let mean = self.means[index] + stream.means[index];
            let variance = self.variances[index] + stream.variances[index];
            mean + deviations * variance.sqrt() <= capacity
        })
    }

    /// Returns the greatest mean over the horizons, in tokens.
    pub fn peak(&self) -> f32 {
        self.means.iter().copied().fold(0.0, f32::max)
    }
}
