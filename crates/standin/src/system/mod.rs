//! The complete system in one process on loopback: stand-ins, agents and gateways.

mod document;
mod start;
mod thread;

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
pub use thread::SystemThread;

use crate::configuration;
use crate::engine;
use crate::service;

/// Result of starting the system.
pub type Result<T> = result::Result<T, SystemError>;

quick_error! {
    /// Error of starting the system.
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

/// Number and configuration of the parts of a system.
#[derive(Debug, Clone)]
pub struct SystemConfig {
    /// Configurations of the engines; each engine gets an agent.
    pub engines: Vec<engine::EngineConfig>,
    /// Number of replicas of the plain service; each gets an agent.
    pub services: usize,
    /// Number of gateways.
    pub gateways: usize,
}

impl SystemConfig {
    /// Returns the configuration of a system with `engines`, one plain service and two gateways.
    pub fn with_engines(engines: Vec<engine::EngineConfig>) -> Self {
        Self {
            engines,
            services: 1,
            gateways: 2,
        }
    }
}

/// A running agent of the system.
pub struct RunningAgent {
    /// Name of the agent's target.
    pub target: ids::TargetName,
    /// Kind of the target, as in the document.
    pub kind: sections::TargetKind,
    /// Zone of the agent's VM.
    pub zone: ids::ZoneName,
    /// Address of the target.
    pub address: agent::TargetAddress,
    /// Address of the agent in the document; differs from its own behind a proxy.
    pub advertised_address: net::SocketAddr,
    /// Handle of the agent.
    pub handle: agent::AgentHandle,
    /// Task that runs the agent.
    pub task: ntex::rt::JoinHandle<()>,
}

/// A running system.
pub struct LocalSystem {
    /// The configuration service.
    pub configuration: configuration::ConfigurationStandin,
    /// The engines.
    pub engines: Vec<engine::EngineStandin>,
    /// The replicas of the plain service.
    pub services: Vec<service::ServiceStandin>,
    /// The agents: those of the engines, followed by those of the services.
    pub agents: Vec<RunningAgent>,
    /// The gateways that run in the current ntex system.
    pub gateways: Vec<gateway::GatewayHandle>,
    secrets: start::SystemSecrets,
    acceptance: acceptance::DocumentAcceptance,
}

/// Addresses that a gateway listens on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GatewayAddresses {
    /// Address for callers.
    pub callers: net::SocketAddr,
    /// Address of the administration API.
    pub administration: net::SocketAddr,
}

/// A gateway in a thread of its own, so that it can be killed.
pub struct GatewayThread {
    /// Addresses that the gateway listens on.
    pub addresses: GatewayAddresses,
    thread: thread::SystemThread,
}

impl GatewayThread {
    /// Kills the gateway; all its connections break at once.
    pub async fn kill(self) {
        self.thread.kill().await;
    }
}
