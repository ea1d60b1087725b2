//! Estimates of the output length of generations, learnt from earlier and running generations.

mod buckets;
mod curve;
mod statistics;

pub use curve::SurvivalCurve;
pub use statistics::LengthKey;
pub use statistics::LengthSlot;
pub use statistics::LengthStatistics;
