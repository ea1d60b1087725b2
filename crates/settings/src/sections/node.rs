//! Section `node`: where the process runs.

use kingcupfall_core::ids;
use kingcupfall_document::reader;

/// VM and availability zone of the process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeSettings {
    /// Name of the VM in the VM list.
    pub vm: ids::VmName,
    /// Availability zone of the VM.
    pub zone: ids::ZoneName,
}

impl reader::TableValue for NodeSettings {
    fn read(reader: &mut reader::TableReader<'_, '_, '_>) -> Option<Self> {
        let vm = reader.required("vm");
        let zone = reader.required("zone");

        Some(Self {
            vm: vm?,
            zone: zone?,
        })
    }
}
