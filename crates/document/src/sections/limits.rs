//! Section `limits`.

use std::collections::BTreeMap;

use kingcupfall_core::ids;
use serde::Deserialize;
use serde::Serialize;

/// Limits by organisation.
pub type LimitSection = BTreeMap<ids::OrganisationName, LimitEntry>;

/// Limits of one organisation, each for one gateway.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitEntry {
    /// New calls a second, in the long run.
    pub calls_per_s: f64,
    /// New calls that may come at once.
    #[serde(default = "default_burst")]
    pub burst: u32,
    /// Calls in progress.
    #[serde(default = "default_concurrency")]
    pub concurrent_calls: u32,
}

/// New calls that may come at once unless the entry says otherwise.
const DEFAULT_BURST: u32 = 100;

/// Calls in progress unless the entry says otherwise.
const DEFAULT_CONCURRENCY: u32 = 1_000;

fn default_burst() -> u32 {
    DEFAULT_BURST
}

fn default_concurrency() -> u32 {
    DEFAULT_CONCURRENCY
}
