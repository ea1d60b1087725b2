//! This process's share of the attempts that all processes may repeat.

use std::collections::VecDeque;
use std::time::Duration;

use kingcupfall_core::time;

/// Part of the bounds that calls sent again may use; the rest is left to running streams, whose
/// loss costs callers more.
const RETRY_SHARE: f64 = 0.5;

/// Part of the bounds that both kinds may use together; the rest covers windows that are cut
/// differently, and processes that start again and have forgotten what they used.
const RESUMPTION_SHARE: f64 = 0.8;

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

/// Counts requests and repeated attempts of one service in a sliding window.
///
/// The ratio is taken of the requests that this process took itself, and the allowance is divided
/// by the number of processes, so that the sum over all stays inside the bounds without agreement.
#[derive(Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<time::Timestamp>,
    repeats: VecDeque<time::Timestamp>,
}

impl RetryBudget {
    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: time::Timestamp, bounds: &RetryBounds) {
        self.requests.push_back(now);
        expire(&mut self.requests, now, bounds.window);
    }

    /// Takes one repeated attempt from the budget, if there is one.
    pub fn take(
        &mut self,
        now: time::Timestamp,
        bounds: &RetryBounds,
        processes: usize,
        kind: RepeatKind,
    ) -> bool {
        let has_one = self.has(now, bounds, processes, kind);
        if has_one {
            self.repeats.push_back(now);
        }
        has_one
    }

    /// Says whether the budget has a repeated attempt left.
    pub fn has(
        &mut self,
        now: time::Timestamp,
        bounds: &RetryBounds,
        processes: usize,
        kind: RepeatKind,
    ) -> bool {
        expire(&mut self.requests, now, bounds.window);
        expire(&mut self.repeats, now, bounds.window);
        let allowance = bounds.allowance / processes.max(1) as f64;
        let allowed = (self.requests.len() as f64 * bounds.ratio + allowance) * kind.share();
        (self.repeats.len() + 1) as f64 <= allowed
    }
}

fn expire(times: &mut VecDeque<time::Timestamp>, now: time::Timestamp, window: Duration) {
    while times.front().is_some_and(|at| now.since(*at) > window) {
        times.pop_front();
    }
}
