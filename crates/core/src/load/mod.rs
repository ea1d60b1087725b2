//! Load of a target, as its agent reports it to gateways.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::measures;
use crate::work;

/// A prefix that the engine reported as cached. It may have been evicted since.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachedPrefix {
    /// Hash of the prefix.
    pub prefix: work::PrefixHash,
    /// Length of the prefix, in tokens.
    pub tokens: measures::TokenCount,
}

/// Load of a target, as its agent knows it.
///
/// Every heartbeat of an agent contains one, so its fields have one-letter names in frames.
#[serde_as]
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadSummary {
    /// Streams that the engine runs.
    #[serde(rename = "r")]
    pub running: u32,
    /// Streams that the agent has paused in the engine.
    #[serde(rename = "p")]
    pub paused: u32,
    /// Attempts that wait for admission.
    #[serde(rename = "q")]
    pub queued: u32,
    /// Total key-value memory of the engine, in tokens.
    #[serde(rename = "t")]
    pub memory_total: measures::TokenCount,
    /// Key-value memory in use, corrected for what the agent admitted since the engine's report.
    #[serde(rename = "u")]
    pub memory_used: measures::TokenCount,
    /// Forecast peak of the memory that running, paused and queued streams need together.
    #[serde(rename = "f")]
    pub memory_forecast: measures::TokenCount,
    /// Prompt tokens of running streams that have not generated a token yet.
    #[serde(rename = "b")]
    pub prefill_backlog: measures::TokenCount,
    /// Forecast time that a new attempt waits behind the queue before it is admitted.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "d")]
    pub queue_delay: Duration,
    /// Forecast time until the target has finished all running and queued work if none is added.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "w")]
    pub remaining_time: Duration,
    /// Time that one more attempt of average size adds to `remaining_time`.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "a")]
    pub attempt_time: Duration,
    /// Most useful cached prefixes, limited in number. Heartbeats contain them in a field of their
    /// own, and only after a change.
    #[serde(skip)]
    pub cached: Vec<CachedPrefix>,
}
