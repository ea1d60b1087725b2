//! Decisions of the dispatcher, played without a network.

mod decisions;
mod fixtures;
mod reservations;
