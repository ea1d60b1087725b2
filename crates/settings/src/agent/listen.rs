//! Section `listen` of an agent's settings.

use std::net;

use kingcupfall_document::reader;

use crate::sections;

/// Addresses at which an agent listens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentAddresses {
    /// Links from gateways.
    pub links: net::SocketAddr,
    /// Administration API and metrics.
    pub administration: net::SocketAddr,
    /// Loopback address that an agent keeps bound while it runs, so that a target never has two
    /// agents. The settings key is `fence`.
    pub instance_lock: net::SocketAddr,
}

impl reader::TableValue for AgentAddresses {
    fn read(reader: &mut reader::TableReader<'_, '_, '_>) -> Option<Self> {
        let links = reader.required_address("links");
        let administration = reader.required_address("administration");
        let instance_lock = reader.required_address("fence");
        let addresses = [
            ("links", links),
            ("administration", administration),
            ("fence", instance_lock),
        ];
        sections::report_duplicate_addresses(reader, &addresses);
        sections::check_loopback(reader, "fence", instance_lock);

        Some(Self {
            links: links?,
            administration: administration?,
            instance_lock: instance_lock?,
        })
    }
}
