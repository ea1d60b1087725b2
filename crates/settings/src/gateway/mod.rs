//! Settings of `kingcupfall-gateway`.

mod limits;
mod listen;
mod platform;

use kingcupfall_document::reader;

pub use limits::GatewayLimits;
pub use listen::GatewayAddresses;
pub use platform::GatewayPlatform;

use crate::sections;

/// All settings of a gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GatewaySettings {
    /// VM and availability zone of the gateway.
    pub node: sections::NodeSettings,
    /// Addresses at which the gateway listens.
    pub listen: GatewayAddresses,
    /// Key that authenticates links to agents and to other gateways.
    pub link: sections::LinkSettings,
    /// Platform services that the gateway reads.
    pub platform: GatewayPlatform,
    /// Access to the gateway's administration API.
    pub administration: sections::AdministrationSettings,
    /// Limits on callers' requests and connections.
    pub limits: GatewayLimits,
    /// Time limit of planned stops.
    pub drain: sections::DrainSettings,
    /// Log level.
    pub log: sections::LogSettings,
}

impl reader::TableValue for GatewaySettings {
    fn read(reader: &mut reader::TableReader<'_, '_, '_>) -> Option<Self> {
        let node = reader.table("node");
        let listen = reader.table("listen");
        let link = reader.table("link");
        let platform = reader.table("platform");
        let administration = reader.table("administration");
        let limits = reader.table_or_empty("limits");
        let drain = reader.table_or_empty("drain");
        let log = reader.table_or_empty("log");

        Some(Self {
            node: node?,
            listen: listen?,
            link: link?,
            platform: platform?,
            administration: administration?,
            limits: limits?,
            drain: drain?,
            log: log?,
        })
    }
}
