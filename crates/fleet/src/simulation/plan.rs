//! Size and network conditions of a simulated fleet.

use std::time::Duration;

/// Size and network conditions of a simulated fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct SimulationPlan {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of zones, all in one region.
    pub zones: usize,
    /// Number of gateways per zone at the start.
    pub gateways_per_zone: usize,
    /// Number of agents per zone at the start.
    pub agents_per_zone: usize,
    /// Number of links from each agent to gateways.
    pub links_per_agent: usize,
    /// One-way delay between two VMs of the same zone.
    pub intra_zone_delay: Duration,
    /// One-way delay between two VMs of different zones.
    pub inter_zone_delay: Duration,
    /// Probability that a message is lost.
    pub loss_rate: f64,
    /// Probability that a message arrives twice.
    pub duplication_rate: f64,
    /// Maximum random addition to the delay of a message. Messages can overtake each other.
    pub max_jitter: Duration,
    /// Age of the set of VMs that the VM list shows. Whether they are leaving is shown without lag.
    pub vm_list_lag: Duration,
    /// Size of one VM's entry in the VM list, in bytes.
    pub vm_list_entry_bytes: u64,
}

impl Default for SimulationPlan {
    fn default() -> Self {
        Self {
            seed: 1,
            zones: 3,
            gateways_per_zone: 3,
            agents_per_zone: 0,
            links_per_agent: 6,
            intra_zone_delay: Duration::from_micros(500),
            inter_zone_delay: Duration::from_millis(2),
            loss_rate: 0.0,
            duplication_rate: 0.0,
            max_jitter: Duration::from_micros(200),
            vm_list_lag: Duration::from_secs(60),
            vm_list_entry_bytes: 100,
        }
    }
}
