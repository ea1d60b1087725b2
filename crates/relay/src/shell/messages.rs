//! Messages between processes of the same kind.

use std::net;

use kingcupfall_core::ids;
use kingcupfall_policy::quarantine;
use serde::Deserialize;
use serde::Serialize;

use crate::directory;
use crate::dispatch;

/// What a process tells its peers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Regular state.
    #[serde(rename = "p")]
    Pulse(Box<PeerPulse>),
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
    /// Targets that leave.
    #[serde(rename = "g")]
    Departures(Vec<(directory::TargetKey, directory::TargetDeparture)>),
    /// Routes, as they were published.
    #[serde(rename = "r")]
    Routes(#[serde(with = "serde_with::As::<serde_with::Bytes>")] Vec<u8>),
    /// All targets.
    #[serde(rename = "t")]
    Targets {
        /// State of the directory that showed them.
        #[serde(rename = "r")]
        revision: directory::DirectoryRevision,
        /// The targets.
        #[serde(rename = "t")]
        targets: Vec<directory::TargetRecord>,
    },
}

/// Regular state of a process.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PeerPulse {
    /// Its VM.
    #[serde(rename = "v")]
    pub vm: ids::VmName,
    /// Where it takes links.
    #[serde(rename = "a")]
    pub address: net::SocketAddr,
    /// Addresses of processes that it is linked to.
    #[serde(rename = "m")]
    pub members: Vec<net::SocketAddr>,
    /// Version of its routes.
    #[serde(rename = "c")]
    pub routes: directory::TableVersion,
    /// State of the directory that it knows.
    #[serde(rename = "d")]
    pub directory: directory::DirectoryRevision,
    /// What it has at each target.
    #[serde(rename = "l")]
    pub loads: Vec<dispatch::PeerLoad>,
    /// Targets that it knows to leave, newest first.
    #[serde(rename = "g")]
    pub departures: Vec<(directory::TargetKey, directory::TargetDeparture)>,
    /// Requests that crash targets.
    #[serde(rename = "q")]
    pub suspects: Vec<quarantine::SuspectRecord>,
}
