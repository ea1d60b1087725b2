//! Interface between the fleet shell and the gateway or agent that hosts it.

use std::collections::BTreeMap;
use std::sync::Arc;

use kingcupfall_core::ids;
use kingcupfall_document::acceptance;
use kingcupfall_document::sections;
use kingcupfall_policy::quarantine;

use crate::validation;

/// The document after a section was accepted or rejected.
#[derive(Debug, Clone)]
pub struct DocumentNotice {
    /// Active values of all sections.
    pub document: Arc<sections::OperatorDocument>,
    /// Texts and versions of the sections, for dry runs and the status of sections.
    pub acceptance: Arc<acceptance::DocumentAcceptance>,
    /// Status of each section of which a version was validated.
    pub statuses: BTreeMap<sections::SectionName, validation::ValidationStatus>,
}

/// Receives updates from the fleet. No method may block.
pub trait FleetHost {
    /// Sends bytes as a fleet frame on a link between a gateway and an agent.
    fn send(&self, link: ids::LinkId, bytes: Vec<u8>);

    /// Handles a changed document or a rejected section.
    fn handle_document(&self, notice: DocumentNotice);

    /// Handles suspects that other gateways found.
    fn handle_suspects(&self, records: Vec<quarantine::SuspectRecord>);

    /// Handles VMs that were not known to be leaving before.
    fn handle_departures(&self, vms: Vec<ids::VmName>);
}
