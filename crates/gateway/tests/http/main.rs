//! Whole sessions through the HTTP API, over sockets, against the reducers of gateway and agent.

mod administration;
mod agent;
mod client;
mod events;
mod faults;
mod sessions;
mod system;
