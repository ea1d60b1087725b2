//! Section `targets`: model engines and replicas of plain services.

use std::collections::BTreeMap;
use std::net;

use super::SectionName;
use crate::reader;
use kingcupfall_core::engine;
use kingcupfall_core::ids;
use serde::Deserialize;
use serde::Serialize;

/// Targets by name.
pub type TargetSection = BTreeMap<ids::TargetName, TargetEntry>;

/// A target and where it runs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// Kind of the target, with the keys that only this kind has.
    #[serde(flatten)]
    pub kind: TargetKind,
    /// VM that the target and its agent run on.
    pub vm: ids::VmName,
    /// Availability zone of the VM.
    pub zone: ids::ZoneName,
    /// Address at which the target's agent accepts links from gateways.
    pub agent: net::SocketAddr,
    /// Whether the target takes no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// Kind of a target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum TargetKind {
    /// A model engine.
    Engine {
        /// Models that the engine serves.
        models: Vec<ids::ModelName>,
        /// Whether the engine refuses orders with an old fencing number.
        #[serde(default)]
        fencing: engine::FencingMode,
    },
    /// A replica of a plain service.
    Service {
        /// Service that the replica belongs to.
        service: ids::ServiceName,
    },
}

impl reader::TableValue for TargetEntry {
    fn read(reader: &mut reader::TableReader<'_, '_, '_>) -> Option<Self> {
        let kind = read_kind(reader);
        let vm: Option<ids::VmName> = reader.required("vm");
        let zone: Option<ids::ZoneName> = reader.required("zone");
        let agent = reader.required_address("agent");
        let leaving = reader.or_default("leaving", false);

        if let (Some(vm), Some(zone)) = (&vm, &zone) {
            reader.check_consistent("zone", "VM", vm.as_str(), zone.as_str());
        }
        if let Some(agent) = &agent {
            reader.check_unique("agent", "address", agent);
        }
        Some(Self {
            kind: kind?,
            vm: vm?,
            zone: zone?,
            agent: agent?,
            leaving,
        })
    }
}

/// Value of the key `kind`, which determines the other keys of the entry.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum KindName {
    Engine,
    Service,
}

fn read_kind(reader: &mut reader::TableReader<'_, '_, '_>) -> Option<TargetKind> {
    let Some(name) = reader.required("kind") else {
        reader.allow_keys(&["models", "fencing", "service"]);
        return None;
    };

    match name {
        KindName::Engine => read_engine(reader),
        KindName::Service => {
            let service: ids::ServiceName = reader.required("service")?;
            reader.add_reference("service", SectionName::Services.path_of(service.as_str()));
            Some(TargetKind::Service { service })
        }
    }
}

fn read_engine(reader: &mut reader::TableReader<'_, '_, '_>) -> Option<TargetKind> {
    let items: Vec<reader::ListItem<ids::ModelName>> = reader.unique_list("models");
    let fencing = reader.or_default("fencing", engine::FencingMode::default());
    reader.check_non_empty("models");

    for item in &items {
        reader.add_item_reference(item, SectionName::Models.path_of(item.value.as_str()));
    }
    Some(TargetKind::Engine {
        models: reader::ListItem::into_values(items),
        fencing,
    })
}
