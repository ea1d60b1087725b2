//! Lengths of generations, which nobody knows before their end.

use kingcupfall_core::measures;
use kingcupfall_core::work;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::Distribution;
use rand_distr::LogNormal;

/// How many tokens a stream generates.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LengthSource {
    /// As many as the request allows.
    Requested,
    /// A log-normal draw, cut at what the request allows.
    Drawn {
        /// Median in tokens.
        median: f64,
        /// Standard deviation of the logarithm.
        sigma: f64,
    },
}

/// Length and end of one generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct GenerationPlan {
    /// Tokens to generate; at least one.
    pub(super) tokens: measures::TokenCount,
    /// Why it ends there.
    pub(super) reason: work::FinishReason,
}

/// Draws lengths.
#[derive(Debug)]
pub(super) struct LengthGenerator {
    distribution: Option<LogNormal<f64>>,
    generator: ChaCha8Rng,
}

impl LengthGenerator {
    /// Makes a generator; a distribution with unusable parameters falls back to the request.
    pub(super) fn new(source: LengthSource, seed: u64) -> Self {
        let distribution = match source {
            LengthSource::Requested => None,
            LengthSource::Drawn { median, sigma } => LogNormal::new(median.ln(), sigma).ok(),
        };

        Self {
            distribution,
            generator: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Plans a generation of at most `most` tokens.
    pub(super) fn plan(&mut self, most: measures::TokenCount) -> GenerationPlan {
        let most = most.get().max(1);
        let drawn = match &self.distribution {
            Some(distribution) => distribution.sample(&mut self.generator).round() as u64,
            None => most,
        };
        let reason = match drawn < most {
            true => work::FinishReason::Stop,
            false => work::FinishReason::Length,
        };

        GenerationPlan {
            tokens: measures::TokenCount::new(drawn.clamp(1, most)),
            reason,
        }
    }
}
