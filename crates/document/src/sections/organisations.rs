//! Section `organisations`: the callers' organisations with their keys and weights.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use crate::reader;
use kingcupfall_core::ids;
use kingcupfall_core::keys;
use kingcupfall_core::measures;
use serde::Deserialize;
use serde::Serialize;

/// Organisations by name.
pub type OrganisationSection = BTreeMap<ids::OrganisationName, OrganisationEntry>;

/// An organisation whose callers may use the system.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationEntry {
    /// SHA-256 hashes of the bearer keys of its callers.
    pub key_hashes: Vec<keys::KeyHash>,
    /// Weight in weighted fair queueing.
    #[serde(default = "default_weight")]
    pub weight: measures::Weight,
}

impl reader::TableValue for OrganisationEntry {
    fn read(reader: &mut reader::TableReader<'_, '_, '_>) -> Option<Self> {
        let key_hashes = read_key_hashes(reader);
        let weight = reader.ranged("weight", default_weight(), &WEIGHT_RANGE);

        Some(Self {
            key_hashes: key_hashes?,
            weight,
        })
    }
}

fn read_key_hashes(reader: &mut reader::TableReader<'_, '_, '_>) -> Option<Vec<keys::KeyHash>> {
    let items: Vec<reader::ListItem<keys::KeyHash>> = reader.required_list("key_hashes")?;

    for item in &items {
        reader.check_unique_item(item, "key");
    }
    Some(reader::ListItem::into_values(items))
}

const WEIGHT_RANGE: RangeInclusive<measures::Weight> =
    measures::Weight::new(1)..=measures::Weight::new(1_000);

fn default_weight() -> measures::Weight {
    measures::Weight::new(1)
}
