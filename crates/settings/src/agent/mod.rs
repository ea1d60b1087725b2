//! Settings of `kingcupfall-agent`.

mod listen;
mod platform;
mod target;

use kingcupfall_document::reader;

pub use listen::AgentAddresses;
pub use platform::AgentPlatform;
pub use target::TargetKind;
pub use target::TargetSettings;

use crate::sections;

/// All settings of an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentSettings {
    /// VM and availability zone of the agent.
    pub node: sections::NodeSettings,
    /// Target that the agent runs beside.
    pub target: TargetSettings,
    /// Addresses at which the agent listens.
    pub listen: AgentAddresses,
    /// Key that authenticates links from gateways.
    pub link: sections::LinkSettings,
    /// Platform services that the agent reads.
    pub platform: AgentPlatform,
    /// Access to the agent's administration API.
    pub administration: sections::AdministrationSettings,
    /// Time limit of planned stops.
    pub drain: sections::DrainSettings,
    /// Log level.
    pub log: sections::LogSettings,
}

impl reader::TableValue for AgentSettings {
    fn read(reader: &mut reader::TableReader<'_, '_, '_>) -> Option<Self> {
        let node = reader.table("node");
        let target = reader.table("target");
        let listen = reader.table("listen");
        let link = reader.table("link");
        let platform = reader.table("platform");
        let administration = reader.table("administration");
        let drain = reader.table_or_empty("drain");
        let log = reader.table_or_empty("log");

        Some(Self {
            node: node?,
            target: target?,
            listen: listen?,
            link: link?,
            platform: platform?,
            administration: administration?,
            drain: drain?,
            log: log?,
        })
    }
}
