//! Section `platform` of an agent's settings.

use std::net;

use kingcupfall_document::reader;

/// Addresses of the platform services that an agent reads.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentPlatform {
    /// Configuration service, which stores the document's sections.
    pub configuration_service: net::SocketAddr,
    /// Service that lists the VMs.
    pub vm_list: net::SocketAddr,
}

impl reader::TableValue for AgentPlatform {
    fn read(reader: &mut reader::TableReader<'_, '_, '_>) -> Option<Self> {
        let configuration_service = reader.required_address("configuration_service");
        let vm_list = reader.required_address("vm_list");

        Some(Self {
            configuration_service: configuration_service?,
            vm_list: vm_list?,
        })
    }
}
