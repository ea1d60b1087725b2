//! What model engines report and which orders they take.

use serde::Deserialize;
use serde::Serialize;

use crate::ids;
use crate::measures;
use crate::time;
use crate::work;

/// Load that an engine reports, some time after it was true.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Time on the agent's clock at which the report was true, estimated by the agent's shell.
    pub taken_at: time::Timestamp,
    /// Streams that are being generated.
    pub running: u32,
    /// Streams that wait inside the engine.
    pub waiting: u32,
    /// Key-value memory in use.
    pub memory_used: measures::TokenCount,
    /// Key-value memory in all.
    pub memory_total: measures::TokenCount,
    /// Preemptions since the engine started.
    pub preemptions: u64,
}

/// A change of an engine's prefix cache; some of these are lost on the way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEvent {
    /// A prefix was stored.
    Stored {
        /// Hash of the prefix.
        prefix: work::PrefixHash,
        /// Its length.
        tokens: measures::TokenCount,
    },
    /// A prefix was dropped.
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
        /// Role to take.
        role: EngineRole,
    },
}

/// Part of generation that an engine does.
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

/// Whether an engine refuses orders with an old fencing number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FencingMode {
    /// Old numbers are refused.
    #[default]
    Checked,
    /// Numbers are ignored.
    Ignored,
}
