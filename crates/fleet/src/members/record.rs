//! The records that gateways exchange about each other.

use std::net;

use kingcupfall_core::ids;
use serde::Deserialize;
use serde::Serialize;

/// State of a gateway. Of two records with the same version, the one with the later state replaces
/// the other, so the order of the variants matters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// The gateway serves.
    Alive,
    /// The gateway finishes its work and stops. This incarnation does not return to `Alive`.
    Leaving,
    /// A peer cannot reach the gateway, which may refute this by a record with a higher version.
    Suspect,
    /// The gateway did not refute the suspicion in time.
    Dead,
}

impl MemberState {
    /// Returns true if a gateway in this state can be a peer and a reader.
    pub const fn is_serving(self) -> bool {
        match self {
            Self::Alive => true,
            Self::Leaving | Self::Suspect | Self::Dead => false,
        }
    }
}

/// State of one gateway as of one version of its record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// VM on which the gateway runs.
    pub vm: ids::VmName,
    /// Zone of the VM.
    pub zone: ids::ZoneName,
    /// Address at which the gateway accepts links from other gateways.
    pub address: net::SocketAddr,
    /// Id of the gateway process; a restarted gateway has a new one.
    pub process: ids::ProcessId,
    /// Version of the record. Only the process itself raises it, above that of every earlier record
    /// of its VM that it receives.
    #[serde(rename = "number")]
    pub version: u64,
    /// State of the gateway as of this version.
    pub state: MemberState,
}

impl MemberRecord {
    /// Returns true if this record replaces `other`, which must be of the same VM.
    pub fn replaces(&self, other: &Self) -> bool {
        let order = |record: &Self| (record.version, record.state, record.process);
        order(self) > order(other)
    }
}
