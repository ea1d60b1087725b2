//! Configuration of the shell.

use std::net;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_link::transport;

/// Kind and address of the target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetAddress {
    /// A model engine.
    Engine(net::SocketAddr),
    /// A plain service, called over HTTP.
    Service {
        /// Address on which the service listens.
        address: net::SocketAddr,
        /// Response timeout until the document sets one.
        timeout: Duration,
    },
}

impl TargetAddress {
    /// Returns the address on which the target listens.
    pub fn address(&self) -> net::SocketAddr {
        match self {
            Self::Engine(address) | Self::Service { address, .. } => *address,
        }
    }
}

/// Names, addresses and keys of one agent.
#[derive(Debug, Clone)]
pub struct AgentConfig {
    /// Name of the target.
    pub target: ids::TargetName,
    /// VM on which the agent runs, as named in the VM list.
    pub vm: ids::VmName,
    /// Availability zone of the VM.
    pub zone: ids::ZoneName,
    /// Address for links from gateways; port 0 selects a free port.
    pub link_address: net::SocketAddr,
    /// Address for metrics and health; port 0 selects a free port.
    pub administration_address: net::SocketAddr,
    /// Loopback address that stays bound until the process ends, so that no second agent of the
    /// target can start; `None` disables the check.
    pub instance_lock: Option<net::SocketAddr>,
    /// Shared secret that authenticates links.
    pub link_key: transport::LinkKey,
    /// Kind and address of the target.
    pub target_address: TargetAddress,
}
