//! Size and conditions of a simulated fleet.

use std::time::Duration;

/// Size and conditions.
#[derive(Debug, Clone, PartialEq)]
pub struct SimulationPlan {
    /// Seed of all random choices.
    pub seed: u64,
    /// Zones, all of one region.
    pub zones: usize,
    /// Gateways of each zone.
    pub gateways_per_zone: usize,
    /// Agents of each zone.
    pub agents_per_zone: usize,
    /// Links of each agent to gateways.
    pub links_per_agent: usize,
    /// Delay one way between two VMs of a zone.
    pub zone_delay: Duration,
    /// Delay one way between two zones.
    pub remote_delay: Duration,
    /// Share of messages that are lost.
    pub loss: f64,
    /// Share of messages that arrive twice.
    pub duplication: f64,
    /// Most additional delay of a message; more than the delay itself makes reordering.
    pub jitter: Duration,
    /// Age of the VM list.
    pub list_lag: Duration,
    /// Size of the VM list for each VM, in bytes.
    pub list_entry_bytes: u64,
}

impl Default for SimulationPlan {
    fn default() -> Self {
        Self {
            seed: 1,
            zones: 3,
            gateways_per_zone: 3,
            agents_per_zone: 0,
            links_per_agent: 6,
            zone_delay: Duration::from_micros(500),
            remote_delay: Duration::from_millis(2),
            loss: 0.0,
            duplication: 0.0,
            jitter: Duration::from_micros(200),
            list_lag: Duration::from_secs(60),
            list_entry_bytes: 100,
        }
    }
}
