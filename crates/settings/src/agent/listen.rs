//! Section `listen` of an agent.

use std::net;

use kingcupfall_document::reader;

use crate::sections;

/// Addresses an agent listens at.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentPorts {
    /// Links from gateways.
    pub links: net::SocketAddr,
    /// Administration API and metrics.
    pub administration: net::SocketAddr,
    /// Loopback address that the one agent of a target holds for its whole life.
    pub fence: net::SocketAddr,
}

impl reader::TableValue for AgentPorts {
    fn read(reader: &mut reader::TableReader<'_, '_, '_>) -> Option<Self> {
        let links = reader.required_address("links");
        let administration = reader.required_address("administration");
        let fence = reader.required_address("fence");
        let all = [
            ("links", links),
            ("administration", administration),
            ("fence", fence),
        ];
        sections::report_shared(reader, &all);
        sections::check_loopback(reader, "fence", fence);

        Some(Self {
            links: links?,
            administration: administration?,
            fence: fence?,
        })
    }
}
