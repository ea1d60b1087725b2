//! Calls that wait in this process for a target with room.

use std::collections::BTreeMap;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;

use super::CallDemand;

/// Share of the target latency that a stream may wait for a place. The rest is for its prompt:
/// an engine processes one in about a fifth of the target latency, and two may be ahead.
const STREAM_PATIENCE: f64 = 0.55;

/// Share of the target latency that a call of a plain service may wait for a place.
const PLAIN_PATIENCE: f64 = 0.8;

/// Calls that wait, for all services.
#[derive(Debug, Default)]
pub(super) struct WaitingCalls {
    calls: BTreeMap<ids::CallId, Box<CallDemand>>,
}

impl WaitingCalls {
    pub(super) fn insert(&mut self, call: ids::CallId, demand: Box<CallDemand>) {
        self.calls.insert(call, demand);
    }

    pub(super) fn remove(&mut self, call: ids::CallId) -> Option<Box<CallDemand>> {
        self.calls.remove(&call)
    }

    pub(super) fn get(&self, call: ids::CallId) -> Option<&CallDemand> {
        self.calls.get(&call).map(Box::as_ref)
    }

    /// Returns the number of calls of a service that go before one of this rank.
    pub(super) fn ahead(&self, service: &ids::ServiceName, rank: u8) -> usize {
        self.calls
            .values()
            .filter(|demand| demand.service == *service && demand.rank <= rank)
            .count()
    }

    /// Returns the calls in the order in which they get places: by rank, then by arrival.
    pub(super) fn in_order(&self) -> Vec<ids::CallId> {
        let mut calls: Vec<_> = self.calls.iter().collect();
        calls.sort_by_key(|(call, demand)| (demand.rank, demand.arrived, **call));
        calls.into_iter().map(|(call, _)| *call).collect()
    }

    /// Returns the calls that waited as long as is of use.
    pub(super) fn overdue(&self, now: time::Timestamp) -> Vec<ids::CallId> {
        self.calls
            .iter()
            .filter(|(_, demand)| now.since(demand.arrived) >= patience(demand))
            .map(|(call, _)| *call)
            .collect()
    }

    pub(super) fn len(&self) -> usize {
        self.calls.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }
}

/// Returns for how long after its arrival a call may wait for a place.
pub(super) fn patience(demand: &CallDemand) -> Duration {
    let share = match demand.engine {
        Some(_) => STREAM_PATIENCE,
        None => PLAIN_PATIENCE,
    };
    demand
        .target_latency
        .mul_f64(share)
        .min(demand.deadline.since(demand.arrived) / 2)
}
