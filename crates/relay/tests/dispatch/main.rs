//! Tests of the dispatcher's decisions, without a network.

mod crashes;
mod decisions;
mod evacuation;
mod fixtures;
mod headroom;
mod limits;
mod pauses;
mod prompt_crashes;
mod prompt_fixtures;
mod reservations;
