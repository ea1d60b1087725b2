//! Chance that a generation goes on past a length.

/// Buckets of lengths; each reaches a factor of the square root of two further.
pub const BUCKETS: usize = 32;

/// Upper edges of the buckets, in tokens.
const EDGES: [f32; BUCKETS] = bucket_edges();

/// Buckets to one doubling of the length.
const BUCKETS_PER_DOUBLING: f32 = 2.0;

/// Median length that is expected of an unknown class, in tokens.
const PRIOR_MEDIAN_TOKENS: f32 = 400.0;

/// Steepness of the prior; a log-logistic distribution with this shape.
const PRIOR_SHAPE: f32 = 1.5;

/// Greatest hazard, so that no length is ruled out.
const HAZARD_LIMIT: f32 = 0.999;

/// Chance that a generation goes on past a length, from hazards by bucket.
#[derive(Debug, Clone, PartialEq)]
pub struct SurvivalCurve {
    hazards: [f32; BUCKETS],
    /// Logarithm of the chance to pass the upper edge of each bucket.
    log_passed: [f32; BUCKETS],
}

impl SurvivalCurve {
    /// Returns the curve that is expected before anything is known.
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

    /// Makes a curve from the chance to end in each bucket, for those that reach it.
    pub fn from_hazards(hazards: &[f32; BUCKETS]) -> Self {
        let hazards = hazards.map(|hazard| hazard.clamp(0.0, HAZARD_LIMIT));
        let mut log_passed = [0.0; BUCKETS];
        let mut sum = 0.0;
        for (bucket, passed) in log_passed.iter_mut().enumerate() {
            sum += (1.0 - hazards[bucket]).ln();
            *passed = sum;
        }
        Self {
            hazards,
            log_passed,
        }
    }

    /// Returns the chance to end in a bucket, for those that reach it.
    pub fn hazard(&self, bucket: usize) -> f32 {
        self.hazards[bucket]
    }

    /// Returns the logarithm of the chance to pass `tokens`.
    pub fn log_survival(&self, tokens: f32) -> f32 {
        let bucket = bucket_at(tokens);
        let (lower, before) = match bucket {
            0 => (0.0, 0.0),
            _ => (EDGES[bucket - 1], self.log_passed[bucket - 1]),
        };
        let width = EDGES[bucket] - lower;
        let share = ((tokens - lower) / width).clamp(0.0, 1.0);
        before + share * (self.log_passed[bucket] - before)
    }

    /// Returns the mean number of further tokens after `done`.
    pub fn mean_remaining(&self, done: f32) -> f32 {
        let start = self.log_survival(done);
        let mut mean = 0.0;
        let mut lower = done;
        let mut passed = 1.0_f32;
        for edge in &EDGES[bucket_at(done)..] {
            if *edge <= lower {
                continue;
            }
            let next = (self.log_survival(*edge) - start).exp();
            mean += (edge - lower) * (passed + next) / 2.0;
            lower = *edge;
            passed = next;
        }
        mean.max(1.0)
    }
}

/// Returns the bucket that holds a length.
pub fn bucket_of(tokens: u64) -> usize {
    bucket_at(tokens as f32)
}

fn bucket_at(tokens: f32) -> usize {
    if tokens <= EDGES[0] {
        return 0;
    }
    let guess = (tokens.log2() * BUCKETS_PER_DOUBLING).ceil() as usize;
    guess.min(BUCKETS - 1)
}

/// Powers of the square root of two: 1, 1.41, 2, and so on.
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
