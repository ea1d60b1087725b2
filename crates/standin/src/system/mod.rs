//! The whole system in one process on loopback: stand-ins, agents and gateways.

mod document;
mod process;
mod start;

use std::net;
use std::result;

use kingcupfall_agent::shell as agent;
use kingcupfall_core::ids;
use kingcupfall_document::acceptance;
use kingcupfall_document::sections;
use kingcupfall_gateway::shell as gateway;
use quick_error::quick_error;

pub use document::EXAUSTAO_KEY;
pub use document::MODEL;
pub use document::QURUM_KEY;
pub use document::SERVICE;
pub use process::SystemThread;

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
    /// Where its target listens.
    pub address: agent::TargetAddress,
    /// Address at which the document says that it takes links.
    pub advertised: net::SocketAddr,
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
    secrets: start::SystemSecrets,
    acceptance: acceptance::DocumentAcceptance,
}

/// Where a gateway listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GatewayAddresses {
    /// For callers.
    pub callers: net::SocketAddr,
    /// For operators.
    pub administration: net::SocketAddr,
}

/// A gateway in a thread of its own.
pub struct GatewayThread {
    /// Where it listens.
    pub addresses: GatewayAddresses,
    thread: process::SystemThread,
}

impl GatewayThread {
    /// Kills the gateway: all its connections break at once.
    pub async fn kill(self) {
        self.thread.kill().await;
    }
}
