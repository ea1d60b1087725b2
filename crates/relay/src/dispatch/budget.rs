//! This process's share of the attempts that all processes may repeat.

use std::collections::VecDeque;
use std::time::Duration;

use kingcupfall_core::time;

/// Part of the allowed ratio that is used; the rest covers windows that are cut differently.
const RATIO_SHARE: f64 = 0.5;

/// Part of the allowance that is used, for the same reason.
const ALLOWANCE_SHARE: f64 = 0.5;

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
    pub fn take(&mut self, now: time::Timestamp, bounds: &RetryBounds, processes: usize) -> bool {
        expire(&mut self.requests, now, bounds.window);
        expire(&mut self.repeats, now, bounds.window);
        let allowance = bounds.allowance * ALLOWANCE_SHARE / processes.max(1) as f64;
        let allowed = self.requests.len() as f64 * bounds.ratio * RATIO_SHARE + allowance;

        if (self.repeats.len() + 1) as f64 > allowed {
            return false;
        }
        self.repeats.push_back(now);
        true
    }
}

fn expire(times: &mut VecDeque<time::Timestamp>, now: time::Timestamp, window: Duration) {
    while times.front().is_some_and(|at| now.since(*at) > window) {
        times.pop_front();
    }
}
