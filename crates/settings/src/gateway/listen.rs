//! Section `listen` of a gateway's settings.

use std::net;

use kingcupfall_document::reader;

use crate::sections;

/// Addresses at which a gateway listens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GatewayAddresses {
    /// API for callers.
    pub callers: net::SocketAddr,
    /// Administration API and metrics.
    pub administration: net::SocketAddr,
    /// Links from other gateways.
    pub peers: net::SocketAddr,
}

impl reader::TableValue for GatewayAddresses {
    fn read(reader: &mut reader::TableReader<'_, '_, '_>) -> Option<Self> {
        let callers = reader.required_address("callers");
        let administration = reader.required_address("administration");
        let peers = reader.required_address("peers");
        let addresses = [
            ("callers", callers),
            ("administration", administration),
            ("peers", peers),
        ];
        sections::report_duplicate_addresses(reader, &addresses);

        Some(Self {
            callers: callers?,
            administration: administration?,
            peers: peers?,
        })
    }
}
