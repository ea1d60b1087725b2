//! Section `target` of an agent's settings.

use std::net;

use kingcupfall_core::ids;
use kingcupfall_document::reader;
use serde::Deserialize;
use serde::Serialize;

use crate::sections;

/// Kind of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetKind {
    /// A model engine.
    Engine,
    /// A replica of a plain service.
    Service,
}

/// The target that an agent runs beside.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetSettings {
    /// Name of the target in the document's section `targets`.
    pub name: ids::TargetName,
    /// Kind of the target.
    pub kind: TargetKind,
    /// Loopback address at which the target accepts requests.
    pub address: net::SocketAddr,
}

impl reader::TableValue for TargetSettings {
    fn read(reader: &mut reader::TableReader<'_, '_, '_>) -> Option<Self> {
        let name = reader.required("name");
        let kind = reader.required("kind");
        let address = reader.required_address("address");
        sections::check_loopback(reader, "address", address);

        Some(Self {
            name: name?,
            kind: kind?,
            address: address?,
        })
    }
}
