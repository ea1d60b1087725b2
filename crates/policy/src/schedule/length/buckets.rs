//! Ends and exposures of generations by length.

use super::SurvivalCurve;
use super::curve::BUCKETS;
use super::curve::bucket_of;

/// Share of the earlier counts that each new end leaves.
const DECAY: f32 = 0.998;

/// Decaying counts of generations by length.
///
/// For each bucket of lengths it counts the generations that came into it and those that ended in
/// it. A generation that still runs counts in the buckets it has passed, so that long answers are
/// not overlooked while only short ones have ended.
#[derive(Debug, Clone)]
pub struct LengthBuckets {
    exposed: [f32; BUCKETS],
    ended: [f32; BUCKETS],
}

impl LengthBuckets {
    /// Notes that a generation has passed the bucket before the one that holds `tokens`.
    pub fn record_passage(&mut self, bucket: usize) {
        self.exposed[bucket] += 1.0;
    }

    /// Notes that a generation ended with `tokens` tokens.
    pub fn record_end(&mut self, tokens: u64) {
        for (exposed, ended) in self.exposed.iter_mut().zip(&mut self.ended) {
            *exposed *= DECAY;
            *ended *= DECAY;
        }
        let bucket = bucket_of(tokens);
        self.exposed[bucket] += 1.0;
        self.ended[bucket] += 1.0;
    }

    /// Returns the curve of these counts, where `parent` stands for `parent_weight` generations.
    pub fn curve(&self, parent: &SurvivalCurve, parent_weight: f32) -> SurvivalCurve {
        let mut hazards = [0.0; BUCKETS];
        for (bucket, hazard) in hazards.iter_mut().enumerate() {
            let expected = parent_weight * parent.hazard(bucket);
            *hazard = (self.ended[bucket] + expected) / (self.exposed[bucket] + parent_weight);
        }
        SurvivalCurve::from_hazards(&hazards)
    }
}

impl Default for LengthBuckets {
    fn default() -> Self {
        Self {
            exposed: [0.0; BUCKETS],
            ended: [0.0; BUCKETS],
        }
    }
}
