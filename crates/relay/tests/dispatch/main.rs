//! Tests of the dispatcher's decisions, without a network.

mod cold;
mod cold_fleets;
mod crashes;
mod decisions;
mod evacuation;
mod explanation;
mod fixtures;
mod headroom;
mod limits;
mod pauses;
mod prompt_crashes;
mod prompt_fixtures;
mod reservations;
mod speed_model;
mod speeds;
