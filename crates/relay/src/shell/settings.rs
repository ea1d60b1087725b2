//! Settings that the process starts with.

use std::collections::BTreeMap;
use std::net;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::measures;

use crate::dispatch;

/// Settings of one process. Those that may change while it runs are read from here at each use.
#[derive(Debug, Clone, PartialEq)]
pub struct RelaySettings {
    /// VM that the process runs on.
    pub vm: ids::VmName,
    /// Availability zone of the process.
    pub zone: ids::ZoneName,
    /// Address on which the process accepts callers' connections.
    pub caller_address: net::SocketAddr,
    /// Address at which the platform probes the readiness of the process.
    pub readiness_address: net::SocketAddr,
    /// Address on which the process accepts links from peers, and by which they identify it.
    pub peer_address: net::SocketAddr,
    /// Addresses of the first peers to link to; some may be out of date.
    pub seeds: Vec<net::SocketAddr>,
    /// Address at which metrics are served.
    pub metrics_address: net::SocketAddr,
    /// Time from the request to stop until the platform kills the process.
    pub stop_grace: Duration,
    /// Time for which a target serves on after its record was marked as draining or removed; zero if
    /// it is not known.
    pub departure_time: Duration,
    /// Limits on repeated attempts for each service, across all relays.
    pub retry_bounds: dispatch::RetryBounds,
    /// Memory limit of the process.
    pub memory_limit: measures::ByteSize,
    /// Limit of file descriptors of the process.
    pub descriptor_limit: u32,
    /// Region of each availability zone.
    pub zones: BTreeMap<ids::ZoneName, ids::RegionName>,
    /// Whether operators may evacuate availability zones.
    pub follows_evacuations: bool,
    /// Bounds on the requests that a cold target gets in one second.
    pub cold_bounds: dispatch::ColdBounds,
}
