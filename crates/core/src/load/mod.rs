//! Load of a target, as its agent tells gateways.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::measures;
use crate::work;

/// A cached prefix that the engine reported; a hint that may be out of date.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachedPrefix {
    /// Hash of the prefix.
    pub prefix: work::PrefixHash,
    /// Length of the prefix.
    pub tokens: measures::TokenCount,
}

/// What an agent knows of its target's load.
///
/// It travels in every pulse, so its fields have one letter there.
#[serde_as]
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadSummary {
    /// Streams that the engine runs.
    #[serde(rename = "r")]
    pub running: u32,
    /// Streams that the agent has paused.
    #[serde(rename = "p")]
    pub paused: u32,
    /// Attempts that wait for admission.
    #[serde(rename = "q")]
    pub queued: u32,
    /// Key-value memory of the engine.
    #[serde(rename = "t")]
    pub memory_total: measures::TokenCount,
    /// Key-value memory in use, corrected by what the agent admitted since the engine's report.
    #[serde(rename = "u")]
    pub memory_used: measures::TokenCount,
    /// Memory that the running and queued streams are forecast to need at their peak.
    #[serde(rename = "f")]
    pub memory_forecast: measures::TokenCount,
    /// Prompt tokens that wait to be processed.
    #[serde(rename = "b")]
    pub prefill_backlog: measures::TokenCount,
    /// Forecast wait of a new attempt of middle priority before it is admitted.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "d")]
    pub queue_delay: Duration,
    /// Time in which the target would finish all it has, running and queued, if it took no more.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "w")]
    pub work_left: Duration,
    /// Part that one more attempt of the usual kind adds to `work_left`.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "a")]
    pub attempt_work: Duration,
    /// Most useful cached prefixes; a bounded number. Pulses carry them apart, when they changed.
    #[serde(skip)]
    pub cached: Vec<CachedPrefix>,
}
