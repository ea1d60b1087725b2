//! Section `targets`.

use std::collections::BTreeMap;
use std::net;

use kingcupfall_core::engine;
use kingcupfall_core::ids;
use serde::Deserialize;
use serde::Serialize;

/// Targets by name.
pub type TargetSection = BTreeMap<ids::TargetName, TargetEntry>;

/// One target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// What the target is.
    #[serde(flatten)]
    pub kind: TargetKind,
    /// VM that the target and its agent run on.
    pub vm: ids::VmName,
    /// Availability zone of the VM.
    pub zone: ids::ZoneName,
    /// Address at which the target's agent takes links.
    pub agent: net::SocketAddr,
    /// Whether the target takes no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// What a target is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum TargetKind {
    /// A model engine.
    Engine {
        /// Models it serves.
        models: Vec<ids::ModelName>,
        /// Whether it refuses orders with an old fencing number.
        #[serde(default)]
        fencing: engine::FencingMode,
    },
    /// A replica of a plain service.
    Service {
        /// Service it belongs to.
        service: ids::ServiceName,
    },
}
