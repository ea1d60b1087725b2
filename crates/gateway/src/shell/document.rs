//! The active document, as the shell passes it to the reducer and to the servers.

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

/// The active version of a section, and since when it has been active at this gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct SectionEntry {
    id: acceptance::TextId,
    active_since: time::Timestamp,
}

/// The active document, with the time since which each section has been active.
#[derive(Debug, Clone, Default)]
pub struct ActiveDocument {
    acceptance: Arc<acceptance::DocumentAcceptance>,
    entries: BTreeMap<sections::SectionName, SectionEntry>,
}

impl ActiveDocument {
    /// Returns the document that replaces this one when `acceptance` becomes active at `now`.
    ///
    /// A section whose active text is unchanged keeps the time since which it has been active.
    #[must_use]
    pub fn activate(
        &self,
        now: time::Timestamp,
        acceptance: Arc<acceptance::DocumentAcceptance>,
    ) -> Self {
        let entry = |section: sections::SectionName| {
            let id = acceptance.active_id(section)?;
            let previous = self.entries.get(&section);
            let active_since = previous
                .filter(|previous| previous.id == id)
                .map_or(now, |previous| previous.active_since);
            Some((section, SectionEntry { id, active_since }))
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

    /// Returns true if callers can be authenticated: the section of organisations is active.
    pub fn is_ready(&self) -> bool {
        let section = sections::SectionName::Organisations;
        self.entries.contains_key(&section)
    }

    /// Returns the acceptance state of each section.
    pub fn acceptance(&self) -> &acceptance::DocumentAcceptance {
        &self.acceptance
    }

    /// Returns how long the active text of `section` has been active at this gateway; `None` if
    /// there is none.
    pub fn age(&self, now: time::Timestamp, section: sections::SectionName) -> Option<Duration> {
        let entry = self.entries.get(&section)?;
        Some(now.since(entry.active_since))
    }
}

/// Returns the event that makes the targets of `document` active in a gateway's reducer.
///
/// A target is leaving when the document lists it so, or when its VM is in `leaving`.
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
    reducer::GatewayEvent::TargetsChanged(listings)
}

/// Returns the event that makes the limits of `document` active in a gateway's reducer.
///
/// It lists every organisation, so that the reducer lifts limits that were removed.
pub fn limit_event(document: &sections::OperatorDocument) -> reducer::GatewayEvent {
    let listings = document
        .organisations
        .keys()
        .map(|organisation| reducer::LimitListing {
            organisation: organisation.clone(),
            limit: document.limits.get(organisation).map(organisation_limit),
        })
        .collect();
    reducer::GatewayEvent::LimitsChanged(listings)
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
