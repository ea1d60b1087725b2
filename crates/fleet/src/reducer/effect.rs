//! Effects that the fleet reducer asks for.

use std::net;

use kingcupfall_core::ids;
use kingcupfall_policy::quarantine;

use super::ServiceRevision;
use crate::messages;
use crate::sections;

/// One effect.
#[derive(Debug, Clone, PartialEq)]
pub enum FleetEffect {
    /// Open a link to another gateway.
    Connect {
        /// Its VM.
        vm: ids::VmName,
        /// Its address.
        address: net::SocketAddr,
    },
    /// Close a link.
    CloseLink {
        /// The link.
        link: ids::LinkId,
    },
    /// Send a message.
    Send {
        /// Link to send on.
        link: ids::LinkId,
        /// The message.
        message: messages::FleetMessage,
    },
    /// Read all sections of the configuration service.
    ReadSections,
    /// Wait for a change at the configuration service.
    WatchSections {
        /// Last revision that was read.
        after: ServiceRevision,
    },
    /// Read the VM list.
    ReadVmList,
    /// A section's new version is in force here.
    ActivateSection(sections::SectionValue),
    /// A section's new version has findings and replaces nothing.
    ReportRejected(sections::SectionValue),
    /// Suspects that another gateway found.
    ForwardSuspects(Vec<quarantine::SuspectRecord>),
    /// VMs that are newly known to leave.
    ForwardDepartures(Vec<ids::VmName>),
}
