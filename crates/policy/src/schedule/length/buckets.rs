//! Counts of generations by output length, from which hazards are estimated.

use super::SurvivalCurve;
use super::curve::BUCKETS;
use super::curve::bucket_of;

/// Factor applied to all counts at each recorded end, so that recent generations count more.
const DECAY: f32 = 0.998;

/// Decaying counts of generations by output length.
///
/// Each bucket counts the generations that ended in it and the exposed ones: those that ended in it
/// or grew past it. A running generation is counted as exposed in the buckets that it has passed.
/// Otherwise the estimate would be too short while only short outputs have ended.
#[derive(Debug, Clone)]
pub struct LengthBuckets {
    exposed: [f32; BUCKETS],
    ended: [f32; BUCKETS],
}

impl LengthBuckets {
    /// Records that a running generation has grown past `bucket`.
    pub fn record_passage(&mut self, bucket: usize) {
        self.exposed[bucket] += 1.0;
    }

    /// Records that a generation finished with `tokens` tokens.
    pub fn record_end(&mut self, tokens: u64) {
        for (exposed, ended) in self.exposed.iter_mut().zip(&mut self.ended) {
            *exposed *= DECAY;
            *ended *= DECAY;
        }
        let bucket = bucket_of(tokens);
        self.exposed[bucket] += 1.0;
        self.ended[bucket] += 1.0;
    }

    /// Returns the survival curve of these counts, in which `parent` weighs as much as
    /// `parent_weight` generations.
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
