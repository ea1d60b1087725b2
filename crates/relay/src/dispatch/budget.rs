//! Limits repeated attempts: this relay's part of the budget that all relays share.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use serde::Deserialize;
use serde::Serialize;

/// Share of the limit available to retries; the rest is left to resumptions, as losing a running
/// stream costs callers more.
const RETRY_SHARE: f64 = 0.5;

/// Share of the limit available to retries and resumptions together; the rest covers windows that
/// start at different times, and peers whose counts were lost with them.
const RESUMPTION_SHARE: f64 = 0.8;

/// Share of its own limit that a relay uses within one window after its start, as it does not know
/// how many attempts the previous process repeated.
const STARTUP_SHARE: f64 = 0.25;

/// Time until peers have received the count of a repeated attempt: the longest heartbeat interval
/// plus a margin for the transfer.
const PEER_UPDATE_DELAY: Duration = Duration::from_secs(1);

/// Why a request is sent to a target again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatKind {
    /// The call is retried.
    Retry,
    /// A running stream is resumed at another target.
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

/// Limits on the repeated attempts of one service, for all relays together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// Repeated attempts allowed per request.
    pub ratio: f64,
    /// Sliding window over which requests and repeated attempts are counted.
    pub window: Duration,
    /// Repeated attempts allowed per window in addition to the ratio.
    pub allowance: f64,
}

/// Requests and repeated attempts of one relay for one service in the last window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetUsage {
    /// Requests received from callers.
    #[serde(rename = "q")]
    pub requests: usize,
    /// Repeated attempts, both retries and resumptions.
    #[serde(rename = "r")]
    pub repeats: usize,
}

/// Counts requests and repeated attempts of one service in a sliding window.
///
/// Each relay may use its own part without coordination: the ratio of the requests that it
/// received, and an equal part of the allowance. A resumption may exceed that part while peers
/// report that they use less than theirs: within the time that peer updates take, each relay uses
/// at most an equal part of what all of them have left.
#[derive(Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<time::Timestamp>,
    repeats: VecDeque<time::Timestamp>,
    peers: BTreeMap<ids::VmName, BudgetUsage>,
}

impl RetryBudget {
    /// Records a request received from a caller.
    pub fn record_request(&mut self, now: time::Timestamp, bounds: &RetryBounds) {
        self.requests.push_back(now);
        remove_expired(&mut self.requests, now, bounds.window);
    }

    /// Takes one repeated attempt from the budget; returns false if none is left.
    pub fn try_acquire(
        &mut self,
        now: time::Timestamp,
        bounds: &RetryBounds,
        relay_count: usize,
        kind: RepeatKind,
    ) -> bool {
        let is_available = self.has_available(now, bounds, relay_count, kind);
        if is_available {
            self.repeats.push_back(now);
        }
        is_available
    }

    /// Returns whether the budget has a repeated attempt left, without taking it.
    pub fn has_available(
        &mut self,
        now: time::Timestamp,
        bounds: &RetryBounds,
        relay_count: usize,
        kind: RepeatKind,
    ) -> bool {
        let local = self.usage(now, bounds);
        let allowance = bounds.allowance / relay_count.max(1) as f64;
        let startup_share = match now.since(time::Timestamp::ZERO) < bounds.window {
            true => STARTUP_SHARE,
            false => 1.0,
        };
        let local_limit =
            (local.requests as f64 * bounds.ratio + allowance) * kind.share() * startup_share;
        (local.repeats + 1) as f64 <= local_limit
            || kind == RepeatKind::Resumption
                && self.has_shared_budget(now, bounds, relay_count, local)
    }

    /// Returns whether a resumption is left in this relay's part of what no relay has used.
    fn has_shared_budget(
        &self,
        now: time::Timestamp,
        bounds: &RetryBounds,
        relay_count: usize,
        local: BudgetUsage,
    ) -> bool {
        let known_relays = self.peers.len() + 1;
        let requests =
            local.requests + self.peers.values().map(|peer| peer.requests).sum::<usize>();
        let repeats = local.repeats + self.peers.values().map(|peer| peer.repeats).sum::<usize>();
        let allowance =
            bounds.allowance * known_relays as f64 / relay_count.max(known_relays) as f64;
        let shared_limit = (requests as f64 * bounds.ratio + allowance) * RESUMPTION_SHARE;

        let is_unreported = |at: &&time::Timestamp| now.since(**at) < PEER_UPDATE_DELAY;
        let unreported = self.repeats.iter().rev().take_while(is_unreported).count();
        let remaining = shared_limit - (repeats - unreported) as f64;
        (unreported + 1) as f64 <= remaining / known_relays as f64
    }

    /// Returns this relay's share of the requests that all relays received, as far as they reported
    /// theirs. Each relay counts for one request more, so that none is without a share.
    pub fn demand_share(
        &mut self,
        now: time::Timestamp,
        bounds: &RetryBounds,
        relay_count: usize,
    ) -> f64 {
        let local = self.usage(now, bounds).requests;
        let peers = self.peers.values().map(|peer| peer.requests).sum::<usize>();
        (local + 1) as f64 / (local + peers + relay_count.max(1)) as f64
    }

    /// Returns this relay's usage in the last window, as reported to peers.
    pub fn usage(&mut self, now: time::Timestamp, bounds: &RetryBounds) -> BudgetUsage {
        remove_expired(&mut self.requests, now, bounds.window);
        remove_expired(&mut self.repeats, now, bounds.window);
        BudgetUsage {
            requests: self.requests.len(),
            repeats: self.repeats.len(),
        }
    }

    /// Stores the usage that a peer reported last.
    pub fn set_peer_usage(&mut self, peer: &ids::VmName, usage: BudgetUsage) {
        self.peers.insert(peer.clone(), usage);
    }

    /// Removes the usage of a peer that is gone.
    pub fn remove_peer(&mut self, peer: &ids::VmName) {
        self.peers.remove(peer);
    }
}

fn remove_expired(times: &mut VecDeque<time::Timestamp>, now: time::Timestamp, window: Duration) {
    while times.front().is_some_and(|at| now.since(*at) > window) {
        times.pop_front();
    }
}
