//! Messages between processes of the same kind.

use std::net;

use kingcupfall_core::ids;
use kingcupfall_policy::quarantine;
use serde::Deserialize;
use serde::Serialize;

use crate::directory;
use crate::dispatch;
use crate::membership;

/// What a process tells its peers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Regular state.
    #[serde(rename = "p")]
    Heartbeat(Box<PeerHeartbeat>),
    /// What a process has at some targets.
    #[serde(rename = "l")]
    Loads {
        /// Its VM.
        #[serde(rename = "v")]
        vm: ids::VmName,
        /// Its load there.
        #[serde(rename = "l")]
        loads: Vec<dispatch::PeerLoad>,
    },
    /// A question for room at a target, or its answer.
    #[serde(rename = "c")]
    Reservation {
        /// VM of the sender.
        #[serde(rename = "v")]
        vm: ids::VmName,
        /// The question or the answer.
        #[serde(rename = "m")]
        message: dispatch::ClaimMessage,
    },
    /// Targets that leave.
    #[serde(rename = "g")]
    Departures(Vec<(directory::TargetKey, directory::TargetDeparture)>),
    /// Routes, as they were published.
    #[serde(rename = "r")]
    Routes(#[serde(with = "serde_with::As::<serde_with::Bytes>")] Vec<u8>),
    /// Targets that changed.
    #[serde(rename = "t")]
    Targets(directory::TargetDifference),
    /// Asks for what is newer than this.
    #[serde(rename = "w")]
    UpdateRequest(membership::KnownState),
}

/// Regular state of a process.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// Its VM.
    #[serde(rename = "v")]
    pub vm: ids::VmName,
    /// Where it takes links.
    #[serde(rename = "a")]
    pub address: net::SocketAddr,
    /// Some of the processes that it has heard of.
    #[serde(rename = "m")]
    pub members: Vec<membership::MemberHint>,
    /// How new its knowledge is.
    #[serde(rename = "k")]
    pub known_versions: membership::KnownState,
    /// What it has at each target, for a peer of its cell.
    #[serde(rename = "l")]
    pub loads: Vec<dispatch::PeerLoad>,
    /// Targets that it knows to leave and has not told on this link, newest first.
    #[serde(rename = "g")]
    pub departures: Vec<(directory::TargetKey, directory::TargetDeparture)>,
    /// Requests that it refused and has not told on this link.
    #[serde(rename = "r", default)]
    pub refused_requests: Vec<dispatch::RefusedRecord>,
    /// Its requests and repeated attempts by service, in the window that bounds these.
    #[serde(rename = "n", default)]
    pub repeat_counts: Vec<(ids::ServiceName, dispatch::RepeatCount)>,
    /// Requests that crash targets.
    #[serde(rename = "q")]
    pub suspects: Vec<quarantine::SuspectRecord>,
}
