//! How much work processes have at a target.

use std::collections::BTreeMap;
use std::ops;

use kingcupfall_core::ids;
use kingcupfall_core::load;
use kingcupfall_core::measures;
use serde::Deserialize;
use serde::Serialize;

/// Work of one process at one target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadCount {
    /// Calls in flight, streams included.
    #[serde(rename = "c")]
    pub calls: u32,
    /// Copies of streams that run elsewhere.
    #[serde(rename = "k")]
    pub copies: u32,
    /// Memory in use, in tokens.
    #[serde(rename = "u")]
    pub used: u64,
    /// Memory that streams and copies are expected to need, in tokens.
    #[serde(rename = "f")]
    pub forecast: u64,
    /// Prompt tokens that were not processed yet.
    #[serde(rename = "b")]
    pub backlog: u64,
}

impl ops::AddAssign for LoadCount {
    fn add_assign(&mut self, other: Self) {
        self.calls = self.calls.saturating_add(other.calls);
        self.copies = self.copies.saturating_add(other.copies);
        self.used = self.used.saturating_add(other.used);
        self.forecast = self.forecast.saturating_add(other.forecast);
        self.backlog = self.backlog.saturating_add(other.backlog);
    }
}

impl LoadCount {
    /// Returns the load in the form that placement policies take.
    pub fn summary(&self, memory: measures::TokenCount) -> load::LoadSummary {
        load::LoadSummary {
            running: self.calls,
            memory_total: memory,
            memory_used: measures::TokenCount::new(self.used),
            memory_forecast: measures::TokenCount::new(self.forecast),
            prefill_backlog: measures::TokenCount::new(self.backlog),
            ..load::LoadSummary::default()
        }
    }
}

/// Load of a peer at one target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerLoad {
    /// The target.
    #[serde(rename = "n")]
    pub target: ids::TargetName,
    /// The load.
    #[serde(rename = "l")]
    pub load: LoadCount,
}

/// Loads of all peers, summed by target.
#[derive(Debug, Default)]
pub(super) struct PeerLoads {
    peers: BTreeMap<ids::VmName, BTreeMap<ids::TargetName, LoadCount>>,
}

impl PeerLoads {
    pub(super) fn put(&mut self, peer: ids::VmName, loads: Vec<PeerLoad>) {
        let loads = loads.into_iter().map(|load| (load.target, load.load));
        self.peers.insert(peer, loads.collect());
    }

    pub(super) fn remove(&mut self, peer: &ids::VmName) {
        self.peers.remove(peer);
    }

    pub(super) fn len(&self) -> usize {
        self.peers.len()
    }

    pub(super) fn sum(&self, target: &ids::TargetName) -> LoadCount {
        let mut sum = LoadCount::default();
        for load in self.peers.values().filter_map(|loads| loads.get(target)) {
            sum += *load;
        }
        sum
    }
}
