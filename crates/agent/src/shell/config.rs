//! What the shell is told when it starts.

use std::net;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_link::transport;

/// Where the target listens, and what it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetAddress {
    /// A model engine.
    Engine(net::SocketAddr),
    /// A plain service.
    Service {
        /// Where it listens.
        address: net::SocketAddr,
        /// Longest wait for an answer.
        timeout: Duration,
    },
}

impl TargetAddress {
    /// Returns the address.
    pub fn address(&self) -> net::SocketAddr {
        match self {
            Self::Engine(address) | Self::Service { address, .. } => *address,
        }
    }
}

/// Addresses and names of one agent.
#[derive(Debug, Clone)]
pub struct AgentConfig {
    /// Name of the target.
    pub target: ids::TargetName,
    /// VM that the agent runs on, as the VM list names it.
    pub vm: ids::VmName,
    /// Availability zone of the VM.
    pub zone: ids::ZoneName,
    /// Where gateways open links; port 0 picks a free one.
    pub listen: net::SocketAddr,
    /// Where operators read metrics and health; port 0 picks a free one.
    pub administration: net::SocketAddr,
    /// Loopback port that is held for life, so that no second agent of the target can start.
    pub exclusion: Option<net::SocketAddr>,
    /// Key of the links.
    pub link_key: transport::LinkKey,
    /// The target.
    pub address: TargetAddress,
}
