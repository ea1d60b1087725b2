//! What agents tell each other of upgrades.

use kingcupfall_core::ids;
use serde::Deserialize;
use serde::Serialize;

/// State of one model on one target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpgradeNote {
    /// The target.
    pub target: ids::TargetName,
    /// The model.
    pub model: ids::ModelName,
    /// Life of the process that writes.
    pub process: ids::Incarnation,
    /// Number that rises with each note of one process.
    pub revision: u64,
    /// Version that the target serves; `None` while it takes no work for the model.
    pub serves: Option<Box<str>>,
    /// Version that it is being upgraded to.
    pub upgrading_to: Option<Box<str>>,
    /// Version that it could not be upgraded to.
    pub failed: Option<Box<str>>,
}
