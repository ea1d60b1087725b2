//! Forecast of memory over the next tokens.

use super::length::SurvivalCurve;

/// Horizons of the forecast, in tokens of each stream from now.
pub const HORIZONS: [f32; 6] = [16.0, 64.0, 256.0, 512.0, 1_024.0, 2_048.0];

/// What one stream will hold at each horizon.
#[derive(Debug, Clone, Copy)]
pub struct StreamForecast {
    means: [f32; HORIZONS.len()],
    variances: [f32; HORIZONS.len()],
}

impl StreamForecast {
    /// Forecasts a stream that holds `memory` tokens and has generated `generated` of them.
    ///
    /// It holds one more with each token until it ends, and nothing then.
    pub fn new(curve: &SurvivalCurve, memory: f32, generated: f32) -> Self {
        let start = curve.log_survival(generated);
        let mut means = [0.0; HORIZONS.len()];
        let mut variances = [0.0; HORIZONS.len()];
        for (index, horizon) in HORIZONS.iter().enumerate() {
            let chance = (curve.log_survival(generated + horizon) - start).exp();
            let size = memory + horizon;
            means[index] = size * chance;
            variances[index] = size * size * chance * (1.0 - chance);
        }
        Self { means, variances }
    }
}

/// What all streams together will hold at each horizon.
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

    /// Says whether, with one more stream, memory stays within `capacity` at each horizon, but for
    /// the chance beyond `deviations` standard deviations of a normal distribution.
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
