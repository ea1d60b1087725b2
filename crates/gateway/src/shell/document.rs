//! The document in force, as the shell hands it to the reducer and to the servers.

use kingcupfall_core::findings;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_document::sections;
use kingcupfall_policy::limit;
use serde::Serialize;

use crate::reducer;
use crate::state;

/// One section of the document as this gateway has it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SectionStanding {
    /// Name of the section.
    pub name: Box<str>,
    /// Version in force; `None` while none was accepted.
    pub version: Option<measures::SectionVersion>,
    /// Time on the gateway's clock at which that version was accepted.
    #[serde(skip)]
    pub accepted_at: time::Timestamp,
    /// What is wrong with the newest version seen, when it was not accepted.
    pub findings: findings::FindingList,
}

/// The document in force with the standing of its sections.
#[derive(Debug, Clone, Default)]
pub struct DocumentInForce {
    /// Accepted values of all sections.
    pub document: sections::OperatorDocument,
    /// Standing of each section.
    pub sections: Vec<SectionStanding>,
}

/// Returns the events that put `document` in force in a gateway's reducer.
pub fn document_events(document: &sections::OperatorDocument) -> Vec<reducer::GatewayEvent> {
    let targets = document
        .targets
        .iter()
        .map(|(name, entry)| state::TargetListing {
            name: name.clone(),
            address: entry.agent,
            zone: entry.zone.clone(),
            serves: served_work(&entry.kind),
            leaving: entry.leaving,
        })
        .collect();

    vec![
        reducer::GatewayEvent::Targets(targets),
        reducer::GatewayEvent::Limits(limit_listings(document)),
    ]
}

fn served_work(kind: &sections::TargetKind) -> state::ServedWork {
    match kind {
        sections::TargetKind::Engine { models, .. } => state::ServedWork::Models(models.clone()),
        sections::TargetKind::Service { service } => state::ServedWork::Service(service.clone()),
    }
}

/// Lists every organisation, so that one whose limits were removed is freed of them.
fn limit_listings(document: &sections::OperatorDocument) -> Vec<reducer::LimitListing> {
    document
        .organisations
        .keys()
        .map(|organisation| reducer::LimitListing {
            organisation: organisation.clone(),
            limit: document.limits.get(organisation).map(organisation_limit),
        })
        .collect()
}

fn organisation_limit(entry: &sections::LimitEntry) -> limit::OrganisationLimit {
    limit::OrganisationLimit {
        calls_per_s: entry.calls_per_s,
        burst: entry.burst,
        concurrent_calls: entry.concurrent_calls,
    }
}
