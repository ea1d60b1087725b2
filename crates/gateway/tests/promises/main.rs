//! Tests of the system's promises to callers, checked at every step while calls and faults
//! interleave.
//!
//! The real reducers of gateways and agents run against simulated targets, and links that delay
//! frames, fall silent and close. Each case is a list of operations, which proptest generates and
//! shrinks.

mod checker;
mod nodes;
mod operations;
mod properties;
mod regressions;
mod simulation;
