//! Lengths of generations, which the rest of the system can't know in advance.

use kingcupfall_core::measures;
use kingcupfall_core::work;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::Distribution;
use rand_distr::LogNormal;

/// Rule for the number of tokens that a stream generates.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LengthSource {
    /// The maximum of the request.
    Requested,
    /// A sample of a log-normal distribution, limited to the maximum of the request.
    LogNormal {
        /// Median, in tokens.
        median: f64,
        /// Standard deviation of the logarithm of the length.
        sigma: f64,
    },
}

/// Length of one generation, and the reason of its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct GenerationPlan {
    /// Number of tokens to generate; at least one.
    pub(super) tokens: measures::TokenCount,
    /// Reason why it ends there.
    pub(super) reason: work::FinishReason,
}

/// Seeded generator of lengths.
#[derive(Debug)]
pub(super) struct LengthGenerator {
    distribution: Option<LogNormal<f64>>,
    generator: ChaCha8Rng,
}

impl LengthGenerator {
    /// Creates a generator. If the parameters of the distribution are invalid, each generation has
    /// the maximum length of its request.
    pub(super) fn new(source: LengthSource, seed: u64) -> Self {
        let distribution = match source {
            LengthSource::Requested => None,
            LengthSource::LogNormal { median, sigma } => LogNormal::new(median.ln(), sigma).ok(),
        };

        Self {
            distribution,
            generator: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Plans a generation of at most `max_tokens` tokens.
    pub(super) fn plan(&mut self, max_tokens: measures::TokenCount) -> GenerationPlan {
        let max_tokens = max_tokens.get().max(1);
        let sampled = match &self.distribution {
            Some(distribution) => distribution.sample(&mut self.generator).round() as u64,
            None => max_tokens,
        };
        let reason = match sampled < max_tokens {
            true => work::FinishReason::Stop,
            false => work::FinishReason::Length,
        };

        GenerationPlan {
            tokens: measures::TokenCount::new(sampled.clamp(1, max_tokens)),
            reason,
        }
    }
}
