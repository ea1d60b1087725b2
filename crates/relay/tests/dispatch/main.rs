//! Tests of the dispatcher's decisions, without a network.

mod crashes;
mod decisions;
mod fixtures;
mod limits;
mod pauses;
mod prompt_crashes;
mod prompt_fixtures;
mod reservations;
mod speed_model;
mod speeds;
