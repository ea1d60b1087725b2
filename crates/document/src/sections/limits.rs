//! Section `limits`: the call limits of each organisation.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use crate::reader;
use kingcupfall_core::ids;
use serde::Deserialize;
use serde::Serialize;

/// Limits by organisation.
pub type LimitSection = BTreeMap<ids::OrganisationName, LimitEntry>;

/// Limits of one organisation, which each gateway applies on its own.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitEntry {
    /// Sustained rate of new calls, in calls per second.
    pub calls_per_s: f64,
    /// Number of new calls that may arrive at once.
    #[serde(default = "default_burst")]
    pub burst: u32,
    /// Maximum number of calls in progress.
    #[serde(default = "default_concurrency")]
    pub concurrent_calls: u32,
}

impl reader::TableValue for LimitEntry {
    fn read(reader: &mut reader::TableReader<'_, '_, '_>) -> Option<Self> {
        let calls_per_s: Option<f64> = reader.required("calls_per_s");
        let burst = reader.ranged("burst", DEFAULT_BURST, &CALL_COUNT_RANGE);
        let concurrent_calls = reader.ranged(
            "concurrent_calls",
            DEFAULT_CONCURRENT_CALLS,
            &CALL_COUNT_RANGE,
        );

        let is_valid = calls_per_s.is_none_or(|rate| rate > 0.0 && rate <= MAX_CALLS_PER_S);
        let message = format!("must be more than 0 and at most {MAX_CALLS_PER_S}");
        reader.check("calls_per_s", is_valid, message);
        Some(Self {
            calls_per_s: calls_per_s?,
            burst,
            concurrent_calls,
        })
    }
}

const MAX_CALLS_PER_S: f64 = 1_000_000.0;

/// Allowed values of `burst` and `concurrent_calls`.
const CALL_COUNT_RANGE: RangeInclusive<u32> = 1..=1_000_000;

const DEFAULT_BURST: u32 = 100;

const DEFAULT_CONCURRENT_CALLS: u32 = 1_000;

fn default_burst() -> u32 {
    DEFAULT_BURST
}

fn default_concurrency() -> u32 {
    DEFAULT_CONCURRENT_CALLS
}
