//! Decisions of the dispatcher, played without a network.

mod claims;
mod decisions;
mod fixtures;
