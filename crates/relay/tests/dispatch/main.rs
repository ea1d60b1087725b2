//! Tests of the dispatcher's decisions, without a network.

mod decisions;
mod fixtures;
mod reservations;
