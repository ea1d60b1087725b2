//! Section `priorities`: the request classes of each organisation.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use crate::reader;
use kingcupfall_core::ids;
use kingcupfall_core::measures;
use serde::Deserialize;
use serde::Serialize;

/// Request classes by organisation and class name.
pub type PrioritySection = BTreeMap<ids::OrganisationName, BTreeMap<ids::ClassName, ClassEntry>>;

/// A class of requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassEntry {
    /// Priority from 0 to 9; higher priorities are served first.
    pub priority: measures::Priority,
}

const PRIORITY_RANGE: RangeInclusive<measures::Priority> =
    measures::Priority::new(0)..=measures::Priority::new(9);

impl reader::TableValue for ClassEntry {
    fn read(reader: &mut reader::TableReader<'_, '_, '_>) -> Option<Self> {
        let priority = reader.required_ranged("priority", &PRIORITY_RANGE);

        Some(Self {
            priority: priority?,
        })
    }
}
