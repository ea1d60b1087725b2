//! Takes callers' requests and sends each one straight to a target.
//!
//! Used where the platform registers targets and publishes routes itself, and no agent stands
//! beside a target. [`directory`] holds what is known of routes and targets, [`dispatch`] decides,
//! [`membership`] chooses the peers,
//! [`protocol`] is the border to the words of a deployment, and [`shell`] does the input and output.

pub mod directory;
pub mod dispatch;
pub mod membership;
pub mod protocol;
pub mod shell;
pub mod telemetry;
