//! What gateways tell each other of a gateway.

use std::net;

use kingcupfall_core::ids;
use serde::Deserialize;
use serde::Serialize;

/// State of a gateway; of two records with the same number the later state is the newer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It serves.
    Alive,
    /// It ends its work and goes; sticky for this life.
    Leaving,
    /// A peer has lost it; it may refute with a higher number.
    Suspect,
    /// It did not refute in time.
    Dead,
}

impl MemberState {
    /// Says whether a gateway in this state can be a peer and a reader.
    pub const fn is_serving(self) -> bool {
        match self {
            Self::Alive => true,
            Self::Leaving | Self::Suspect | Self::Dead => false,
        }
    }
}

/// What is known of one gateway.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// VM that it runs on.
    pub vm: ids::VmName,
    /// Zone of the VM.
    pub zone: ids::ZoneName,
    /// Address at which it takes links of other gateways.
    pub address: net::SocketAddr,
    /// Life of the process on the VM.
    pub process: ids::ProcessId,
    /// Number that only the process itself raises: above all earlier records of its VM.
    #[serde(rename = "number")]
    pub version: u64,
    /// Its state.
    pub state: MemberState,
}

impl MemberRecord {
    /// Says whether this record replaces `other`, which is of the same VM.
    pub fn is_newer(&self, other: &Self) -> bool {
        let order = |record: &Self| (record.version, record.state, record.process);
        order(self) > order(other)
    }
}
