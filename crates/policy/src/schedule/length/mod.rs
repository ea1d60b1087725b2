//! Estimates of how long a generation goes on, learnt from generations that ended.

mod book;
mod buckets;
mod curve;

pub use book::LengthBook;
pub use book::LengthKey;
pub use book::LengthSlot;
pub use curve::SurvivalCurve;
