//! One simulated process.

use std::collections::BTreeMap;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;

use crate::members;
use crate::reducer;
use crate::sections;

/// Place of a process in the simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct NodeIndex(pub(super) usize);

/// How a process ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossKind {
    /// The process dies: its peers see closed links, and connections are refused.
    Process,
    /// The VM dies: its links go silent, and connections time out.
    Vm,
}

/// Traffic and work of one process since the last reset.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct NodeUsage {
    /// Encoded bytes sent.
    pub sent_bytes: u64,
    /// Encoded bytes received.
    pub received_bytes: u64,
    /// Messages sent.
    pub sent_messages: u64,
    /// Messages received.
    pub received_messages: u64,
    /// Bytes read from the platform.
    pub platform_bytes: u64,
    /// Processor time of the reducer and the encoding, as measured on this machine.
    pub work: Duration,
}

/// One process.
#[derive(Debug)]
pub(super) struct SimulationNode {
    pub(super) identity: reducer::FleetIdentity,
    pub(super) reducer: Option<reducer::FleetReducer>,
    pub(super) loss: Option<LossKind>,
    pub(super) born_at: Option<time::Timestamp>,
    pub(super) died_at: Option<time::Timestamp>,
    pub(super) paused_until: Option<time::Timestamp>,
    pub(super) is_leaving: bool,
    pub(super) in_force: BTreeMap<sections::SectionName, sections::VersionHead>,
    pub(super) departures: Vec<ids::VmName>,
    pub(super) usage: NodeUsage,
}

impl SimulationNode {
    pub(super) const fn new(
        identity: reducer::FleetIdentity,
        born_at: Option<time::Timestamp>,
        reducer: reducer::FleetReducer,
    ) -> Self {
        Self {
            identity,
            reducer: Some(reducer),
            loss: None,
            born_at,
            died_at: None,
            paused_until: None,
            is_leaving: false,
            in_force: BTreeMap::new(),
            departures: Vec::new(),
            usage: NodeUsage {
                sent_bytes: 0,
                received_bytes: 0,
                sent_messages: 0,
                received_messages: 0,
                platform_bytes: 0,
                work: Duration::ZERO,
            },
        }
    }

    pub(super) const fn is_alive(&self) -> bool {
        self.reducer.is_some()
    }

    pub(super) fn is_gateway(&self) -> bool {
        self.identity.role == reducer::FleetRole::Gateway
    }

    /// Says whether a VM list that shows the state at `moment` names the process.
    pub(super) fn is_listed(&self, moment: Option<time::Timestamp>) -> bool {
        let was_born = self.born_at.is_none_or(|born| Some(born) <= moment);
        let has_died = self.died_at.is_some_and(|died| Some(died) <= moment);
        was_born && !has_died
    }

    pub(super) fn seed(&self) -> members::SeedRecord {
        members::SeedRecord {
            vm: self.identity.vm.clone(),
            zone: self.identity.zone.clone(),
            address: self.identity.address,
        }
    }
}
