//! What the process is told at its start.

use std::net;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::measures;

use crate::dispatch;

/// Settings of one process. Those that may change while it runs are read from here each time.
#[derive(Debug, Clone, PartialEq)]
pub struct RelaySettings {
    /// VM that the process runs on.
    pub vm: ids::VmName,
    /// Its availability zone.
    pub zone: ids::ZoneName,
    /// Where callers connect.
    pub callers: net::SocketAddr,
    /// Where the platform asks whether the process takes callers.
    pub ready: net::SocketAddr,
    /// Where peers connect.
    pub peers: net::SocketAddr,
    /// Peers to begin with; they may be stale.
    pub seeds: Vec<net::SocketAddr>,
    /// Where metrics are read.
    pub metrics: net::SocketAddr,
    /// Time between the order to stop and the end of the process by force.
    pub stop_grace: Duration,
    /// What may be repeated for one service by all processes together.
    pub retries: dispatch::RetryBounds,
    /// Memory of the process.
    pub memory: measures::ByteSize,
    /// File descriptors of the process.
    pub descriptors: u32,
}
