//! Settings of `kingcupfall-agent`.

mod listen;
mod platform;
mod target;

use kingcupfall_document::reader;

pub use listen::AgentPorts;
pub use platform::AgentPlatform;
pub use target::TargetKind;
pub use target::TargetSettings;

use crate::sections;

/// All settings of an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentSettings {
    /// Where it runs.
    pub node: sections::NodeSettings,
    /// Target beside it.
    pub target: TargetSettings,
    /// Addresses it listens at.
    pub listen: AgentPorts,
    /// Links from gateways.
    pub link: sections::LinkSettings,
    /// What it reads of the platform.
    pub platform: AgentPlatform,
    /// Access to its administration API.
    pub administration: sections::AdministrationSettings,
    /// Planned stops.
    pub drain: sections::DrainSettings,
    /// Logging.
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
