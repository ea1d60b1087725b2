//! Figures of a run.

use std::collections::BTreeMap;

use serde::Serialize;

/// Figures of one policy.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct PolicyResult {
    /// Requests offered.
    pub requests: u64,
    /// Requests whose whole answer arrived.
    pub completed: u64,
    /// Requests whose callers were told that they did not run.
    pub not_run: u64,
    /// All other requests.
    pub unknown: u64,
    /// Mean stall of a request, in seconds.
    pub stall_s_mean: f64,
    /// 99th percentile of the stall of a request, in seconds.
    pub stall_s_p99: f64,
    /// Streams that engines preempted.
    pub preemptions: u64,
    /// Streams that agents paused.
    pub pauses: u64,
    /// Median gap between tokens, in milliseconds.
    pub gap_ms_p50: f64,
    /// 99th percentile of the gaps between tokens, in milliseconds.
    pub gap_ms_p99: f64,
    /// 95th percentile of the wait for the first token, in seconds.
    pub first_token_s_p95: f64,
    /// Tokens that reached callers a second, while requests arrived.
    pub tokens_per_s: f64,
    /// Tokens that never reached the caller of an answer that was called complete.
    pub lost_tokens: u64,
    /// Tokens that reached a caller again.
    pub duplicate_tokens: u64,
    /// Tokens that reached a caller from another generation than the first one.
    pub mixed_generations: u64,
    /// Starts of a request that must run at most once, beyond the first.
    pub double_runs: u64,
    /// Calls that started, although their callers were told that they did not run.
    pub false_not_run: u64,
    /// Starts on a target more than 5 s after it began to leave.
    pub late_admissions: u64,
}

/// Figures of one run of a scenario under one or more policies.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RunResult {
    /// Name of the scenario.
    pub scenario: Box<str>,
    /// Figures by policy.
    pub policies: BTreeMap<Box<str>, PolicyResult>,
}

/// State of all engines at one time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadSample {
    /// Seconds since the start.
    pub at_s: f64,
    /// Share of the engines' memory in use, from 0 to 1.
    pub memory: f64,
    /// Streams that run.
    pub running: u64,
    /// Calls that have not started to run in an engine.
    pub waiting: u64,
}

/// Raw values of one policy, for plots.
#[derive(Debug, Clone, Default)]
pub struct RunTraces {
    /// Stall of each request in seconds, ascending.
    pub stalls_s: Vec<f64>,
    /// Gaps between tokens in milliseconds at each percentile from 0 to 100.
    pub gap_percentiles_ms: Vec<f64>,
    /// Samples in order of time.
    pub samples: Vec<LoadSample>,
}
