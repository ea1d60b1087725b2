//! Values of the gauges, which are read when the metrics are requested.

use std::time::Duration;

/// Values of all gauges at one time.
#[derive(Debug, Clone, Copy, Default)]
pub struct GaugeValues {
    /// Number of log lines dropped because the log's queue had no space.
    pub lost_lines: u64,
    /// Version of the active routes.
    pub routes_version: u64,
    /// Time since these routes became active.
    pub routes_age: Duration,
    /// Time since the last response of the platform's directory.
    pub directory_age: Duration,
    /// Number of targets in the target table.
    pub targets: usize,
    /// Number of targets that have named a limit on the requests that they take.
    pub limited_targets: usize,
    /// Number of evacuated availability zones.
    pub evacuated_zones: usize,
    /// Number of this relay's streams that still run in evacuated zones.
    pub evacuated_streams: usize,
    /// Number of targets that are cold and whose requests are limited for it.
    pub cold_targets: usize,
    /// Number of targets whose speed has been observed recently.
    pub known_speeds: usize,
    /// Number of peers with an open link.
    pub peers: usize,
    /// Number of calls that wait for a target.
    pub waiting_calls: usize,
    /// Number of calls that run at a target.
    pub placed_calls: usize,
    /// Bytes of memory that clients make the process hold.
    pub client_bytes: u64,
    /// Bytes of memory that are reserved for responses.
    pub response_bytes: u64,
}
