//! This process's part of the attempts that all processes may repeat.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use serde::Deserialize;
use serde::Serialize;

/// Part of the bounds that calls sent again may use; the rest is left to running streams, whose
/// loss costs callers more.
const RETRY_SHARE: f64 = 0.5;

/// Part of the bounds that both kinds may use together; the rest covers windows that are cut
/// differently, and peers whose counts were lost with them.
const RESUMPTION_SHARE: f64 = 0.8;

/// Part of its own part that a process uses within a window after its start, as it does not know
/// what the process before it used.
const STARTUP_SHARE: f64 = 0.25;

/// Time until peers have been told of a repeated attempt: the longest interval of pulses, and some
/// more for the way.
const PEER_UPDATE_DELAY: Duration = Duration::from_secs(1);

/// What a further arrival of a request at a target is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatKind {
    /// The call is sent again.
    Retry,
    /// A running stream goes on at another target.
    Resumption,
}

impl RepeatKind {
    const fn share(self) -> f64 {
        match self {
            Self::Retry => RETRY_SHARE,
            Self::Resumption => RESUMPTION_SHARE,
        }
    }
}

/// What a deployment allows for one service, all processes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// Repeated attempts for each request.
    pub ratio: f64,
    /// Time over which they are counted.
    pub window: Duration,
    /// Repeated attempts in a window beside the ratio.
    pub allowance: f64,
}

/// What one process had of one service in the last window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetUsage {
    /// Requests of callers.
    #[serde(rename = "q")]
    pub requests: usize,
    /// Repeated attempts.
    #[serde(rename = "r")]
    pub repeats: usize,
}

/// Counts requests and repeated attempts of one service in a sliding window.
///
/// Each process may use its part without agreement: the ratio of the requests that it took itself,
/// and an equal part of the allowance. A resumption may go beyond it while peers tell that they use
/// less: within the time that news take, each process takes at most an equal part of what all of
/// them have left.
#[derive(Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<time::Timestamp>,
    repeats: VecDeque<time::Timestamp>,
    peers: BTreeMap<ids::VmName, BudgetUsage>,
}

impl RetryBudget {
    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: time::Timestamp, bounds: &RetryBounds) {
        self.requests.push_back(now);
        remove_expired(&mut self.requests, now, bounds.window);
    }

    /// Takes one repeated attempt from the budget, if there is one.
    pub fn try_acquire(
        &mut self,
        now: time::Timestamp,
        bounds: &RetryBounds,
        processes: usize,
        kind: RepeatKind,
    ) -> bool {
        let is_available = self.has_available(now, bounds, processes, kind);
        if is_available {
            self.repeats.push_back(now);
        }
        is_available
    }

    /// Says whether the budget has a repeated attempt left.
    pub fn has_available(
        &mut self,
        now: time::Timestamp,
        bounds: &RetryBounds,
        processes: usize,
        kind: RepeatKind,
    ) -> bool {
        let local = self.usage(now, bounds);
        let allowance = bounds.allowance / processes.max(1) as f64;
        let startup_share = match now.since(time::Timestamp::ZERO) < bounds.window {
            true => STARTUP_SHARE,
            false => 1.0,
        };
        let local_limit =
            (local.requests as f64 * bounds.ratio + allowance) * kind.share() * startup_share;
        (local.repeats + 1) as f64 <= local_limit
            || kind == RepeatKind::Resumption
                && self.has_shared_budget(now, bounds, processes, local)
    }

    /// Says whether a resumption is left in this process's part of what nobody has used.
    fn has_shared_budget(
        &self,
        now: time::Timestamp,
        bounds: &RetryBounds,
        processes: usize,
        local: BudgetUsage,
    ) -> bool {
        let known_processes = self.peers.len() + 1;
        let requests =
            local.requests + self.peers.values().map(|peer| peer.requests).sum::<usize>();
        let repeats = local.repeats + self.peers.values().map(|peer| peer.repeats).sum::<usize>();
        let allowance =
            bounds.allowance * known_processes as f64 / processes.max(known_processes) as f64;
        let shared_limit = (requests as f64 * bounds.ratio + allowance) * RESUMPTION_SHARE;

        let is_unreported = |at: &&time::Timestamp| now.since(**at) < PEER_UPDATE_DELAY;
        let unreported = self.repeats.iter().rev().take_while(is_unreported).count();
        let remaining = shared_limit - (repeats - unreported) as f64;
        (unreported + 1) as f64 <= remaining / known_processes as f64
    }

    /// Returns what this process had in the last window, as peers are told.
    pub fn usage(&mut self, now: time::Timestamp, bounds: &RetryBounds) -> BudgetUsage {
        remove_expired(&mut self.requests, now, bounds.window);
        remove_expired(&mut self.repeats, now, bounds.window);
        BudgetUsage {
            requests: self.requests.len(),
            repeats: self.repeats.len(),
        }
    }

    /// Takes what a peer tells.
    pub fn set_peer_usage(&mut self, peer: &ids::VmName, usage: BudgetUsage) {
        self.peers.insert(peer.clone(), usage);
    }

    /// Forgets a peer that is gone.
    pub fn remove_peer(&mut self, peer: &ids::VmName) {
        self.peers.remove(peer);
    }
}

fn remove_expired(times: &mut VecDeque<time::Timestamp>, now: time::Timestamp, window: Duration) {
    while times.front().is_some_and(|at| now.since(*at) > window) {
        times.pop_front();
    }
}
