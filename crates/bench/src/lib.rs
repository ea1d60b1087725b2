//! Benchmarks of the system.
//!
//! Scenarios run the production reducers of gateway and agent against modelled engines in simulated
//! time. Other commands measure latency and costs by fleet size, and check the promises of the
//! relay under faults.

pub mod latency;
pub mod observer;
pub mod policies;
pub mod report;
pub mod scenario;
pub mod simulation;
pub mod slopes;
pub mod soak;
