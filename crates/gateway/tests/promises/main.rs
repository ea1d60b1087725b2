//! Promises of the system, checked at every step while faults interleave with work.
//!
//! Real gateway and agent reducers run against fake engines and links that delay, lose, fall
//! silent and close. Each case is a list of operations; proptest draws and shrinks it.

mod nodes;
mod observer;
mod operations;
mod properties;
mod regressions;
mod world;
