//! Section `services`.

use std::collections::BTreeMap;
use std::time::Duration;

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

/// Calls that one target runs at a time unless its service says otherwise.
const DEFAULT_CONCURRENCY: u32 = 16;

/// Longest wait for an answer unless the service says otherwise.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

fn default_concurrency() -> u32 {
    DEFAULT_CONCURRENCY
}

fn default_timeout() -> Duration {
    DEFAULT_TIMEOUT
}
