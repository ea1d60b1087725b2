//! The border between the fleet's shell and the gateway or agent that hosts it.

use std::collections::BTreeMap;
use std::sync::Arc;

use kingcupfall_core::ids;
use kingcupfall_document::acceptance;
use kingcupfall_document::sections;
use kingcupfall_policy::quarantine;

use crate::validation;

/// The document in force after a change.
#[derive(Debug, Clone)]
pub struct DocumentNotice {
    /// Accepted values of all sections.
    pub document: Arc<sections::OperatorDocument>,
    /// State of acceptance, for dry runs and the status of sections.
    pub acceptance: Arc<acceptance::DocumentAcceptance>,
    /// Standing of each section that was seen.
    pub standings: BTreeMap<sections::SectionName, validation::ValidationStatus>,
}

/// Takes what the fleet has for its host. No method waits.
pub trait FleetHost {
    /// Sends bytes as a fleet frame on a link between a gateway and an agent.
    fn send(&self, link: ids::LinkId, bytes: Vec<u8>);

    /// Puts a document in force.
    fn take_document(&self, notice: DocumentNotice);

    /// Takes suspects that other gateways found.
    fn take_suspects(&self, records: Vec<quarantine::SuspectRecord>);

    /// Takes VMs that are newly known to leave.
    fn take_departures(&self, vms: Vec<ids::VmName>);
}
