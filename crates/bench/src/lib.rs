//! Benchmarks of the system.
//!
//! Scenarios run the production reducers of gateway and agent against modelled engines in simulated
//! time. Other commands measure latency, costs by fleet size, and guarantees under faults.

pub mod latency;
pub mod observer;
pub mod policies;
pub mod report;
pub mod scenario;
pub mod simulation;
pub mod slopes;
pub mod soak;
