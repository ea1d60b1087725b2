//! Messages between the relays of a fleet.

use std::net;

use kingcupfall_core::ids;
use kingcupfall_policy::quarantine;
use serde::Deserialize;
use serde::Serialize;

use crate::directory;
use crate::dispatch;
use crate::membership;

/// A message to a peer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerMessage {
    /// State of the sender, sent at regular intervals.
    #[serde(rename = "p")]
    Heartbeat(Box<PeerHeartbeat>),
    /// Load of the sender at some targets, sent when it changes.
    #[serde(rename = "l")]
    Loads {
        /// VM of the sender.
        #[serde(rename = "v")]
        vm: ids::VmName,
        /// Load of the sender at these targets.
        #[serde(rename = "l")]
        loads: Vec<dispatch::PeerLoad>,
    },
    /// A request to reserve capacity at a target, or the reply to one.
    #[serde(rename = "c")]
    Reservation {
        /// VM of the sender.
        #[serde(rename = "v")]
        vm: ids::VmName,
        /// The request or the reply.
        #[serde(rename = "m")]
        message: dispatch::ReservationMessage,
    },
    /// Incarnations of targets that leave or are gone.
    #[serde(rename = "g")]
    Departures(Vec<(directory::TargetKey, directory::TargetDeparture)>),
    /// Requests that crashed targets of the sender.
    #[serde(rename = "s")]
    Suspects(Vec<quarantine::SuspectRecord>),
    /// Encoded routes, as they were published.
    #[serde(rename = "r")]
    Routes(#[serde(with = "serde_with::As::<serde_with::Bytes>")] Vec<u8>),
    /// Targets that changed since the version that the receiver knew.
    #[serde(rename = "t")]
    Targets(directory::TargetDelta),
    /// Evacuations of availability zones that changed.
    #[serde(rename = "e")]
    Evacuations(Vec<directory::ZoneEvacuation>),
    /// Requests all routes and targets that are newer than these versions.
    #[serde(rename = "w")]
    UpdateRequest(membership::KnownVersions),
}

/// State of a relay that it sends to its peers at regular intervals.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// VM of the sender.
    #[serde(rename = "v")]
    pub vm: ids::VmName,
    /// Address at which the sender accepts links.
    #[serde(rename = "a")]
    pub address: net::SocketAddr,
    /// Some of the relays that the sender knows.
    #[serde(rename = "m")]
    pub members: Vec<membership::MemberHint>,
    /// Versions of the routes and targets that the sender knows.
    #[serde(rename = "k")]
    pub known: membership::KnownVersions,
    /// Load of the sender at each target; empty for a peer of another cell.
    #[serde(rename = "l")]
    pub loads: Vec<dispatch::PeerLoad>,
    /// Departures of targets that the sender has not sent on this link yet, newest first.
    #[serde(rename = "g")]
    pub departures: Vec<(directory::TargetKey, directory::TargetDeparture)>,
    /// Requests that the sender refused and has not sent on this link yet.
    #[serde(rename = "r", default)]
    pub refused_requests: Vec<dispatch::RefusedRequest>,
    /// The sender's usage of each service's retry budget, within the window of the retry bounds.
    #[serde(rename = "n", default)]
    pub budget_usages: Vec<(ids::ServiceName, dispatch::BudgetUsage)>,
    /// Requests that are suspected of crashing targets, and that the sender has not sent on this
    /// link yet.
    #[serde(rename = "q")]
    pub suspects: Vec<quarantine::SuspectRecord>,
    /// Crashes that may be due to prompts, and that the sender has not sent on this link yet.
    #[serde(rename = "x", default)]
    pub prompt_crashes: Vec<quarantine::PromptCrash>,
    /// Limits of targets that the sender knows, or that have ended a short time ago.
    #[serde(rename = "i", default)]
    pub limits: Vec<dispatch::TargetLimit>,
    /// All that the sender knows of evacuated availability zones, withdrawn ones included.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub evacuations: Vec<directory::ZoneEvacuation>,
    /// What the sender observed of the speeds of targets within the last seconds; empty for a peer
    /// of another cell.
    #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
    pub speeds: Vec<dispatch::SpeedReport>,
}
