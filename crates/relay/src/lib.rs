//! Accepts callers' requests and sends each one straight to a target.
//!
//! Used where the platform itself registers targets and publishes routes, and no agent runs
//! beside a target. [`directory`] holds the known routes and targets, [`dispatch`] decides where
//! each request runs, [`membership`] chooses the peers to link to, [`protocol`] is the interface to
//! a deployment's wire protocol, [`shell`] does the input and output, and [`telemetry`] writes the
//! decision log and the metrics.

pub mod directory;
pub mod dispatch;
pub mod membership;
pub mod protocol;
pub mod shell;
pub mod telemetry;
