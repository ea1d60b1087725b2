//! Reports of model engines, and the orders that engines accept.

use serde::Deserialize;
use serde::Serialize;

use crate::ids;
use crate::measures;
use crate::time;
use crate::work;

/// Load of an engine at an earlier time. Engines report it with a delay.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Time of the measurement. An agent estimates it on its own clock, from the age of the
    /// measurement that the engine reports.
    pub taken_at: time::Timestamp,
    /// Streams for which the engine generates tokens.
    pub running: u32,
    /// Streams that are queued inside the engine.
    pub waiting: u32,
    /// Key-value memory in use, in tokens.
    pub memory_used: measures::TokenCount,
    /// Total key-value memory, in tokens.
    pub memory_total: measures::TokenCount,
    /// Preemptions since the engine started.
    pub preemptions: u64,
}

/// A change of an engine's prefix cache.
///
/// Some events are lost, so a list of cached prefixes that is derived from them can be wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEvent {
    /// A prefix was stored.
    Stored {
        /// Hash of the prefix.
        prefix: work::PrefixHash,
        /// Length of the prefix.
        tokens: measures::TokenCount,
    },
    /// A prefix was evicted.
    Evicted {
        /// Hash of the prefix.
        prefix: work::PrefixHash,
    },
}

/// An order that changes what an engine serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineOrder {
    /// Load a version of a model from the weight store.
    LoadModel {
        /// Model to load.
        model: ids::ModelName,
        /// Version to load.
        version: Box<str>,
    },
    /// Load an adapter of a loaded model.
    LoadAdapter {
        /// Model the adapter belongs to.
        model: ids::ModelName,
        /// Adapter to load.
        adapter: Box<str>,
    },
    /// Change the engine's role.
    ChangeRole {
        /// New role of the engine.
        role: EngineRole,
    },
}

/// Phases of generation that an engine runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Prefill and decode.
    Full,
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
}

/// Whether an engine checks the fencing numbers of orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FencingMode {
    /// The engine refuses an order unless its number is above the highest one accepted so far.
    #[default]
    Checked,
    /// The engine accepts orders whatever their number.
    Ignored,
}
