//! Logging, metrics and stop signals of gateways and agents.

pub mod calls;
pub mod labels;
pub mod logs;
pub mod registry;
pub mod schedule;
pub mod signals;
