//! Events that the fleet reducer takes.

use std::fmt;

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_policy::quarantine;
use serde::Deserialize;
use serde::Serialize;

use crate::members;
use crate::messages;
use crate::sections;

/// Number of the configuration service's state; it grows with each change of any section.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ServiceRevision(u64);

impl ServiceRevision {
    /// Makes a revision from its number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for ServiceRevision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Answer of the configuration service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceReading {
    /// Revision of the answer.
    pub revision: ServiceRevision,
    /// Sections read; empty when a watch ended without a change.
    pub sections: Vec<sections::SectionValue>,
}

/// The VM list as it was read; it may be minutes old.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmListing {
    /// VMs with a gateway, this one included, that are not leaving.
    pub gateways: Vec<members::SeedRecord>,
    /// VMs of any kind that leave.
    pub leaving: Vec<ids::VmName>,
    /// Size of the answer, by which the readers space their readings.
    pub size: measures::ByteSize,
}

/// What is at the other end of a link.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LinkKind {
    /// A gateway that this gateway connected to.
    Outgoing {
        /// Its VM.
        vm: ids::VmName,
    },
    /// A gateway that connected to this gateway.
    Incoming,
    /// An agent; this process is a gateway.
    Agent,
    /// A gateway; this process is an agent.
    Feed,
}

/// One event.
#[derive(Debug, Clone, PartialEq)]
pub enum FleetEvent {
    /// A link was opened.
    LinkOpened {
        /// The link.
        link: ids::LinkId,
        /// Its other end.
        kind: LinkKind,
    },
    /// A link was closed or lost.
    LinkClosed {
        /// The link.
        link: ids::LinkId,
    },
    /// A link that was asked for could not be opened.
    ConnectFailed {
        /// VM that was to be connected to.
        vm: ids::VmName,
    },
    /// A message came in.
    MessageReceived {
        /// Link it came on.
        link: ids::LinkId,
        /// The message.
        message: messages::FleetMessage,
    },
    /// Bytes came in that are no message.
    MalformedReceived {
        /// Link they came on.
        link: ids::LinkId,
    },
    /// The configuration service answered.
    SectionsRead(ServiceReading),
    /// The configuration service did not answer, or answered with an error.
    SectionReadFailed,
    /// The VM list was read.
    VmListRead(VmListing),
    /// The VM list could not be read.
    VmListReadFailed,
    /// Suspects that this process found itself.
    SuspectsFound(Vec<quarantine::SuspectRecord>),
    /// This process leaves.
    LeaveRequested,
    /// Time has passed; comes at least every [`TICK_INTERVAL`](super::TICK_INTERVAL).
    Tick,
}
