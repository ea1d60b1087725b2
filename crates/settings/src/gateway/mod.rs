//! Settings of `kingcupfall-gateway`.

mod limits;
mod listen;
mod platform;

use kingcupfall_document::reader;

pub use limits::GatewayLimits;
pub use listen::GatewayPorts;
pub use platform::GatewayPlatform;

use crate::sections;

/// All settings of a gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GatewaySettings {
    /// Where it runs.
    pub node: sections::NodeSettings,
    /// Addresses it listens at.
    pub listen: GatewayPorts,
    /// Links to agents and to other gateways.
    pub link: sections::LinkSettings,
    /// What it reads of the platform.
    pub platform: GatewayPlatform,
    /// Access to its administration API.
    pub administration: sections::AdministrationSettings,
    /// Limits for callers.
    pub limits: GatewayLimits,
    /// Planned stops.
    pub drain: sections::DrainSettings,
    /// Logging.
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
