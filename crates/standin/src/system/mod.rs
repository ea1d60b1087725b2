//! The whole system in one process on loopback: stand-ins, agents and gateways.

mod document;
mod start;

use std::result;

use kingcupfall_agent::shell as agent;
use kingcupfall_core::ids;
use kingcupfall_document::sections;
use kingcupfall_gateway::shell as gateway;
use quick_error::quick_error;

pub use document::EXAUSTAO_KEY;
pub use document::MODEL;
pub use document::QURUM_KEY;

use crate::configuration;
use crate::engine;
use crate::service;

/// Result of starting the system.
pub type Result<T> = result::Result<T, SystemError>;

quick_error! {
    /// Reason why the system could not start.
    #[derive(Debug)]
    pub enum SystemError {
        /// A stand-in could not start.
        Standin(error: std::io::Error) {
            from()
            source(error)
            display("a stand-in could not start: {}", error)
        }
        /// An agent could not start.
        Agent(error: agent::ShellError) {
            from()
            source(error)
            display("an agent could not start: {}", error)
        }
        /// A gateway could not start.
        Gateway(error: gateway::ShellError) {
            from()
            source(error)
            display("a gateway could not start: {}", error)
        }
    }
}

/// Parts of a system on loopback.
#[derive(Debug, Clone)]
pub struct SystemConfig {
    /// Engines, each with its agent.
    pub engines: Vec<engine::EngineConfig>,
    /// Replicas of the plain service, each with its agent.
    pub services: usize,
    /// Gateways.
    pub gateways: usize,
}

impl SystemConfig {
    /// Returns a system of `engines` engines, one plain service and two gateways.
    pub fn with_engines(engines: Vec<engine::EngineConfig>) -> Self {
        Self {
            engines,
            services: 1,
            gateways: 2,
        }
    }
}

/// An agent of the system.
pub struct RunningAgent {
    /// Name of its target.
    pub target: ids::TargetName,
    /// What its target is.
    pub kind: sections::TargetKind,
    /// Zone of its VM.
    pub zone: ids::ZoneName,
    /// Controls it.
    pub handle: agent::AgentHandle,
    /// Its task.
    pub ended: ntex::rt::JoinHandle<()>,
}

/// A running system.
pub struct LocalSystem {
    /// Configuration service.
    pub configuration: configuration::ConfigurationStandin,
    /// Engines.
    pub engines: Vec<engine::EngineStandin>,
    /// Plain services.
    pub services: Vec<service::ServiceStandin>,
    /// Agents: first those of the engines, then those of the services.
    pub agents: Vec<RunningAgent>,
    /// Gateways.
    pub gateways: Vec<gateway::GatewayHandle>,
}
