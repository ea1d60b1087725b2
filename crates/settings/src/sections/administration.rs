//! Section `administration`: who may use the administration API.

use kingcupfall_core::keys;
use kingcupfall_document::reader;

/// Access to the administration API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdministrationSettings {
    /// SHA-256 hash of the bearer key that the administration API requires.
    pub key_hash: keys::KeyHash,
}

impl reader::TableValue for AdministrationSettings {
    fn read(reader: &mut reader::TableReader<'_, '_, '_>) -> Option<Self> {
        let key_hash = reader.required("key_hash");

        Some(Self {
            key_hash: key_hash?,
        })
    }
}
