//! Calls that wait in this relay for a target with capacity.

use std::collections::BTreeMap;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_core::work;

use super::CallDemand;

/// Share of the target latency that a stream may wait and still meet it. The rest is for its
/// prompt: an engine processes one in about a fifth of the target latency, and two may be ahead.
const ON_TARGET_WAIT_SHARE: f64 = 0.55;

/// Maximum wait of a stream, as a multiple of the target latency; callers time out after four times
/// the target latency.
const MAX_STREAM_WAIT_FACTOR: f64 = 2.5;

/// Maximum wait of a call to a plain service, as a share of the target latency.
const MAX_PLAIN_WAIT_SHARE: f64 = 0.8;

/// Waiting calls of all services.
#[derive(Debug, Clone, Default)]
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

    /// Returns the number of waiting calls of the same service that are placed before or with this
    /// call, itself included if it is waiting.
    pub(super) fn count_ahead(&self, now: time::Timestamp, demand: &CallDemand) -> usize {
        let order = |demand: &CallDemand| (is_behind_target(now, demand), demand.rank);
        self.calls
            .values()
            .filter(|other| other.service == demand.service && order(other) <= order(demand))
            .count()
    }

    /// Returns the calls in the order of their placement: those that can still meet the target
    /// latency first, then by rank and by arrival.
    pub(super) fn in_order(&self, now: time::Timestamp) -> Vec<ids::CallId> {
        let mut calls: Vec<_> = self.calls.iter().collect();
        calls.sort_by_key(|(call, demand)| {
            (
                is_behind_target(now, demand),
                demand.rank,
                demand.arrived_at,
                **call,
            )
        });
        calls.into_iter().map(|(call, _)| *call).collect()
    }

    /// Returns all calls with the fingerprints of their requests.
    pub(super) fn fingerprints(&self) -> Vec<(ids::CallId, work::RequestFingerprint)> {
        let calls = self.calls.iter();
        calls
            .map(|(call, demand)| (*call, demand.fingerprint))
            .collect()
    }

    /// Returns all calls.
    pub(super) fn calls(&self) -> Vec<ids::CallId> {
        self.calls.keys().copied().collect()
    }

    /// Returns the waiting streams.
    pub(super) fn streams(&self) -> Vec<ids::CallId> {
        self.calls
            .iter()
            .filter(|(_, demand)| demand.engine.is_some())
            .map(|(call, _)| *call)
            .collect()
    }

    /// Returns the calls that have reached their maximum wait.
    pub(super) fn overdue(&self, now: time::Timestamp) -> Vec<ids::CallId> {
        self.calls
            .iter()
            .filter(|(_, demand)| now.since(demand.arrived_at) >= max_wait(demand))
            .map(|(call, _)| *call)
            .collect()
    }

    pub(super) fn len(&self) -> usize {
        self.calls.len()
    }
}

/// Returns whether a stream can no longer meet the target latency; false for a plain service.
pub(super) fn is_behind_target(now: time::Timestamp, demand: &CallDemand) -> bool {
    let max_wait_on_target = demand.target_latency.mul_f64(ON_TARGET_WAIT_SHARE);
    demand.engine.is_some() && now.since(demand.first_requested_at) > max_wait_on_target
}

/// Returns how long after its arrival a call may wait to be placed.
pub(super) fn max_wait(demand: &CallDemand) -> Duration {
    let factor = match demand.engine {
        Some(_) => MAX_STREAM_WAIT_FACTOR,
        None => MAX_PLAIN_WAIT_SHARE,
    };
    demand
        .target_latency
        .mul_f64(factor)
        .min(demand.deadline.since(demand.arrived_at) / 2)
}
