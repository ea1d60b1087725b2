//! Section `priorities`.

use std::collections::BTreeMap;

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use serde::Deserialize;
use serde::Serialize;

/// Classes by organisation and name.
pub type PrioritySection = BTreeMap<ids::OrganisationName, BTreeMap<ids::ClassName, ClassEntry>>;

/// One class of requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassEntry {
    /// Priority from 0 to 9; a higher number goes first.
    pub priority: measures::Priority,
}
