//! Section `models`.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::time::Duration;

use crate::reader;
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
    /// Targets that load a version at a time, as the weight store's rate allows.
    #[serde(default = "default_loads")]
    pub parallel_loads: u32,
}

impl reader::TableValue for ModelEntry {
    fn read(reader: &mut reader::TableReader<'_, '_, '_>) -> Option<Self> {
        let version = reader.required_label("version");
        let adapters = reader.label_list("adapters");
        let max_tokens = reader.required_ranged("max_tokens", &TOKEN_RANGE);
        let gap_millis = reader.ranged("gap_target_ms", DEFAULT_GAP_MS, &GAP_RANGE_MS);
        let capacity_floor = reader.ranged("capacity_floor", DEFAULT_FLOOR, &FLOOR_RANGE);
        let upgrade_window = reader.optional_table("upgrade_window");

        Some(Self {
            version: version?,
            adapters,
            max_tokens: max_tokens?,
            gap_target: Duration::from_millis(gap_millis),
            capacity_floor,
            upgrade_window,
        })
    }
}

impl reader::TableValue for UpgradeWindow {
    fn read(reader: &mut reader::TableReader<'_, '_, '_>) -> Option<Self> {
        let start_minute = reader.required_ranged("start_minute", &START_RANGE);
        let length_minutes = reader.required_ranged("length_minutes", &LENGTH_RANGE);
        let parallel_loads = reader.ranged("parallel_loads", DEFAULT_LOADS, &LOADS_RANGE);

        Some(Self {
            start_minute: start_minute?,
            length_minutes: length_minutes?,
            parallel_loads,
        })
    }
}

/// Tokens that one request may generate at most.
const TOKEN_RANGE: RangeInclusive<measures::TokenCount> =
    measures::TokenCount::new(1)..=measures::TokenCount::new(1_000_000);

/// Milliseconds between tokens that a model may keep.
const GAP_RANGE_MS: RangeInclusive<u64> = 1..=60_000;

/// Shares of the targets that may have to serve.
const FLOOR_RANGE: RangeInclusive<f64> = 0.0..=1.0;

/// Minutes after midnight at which a window may start.
const START_RANGE: RangeInclusive<u32> = 0..=1_439;

/// Minutes that a window may last.
const LENGTH_RANGE: RangeInclusive<u32> = 1..=1_440;

/// Targets that may load a version at a time.
const LOADS_RANGE: RangeInclusive<u32> = 1..=1_000;

/// Targets that load a version at a time unless the window says otherwise.
const DEFAULT_LOADS: u32 = 4;

/// Milliseconds between tokens that a model keeps unless its entry says otherwise.
const DEFAULT_GAP_MS: u64 = 38;

/// Share of a model's targets that serve during an upgrade unless its entry says otherwise.
const DEFAULT_FLOOR: f64 = 0.7;

fn default_gap() -> Duration {
    Duration::from_millis(DEFAULT_GAP_MS)
}

fn default_floor() -> f64 {
    DEFAULT_FLOOR
}

fn default_loads() -> u32 {
    DEFAULT_LOADS
}
