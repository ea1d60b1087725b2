//! Decisions of gateways and agents, each behind a trait with a naive version beside ours.

pub mod limit;
pub mod place;
pub mod quarantine;
pub mod retry;
pub mod schedule;
