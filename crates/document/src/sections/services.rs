//! Section `services`.

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

/// One plain service.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// First parts of the paths whose calls may be repeated; all others run at most once.
    #[serde(default)]
    pub repeatable_paths: Vec<Box<str>>,
    /// Calls that one target runs at a time.
    #[serde(default = "default_concurrency")]
    pub concurrent_calls: u32,
    /// Longest time to wait for an answer, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(default = "default_timeout", rename = "timeout_ms")]
    pub timeout: Duration,
}

impl reader::TableValue for ServiceEntry {
    fn read(reader: &mut reader::TableReader<'_, '_, '_>) -> Option<Self> {
        let repeatable_paths = read_paths(reader);
        let concurrent_calls =
            reader.ranged("concurrent_calls", DEFAULT_CONCURRENCY, &CONCURRENCY_RANGE);
        let timeout_millis = reader.ranged("timeout_ms", DEFAULT_TIMEOUT_MS, &TIMEOUT_RANGE_MS);

        Some(Self {
            repeatable_paths,
            concurrent_calls,
            timeout: Duration::from_millis(timeout_millis),
        })
    }
}

/// Calls that one target may run at a time.
const CONCURRENCY_RANGE: RangeInclusive<u32> = 1..=100_000;

/// Milliseconds that an answer may take.
const TIMEOUT_RANGE_MS: RangeInclusive<u64> = 1..=3_600_000;

/// Calls that one target runs at a time unless its service says otherwise.
const DEFAULT_CONCURRENCY: u32 = 16;

/// Longest wait for an answer, in milliseconds, unless the service says otherwise.
const DEFAULT_TIMEOUT_MS: u64 = 30_000;

fn default_concurrency() -> u32 {
    DEFAULT_CONCURRENCY
}

fn default_timeout() -> Duration {
    Duration::from_millis(DEFAULT_TIMEOUT_MS)
}

fn read_paths(reader: &mut reader::TableReader<'_, '_, '_>) -> Vec<Box<str>> {
    let items: Vec<reader::ListItem<Box<str>>> = reader.unique_list("repeatable_paths");

    for item in &items {
        if !is_relative_path(&item.value) {
            let message = "must be a path without slashes at its ends and without dots as parts";
            reader.report_item(item, message);
        }
    }
    reader::ListItem::into_values(items)
}

/// Says whether `path` has parts that are neither empty nor dots alone.
fn is_relative_path(path: &str) -> bool {
    path.split('/')
        .all(|part| !part.is_empty() && part != "." && part != "..")
}
