//! Section `models`: the models, the versions to serve and their upgrade windows.

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

/// A model and how to serve it.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelEntry {
    /// Version of the weights to serve.
    pub version: Box<str>,
    /// Names of the adapters to load.
    #[serde(default)]
    pub adapters: Vec<Box<str>>,
    /// Maximum number of tokens that one request may generate.
    pub max_tokens: measures::TokenCount,
    /// Target for the time between two tokens; in milliseconds when serialised.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(default = "default_gap", rename = "gap_target_ms")]
    pub gap_target: Duration,
    /// Minimum share of the model's targets, from 0 to 1, that keep serving while others are
    /// upgraded.
    #[serde(default = "default_floor")]
    pub capacity_floor: f64,
    /// Daily window in which targets may be upgraded; `None` means never.
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
    /// Number of targets that load a version at the same time, limited by the throughput of the
    /// weight store.
    #[serde(default = "default_loads")]
    pub parallel_loads: u32,
}

impl reader::TableValue for ModelEntry {
    fn read(reader: &mut reader::TableReader<'_, '_, '_>) -> Option<Self> {
        let version = reader.required_label("version");
        let adapters = reader.label_list("adapters");
        let max_tokens = reader.required_ranged("max_tokens", &MAX_TOKENS_RANGE);
        let gap_target_ms =
            reader.ranged("gap_target_ms", DEFAULT_GAP_TARGET_MS, &GAP_TARGET_RANGE_MS);
        let capacity_floor = reader.ranged(
            "capacity_floor",
            DEFAULT_CAPACITY_FLOOR,
            &CAPACITY_FLOOR_RANGE,
        );
        let upgrade_window = reader.optional_table("upgrade_window");

        Some(Self {
            version: version?,
            adapters,
            max_tokens: max_tokens?,
            gap_target: Duration::from_millis(gap_target_ms),
            capacity_floor,
            upgrade_window,
        })
    }
}

impl reader::TableValue for UpgradeWindow {
    fn read(reader: &mut reader::TableReader<'_, '_, '_>) -> Option<Self> {
        let start_minute = reader.required_ranged("start_minute", &START_MINUTE_RANGE);
        let length_minutes = reader.required_ranged("length_minutes", &WINDOW_LENGTH_RANGE_MINUTES);
        let parallel_loads = reader.ranged(
            "parallel_loads",
            DEFAULT_PARALLEL_LOADS,
            &PARALLEL_LOADS_RANGE,
        );

        Some(Self {
            start_minute: start_minute?,
            length_minutes: length_minutes?,
            parallel_loads,
        })
    }
}

const MAX_TOKENS_RANGE: RangeInclusive<measures::TokenCount> =
    measures::TokenCount::new(1)..=measures::TokenCount::new(1_000_000);

const GAP_TARGET_RANGE_MS: RangeInclusive<u64> = 1..=60_000;

const CAPACITY_FLOOR_RANGE: RangeInclusive<f64> = 0.0..=1.0;

const START_MINUTE_RANGE: RangeInclusive<u32> = 0..=1_439;

const WINDOW_LENGTH_RANGE_MINUTES: RangeInclusive<u32> = 1..=1_440;

const PARALLEL_LOADS_RANGE: RangeInclusive<u32> = 1..=1_000;

const DEFAULT_PARALLEL_LOADS: u32 = 4;

const DEFAULT_GAP_TARGET_MS: u64 = 38;

const DEFAULT_CAPACITY_FLOOR: f64 = 0.7;

fn default_gap() -> Duration {
    Duration::from_millis(DEFAULT_GAP_TARGET_MS)
}

fn default_floor() -> f64 {
    DEFAULT_CAPACITY_FLOOR
}

fn default_loads() -> u32 {
    DEFAULT_PARALLEL_LOADS
}
