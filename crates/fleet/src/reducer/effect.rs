//! Effects that the fleet reducer returns for the shell to execute.

use std::net;

use kingcupfall_core::ids;
use kingcupfall_policy::quarantine;

use super::ServiceRevision;
use crate::messages;
use crate::sections;

/// An action that the shell executes.
#[derive(Debug, Clone, PartialEq)]
pub enum FleetEffect {
    /// Open a link to another gateway.
    Connect {
        /// VM of the gateway.
        vm: ids::VmName,
        /// Address at which the gateway accepts links.
        address: net::SocketAddr,
    },
    /// Close a link.
    CloseLink {
        /// The link to close.
        link: ids::LinkId,
    },
    /// Send a message on a link.
    Send {
        /// Link to send on.
        link: ids::LinkId,
        /// The message.
        message: messages::FleetMessage,
    },
    /// Read all sections of the configuration service.
    ReadSections,
    /// Wait until the configuration service has a revision later than `after`.
    WatchSections {
        /// Latest revision that was read.
        after: ServiceRevision,
    },
    /// Read the VM list.
    ReadVmList,
    /// Activate a new version of a section that passed validation.
    ActivateSection(sections::SectionValue),
    /// Report a new version of a section that has findings. It replaces no other.
    ReportRejected(sections::SectionValue),
    /// Pass on suspects that another gateway found.
    ForwardSuspects(Vec<quarantine::SuspectRecord>),
    /// Pass on VMs that were not known to be leaving before.
    ForwardDepartures(Vec<ids::VmName>),
}
