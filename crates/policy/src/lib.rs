//! Decision policies of gateways and agents.
//!
//! Each policy is a trait with the implementations used in production and at least one simple
//! baseline.

pub mod limit;
pub mod place;
pub mod quarantine;
pub mod retry;
pub mod schedule;
