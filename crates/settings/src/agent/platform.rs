//! Section `platform` of an agent.

use std::net;

use kingcupfall_document::reader;

/// Services of the platform that an agent reads.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentPlatform {
    /// Configuration service.
    pub configuration_service: net::SocketAddr,
    /// VM list.
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
