//! Section `organisations`.

use std::collections::BTreeMap;

use kingcupfall_core::ids;
use kingcupfall_core::keys;
use kingcupfall_core::measures;
use serde::Deserialize;
use serde::Serialize;

/// Organisations by name.
pub type OrganisationSection = BTreeMap<ids::OrganisationName, OrganisationEntry>;

/// One organisation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationEntry {
    /// SHA-256 hashes of the bearer keys of its callers.
    pub key_hashes: Vec<keys::KeyHash>,
    /// Share in weighted fair queueing.
    #[serde(default = "default_weight")]
    pub weight: measures::Weight,
}

fn default_weight() -> measures::Weight {
    measures::Weight::new(1)
}
