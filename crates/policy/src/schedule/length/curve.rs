//! Survival curve of output lengths: the probability that a generation grows past a length.

/// Number of length buckets; their upper edges grow by a factor of the square root of two.
pub const BUCKETS: usize = 32;

/// Upper edges of the buckets, in tokens.
const EDGES: [f32; BUCKETS] = bucket_edges();

/// Buckets per doubling of the length.
const BUCKETS_PER_DOUBLING: f32 = 2.0;

/// Median of the prior, in tokens.
const PRIOR_MEDIAN_TOKENS: f32 = 400.0;

/// Shape parameter of the prior, a log-logistic distribution.
const PRIOR_SHAPE: f32 = 1.5;

/// Upper bound of a hazard; below one, so that no length has probability zero.
const MAX_HAZARD: f32 = 0.999;

/// Probability that a generation grows past a length, from one hazard per bucket.
///
/// A hazard is the probability that a generation ends in a bucket if it reaches that bucket.
#[derive(Debug, Clone, PartialEq)]
pub struct SurvivalCurve {
    hazards: [f32; BUCKETS],
    /// Logarithm of the probability to pass the upper edge of each bucket.
    log_survivals: [f32; BUCKETS],
}

impl SurvivalCurve {
    /// Returns the curve that is used before any generation has been recorded.
    pub fn prior() -> Self {
        let survival = |tokens: f32| 1.0 / (1.0 + (tokens / PRIOR_MEDIAN_TOKENS).powf(PRIOR_SHAPE));
        let mut hazards = [0.0; BUCKETS];
        let mut lower = 0.0;
        for (bucket, hazard) in hazards.iter_mut().enumerate() {
            *hazard = 1.0 - survival(EDGES[bucket]) / survival(lower);
            lower = EDGES[bucket];
        }
        Self::from_hazards(&hazards)
    }

    /// Creates a curve from the hazard of each bucket.
    pub fn from_hazards(hazards: &[f32; BUCKETS]) -> Self {
        let hazards = hazards.map(|hazard| hazard.clamp(0.0, MAX_HAZARD));
        let mut log_survivals = [0.0; BUCKETS];
        let mut log_survival_sum = 0.0;
        for (bucket, log_survival) in log_survivals.iter_mut().enumerate() {
            log_survival_sum += (1.0 - hazards[bucket]).ln();
            *log_survival = log_survival_sum;
        }
        Self {
            hazards,
            log_survivals,
        }
    }

    /// Returns the hazard of a bucket.
    pub fn hazard(&self, bucket: usize) -> f32 {
        self.hazards[bucket]
    }

    /// Returns the logarithm of the probability to grow past `tokens`, interpolated linearly
    /// within a bucket.
    pub fn log_survival(&self, tokens: f32) -> f32 {
        let bucket = bucket_at(tokens);
        let (lower, log_survival_before) = match bucket {
            0 => (0.0, 0.0),
            _ => (EDGES[bucket - 1], self.log_survivals[bucket - 1]),
        };
        let width = EDGES[bucket] - lower;
        let share = ((tokens - lower) / width).clamp(0.0, 1.0);
        log_survival_before + share * (self.log_survivals[bucket] - log_survival_before)
    }

    /// Returns the mean number of further tokens after `generated`, at least one.
    pub fn mean_remaining(&self, generated: f32) -> f32 {
        let start_log_survival = self.log_survival(generated);
        let mut mean_tokens = 0.0;
        let mut lower = generated;
        let mut survival = 1.0_f32;
        for edge in &EDGES[bucket_at(generated)..] {
            if *edge <= lower {
                continue;
            }
            let next_survival = (self.log_survival(*edge) - start_log_survival).exp();
            mean_tokens += (edge - lower) * (survival + next_survival) / 2.0;
            lower = *edge;
            survival = next_survival;
        }
        mean_tokens.max(1.0)
    }
}

/// Returns the bucket that holds a length; the last one for any greater length.
pub fn bucket_of(tokens: u64) -> usize {
    bucket_at(tokens as f32)
}

fn bucket_at(tokens: f32) -> usize {
    if tokens <= EDGES[0] {
        return 0;
    }
    let bucket = (tokens.log2() * BUCKETS_PER_DOUBLING).ceil() as usize;
    bucket.min(BUCKETS - 1)
}

/// Returns the powers of the square root of two: 1, 1.41, 2, and so on.
const fn bucket_edges() -> [f32; BUCKETS] {
    const ROOT: f32 = std::f32::consts::SQRT_2;
    let mut edges = [0.0; BUCKETS];
    let mut power = 1.0;
    let mut index = 0;
    while index + 1 < BUCKETS {
        edges[index] = power;
        edges[index + 1] = power * ROOT;
        power *= 2.0;
        index += 2;
    }
    edges
}
