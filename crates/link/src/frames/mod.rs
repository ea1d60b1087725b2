//! Frames that gateways and agents exchange on a link.

mod agent;
mod gateway;

pub use agent::AgentFrame;
pub use agent::AgentHeartbeat;
pub use agent::AgentHello;
pub use agent::FailureCause;
pub use agent::FailureReport;
pub use agent::FinishReport;
pub use agent::RefusalCode;
pub use agent::RefusalReport;
pub use agent::ResponseReport;
pub use agent::TokenBatch;
pub use gateway::CancelOrder;
pub use gateway::GatewayFrame;
pub use gateway::GatewayHello;
pub use gateway::ResumeOrder;
pub use gateway::StartOrder;

/// Protocol version; both ends of a link must use the same.
pub const PROTOCOL_VERSION: u16 = 1;
