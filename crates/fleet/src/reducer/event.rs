//! Events that the fleet reducer handles.

use std::fmt;

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_policy::quarantine;
use serde::Deserialize;
use serde::Serialize;

use crate::members;
use crate::messages;
use crate::sections;

/// Revision of the configuration service's state; it grows with each change of any section.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ServiceRevision(u64);

impl ServiceRevision {
    /// Creates a revision from its number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the revision as a number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for ServiceRevision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Response of the configuration service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceReading {
    /// Revision of the service's state that the response reflects.
    pub revision: ServiceRevision,
    /// Sections that were read; empty if a watch ended without a change.
    pub sections: Vec<sections::SectionValue>,
}

/// Content of the VM list, which may be minutes old.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmListing {
    /// VMs with a gateway that are not leaving, including this one.
    pub gateways: Vec<members::SeedRecord>,
    /// VMs of any kind that are leaving.
    pub leaving: Vec<ids::VmName>,
    /// Size of the response, from which readers compute the interval between reads.
    pub size: measures::ByteSize,
}

/// Peer at the other end of a link.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LinkKind {
    /// A gateway that this gateway connected to.
    Outgoing {
        /// VM of the other gateway.
        vm: ids::VmName,
    },
    /// A gateway that connected to this gateway.
    Incoming,
    /// An agent; this process is a gateway.
    Agent,
    /// A gateway that sends updates; this process is an agent.
    Feed,
}

/// An event that changes the state of the reducer.
#[derive(Debug, Clone, PartialEq)]
pub enum FleetEvent {
    /// A link was opened.
    LinkOpened {
        /// The link.
        link: ids::LinkId,
        /// Peer at the other end.
        kind: LinkKind,
    },
    /// A link was closed or lost.
    LinkClosed {
        /// The link.
        link: ids::LinkId,
    },
    /// A requested link could not be opened.
    ConnectFailed {
        /// VM to which the connection failed.
        vm: ids::VmName,
    },
    /// A message was received.
    MessageReceived {
        /// Link on which the message was received.
        link: ids::LinkId,
        /// The message.
        message: messages::FleetMessage,
    },
    /// Bytes were received that are not a valid message.
    MalformedReceived {
        /// Link on which the bytes were received.
        link: ids::LinkId,
    },
    /// The configuration service responded.
    SectionsRead(ServiceReading),
    /// The configuration service did not respond, or responded with an error.
    SectionReadFailed,
    /// The VM list was read.
    VmListRead(VmListing),
    /// The VM list could not be read.
    VmListReadFailed,
    /// Suspects that this process itself found.
    SuspectsFound(Vec<quarantine::SuspectRecord>),
    /// This process is to leave the fleet.
    LeaveRequested,
    /// Time has passed; occurs at least once per [`TICK_INTERVAL`](super::TICK_INTERVAL).
    Tick,
}
