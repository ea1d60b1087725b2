//! The document in force, as the shell hands it to the reducer and to the servers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_document::acceptance;
use kingcupfall_document::sections;
use kingcupfall_policy::limit;

use crate::reducer;
use crate::state;

/// When a text entered into force here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct SectionEntry {
    mark: acceptance::TextId,
    entered_at: time::Timestamp,
}

/// The document in force, and since when each section has been.
#[derive(Debug, Clone, Default)]
pub struct DocumentInForce {
    acceptance: Arc<acceptance::DocumentAcceptance>,
    entries: BTreeMap<sections::SectionName, SectionEntry>,
}

impl DocumentInForce {
    /// Returns what follows on this document when `acceptance` is put in force at the time `now`.
    #[must_use]
    pub fn succeed(
        &self,
        now: time::Timestamp,
        acceptance: Arc<acceptance::DocumentAcceptance>,
    ) -> Self {
        let entry = |section: sections::SectionName| {
            let mark = acceptance.active_id(section)?;
            let former = self.entries.get(&section);
            let entered_at = former
                .filter(|former| former.mark == mark)
                .map_or(now, |former| former.entered_at);
            Some((section, SectionEntry { mark, entered_at }))
        };
        let entries = sections::SectionName::ALL
            .into_iter()
            .filter_map(entry)
            .collect();

        Self {
            acceptance,
            entries,
        }
    }

    /// Returns the accepted values of all sections.
    pub fn document(&self) -> &sections::OperatorDocument {
        self.acceptance.document()
    }

    /// Says whether callers can be known: there is a section of organisations.
    pub fn is_ready(&self) -> bool {
        let section = sections::SectionName::Organisations;
        self.entries.contains_key(&section)
    }

    /// Returns the state of acceptance.
    pub fn acceptance(&self) -> &acceptance::DocumentAcceptance {
        &self.acceptance
    }

    /// Returns how long the text of `section` has been in force here; `None` while none is.
    pub fn age(&self, now: time::Timestamp, section: sections::SectionName) -> Option<Duration> {
        let entry = self.entries.get(&section)?;
        Some(now.since(entry.entered_at))
    }
}

/// Returns the event that puts the targets of `document` in force in a gateway's reducer.
///
/// A target leaves when the document says so, or when its VM is in `leaving`.
pub fn target_event(
    document: &sections::OperatorDocument,
    leaving: &BTreeSet<ids::VmName>,
) -> reducer::GatewayEvent {
    let listings = document
        .targets
        .iter()
        .map(|(name, entry)| state::TargetListing {
            name: name.clone(),
            address: entry.agent,
            zone: entry.zone.clone(),
            serves: served_work(&entry.kind),
            leaving: entry.leaving || leaving.contains(&entry.vm),
        })
        .collect();
    reducer::GatewayEvent::Targets(listings)
}

/// Returns the event that puts the limits of `document` in force in a gateway's reducer.
///
/// It lists every organisation, so that one whose limits were removed is freed of them.
pub fn limit_event(document: &sections::OperatorDocument) -> reducer::GatewayEvent {
    let listings = document
        .organisations
        .keys()
        .map(|organisation| reducer::LimitListing {
            organisation: organisation.clone(),
            limit: document.limits.get(organisation).map(organisation_limit),
        })
        .collect();
    reducer::GatewayEvent::Limits(listings)
}

fn served_work(kind: &sections::TargetKind) -> state::ServedWork {
    match kind {
        sections::TargetKind::Engine { models, .. } => state::ServedWork::Models(models.clone()),
        sections::TargetKind::Service { service } => state::ServedWork::Service(service.clone()),
    }
}

fn organisation_limit(entry: &sections::LimitEntry) -> limit::OrganisationLimit {
    limit::OrganisationLimit {
        calls_per_s: entry.calls_per_s,
        burst: entry.burst,
        concurrent_calls: entry.concurrent_calls,
    }
}
