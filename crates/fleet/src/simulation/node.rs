//! One simulated process.

use std::collections::BTreeMap;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;

use crate::members;
use crate::reducer;
use crate::sections;

/// Index of a process in the simulation. Indexes of ended processes are not reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct NodeIndex(pub(super) usize);

/// Way in which a process fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureKind {
    /// The process crashes: its links are closed, and connections are refused.
    Process,
    /// The VM crashes: its links stay open without traffic, and connections time out.
    Vm,
}

/// Traffic and work of one process since the last reset.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct NodeUsage {
    /// Size of the encoded messages sent, in bytes.
    pub sent_bytes: u64,
    /// Size of the encoded messages received, in bytes.
    pub received_bytes: u64,
    /// Number of messages sent, including lost ones.
    pub sent_messages: u64,
    /// Number of messages received, including duplicates.
    pub received_messages: u64,
    /// Size of the sections and VM lists read from the platform, in bytes.
    pub platform_bytes: u64,
    /// Real time spent in the reducer and in the encoding and decoding of sent messages.
    pub busy_time: Duration,
}

/// State of one process, which stays after the process has ended.
#[derive(Debug)]
pub(super) struct SimulationNode {
    pub(super) identity: reducer::FleetIdentity,
    pub(super) reducer: Option<reducer::FleetReducer>,
    pub(super) failure: Option<FailureKind>,
    /// `None` if the process started with the simulation.
    pub(super) started_at: Option<time::Timestamp>,
    pub(super) ended_at: Option<time::Timestamp>,
    pub(super) paused_until: Option<time::Timestamp>,
    pub(super) is_leaving: bool,
    pub(super) active_heads: BTreeMap<sections::SectionName, sections::VersionHead>,
    pub(super) departures: Vec<ids::VmName>,
    pub(super) usage: NodeUsage,
}

impl SimulationNode {
    pub(super) const fn new(
        identity: reducer::FleetIdentity,
        started_at: Option<time::Timestamp>,
        reducer: reducer::FleetReducer,
    ) -> Self {
        Self {
            identity,
            reducer: Some(reducer),
            failure: None,
            started_at,
            ended_at: None,
            paused_until: None,
            is_leaving: false,
            active_heads: BTreeMap::new(),
            departures: Vec::new(),
            usage: NodeUsage {
                sent_bytes: 0,
                received_bytes: 0,
                sent_messages: 0,
                received_messages: 0,
                platform_bytes: 0,
                busy_time: Duration::ZERO,
            },
        }
    }

    pub(super) const fn is_alive(&self) -> bool {
        self.reducer.is_some()
    }

    pub(super) fn is_gateway(&self) -> bool {
        self.identity.role == reducer::FleetRole::Gateway
    }

    /// Returns true if a VM list with the state at `as_of` contains the process. `None` stands for a
    /// time before the start of the simulation.
    pub(super) fn is_listed(&self, as_of: Option<time::Timestamp>) -> bool {
        let has_started = self.started_at.is_none_or(|started| Some(started) <= as_of);
        let has_ended = self.ended_at.is_some_and(|ended| Some(ended) <= as_of);
        has_started && !has_ended
    }

    pub(super) fn seed(&self) -> members::SeedRecord {
        members::SeedRecord {
            vm: self.identity.vm.clone(),
            zone: self.identity.zone.clone(),
            address: self.identity.address,
        }
    }
}
