//! End-to-end tests of the HTTP API over sockets, with the real reducers of gateway and agent.

mod administration;
mod agent;
mod client;
mod events;
mod faults;
mod sessions;
mod system;
