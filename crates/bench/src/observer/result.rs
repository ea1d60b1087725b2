//! Results of a run.

use std::collections::BTreeMap;

use serde::Serialize;

/// Figures of one policy set; the field names are those of the JSON output.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct PolicyResult {
    /// Requests in the run.
    pub requests: u64,
    /// Requests whose complete response arrived.
    pub completed: u64,
    /// Requests that were reported as not run and that no engine had started.
    pub not_run: u64,
    /// All other requests: they may or may not have run.
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
    /// Tokens received by callers per second, over the time span in which requests arrive.
    pub tokens_per_s: f64,
    /// Tokens missing from streams, or from responses that were reported as complete.
    pub lost_tokens: u64,
    /// Tokens that a caller received again, and replies after the end of a call.
    pub duplicate_tokens: u64,
    /// Tokens from another generation than the one that the call's first token came from.
    pub mixed_generations: u64,
    /// Starts beyond the first of requests that are not repeatable.
    pub double_runs: u64,
    /// Calls that were reported as not run although an engine had started them.
    pub false_not_run: u64,
    /// Starts on a target more than 5 s after it had begun to leave.
    pub late_admissions: u64,
}

/// Figures of a scenario under one or more policy sets.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RunResult {
    /// Name of the scenario, which is its file name without extension.
    pub scenario: Box<str>,
    /// Figures by name of the policy set.
    pub policies: BTreeMap<Box<str>, PolicyResult>,
}

/// Load of all engines at one point in time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadSample {
    /// Simulated time since the start, in seconds.
    pub at_s: f64,
    /// Share of the engines' memory in use, from 0 to 1.
    pub memory: f64,
    /// Streams that run in an engine.
    pub running: u64,
    /// Open calls without a stream that runs in an engine.
    pub waiting: u64,
}

/// Raw values of one policy set, for plots.
#[derive(Debug, Clone, Default)]
pub struct RunTraces {
    /// Stall of each request in seconds, ascending.
    pub stalls_s: Vec<f64>,
    /// Gaps between tokens in milliseconds at each percentile from 0 to 100.
    pub gap_percentiles_ms: Vec<f64>,
    /// Load samples in order of time.
    pub samples: Vec<LoadSample>,
}
