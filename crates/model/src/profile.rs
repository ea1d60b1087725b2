//! Memory and speed of a modelled engine.

use std::time::Duration;

use kingcupfall_core::measures;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSecondsWithFrac;
use serde_with::serde_as;

/// Memory and speed of a modelled engine.
///
/// A step takes `step_base`, plus `step_per_stream` for each running stream, plus
/// `step_per_kilotoken` for each thousand tokens in memory, plus the time to process its prompt
/// tokens.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineProfile {
    /// Key-value memory shared by all running streams, in tokens.
    pub memory_tokens: measures::TokenCount,
    /// Prompt tokens processed per second.
    pub prefill_tokens_per_s: f64,
    /// Duration of a step without streams; milliseconds in its serialised form.
    #[serde_as(as = "DurationMilliSecondsWithFrac<f64>")]
    #[serde(rename = "step_base_ms")]
    pub step_base: Duration,
    /// Time that each running stream adds to a step; milliseconds in its serialised form.
    #[serde_as(as = "DurationMilliSecondsWithFrac<f64>")]
    #[serde(rename = "step_per_stream_ms")]
    pub step_per_stream: Duration,
    /// Time that each thousand tokens in memory add to a step; milliseconds in its serialised form.
    #[serde_as(as = "DurationMilliSecondsWithFrac<f64>")]
    #[serde(rename = "step_per_kilotoken_ms")]
    pub step_per_kilotoken: Duration,
    /// Capacity of the prefix cache, in tokens.
    pub prefix_cache_tokens: measures::TokenCount,
    /// Probability that a cache event is lost, from 0 to 1.
    pub cache_event_loss: f64,
}

impl Default for EngineProfile {
    fn default() -> Self {
        Self {
            memory_tokens: measures::TokenCount::new(60_000),
            prefill_tokens_per_s: 12_000.0,
            step_base: Duration::from_micros(12_000),
            step_per_stream: Duration::from_micros(350),
            step_per_kilotoken: Duration::from_micros(80),
            prefix_cache_tokens: measures::TokenCount::new(20_000),
            cache_event_loss: 0.1,
        }
    }
}
