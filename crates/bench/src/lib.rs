//! Bench that drives the real gateway and agent reducers over modelled engines in simulated time.

pub mod latency;
pub mod observer;
pub mod policies;
pub mod report;
pub mod scenario;
pub mod simulation;
pub mod slopes;
pub mod soak;
