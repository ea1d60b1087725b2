//! Settings of the gateway and the agent, read from TOML into typed values and checked as a whole.

pub mod agent;
pub mod command;
pub mod gateway;
mod load;
pub mod sections;
pub mod units;

use std::result;

use kingcupfall_core::findings;

pub use agent::AgentSettings;
pub use gateway::GatewaySettings;
pub use load::load;

/// Result of loading settings: the value, or all findings about the text.
pub type Result<T> = result::Result<T, findings::FindingList>;
