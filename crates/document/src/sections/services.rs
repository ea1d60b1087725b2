//! Section `services`: plain services and how their calls are run.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::time::Duration;

use crate::reader;
use kingcupfall_core::ids;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

/// Plain services by name.
pub type ServiceSection = BTreeMap<ids::ServiceName, ServiceEntry>;

/// A plain service and how its calls are run.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// Prefixes of the paths whose calls may be repeated; all other calls run at most once.
    #[serde(default)]
    pub repeatable_paths: Vec<Box<str>>,
    /// Maximum number of calls that one target runs at the same time.
    #[serde(default = "default_concurrency")]
    pub concurrent_calls: u32,
    /// Maximum time to wait for a response; in milliseconds when serialised.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(default = "default_timeout", rename = "timeout_ms")]
    pub timeout: Duration,
}

impl reader::TableValue for ServiceEntry {
    fn read(reader: &mut reader::TableReader<'_, '_, '_>) -> Option<Self> {
        let repeatable_paths = read_repeatable_paths(reader);
        let concurrent_calls = reader.ranged(
            "concurrent_calls",
            DEFAULT_CONCURRENT_CALLS,
            &CONCURRENT_CALLS_RANGE,
        );
        let timeout_ms = reader.ranged("timeout_ms", DEFAULT_TIMEOUT_MS, &TIMEOUT_RANGE_MS);

        Some(Self {
            repeatable_paths,
            concurrent_calls,
            timeout: Duration::from_millis(timeout_ms),
        })
    }
}

const CONCURRENT_CALLS_RANGE: RangeInclusive<u32> = 1..=100_000;

const TIMEOUT_RANGE_MS: RangeInclusive<u64> = 1..=3_600_000;

const DEFAULT_CONCURRENT_CALLS: u32 = 16;

const DEFAULT_TIMEOUT_MS: u64 = 30_000;

fn default_concurrency() -> u32 {
    DEFAULT_CONCURRENT_CALLS
}

fn default_timeout() -> Duration {
    Duration::from_millis(DEFAULT_TIMEOUT_MS)
}

fn read_repeatable_paths(reader: &mut reader::TableReader<'_, '_, '_>) -> Vec<Box<str>> {
    let items: Vec<reader::ListItem<Box<str>>> = reader.unique_list("repeatable_paths");

    for item in &items {
        if !is_relative_path(&item.value) {
            let message = "must be a relative path without empty, \".\" or \"..\" segments";
            reader.report_item(item, message);
        }
    }
    reader::ListItem::into_values(items)
}

fn is_relative_path(path: &str) -> bool {
    path.split('/')
        .all(|part| !part.is_empty() && part != "." && part != "..")
}
