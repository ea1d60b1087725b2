//! Section `models`.

use std::collections::BTreeMap;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

/// Models by name.
pub type ModelSection = BTreeMap<ids::ModelName, ModelEntry>;

/// One model.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelEntry {
    /// Version of the weights to serve.
    pub version: Box<str>,
    /// Adapters to load.
    #[serde(default)]
    pub adapters: Vec<Box<str>>,
    /// Most tokens one request may generate.
    pub max_tokens: measures::TokenCount,
    /// Time between tokens to keep, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(default = "default_gap", rename = "gap_target_ms")]
    pub gap_target: Duration,
    /// Least share of the model's targets that serve while others are upgraded, from 0 to 1.
    #[serde(default = "default_floor")]
    pub capacity_floor: f64,
    /// When targets may be upgraded; never, when left out.
    #[serde(default)]
    pub upgrade_window: Option<UpgradeWindow>,
}

/// Daily window for upgrades, in minutes after midnight UTC.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpgradeWindow {
    /// First minute of the window, from 0 to 1439.
    pub start_minute: u32,
    /// Length of the window in minutes, from 1 to 1440.
    pub length_minutes: u32,
}

/// Time between tokens that a model keeps unless its entry says otherwise.
const DEFAULT_GAP: Duration = Duration::from_millis(38);

/// Share of a model's targets that serve during an upgrade unless its entry says otherwise.
const DEFAULT_FLOOR: f64 = 0.7;

fn default_gap() -> Duration {
    DEFAULT_GAP
}

fn default_floor() -> f64 {
    DEFAULT_FLOOR
}
