//! Logs and metrics that gateways and agents have in common.

pub mod calls;
pub mod labels;
pub mod logs;
pub mod registry;
pub mod schedule;
